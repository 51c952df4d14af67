//! Fetches the full control state when the deltas are missing or do not apply.

use crate::control::Published;
use crate::events::EventNumber;
use crate::events::Subject;
use crate::ids::InstanceName;
use crate::leases::client::ControlClient;
use crate::leases::generated::Chunk;
use crate::leases::generated::Fetch;
use crate::leases::generated::request::Kind;
use crate::leases::messages::decode_answer;

/// The maximum size of a full state; a larger one is not fetched.
const FULL_STATE_MAX_BYTES: u64 = 256 * 1024 * 1024;

impl ControlClient {
    pub(super) async fn fetch_full_state(&self, sender: &InstanceName) {
        let Some(published) = self.fetch_chunks(sender).await else {
            return;
        };
        let revision = published.revision();
        let installed = self.holder.lock().expect("not poisoned").install(published);
        if installed {
            let subject = Subject { peer: Some(sender.to_string()), ..Subject::default() };
            let message = format!("fetched the full control state at revision {revision}");
            self.cx.events.record(EventNumber::FullStateFetched, subject, message);
            self.on_advanced();
            self.wake();
        }
    }

    async fn fetch_chunks(&self, sender: &InstanceName) -> Option<Published> {
        let mut whole = Vec::new();
        let mut first: Option<Chunk> = None;
        loop {
            let fetch = Kind::Fetch(Fetch { offset: whole.len() as u64 });
            let chunk: Chunk = decode_answer(self.ask(sender, fetch).await.ok()?).ok()?;
            let expected = first.get_or_insert_with(|| chunk.clone());
            let is_same =
                (chunk.revision, chunk.total_bytes) == (expected.revision, expected.total_bytes);
            if !is_same || chunk.data.is_empty() || chunk.total_bytes > FULL_STATE_MAX_BYTES {
                return None;
            }
            whole.extend_from_slice(&chunk.data);
            if whole.len() as u64 >= chunk.total_bytes {
                return Published::decode(&whole).ok();
            }
        }
    }
}
