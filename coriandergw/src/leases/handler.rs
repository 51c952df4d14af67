//! The handler of control messages from other instances.

use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;
use prost::Message;

use crate::control::Published;
use crate::ids::CONTROL_GROUP;
use crate::ids::EntryName;
use crate::ids::InstanceName;
use crate::leases::CHUNK_MAX_BYTES;
use crate::leases::client::ControlClient;
use crate::leases::generated::Chunk;
use crate::leases::generated::Fetch;
use crate::leases::generated::Grant;
use crate::leases::generated::HistoryAnswer;
use crate::leases::generated::HistoryQuery;
use crate::leases::generated::Leader;
use crate::leases::generated::Released;
use crate::leases::generated::Renewal;
use crate::leases::generated::request::Kind;
use crate::leases::leader::LeaderService;
use crate::leases::messages::decode_request;
use crate::leases::messages::encode_answer;
use crate::log_groups::ReplicatedLog;
use crate::result_code::ResultCode;
use crate::transport::Handler;

/// Handles the control messages of other instances and, without the transport, of this one.
pub(super) struct ControlHandler {
    pub(super) log: Arc<dyn ReplicatedLog>,
    pub(super) leader: Option<Arc<LeaderService>>,
    pub(super) client: Arc<ControlClient>,
}

fn not_leading() -> String {
    format!("{} this instance is not the control leader", ResultCode::NotControlLeader)
}

#[async_trait]
impl Handler for ControlHandler {
    async fn handle(&self, from: &InstanceName, payload: Bytes) -> Result<Bytes, String> {
        match decode_request(payload)? {
            Kind::Renewal(renewal) => {
                self.renew(from, renewal).await.map(|grant| encode_answer(&grant))
            }
            Kind::RelayRenewal(renewal) => {
                let grant = self.leading().and_then(|leader| leader.renew_all(from, &renewal));
                grant.map(|grant| encode_answer(&grant)).ok_or_else(not_leading)
            }
            Kind::WhoLeads(_) => Ok(encode_answer(&self.who_leads())),
            Kind::Fetch(fetch) => Ok(encode_answer(&self.fetch(&fetch))),
            Kind::Release(release) => match self.client.on_release(&release) {
                Some(busy) => {
                    let busy = busy.into_iter().map(|partition| partition.0.into()).collect();
                    Ok(encode_answer(&Released { busy }))
                }
                None => Err(not_leading()),
            },
            Kind::Poke(_) => {
                self.client.wake();
                Ok(Bytes::new())
            }
            Kind::History(query) => self.history(&query).map(|answer| encode_answer(&answer)),
            Kind::Status(_) => {
                let status = self.leading().and_then(|leader| leader.status());
                status.map(|status| encode_answer(&status)).ok_or_else(not_leading)
            }
        }
    }
}

impl ControlHandler {
    fn leading(&self) -> Option<&LeaderService> {
        self.leader.as_deref().filter(|leader| leader.fencing().is_some())
    }

    async fn renew(&self, from: &InstanceName, renewal: Renewal) -> Result<Grant, String> {
        if let Some(grant) = self.leading().and_then(|leader| leader.renew(from, &renewal)) {
            return Ok(grant);
        }
        self.client.relay_renewal(from, renewal).await.ok_or_else(not_leading)
    }

    fn who_leads(&self) -> Leader {
        let name = self.log.leader(CONTROL_GROUP).or_else(|| self.client.known_leader());
        Leader { name: name.map_or_else(String::new, String::from) }
    }

    fn fetch(&self, fetch: &Fetch) -> Chunk {
        match self.leading() {
            Some(leader) => {
                let state = leader.state().read().expect("not poisoned");
                chunk_of(state.published(), fetch.offset)
            }
            None => self.client.with_published(|published| chunk_of(published, fetch.offset)),
        }
    }

    fn history(&self, query: &HistoryQuery) -> Result<HistoryAnswer, String> {
        let leader = self.leading().ok_or_else(not_leading)?;
        let entry = EntryName::try_from(query.entry.as_str()).map_err(|cause| cause.to_string())?;
        let state = leader.state().read().expect("not poisoned");
        let records = state.history(&entry).iter();
        Ok(HistoryAnswer { records: records.map(|record| record.encode_to_vec().into()).collect() })
    }
}

fn chunk_of(published: &Published, offset: u64) -> Chunk {
    let encoded = Bytes::from(published.encode());
    let from = usize::try_from(offset).unwrap_or(usize::MAX).min(encoded.len());
    let to = from.saturating_add(CHUNK_MAX_BYTES).min(encoded.len());
    Chunk {
        revision: published.revision().0,
        total_bytes: encoded.len() as u64,
        data: encoded.slice(from..to),
    }
}
