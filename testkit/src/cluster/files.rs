//! Writes the settings and keys of a cluster.

use std::fmt::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use coriandergw::clock::Clock;
use coriandergw::clock::SystemClock;
use coriandergw::ids::InstanceName;
use coriandergw::keys::KeyPem;
use coriandergw::keys::make_authority;
use coriandergw::keys::make_certificate;
use sha2::Digest;
use sha2::Sha256;

/// The cluster's name.
const CLUSTER: &str = "test";

/// The operator key of every test cluster.
pub const OPERATOR_KEY: &str = "test-operator-key";

/// What one settings file says.
#[derive(Debug, Clone)]
pub struct InstanceFile {
    /// The instance's name.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
    /// The address that callers are told.
    pub advertise: SocketAddr,
    /// Where it reaches the others.
    pub peers: Vec<(String, SocketAddr)>,
    /// Those that vote.
    pub voters: Vec<String>,
    /// Whether it has a data folder.
    pub has_data: bool,
    /// The longest time that callers keep an address answer, in milliseconds.
    pub addresses_ttl_ms: u64,
    /// How long a shutdown waits, in milliseconds.
    pub drain_limit_ms: u64,
    /// Further lines, by section.
    pub extra: Vec<(String, String)>,
}

/// Returns the data folder of an instance.
pub fn data_folder(folder: &Path, name: &str) -> PathBuf {
    folder.join(format!("{name}-data"))
}

/// Returns the log file of an instance.
pub fn log_file(folder: &Path, name: &str) -> PathBuf {
    folder.join(format!("{name}.log"))
}

/// Writes the settings of an instance and returns the file.
pub fn write_settings(folder: &Path, instance: &InstanceFile) -> PathBuf {
    let file = folder.join(format!("{}.ini", instance.name));
    std::fs::write(&file, settings_text(folder, instance)).expect("settings can be written");
    file
}

fn settings_text(folder: &Path, instance: &InstanceFile) -> String {
    let peers: Vec<String> =
        instance.peers.iter().map(|(name, address)| format!("{name}@{address}")).collect();
    let mut sections = vec![
        ("instance", format!("name = {}", instance.name)),
        ("instance", format!("data_centre = {}", instance.data_centre)),
        ("instance", "listen = 127.0.0.1:0".to_owned()),
        ("instance", format!("advertise = {}", instance.advertise)),
        ("instance", "peer_listen = 127.0.0.1:0".to_owned()),
        ("instance", format!("drain_limit_ms = {}", instance.drain_limit_ms)),
        ("instance", format!("addresses_ttl_ms = {}", instance.addresses_ttl_ms)),
        ("cluster", format!("name = {CLUSTER}")),
        ("cluster", format!("voters = {}", instance.voters.join(", "))),
        ("tls", "authority = authority.pem".to_owned()),
        ("tls", format!("certificate = {}.pem", instance.name)),
        ("tls", format!("key = {}.key", instance.name)),
        ("access", format!("operator_key_digest = {}", digest(OPERATOR_KEY))),
        ("access", "require_account_key = false".to_owned()),
    ];
    if !peers.is_empty() {
        sections.push(("cluster", format!("peers = {}", peers.join(", "))));
    }
    if instance.has_data {
        let data = data_folder(folder, &instance.name);
        sections.push(("storage", format!("data = {}", data.display())));
    }
    let extra = instance.extra.iter().map(|(section, line)| (section.as_str(), line.clone()));
    sections.extend(extra);
    let mut text = String::new();
    let mut names: Vec<&str> = sections.iter().map(|(section, _)| *section).collect();
    names.dedup();
    names.sort_unstable();
    names.dedup();
    for name in names {
        let _ = writeln!(text, "[{name}]");
        for (_, line) in sections.iter().filter(|(section, _)| *section == name) {
            let _ = writeln!(text, "{line}");
        }
    }
    text
}

/// Returns the SHA-256 digest of a key in hexadecimal.
pub fn digest(key: &str) -> String {
    hex::encode(Sha256::digest(key.as_bytes()))
}

/// Writes the authority's certificate and a certificate and key for each instance.
pub fn write_keys(folder: &Path, names: &[String]) {
    let now = SystemClock::default().wall();
    let authority = make_authority(CLUSTER, now).expect("an authority can be made");
    write_pair(folder, "authority", &authority);
    for name in names {
        let instance = InstanceName::try_from(name.as_str()).expect("a valid name");
        let pem = make_certificate(CLUSTER, &authority.key, &instance, now).expect("a certificate");
        write_pair(folder, name, &pem);
    }
}

fn write_pair(folder: &Path, name: &str, pem: &KeyPem) {
    let write = |extension: &str, text: &str| {
        let file = folder.join(format!("{name}.{extension}"));
        std::fs::write(file, text).expect("keys can be written");
    };
    write("pem", &pem.certificate);
    write("key", &pem.key);
}
