//! Settings of an instance, read from an INI file.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

use crate::ids::DataCentre;
use crate::ids::InstanceName;
use crate::transport::tls::KeyFiles;

/// The address that `coriandergw dev` listens on unless told otherwise.
pub const DEV_LISTEN: &str = "127.0.0.1:7400";

/// The checked settings of one instance.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Who the instance is and where callers reach it.
    pub instance: InstanceSettings,
    /// The cluster that it belongs to.
    pub cluster: ClusterSettings,
    /// The data folder; present on store instances only.
    pub data: Option<PathBuf>,
    /// The keys for TLS between instances; absent for `dev` only.
    pub keys: Option<KeyFiles>,
    /// Whether callers and operators are asked for keys.
    pub access: AccessSettings,
}

/// Who an instance is and where it is reached.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InstanceSettings {
    /// The name, unique in the cluster.
    pub name: InstanceName,
    /// The data centre.
    pub data_centre: DataCentre,
    /// Where callers, endpoints and operators connect.
    pub listen: SocketAddr,
    /// The address that callers are told; `listen` unless set.
    pub advertise: SocketAddr,
    /// Where other instances connect.
    pub peer_listen: SocketAddr,
    /// How long a shutdown waits for running requests, in milliseconds.
    pub drain_limit_ms: u64,
}

/// The cluster that an instance belongs to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClusterSettings {
    /// The cluster's name.
    pub name: String,
    /// The known peers and where this instance reaches them.
    pub peers: BTreeMap<InstanceName, SocketAddr>,
    /// The store instances that vote at first.
    pub voters: Vec<InstanceName>,
}

/// What callers and operators must show.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AccessSettings {
    /// The SHA-256 digest of the operator key in hexadecimal; none asks for no key.
    pub operator_key_digest: Option<String>,
    /// Whether callers must show an account key of the entry.
    pub require_account_key: bool,
}

impl Settings {
    /// Returns the settings of `coriandergw dev`: one instance, nothing on disk, no keys.
    pub fn dev(listen: SocketAddr) -> Self {
        let name = InstanceName::try_from("dev").expect("a valid name");
        Self {
            instance: InstanceSettings {
                name: name.clone(),
                data_centre: DataCentre::try_from("local").expect("a valid name"),
                listen,
                advertise: listen,
                peer_listen: SocketAddr::new(listen.ip(), 0),
                drain_limit_ms: 60_000,
            },
            cluster: ClusterSettings {
                name: "dev".to_owned(),
                peers: BTreeMap::new(),
                voters: vec![name],
            },
            data: None,
            keys: None,
            access: AccessSettings::default(),
        }
    }
}
