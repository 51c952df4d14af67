//! Start of the control client and, on store instances, of the control leader service.

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
use crate::supervision;
use crate::transport::Kind;
use crate::transport::Transport;

/// The settings of the control client, including what it registers with.
#[derive(Debug, Clone)]
pub struct Registration {
    /// The address at which the instance accepts requests of callers.
    pub caller_address: SocketAddr,
    /// The address at which the instance accepts messages of other instances.
    pub peer_address: SocketAddr,
    /// The store instances that are asked for the control leader's name when it is not known.
    pub voters: Vec<InstanceName>,
    /// How long the configuration is considered fresh after its last confirmation.
    pub freshness_limit: Duration,
    /// The data folder, which holds the applied revision; set on store instances only.
    pub data: Option<PathBuf>,
}

/// The additional parts of a store instance.
pub struct StoreRole {
    /// The control state, to which the replicated log applies commands.
    pub state: SharedControlState,
    /// Reports whether this instance leads the control group.
    pub leadership: Arc<dyn Leadership>,
}

/// An error that prevented the start of the control client.
#[derive(Debug)]
#[derive(Display, Error)]
pub enum StartError {
    /// The file with the applied revision could not be read.
    #[display(
        "{} could not read the file with the applied revision: {cause}",
        ResultCode::StorageFailed
    )]
    RevisionFile {
        /// The error of the file system, or of parsing the file.
        cause: std::io::Error,
    },
}

/// Starts the control client, which registers the instance and keeps its lease and configuration
/// current. On a store instance, also starts the service that acts as the control leader while the
/// instance leads the control group. Both run until [`ControlClient::stop`] or the end of the
/// process.
///
/// # Errors
/// Fails if the file with the applied revision exists but cannot be read or parsed.
pub fn start(
    cx: Context,
    transport: Arc<dyn Transport>,
    log: Arc<dyn ReplicatedLog>,
    registration: Registration,
    store: Option<StoreRole>,
) -> Result<Arc<ControlClient>, StartError> {
    let file = registration.data.as_deref().map(RevisionFile::in_folder);
    let min_revision = file.as_ref().map(RevisionFile::read).transpose();
    let min_revision =
        min_revision.map_err(|cause| StartError::RevisionFile { cause })?.unwrap_or_default();
    let leader = store.map(|store| {
        Arc::new(LeaderService::new(
            cx.clone(),
            transport.clone(),
            log.clone(),
            store.state,
            store.leadership,
        ))
    });
    let client = Arc::new(ControlClient::new(
        cx.clone(),
        transport.clone(),
        log.clone(),
        registration,
        file,
        min_revision,
    ));
    let handler = Arc::new(ControlHandler { log, leader: leader.clone(), client: client.clone() });
    client.set_local_handler(handler.clone());
    transport.register(Kind::Control, handler);
    if let Some(leader) = leader {
        let leading = supervision::essential(cx.clone(), "lead the control group", leader.run());
        client.add_task(tokio::spawn(leading));
    }
    let renewing = supervision::essential(cx, "renew the lease", client.clone().run());
    client.add_task(tokio::spawn(renewing));
    Ok(client)
}
