//! Releases the engine memory of programs that have ended.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;

use crate::admission::backoff;
use crate::context::Context;
use crate::endpoints::Announcement;
use crate::endpoints::client::EndpointClient;
use crate::endpoints::client::SendError;
use crate::endpoints::directory::Directory;
use crate::ids::EndpointName;
use crate::ids::ProgramId;

/// How long a release is repeated; pins on the engine end by themselves before that.
const REPEATED_FOR: Duration = Duration::from_secs(600);

/// How long one attempt may take.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(2);

/// The status of an engine that knows a higher fencing number.
const CONFLICT: u16 = 409;

/// Remembers which engines a program was sent to, and releases its memory there.
pub struct Releases {
    cx: Context,
    directory: Arc<Directory>,
    client: EndpointClient,
    sent_to: Mutex<HashMap<ProgramId, HashSet<EndpointName>>>,
}

impl Releases {
    /// Creates an empty memory of sendings.
    pub fn new(cx: Context, directory: Arc<Directory>, client: EndpointClient) -> Arc<Self> {
        Arc::new(Self { cx, directory, client, sent_to: Mutex::default() })
    }

    /// Records that a model call of the program is about to be sent to an engine.
    pub fn record(&self, program: &ProgramId, endpoint: &EndpointName) {
        let mut sent_to = self.sent_to.lock().expect("not poisoned");
        sent_to.entry(program.clone()).or_default().insert(endpoint.clone());
    }

    /// Starts to release the program's memory on all engines that it was sent to.
    pub fn release(self: &Arc<Self>, program: &ProgramId) {
        let sent_to = self.sent_to.lock().expect("not poisoned").remove(program);
        for endpoint in sent_to.unwrap_or_default() {
            tokio::spawn(self.clone().repeat(program.clone(), endpoint));
        }
    }

    async fn repeat(self: Arc<Self>, program: ProgramId, endpoint: EndpointName) {
        let begun = self.cx.clock.now();
        let mut attempt = 0;
        while self.cx.clock.now().since(begun) < REPEATED_FOR {
            if let Some(known) = self.directory.last_known(&endpoint) {
                let sent = self.attempt(&known.announcement, &program).await;
                let result = if sent { "confirmed" } else { "repeated" };
                self.cx.metrics.orders.with_label_values(&["release", result]).inc();
                if sent {
                    return;
                }
            }
            tokio::time::sleep(backoff(attempt, rand::random())).await;
            attempt += 1;
        }
        self.cx.metrics.orders.with_label_values(&["release", "given_up"]).inc();
    }

    async fn attempt(&self, engine: &Announcement, program: &ProgramId) -> bool {
        let work = async {
            match self.order(engine, program, 0).await {
                Err(SendError::Status { status: CONFLICT, .. }) => {}
                sent => return sent.is_ok(),
            }
            // Any number will do: a program that has ended stays ended under every leader.
            let state = self.client.get_json(engine, "/state").await.unwrap_or_default();
            let fencing = state.get("fencing").and_then(Value::as_u64).unwrap_or(0);
            self.order(engine, program, fencing).await.is_ok()
        };
        tokio::time::timeout(ATTEMPT_TIMEOUT, work).await.unwrap_or(false)
    }

    async fn order(
        &self,
        engine: &Announcement,
        program: &ProgramId,
        fencing: u64,
    ) -> Result<(), SendError> {
        let order = json!({"fencing": fencing, "order": "release", "program": program});
        self.client.post_json(engine, "/orders", &order).await
    }
}
