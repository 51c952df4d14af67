//! The cluster status that is reported to operators.

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

/// The cluster status: the control leader and all registered instances.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct StatusReport {
    /// The name of the control leader; `None` if it cannot be reached.
    pub leader: Option<String>,
    /// The leader's term; 0 if the leader cannot be reached.
    pub term: u64,
    /// The leader's fencing number; 0 if the leader cannot be reached.
    pub fencing_number: u64,
    /// The newest revision: the leader's or that of this instance's copy, whichever is higher.
    pub revision: u64,
    /// The registered instances.
    pub instances: Vec<InstanceStatus>,
}

impl StatusReport {
    /// Returns the status according to an instance's own copy, without the control leader's part.
    pub fn local(published: &Published) -> Self {
        report(published, None)
    }
}

/// One instance in a [`StatusReport`].
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct InstanceStatus {
    /// The name of the instance.
    pub name: String,
    /// The data centre in which the instance runs.
    pub data_centre: String,
    /// The address at which the instance accepts requests of callers.
    pub address: String,
    /// One of `alive`, `leaving`, `dead` and `unknown`.
    pub state: &'static str,
    /// The time at which the state began, in milliseconds since the Unix epoch.
    pub since_ms: u64,
    /// The number of times that the instance has registered; it registers at least once per start.
    pub incarnation: u64,
    /// The number of partitions of which the instance is the home.
    pub partitions: usize,
    /// The last reported applied revision; `None` if the leader has no report.
    pub applied_revision: Option<u64>,
    /// How long the instance has been behind the leader, in milliseconds; `None` if it is up to
    /// date.
    pub behind_ms: Option<u64>,
    /// The time since the last renewal of the lease, in milliseconds; `None` if the leader has no
    /// report.
    pub renewed_ms_ago: Option<u64>,
}

/// One accepted change in the history of an entry.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct HistoryItem {
    /// The revision that resulted from the change.
    pub revision: Revision,
    /// The `Change-Id` under which the change was sent.
    pub change_id: String,
    /// The operator who made the change.
    pub operator: String,
    /// The time of the change, in milliseconds since the Unix epoch.
    pub wall_ms: u64,
    /// The entry after the change; `None` if it was removed.
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

/// Reports the cluster status and the history of entries.
#[async_trait]
pub trait ClusterStatus: Send + Sync {
    /// Returns the cluster status, without the leader's part if the leader cannot be reached.
    async fn status(&self) -> StatusReport;

    /// Returns the recorded changes of an entry, oldest first.
    ///
    /// # Errors
    /// Fails if the control leader cannot be reached.
    async fn history(&self, entry: &EntryName) -> Result<Vec<HistoryItem>, Refusal>;

    /// Returns the registered instances according to this instance's copy of the control state.
    fn instances(&self) -> Vec<Arc<Instance>>;
}

/// Returns the refusal of a request that only the control leader can answer.
pub(super) fn leader_unreachable() -> Refusal {
    Refusal::not_run(ResultCode::NoQuorum, "the control leader cannot be reached")
}

/// Returns the refusal of a change that may have been accepted.
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

/// Combines an instance's copy of the control state with the leader's answer, if there is one.
pub(super) fn report(published: &Published, answer: Option<StatusAnswer>) -> StatusReport {
    let counts = published.table().counts();
    let leader = answer.as_ref().map(|answer| answer.leader.clone());
    let answer = answer.unwrap_or_default();
    let instances = published.instances().values().map(|instance| {
        let lag = answer.instances.iter().find(|lag| lag.name == instance.name.as_str());
        // `u64::MAX` means that the instance has not renewed in the leader's term.
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
