//! Stops an instance without cutting a request.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::events::EventNumber;
use crate::events::Subject;
use crate::instance::HandlerState;

/// How often the drain looks whether the partitions are handed over.
const HANDOVER_POLL: Duration = Duration::from_millis(50);

/// How far an instance is from its start to its stop.
#[derive(Debug, Default)]
pub struct Lifecycle {
    draining: AtomicBool,
}

impl Lifecycle {
    /// Returns whether the instance was asked to stop.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Notes that the instance was asked to stop.
    pub fn start_draining(&self) {
        self.draining.store(true, Ordering::Release);
    }
}

/// Waits for the signal to stop.
pub(super) async fn stop_signal() {
    let mut terminate = signal(SignalKind::terminate()).expect("signals can be waited for");
    tokio::select! {
        _ = terminate.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
}

/// Lets callers turn elsewhere and begun requests end, within the drain limit.
pub(super) async fn drain(
    shared: &Arc<HandlerState>,
    stop: watch::Sender<bool>,
    serving: JoinHandle<()>,
) {
    let limit = shared.settings.instance.drain_limit;
    let ended = tokio::time::timeout(limit, finish(shared, stop, serving)).await;
    let (number, message) = match ended {
        Ok(()) => (EventNumber::DrainFinished, "all requests are finished"),
        Err(_) => (EventNumber::DrainLimitReached, "requests were still running"),
    };
    shared.cx.events.record(number, Subject::default(), message);
}

async fn finish(shared: &Arc<HandlerState>, stop: watch::Sender<bool>, serving: JoinHandle<()>) {
    if shared.addresses.has_others() {
        hand_over(shared).await;
        // Callers may still hold an answer that names this instance.
        tokio::time::sleep(shared.settings.instance.addresses_ttl).await;
    }
    shared.programs.drain().await;
    let _ = stop.send(true);
    // The server only ends with a panic of its own, which leaves nothing to wait for.
    let _ = serving.await;
}

async fn hand_over(shared: &Arc<HandlerState>) {
    while shared.programs.holds_any() && shared.addresses.has_others() {
        tokio::time::sleep(HANDOVER_POLL).await;
    }
}
