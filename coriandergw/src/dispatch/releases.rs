//! Releases the engine memory of programs that have ended.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use crate::admission::backoff;
use crate::context::Context;
use crate::dispatch::EngineMemory;
use crate::endpoints::directory::Directory;
use crate::ids::EndpointName;
use crate::ids::FencingNumber;
use crate::ids::ProgramId;
use crate::supervision;

/// How long this instance retries a release. After that, the periodic sweep of the engines releases
/// the memory.
const RETRY_PERIOD: Duration = Duration::from_secs(600);

/// Records which engines a program's calls were sent to, and releases its memory there.
pub struct MemoryReleases {
    cx: Context,
    directory: Arc<Directory>,
    memory: Arc<dyn EngineMemory>,
    sent_to: Mutex<HashMap<ProgramId, HashSet<EndpointName>>>,
}

impl MemoryReleases {
    /// Creates a record without any programs.
    pub fn new(cx: Context, directory: Arc<Directory>, memory: Arc<dyn EngineMemory>) -> Arc<Self> {
        Arc::new(Self { cx, directory, memory, sent_to: Mutex::default() })
    }

    /// Records that a model call of the program is about to be sent to an engine, or that another
    /// instance may have sent one.
    pub fn record(&self, program: &ProgramId, endpoint: &EndpointName) {
        let mut sent_to = self.sent_to.lock().expect("not poisoned");
        sent_to.entry(program.clone()).or_default().insert(endpoint.clone());
    }

    /// Starts releasing the program's memory in the background, on all engines that its calls were
    /// sent to.
    pub fn release(self: &Arc<Self>, program: &ProgramId) {
        let sent_to = self.sent_to.lock().expect("not poisoned").remove(program);
        for endpoint in sent_to.unwrap_or_default() {
            let releasing = self.clone().release_on(program.clone(), endpoint);
            tokio::spawn(supervision::isolated("release memory of an engine", releasing));
        }
    }

    async fn release_on(self: Arc<Self>, program: ProgramId, endpoint: EndpointName) {
        let started = self.cx.clock.now();
        let mut attempt = 0;
        while self.cx.clock.now().since(started) < RETRY_PERIOD {
            if let Some(known) = self.directory.last_known(&endpoint) {
                let lowest = FencingNumber::default();
                let confirmed = self.memory.release(&known.announcement, &program, lowest).await;
                let result = if confirmed { "confirmed" } else { "repeated" };
                self.cx.metrics.orders.with_label_values(&["release", result]).inc();
                if confirmed {
                    return;
                }
            }
            tokio::time::sleep(backoff(attempt, rand::random())).await;
            attempt += 1;
        }
        self.cx.metrics.orders.with_label_values(&["release", "given_up"]).inc();
    }
}
