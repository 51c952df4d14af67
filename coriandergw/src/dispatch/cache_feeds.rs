//! Polls engines for the events of their prefix caches.

use std::sync::Weak;
use std::time::Duration;

use futures_util::StreamExt;
use serde::Deserialize;

use crate::dispatch::CallKind;
use crate::dispatch::scheduled::Inner;
use crate::endpoints::Announcement;
use crate::ids::ProgramId;
use crate::placement::CacheChange;
use crate::placement::CacheEvent;

/// The maximum number of engines that are polled at the same time.
const MAX_CONCURRENT_POLLS: usize = 16;

/// The time limit for one poll.
const POLL_TIMEOUT: Duration = Duration::from_millis(500);

#[derive(Debug, Deserialize)]
struct RawPage {
    next: u64,
    events: Vec<RawEvent>,
}

#[derive(Debug, Deserialize)]
struct RawEvent {
    sequence: u64,
    change: RawChange,
    program: String,
    tokens: u64,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
enum RawChange {
    Stored,
    Evicted,
}

impl TryFrom<RawEvent> for CacheEvent {
    type Error = crate::ids::NameError;

    fn try_from(raw: RawEvent) -> Result<Self, Self::Error> {
        let change = match raw.change {
            RawChange::Stored => CacheChange::Stored,
            RawChange::Evicted => CacheChange::Evicted,
        };
        let program = ProgramId::try_from(raw.program)?;
        Ok(Self { sequence: raw.sequence, change, program, tokens: raw.tokens })
    }
}

/// Polls the engines that calls have been sent to, until the dispatcher is dropped.
pub(super) async fn poll_forever(inner: Weak<Inner>, interval: Duration) {
    loop {
        tokio::time::sleep(interval).await;
        let Some(inner) = inner.upgrade() else {
            return;
        };
        let names = inner.state.lock().expect("not poisoned").scheduler.known_endpoints();
        let now = inner.cx.clock.now();
        let known = names.iter().filter_map(|name| inner.directory.find(name, now));
        let engines = known.map(|known| known.announcement);
        let engines = engines.filter(|announcement| announcement.kind == CallKind::Model);
        futures_util::stream::iter(engines)
            .for_each_concurrent(MAX_CONCURRENT_POLLS, |engine| poll(&inner, engine))
            .await;
    }
}

async fn poll(inner: &Inner, engine: std::sync::Arc<Announcement>) {
    let since = {
        let mut state = inner.state.lock().expect("not poisoned");
        state.scheduler.prefixes().cursor(&engine.name)
    };
    let path = format!("/cache_events?since={since}");
    let request = inner.client.get_json(&engine, &path);
    let Ok(Ok(answer)) = tokio::time::timeout(POLL_TIMEOUT, request).await else {
        return;
    };
    let Ok(page) = serde_json::from_value::<RawPage>(answer) else {
        return;
    };
    let events: Vec<CacheEvent> =
        page.events.into_iter().filter_map(|raw| raw.try_into().ok()).collect();
    let now = inner.cx.clock.now();
    let mut state = inner.state.lock().expect("not poisoned");
    state.scheduler.prefixes().apply(&engine.name, &events, page.next, now);
}
