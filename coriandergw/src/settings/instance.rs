//! The section `[instance]`.

use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::DataCentre;
use crate::ids::InstanceName;
use crate::settings::reader::Reader;

/// The longest instance name in bytes: the limit of a common name in a certificate.
const NAME_MAX_BYTES: usize = 64;

/// Who an instance is and where it is reached.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InstanceSettings {
    /// The name, unique in the cluster.
    pub name: InstanceName,
    /// The data centre.
    pub data_centre: DataCentre,
    /// Where callers, endpoints and operators connect.
    pub listen: SocketAddr,
    /// The address that callers are told; none stands for the address that is listened on.
    pub advertise: Option<SocketAddr>,
    /// Where other instances connect.
    pub peer_listen: SocketAddr,
    /// How long a shutdown waits for running requests.
    pub drain_limit: Duration,
    /// How long callers may keep an answer with addresses.
    pub addresses_ttl: Duration,
}

impl InstanceSettings {
    /// Returns the settings of an instance with defaults for the rest.
    pub fn new(name: InstanceName, data_centre: DataCentre, listen: SocketAddr) -> Self {
        Self {
            name,
            data_centre,
            listen,
            advertise: None,
            peer_listen: SocketAddr::new(listen.ip(), 0),
            drain_limit: Duration::from_secs(60),
            addresses_ttl: Duration::from_secs(10),
        }
    }

    pub(super) fn read(reader: &mut Reader) -> Option<Self> {
        const SECTION: &str = "instance";
        let name = reader.parse_required(SECTION, "name", parse_name);
        let data_centre =
            reader.parse_required(SECTION, "data_centre", |raw| DataCentre::try_from(raw));
        let listen = reader.parse_required(SECTION, "listen", str::parse::<SocketAddr>);
        let advertise = reader.parse_optional(SECTION, "advertise", str::parse::<SocketAddr>);
        let peer_listen = reader.parse_required(SECTION, "peer_listen", str::parse::<SocketAddr>);
        let drain_limit = reader
            .parse_required(SECTION, "drain_limit_ms", |raw| parse_millis(raw, 1, 86_400_000));
        let addresses_ttl = reader
            .parse_required(SECTION, "addresses_ttl_ms", |raw| parse_millis(raw, 100, 3_600_000));
        Some(Self {
            name: name?,
            data_centre: data_centre?,
            listen: listen?,
            advertise,
            peer_listen: peer_listen?,
            drain_limit: drain_limit?,
            addresses_ttl: addresses_ttl?,
        })
    }
}

fn parse_name(raw: &str) -> Result<InstanceName, String> {
    if raw.len() > NAME_MAX_BYTES {
        return Err(format!("has {} bytes", raw.len()));
    }
    InstanceName::try_from(raw).map_err(|cause| cause.to_string())
}

/// Parses a duration in milliseconds within a range.
pub(super) fn parse_millis(raw: &str, least: u64, most: u64) -> Result<Duration, String> {
    parse_number(raw, least, most).map(Duration::from_millis)
}

/// Parses a whole number within a range.
pub(super) fn parse_number(raw: &str, least: u64, most: u64) -> Result<u64, String> {
    let number: u64 = raw.parse().map_err(|_| "is not a whole number".to_owned())?;
    match (least..=most).contains(&number) {
        true => Ok(number),
        false => Err("is out of range".to_owned()),
    }
}
