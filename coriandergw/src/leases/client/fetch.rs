//! Fetches the whole configuration where changes alone do not do.

use crate::control::Published;
use crate::events::EventNumber;
use crate::events::Subject;
use crate::ids::InstanceName;
use crate::leases::client::ControlClient;
use crate::leases::generated::Chunk;
use crate::leases::generated::Fetch;
use crate::leases::generated::request::Kind;
use crate::leases::messages::decode_answer;

/// The largest full state that is fetched, in bytes.
const FULL_STATE_MAX_BYTES: u64 = 256 * 1024 * 1024;

impl ControlClient {
    pub(super) async fn fetch_full(&self, granter: &InstanceName) {
        let Some(published) = self.fetch_all(granter).await else {
            return;
        };
        let revision = published.revision();
        let installed = self.holder.lock().expect("not poisoned").install(published);
        if installed {
            let subject = Subject { peer: Some(granter.to_string()), ..Subject::default() };
            let message = format!("full state of revision {revision} fetched");
            self.cx.events.record(EventNumber::FullStateFetched, subject, message);
            self.after_advance();
            self.wake();
        }
    }

    async fn fetch_all(&self, granter: &InstanceName) -> Option<Published> {
        let mut whole = Vec::new();
        let mut first: Option<Chunk> = None;
        loop {
            let fetch = Kind::Fetch(Fetch { offset: whole.len() as u64 });
            let chunk: Chunk = decode_answer(self.ask(granter, fetch).await.ok()?).ok()?;
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
