//! Sends pieces of the configuration from a core instance.

use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;
use prost::Message as _;

use crate::config_fetch::generated as raw;
use crate::ids::InstanceName;
use crate::roster::server::RosterServer;
use crate::transport::Handler;

/// Answers requests for pieces of the configuration that the roster server publishes.
pub struct ConfigServer {
    /// Where the configuration is published.
    pub roster_server: Arc<RosterServer>,
}

#[async_trait]
impl Handler for ConfigServer {
    async fn handle(&self, _from: &InstanceName, payload: Bytes) -> Result<Bytes, String> {
        let req = raw::PieceRequest::decode(payload).map_err(|cause| cause.to_string())?;
        Ok(self.roster_server.config_piece(&req).encode_to_vec().into())
    }
}
