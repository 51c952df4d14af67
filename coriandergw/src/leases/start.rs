//! Starts the control features of an instance.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;

use crate::context::Context;
use crate::control::SharedControlState;
use crate::ids::InstanceName;
use crate::leases::client::ControlClient;
use crate::leases::handler::ControlHandler;
use crate::leases::leader::LeaderService;
use crate::leases::leader::Leadership;
use crate::leases::revision_file::RevisionFile;
use crate::log_groups::ReplicatedLog;
use crate::result_code::ResultCode;
use crate::transport::Kind;
use crate::transport::Transport;

/// How an instance registers.
#[derive(Debug, Clone)]
pub struct Registration {
    /// Where it answers callers.
    pub caller_address: SocketAddr,
    /// Where it answers other instances.
    pub peer_address: SocketAddr,
    /// The store instances that can be asked who leads.
    pub voters: Vec<InstanceName>,
    /// After how long without a confirmation the configuration counts as out of date.
    pub freshness_limit: Duration,
    /// The data folder; present on store instances only.
    pub data: Option<PathBuf>,
}

/// What a store instance has beyond others.
pub struct StoreRole {
    /// The control state that the log applies to.
    pub state: SharedControlState,
    /// Tells whether this instance leads the control group.
    pub leadership: Arc<dyn Leadership>,
}

/// Says why the control features could not start.
#[derive(Debug)]
#[derive(Display, Error)]
pub enum StartError {
    /// The applied revision could not be read.
    #[display("{} the file of the applied revision: {cause}", ResultCode::StorageFailed)]
    RevisionFile {
        /// What the operating system reported.
        cause: std::io::Error,
    },
}

/// Registers the instance, keeps its lease and its configuration current and, on a store instance
/// that leads the control group, acts as the control leader. Runs until the process ends.
///
/// # Errors
/// Fails if the data folder has a file of the applied revision that cannot be read.
pub fn start(
    cx: Context,
    transport: Arc<dyn Transport>,
    log: Arc<dyn ReplicatedLog>,
    registration: Registration,
    store: Option<StoreRole>,
) -> Result<Arc<ControlClient>, StartError> {
    let file = registration.data.as_deref().map(RevisionFile::in_folder);
    let floor = file.as_ref().map(RevisionFile::read).transpose();
    let floor = floor.map_err(|cause| StartError::RevisionFile { cause })?.unwrap_or_default();
    let leader = store.map(|store| {
        Arc::new(LeaderService::new(
            cx.clone(),
            transport.clone(),
            log.clone(),
            store.state,
            store.leadership,
        ))
    });
    let client =
        Arc::new(ControlClient::new(cx, transport.clone(), log.clone(), registration, file, floor));
    let handler = Arc::new(ControlHandler { log, leader: leader.clone(), client: client.clone() });
    client.set_local(handler.clone());
    transport.register(Kind::Control, handler);
    if let Some(leader) = leader {
        client.keep(tokio::spawn(leader.run()));
    }
    client.keep(tokio::spawn(client.clone().run()));
    Ok(client)
}
