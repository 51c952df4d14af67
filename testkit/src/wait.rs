//! Waits on conditions; the bound only ever fails a test.

use std::future::Future;
use std::time::Duration;

/// The bound of a wait.
pub const LIMIT: Duration = Duration::from_secs(60);

/// The pause between two looks at a condition.
const PAUSE: Duration = Duration::from_millis(5);

/// Waits until `found` returns something.
///
/// # Panics
/// Panics with `what` after [`LIMIT`].
pub async fn find<T, F, R>(what: &str, mut found: F) -> T
where
    F: FnMut() -> R,
    R: Future<Output = Option<T>>,
{
    let waiting = async {
        loop {
            if let Some(value) = found().await {
                return value;
            }
            tokio::time::sleep(PAUSE).await;
        }
    };
    match tokio::time::timeout(LIMIT, waiting).await {
        Ok(value) => value,
        Err(_) => panic!("waited {LIMIT:?} in vain: {what}"),
    }
}

/// Waits until `holds` is true.
///
/// # Panics
/// Panics with `what` after [`LIMIT`].
pub async fn until<F>(what: &str, mut holds: F)
where
    F: FnMut() -> bool,
{
    find(what, || std::future::ready(holds().then_some(()))).await;
}
