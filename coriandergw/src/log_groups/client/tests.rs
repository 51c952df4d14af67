//! Tests of proposals to a leader that does not answer.

use std::net::SocketAddr;

use prost::Message as _;

use super::*;
use crate::log_groups::generated as raw;
use crate::transport::Handler;

const GROUP: GroupId = GroupId(1);

/// A transport on which one instance never answers proposals and all others apply them.
struct SilentPeer {
    silent: InstanceName,
}

#[async_trait]
impl Transport for SilentPeer {
    fn send(&self, _to: &InstanceName, _kind: Kind, _payload: Bytes) {}

    async fn call(
        &self,
        to: &InstanceName,
        _kind: Kind,
        _payload: Bytes,
        timeout: Duration,
    ) -> Result<Bytes, TransportError> {
        if *to == self.silent {
            tokio::time::sleep(timeout).await;
            let reason = "timed out".to_owned();
            return Err(TransportError::NoAnswer { peer: to.clone(), reason });
        }
        let applied = Outcome::Applied(Bytes::from_static(b"done"));
        Ok(raw::ProposeAnswer::from(applied).encode_to_vec().into())
    }

    fn register(&self, _kind: Kind, _handler: Arc<dyn Handler>) {}

    fn learn(&self, _peer: &InstanceName, _address: SocketAddr) {}
}

fn name(raw: &str) -> InstanceName {
    InstanceName::try_from(raw).unwrap()
}

#[tokio::test(start_paused = true)]
async fn a_proposal_at_a_silent_leader_goes_to_its_successor_at_once() {
    let transport = Arc::new(SilentPeer { silent: name("old") });
    let client = Arc::new(LogClient::new(transport, vec![name("old"), name("new")]));
    client.note_leader(GROUP, Some(name("old")));
    let started = Instant::now();
    let proposing = {
        let client = client.clone();
        tokio::spawn(async move { client.propose(GROUP, Bytes::from_static(b"x")).await })
    };
    tokio::task::yield_now().await;
    client.note_leader(GROUP, Some(name("new")));
    let answer = proposing.await.unwrap();
    assert_eq!(answer, Ok(Bytes::from_static(b"done")));
    assert!(started.elapsed() < ATTEMPT_LIMIT, "the client waited for the silent leader");
    assert_eq!(client.leader(GROUP), Some(name("new")));
}
