//! Settings of an instance, read from an INI file.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use crate::http_server::CallerKeyFiles;
use crate::ids::DataCentre;
use crate::ids::InstanceName;
use crate::membership::Timing;
use crate::transport::tls::KeyFiles;

mod access;
mod cluster;
mod fault;
mod instance;
mod log;
mod membership;
mod options;
mod programs;
mod reader;
mod tls;

pub use access::AccessSettings;
pub use cluster::ClusterSettings;
pub use fault::Fault;
pub use fault::SettingsError;
pub use instance::InstanceSettings;
pub use log::LogFormat;
pub use log::LogSettings;
pub use options::OPTIONS;
pub use options::OptionSpec;
pub use programs::ProgramSettings;

use reader::Reader;

/// The address that `coriandergw dev` listens on unless told otherwise.
pub const DEV_LISTEN: &str = "127.0.0.1:7400";

/// The checked settings of one instance.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Who the instance is and where it is reached.
    pub instance: InstanceSettings,
    /// The cluster that it belongs to.
    pub cluster: ClusterSettings,
    /// What is kept of programs.
    pub programs: ProgramSettings,
    /// How instances probe each other.
    pub membership: Timing,
    /// The data folder; present on store instances only.
    pub data: Option<PathBuf>,
    /// The keys for TLS between instances; absent for `dev` only.
    pub keys: Option<KeyFiles>,
    /// The keys towards callers; none serves plain HTTP.
    pub caller_keys: Option<CallerKeyFiles>,
    /// What callers and operators must show.
    pub access: AccessSettings,
    /// How events are logged.
    pub log: LogSettings,
}

impl Settings {
    /// Reads and checks a file. Paths in it are relative to its folder.
    ///
    /// # Errors
    /// Fails if the file cannot be read, or with all its faults.
    pub fn load(file: &Path) -> Result<Self, SettingsError> {
        let text =
            std::fs::read_to_string(file).map_err(|cause| SettingsError::Unreadable { cause })?;
        let folder = file.parent().unwrap_or(Path::new("."));
        Self::parse(&text, folder).map_err(|faults| SettingsError::Faults { faults })
    }

    /// Checks a text whose paths are relative to `folder`.
    ///
    /// # Errors
    /// Fails with all faults of the text.
    pub fn parse(text: &str, folder: &Path) -> Result<Self, Vec<Fault>> {
        let mut reader = Reader::new(text);
        let instance = InstanceSettings::read(&mut reader);
        let cluster = ClusterSettings::read(&mut reader);
        let programs = ProgramSettings::read(&mut reader);
        let membership = membership::read(&mut reader);
        let data = reader.optional("storage", "data").map(|data| folder.join(data));
        let keys = tls::read(&mut reader, folder);
        let caller_keys = tls::read_caller(&mut reader, folder);
        let access = AccessSettings::read(&mut reader);
        let log = LogSettings::read(&mut reader);
        if let (Some(instance), Some(cluster)) = (&instance, &cluster) {
            check_together(&mut reader, instance, cluster, data.is_some());
            access::check_exposure(&mut reader, &access, instance.listen);
        }
        let faults = reader.into_faults();
        match (instance, cluster, keys) {
            (Some(instance), Some(cluster), Some(keys)) if faults.is_empty() => {
                let keys = Some(keys);
                Ok(Self {
                    instance,
                    cluster,
                    programs,
                    membership,
                    data,
                    keys,
                    caller_keys,
                    access,
                    log,
                })
            }
            _ => Err(faults),
        }
    }

    /// Returns the settings of `coriandergw dev`: one instance, nothing on disk, no keys.
    pub fn dev(listen: SocketAddr) -> Self {
        let name = InstanceName::try_from("dev").expect("a valid name");
        let data_centre = DataCentre::try_from("local").expect("a valid name");
        Self {
            instance: InstanceSettings::new(name.clone(), data_centre, listen),
            cluster: ClusterSettings::alone("dev", name),
            programs: ProgramSettings::default(),
            membership: Timing::default(),
            data: None,
            keys: None,
            caller_keys: None,
            access: AccessSettings::default(),
            log: LogSettings::default(),
        }
    }
}

/// Checks what concerns more than one section.
fn check_together(
    reader: &mut Reader,
    instance: &InstanceSettings,
    cluster: &ClusterSettings,
    has_data: bool,
) {
    let is_voter = cluster.voters.contains(&instance.name);
    if is_voter && !has_data {
        reader.fault("storage", "data", "is missing, and this instance is a voter");
    }
    for voter in &cluster.voters {
        if *voter != instance.name && !cluster.peers.contains_key(voter) {
            reader.fault("cluster", "voters", format!("voter {voter} is not among the peers"));
        }
    }
}

#[cfg(test)]
mod tests;
