//! An unreplicated log within one process, for `coriandergw dev` and for tests.

use std::collections::BTreeMap;
use std::sync::Mutex;

use async_trait::async_trait;
use bytes::Bytes;

use crate::ids::GroupId;
use crate::ids::InstanceName;
use crate::log_groups::ProposeError;
use crate::log_groups::ReplicatedLog;
use crate::log_groups::StateMachine;

/// Applies each command immediately, without replication or storage.
pub struct LocalLog {
    name: InstanceName,
    groups: Mutex<BTreeMap<GroupId, LocalGroup>>,
}

struct LocalGroup {
    machine: Box<dyn StateMachine>,
    applied: u64,
}

impl LocalLog {
    /// Creates a log with the given groups and their state machines.
    pub fn new<I>(name: InstanceName, machines: I) -> Self
    where
        I: IntoIterator<Item = (GroupId, Box<dyn StateMachine>)>,
    {
        let groups = machines
            .into_iter()
            .map(|(group, machine)| (group, LocalGroup { machine, applied: 0 }))
            .collect();
        Self { name, groups: Mutex::new(groups) }
    }
}

#[async_trait]
impl ReplicatedLog for LocalLog {
    async fn propose(&self, group: GroupId, command: Bytes) -> Result<Bytes, ProposeError> {
        let mut groups = self.groups.lock().expect("not poisoned");
        let state = groups.get_mut(&group).ok_or_else(|| ProposeError::NotProposed {
            reason: format!("there is no group {group}"),
        })?;
        state.applied += 1;
        Ok(state.machine.apply(state.applied, &command))
    }

    fn leader(&self, _group: GroupId) -> Option<InstanceName> {
        Some(self.name.clone())
    }
}
