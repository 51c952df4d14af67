//! The section `[cluster]`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::InstanceName;
use crate::settings::instance::parse_millis;
use crate::settings::instance::parse_number;
use crate::settings::reader::Reader;

/// The cluster that an instance belongs to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClusterSettings {
    /// The cluster's name.
    pub name: String,
    /// The known peers and where this instance reaches them.
    pub peers: BTreeMap<InstanceName, SocketAddr>,
    /// The store instances that vote at first.
    pub voters: Vec<InstanceName>,
    /// The log groups that program journals are spread over.
    pub journal_groups: u32,
    /// After how long without a confirmed configuration new programs are refused.
    pub freshness_limit: Duration,
}

impl ClusterSettings {
    /// Returns the settings of a cluster of one instance.
    pub fn alone(cluster: &str, instance: InstanceName) -> Self {
        Self {
            name: cluster.to_owned(),
            peers: BTreeMap::new(),
            voters: vec![instance],
            journal_groups: 1,
            freshness_limit: Duration::from_secs(5),
        }
    }

    pub(super) fn read(reader: &mut Reader) -> Option<Self> {
        const SECTION: &str = "cluster";
        let name = reader.parse_required(SECTION, "name", parse_cluster_name);
        let peers = match reader.optional(SECTION, "peers") {
            Some(_) => reader.parse_required(SECTION, "peers", parse_peers),
            None => Some(BTreeMap::new()),
        };
        let voters = reader.parse_required(SECTION, "voters", parse_voters);
        let journal_groups =
            reader.parse_required(SECTION, "journal_groups", |raw| parse_number(raw, 1, 64));
        let freshness_limit = reader.parse_required(SECTION, "freshness_limit_ms", |raw| {
            parse_millis(raw, 1_000, 3_600_000)
        });
        Some(Self {
            name: name?,
            peers: peers?,
            voters: voters?,
            journal_groups: journal_groups? as u32,
            freshness_limit: freshness_limit?,
        })
    }
}

fn parse_cluster_name(raw: &str) -> Result<String, String> {
    // The rules of an instance's name serve for the cluster's.
    let name = InstanceName::try_from(raw).map_err(|cause| cause.to_string())?;
    Ok(name.to_string())
}

fn items(raw: &str) -> impl Iterator<Item = &str> {
    raw.split(',').map(str::trim).filter(|item| !item.is_empty())
}

fn parse_peers(raw: &str) -> Result<BTreeMap<InstanceName, SocketAddr>, String> {
    let mut peers = BTreeMap::new();
    for item in items(raw) {
        let (name, address) = item.rsplit_once('@').ok_or_else(|| format!("{item} has no @"))?;
        let name = InstanceName::try_from(name).map_err(|cause| format!("{item}: {cause}"))?;
        let address = address.parse().map_err(|cause| format!("{item}: {cause}"))?;
        if peers.insert(name, address).is_some() {
            return Err(format!("{item} is listed twice"));
        }
    }
    Ok(peers)
}

fn parse_voters(raw: &str) -> Result<Vec<InstanceName>, String> {
    let mut voters = Vec::new();
    for item in items(raw) {
        let voter = InstanceName::try_from(item).map_err(|cause| format!("{item}: {cause}"))?;
        if voters.contains(&voter) {
            return Err(format!("{item} is listed twice"));
        }
        voters.push(voter);
    }
    match voters.is_empty() {
        true => Err("names no voter".to_owned()),
        false => Ok(voters),
    }
}
