//! The state of the cluster as operators are told of it.

use std::sync::Arc;

use async_trait::async_trait;
use serde::Serialize;

use crate::catalogue::RawEntry;
use crate::control::HistoryRecord;
use crate::control::Instance;
use crate::control::InstanceState;
use crate::control::Published;
use crate::ids::ChangeId;
use crate::ids::EntryName;
use crate::ids::Revision;
use crate::leases::generated::StatusAnswer;
use crate::result_code::Refusal;
use crate::result_code::ResultCode;

/// The state of the cluster.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct StatusReport {
    /// The control leader; none where it cannot be reached.
    pub leader: Option<String>,
    /// The leader's term.
    pub term: u64,
    /// The leader's fencing number.
    pub fencing_number: u64,
    /// The newest revision.
    pub revision: u64,
    /// The registered instances.
    pub instances: Vec<InstanceStatus>,
}

impl StatusReport {
    /// Returns what an instance knows without asking the control leader.
    pub fn local(published: &Published) -> Self {
        report(published, None)
    }
}

/// One instance in a [`StatusReport`].
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct InstanceStatus {
    /// The name.
    pub name: String,
    /// The data centre.
    pub data_centre: String,
    /// Where it answers callers.
    pub address: String,
    /// Whether it is alive, leaving or dead.
    pub state: &'static str,
    /// Since when, in milliseconds since the Unix epoch.
    pub since_ms: u64,
    /// Counts its starts.
    pub incarnation: u64,
    /// The partitions that it is the home of.
    pub partitions: usize,
    /// The applied revision as last reported; none where the leader has no report.
    pub applied_revision: Option<u64>,
    /// How long it has been behind, in milliseconds; none where it is not.
    pub behind_ms: Option<u64>,
    /// How long ago it last renewed its lease, in milliseconds.
    pub renewed_ms_ago: Option<u64>,
}

/// One accepted change of an entry as operators are told of it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct HistoryItem {
    /// The revision that the change led to.
    pub revision: Revision,
    /// The change.
    pub change_id: String,
    /// Who asked for it.
    pub operator: String,
    /// When, in milliseconds since the Unix epoch.
    pub wall_ms: u64,
    /// The entry as it was put; none where it was removed.
    pub entry: Option<RawEntry>,
}

impl From<&HistoryRecord> for HistoryItem {
    fn from(record: &HistoryRecord) -> Self {
        Self {
            revision: Revision(record.revision),
            change_id: record.change_id.clone(),
            operator: record.operator.clone(),
            wall_ms: record.wall_ms,
            entry: serde_json::from_slice(&record.entry_json).ok(),
        }
    }
}

/// Tells operators about the cluster.
#[async_trait]
pub trait ClusterStatus: Send + Sync {
    /// Returns the state of the cluster, without the leader's part where that cannot be reached.
    async fn status(&self) -> StatusReport;

    /// Returns the accepted changes of an entry, the oldest first.
    ///
    /// # Errors
    /// Refuses where the control leader cannot be reached.
    async fn history(&self, entry: &EntryName) -> Result<Vec<HistoryItem>, Refusal>;

    /// Returns the registered instances as this one knows them.
    fn instances(&self) -> Vec<Arc<Instance>>;
}

/// Returns the refusal for what only the control leader can tell.
pub(super) fn no_leader() -> Refusal {
    Refusal::not_run(ResultCode::NoQuorum, "the control leader cannot be reached")
}

/// Returns the refusal of a change whose fate is not known.
pub(super) fn outcome_unknown(change: &ChangeId) -> Refusal {
    let message =
        format!("change {change} may be accepted now or later; resend it under the same Change-Id");
    Refusal::may_have_run(ResultCode::NoQuorum, message)
}

fn state_name(state: InstanceState) -> &'static str {
    match state {
        InstanceState::Alive => "alive",
        InstanceState::Leaving => "leaving",
        InstanceState::Dead => "dead",
        InstanceState::Unspecified => "unknown",
    }
}

/// Joins what this instance knows with the leader's answer.
pub(super) fn report(published: &Published, answer: Option<StatusAnswer>) -> StatusReport {
    let counts = published.table().counts();
    let leader = answer.as_ref().map(|answer| answer.leader.clone());
    let answer = answer.unwrap_or_default();
    let instances = published.instances().values().map(|instance| {
        let lag = answer.instances.iter().find(|lag| lag.name == instance.name.as_str());
        let lag = lag.filter(|lag| lag.renewed_ms_ago != u64::MAX);
        InstanceStatus {
            name: instance.name.to_string(),
            data_centre: instance.data_centre.to_string(),
            address: instance.caller_address.to_string(),
            state: state_name(instance.state),
            since_ms: instance.since_wall_ms,
            incarnation: instance.incarnation,
            partitions: counts.get(&instance.index).copied().unwrap_or(0),
            applied_revision: lag.map(|lag| lag.revision),
            behind_ms: lag.map(|lag| lag.behind_ms).filter(|millis| *millis > 0),
            renewed_ms_ago: lag.map(|lag| lag.renewed_ms_ago),
        }
    });
    StatusReport {
        leader,
        term: answer.term,
        fencing_number: answer.fencing,
        revision: answer.revision.max(published.revision().0),
        instances: instances.collect(),
    }
}
