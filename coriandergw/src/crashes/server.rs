//! Receives reports of crashes on a core instance and publishes them with the roster.

use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;

use crate::crashes::wire;
use crate::ids::InstanceName;
use crate::roster::server::RosterServer;
use crate::transport::Handler;

/// Publishes the crashes that entry instances report.
pub struct CrashServer {
    /// Where they are published.
    pub roster_server: Arc<RosterServer>,
}

#[async_trait]
impl Handler for CrashServer {
    async fn handle(&self, _from: &InstanceName, payload: Bytes) -> Result<Bytes, String> {
        let crashes = wire::decode_report(payload).map_err(|cause| cause.to_string())?;
        for crash in crashes {
            self.roster_server.report_crash(crash);
        }
        Ok(Bytes::new())
    }
}
