//! Discovery of the control leader and control messages to other instances.

use std::time::Duration;

use bytes::Bytes;

use crate::ids::CONTROL_GROUP;
use crate::ids::InstanceName;
use crate::leases::ANSWER_TIMEOUT;
use crate::leases::client::ControlClient;
use crate::leases::generated::Leader;
use crate::leases::generated::WhoLeads;
use crate::leases::generated::request::Kind;
use crate::leases::messages::decode_answer;
use crate::leases::messages::encode_request;
use crate::transport;
use crate::transport::Handler;

impl ControlClient {
    pub(super) async fn ask(&self, to: &InstanceName, kind: Kind) -> Result<Bytes, String> {
        self.ask_within(to, kind, ANSWER_TIMEOUT).await
    }

    pub(super) async fn ask_within(
        &self,
        to: &InstanceName,
        kind: Kind,
        timeout: Duration,
    ) -> Result<Bytes, String> {
        let request = encode_request(kind);
        if *to == self.cx.instance {
            let local = self.local_handler.get().ok_or_else(String::new)?;
            let answer = tokio::time::timeout(timeout, local.handle(to, request)).await;
            return answer.map_err(|cause| cause.to_string())?;
        }
        let answer = self.transport.call(to, transport::Kind::Control, request, timeout).await;
        answer.map_err(|cause| cause.to_string())
    }

    pub(super) async fn ask_leader(&self, kind: Kind) -> Option<(InstanceName, Bytes)> {
        let leader = self.find_leader().await?;
        let answer = self.ask(&leader, kind).await.ok();
        let mut unresponsive = self.unresponsive_leader.lock().expect("not poisoned");
        match &answer {
            Some(_) => {
                *unresponsive = unresponsive.take().filter(|unresponsive| *unresponsive != leader)
            }
            None => {
                *self.known_leader.lock().expect("not poisoned") = None;
                *unresponsive = Some(leader.clone());
            }
        }
        drop(unresponsive);
        answer.map(|answer| (leader, answer))
    }

    pub(super) async fn find_leader(&self) -> Option<InstanceName> {
        // On an instance without a store, the log's view of the leader changes only when it
        // proposes, so it may name a leader that no longer answers.
        let unresponsive = self.unresponsive_leader.lock().expect("not poisoned").clone();
        let known =
            self.log.leader(CONTROL_GROUP).filter(|leader| Some(leader) != unresponsive.as_ref());
        if let Some(leader) = known.or_else(|| self.known_leader()) {
            return Some(leader);
        }
        let start = rand::random_range(0..self.registration.voters.len().max(1));
        let voters = self.registration.voters.iter().cycle().skip(start);
        let mut voters: Vec<_> = voters.take(self.registration.voters.len()).collect();
        voters.sort_by_key(|voter| Some(*voter) == unresponsive.as_ref());
        for voter in voters {
            let Ok(answer) = self.ask(voter, Kind::WhoLeads(WhoLeads {})).await else {
                continue;
            };
            let leader = decode_answer::<Leader>(answer).ok();
            let leader = leader.and_then(|leader| InstanceName::try_from(leader.name).ok());
            if leader.is_some() {
                self.known_leader.lock().expect("not poisoned").clone_from(&leader);
                return leader;
            }
        }
        None
    }
}
