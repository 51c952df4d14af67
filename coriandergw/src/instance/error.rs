//! Why an instance could not run.

use std::net::SocketAddr;
use std::path::PathBuf;

use derive_more::Display;
use derive_more::Error;

use crate::http_server::CallerKeyError;
use crate::leases;
use crate::log_groups::node::LogStartError;
use crate::result_code::ResultCode;
use crate::supervision::TaskFailure;
use crate::transport::tls::KeyError;

/// Says why an instance could not run.
#[derive(Debug)]
#[derive(Display, Error)]
pub enum RunError {
    /// An address could not be bound.
    #[display("{} cannot bind {address}: {cause}", ResultCode::BindFailed)]
    Bind {
        /// The address.
        address: SocketAddr,
        /// What the operating system reported.
        cause: std::io::Error,
    },
    /// The settings name no keys.
    #[display("{} the settings name no keys", ResultCode::InvalidSettings)]
    NoKeys,
    /// The keys between instances could not be used.
    #[display("{} {cause}", ResultCode::ForeignCertificate)]
    Keys {
        /// What is wrong with them.
        cause: KeyError,
    },
    /// The keys towards callers could not be used.
    #[display("{} {cause}", ResultCode::InvalidSettings)]
    CallerKeys {
        /// What is wrong with them.
        cause: CallerKeyError,
    },
    /// The data folder could not be used.
    #[display("{} {}: {cause}", ResultCode::StorageFailed, folder.display())]
    DataFolder {
        /// The folder.
        folder: PathBuf,
        /// What the operating system reported.
        cause: std::io::Error,
    },
    /// The replicated log could not start.
    #[display("{cause}")]
    Log {
        /// Why not.
        cause: LogStartError,
    },
    /// The control features could not start.
    #[display("{cause}")]
    Control {
        /// Why not.
        cause: leases::StartError,
    },
    /// A background task ended before the instance was asked to stop.
    #[display("{} {cause}", ResultCode::Internal)]
    Task {
        /// The task and why it ended.
        cause: TaskFailure,
    },
    /// The metrics could not be set up.
    #[display("{} metrics: {cause}", ResultCode::Internal)]
    Metrics {
        /// What the metrics library reported.
        cause: prometheus::Error,
    },
}
