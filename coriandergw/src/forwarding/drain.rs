//! The planned stop of an entry instance, as its requests see it.

use tokio::sync::watch;
use tokio::time::Instant;

use crate::forwarding::forwarder::TRANSIENT_RETRY_AFTER;
use crate::result_code::Refusal;
use crate::result_code::ResultCode;

/// Reason that callers and logs get for a request that the stop ended.
pub(super) const STOPPED: &str = "this instance stopped before the answer was complete";

/// Holds the time by which all requests of a stopping instance must have ended.
#[derive(Debug, Default)]
pub(super) struct Drain {
    ends_at: watch::Sender<Option<Instant>>,
}

impl Drain {
    /// Starts the drain; requests that are still running at `ends_at` are ended.
    pub(super) fn start(&self, ends_at: Instant) {
        self.ends_at.send_replace(Some(ends_at));
    }

    /// Returns whether the drain has started.
    pub(super) fn is_started(&self) -> bool {
        self.ends_at.borrow().is_some()
    }

    /// Checks that a request that may take until `deadline` ends before the drain does.
    ///
    /// # Errors
    /// Refuses a request that might be running when the drain ends.
    pub(super) fn admit(&self, deadline: Instant) -> Result<(), Refusal> {
        let ends_at = *self.ends_at.borrow();
        let Some(ends_at) = ends_at.filter(|ends_at| *ends_at < deadline) else {
            return Ok(());
        };
        let excess_ms = (deadline - ends_at).as_millis();
        let message = format!(
            "this instance is stopping and exits {excess_ms} ms before the deadline of this \
             request; look up the addresses again and send it to another instance"
        );
        Err(Refusal::not_run(ResultCode::Draining, message).retry_after(TRANSIENT_RETRY_AFTER))
    }

    /// Waits for the end of the drain; forever if none is started.
    pub(super) async fn ended(&self) {
        let mut ends_at = self.ends_at.subscribe();
        // Cannot fail: the sender lives as long as `self`.
        let started = ends_at.wait_for(Option::is_some).await.ok().and_then(|ends_at| *ends_at);
        match started {
            Some(ends_at) => tokio::time::sleep_until(ends_at).await,
            None => std::future::pending().await,
        }
    }
}
