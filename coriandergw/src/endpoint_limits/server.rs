//! Answers requests for permits on a core instance.

use std::sync::Arc;
use std::sync::Mutex;

use async_trait::async_trait;
use bytes::Bytes;
use prost::Message as _;

use crate::clock::Clock;
use crate::endpoint_limits::StatedLimit;
use crate::endpoint_limits::generated as raw;
use crate::endpoint_limits::limiter::Limiter;
use crate::endpoint_limits::wire;
use crate::ids::InstanceName;
use crate::roster::server::RosterServer;
use crate::transport::Handler;

/// Grants permits to entry instances.
pub struct PermitServer {
    clock: Arc<dyn Clock>,
    roster_server: Arc<RosterServer>,
    limiter: Mutex<Limiter>,
}

impl PermitServer {
    /// Creates a server that knows no limits yet, and publishes those it learns with the roster.
    pub fn new(clock: Arc<dyn Clock>, roster_server: Arc<RosterServer>) -> Self {
        Self { clock, roster_server, limiter: Mutex::default() }
    }
}

#[async_trait]
impl Handler for PermitServer {
    async fn handle(&self, _from: &InstanceName, payload: Bytes) -> Result<Bytes, String> {
        let raw = raw::PermitRequest::decode(payload).map_err(|cause| cause.to_string())?;
        let now = self.clock.now();
        let candidates: Result<Vec<StatedLimit>, _> =
            raw.candidates.into_iter().map(|one| wire::decode_limit(one, now)).collect();
        let candidates = candidates.map_err(|cause| cause.to_string())?;
        self.roster_server.publish_limits(&candidates);
        let service = Arc::from(raw.service);
        let mut limiter = self.limiter.lock().expect("not poisoned");
        let verdict = limiter.decide(&service, &candidates, raw.has_alternative, now);
        Ok(raw::PermitAnswer::from(verdict).encode_to_vec().into())
    }
}
