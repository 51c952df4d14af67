//! The client of the journal: writes and reads the records of a partition under one epoch.

use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use prost::Message;

use crate::ids::CONTROL_GROUP;
use crate::ids::Epoch;
use crate::ids::GroupId;
use crate::ids::PartitionId;
use crate::ids::ProgramId;
use crate::log_groups::ProposeError;
use crate::log_groups::ReplicatedLog;
use crate::programs::generated as wire;
use crate::programs::generated::answer::Verdict;
use crate::programs::generated::command::Command as WireCommand;
use crate::programs::record::Record;
use crate::programs::record::RecordError;
use crate::programs::state::Tree;

/// Why a journal command failed.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum JournalError {
    /// The partition is fenced at another epoch: a higher one, or a lower one if this epoch was not
    /// fenced.
    #[display("the partition is fenced at epoch {epoch}")]
    Stale {
        /// The epoch that the partition is fenced at.
        epoch: Epoch,
    },
    /// The command was not committed and never will be.
    #[display("the journal did not commit the command: {reason}")]
    NotCommitted {
        /// Why.
        reason: String,
    },
    /// The command may have been committed, or may be committed later.
    #[display("the journal may have committed the command: {reason}")]
    Unknown {
        /// Why the result is unknown.
        reason: String,
    },
    /// The journal's answer or content is invalid, or it refused the command as out of order.
    #[display("the journal is not valid: {reason}")]
    Invalid {
        /// What is wrong.
        reason: String,
    },
}

impl From<ProposeError> for JournalError {
    fn from(cause: ProposeError) -> Self {
        match cause {
            ProposeError::NotProposed { reason } => JournalError::NotCommitted { reason },
            ProposeError::Unknown { reason } => JournalError::Unknown { reason },
        }
    }
}

impl From<RecordError> for JournalError {
    fn from(cause: RecordError) -> Self {
        JournalError::Invalid { reason: cause.reason }
    }
}

/// Opens the journals of partitions, which are spread over the journal groups.
#[derive(Clone)]
pub struct Journals {
    log: Arc<dyn ReplicatedLog>,
    groups: u32,
}

/// The journal of one partition under one epoch.
#[derive(Clone)]
pub struct Journal {
    log: Arc<dyn ReplicatedLog>,
    group: GroupId,
    partition: PartitionId,
    epoch: Epoch,
}

impl Journals {
    /// Stores the journals in the groups 1 to `groups` of `log`.
    pub fn new(log: Arc<dyn ReplicatedLog>, groups: u32) -> Self {
        Self { log, groups: groups.max(1) }
    }

    /// Returns the journal of a partition under an epoch, without fencing it.
    pub fn open(&self, partition: PartitionId, epoch: Epoch) -> Journal {
        let group = group_of(partition, self.groups);
        Journal { log: self.log.clone(), group, partition, epoch }
    }

    /// Fences many partitions with one command per group and returns those without records.
    ///
    /// Omits partitions that are fenced at a higher epoch or whose group did not answer.
    pub async fn fence_empty(&self, held: &[(PartitionId, Epoch)]) -> Vec<(PartitionId, Epoch)> {
        let mut by_group: BTreeMap<GroupId, Vec<(PartitionId, Epoch)>> = BTreeMap::new();
        for (partition, epoch) in held {
            let group = group_of(*partition, self.groups);
            by_group.entry(group).or_default().push((*partition, *epoch));
        }
        let mut empty = Vec::new();
        for (group, held) in by_group {
            // The next sweep retries a group that did not answer.
            let Ok(answer) = self.fence_group(group, &held).await else {
                continue;
            };
            empty.extend(held.into_iter().filter(|(partition, _)| {
                let number = u32::from(partition.0);
                !answer.stale.contains(&number) && !answer.with_records.contains(&number)
            }));
        }
        empty
    }

    async fn fence_group(
        &self,
        group: GroupId,
        held: &[(PartitionId, Epoch)],
    ) -> Result<wire::Answer, JournalError> {
        let fence = |(partition, epoch): &(PartitionId, Epoch)| wire::Fence {
            partition: u32::from(partition.0),
            epoch: epoch.0,
        };
        let fences = held.iter().map(fence).collect();
        propose(&*self.log, group, WireCommand::FenceAll(wire::FenceAll { fences })).await
    }
}

/// Returns the log group that stores the journal of a partition.
pub fn group_of(partition: PartitionId, groups: u32) -> GroupId {
    GroupId(CONTROL_GROUP.0 + 1 + u32::from(partition.0) % groups)
}

impl Journal {
    /// Fences the partition: from now on the journal refuses commands of lower epochs.
    ///
    /// # Errors
    /// Fails as [`JournalError`] describes.
    pub async fn fence(&self) -> Result<(), JournalError> {
        let partition = u32::from(self.partition.0);
        let fence = wire::Fence { partition, epoch: self.epoch.0 };
        self.propose(WireCommand::Fence(fence)).await.map(drop)
    }

    /// Appends a record. Repeating it with the same sequence number has no effect.
    ///
    /// # Errors
    /// Fails as [`JournalError`] describes.
    pub async fn append(
        &self,
        root: &ProgramId,
        sequence: u64,
        record: Bytes,
    ) -> Result<(), JournalError> {
        let append = wire::Append { sequence, record, ..self.new_append(root) };
        self.propose(WireCommand::Append(append)).await.map(drop)
    }

    /// Removes all records of a tree.
    ///
    /// # Errors
    /// Fails as [`JournalError`] describes.
    pub async fn forget(&self, root: &ProgramId) -> Result<(), JournalError> {
        let append = wire::Append { forget: true, ..self.new_append(root) };
        self.propose(WireCommand::Append(append)).await.map(drop)
    }

    fn new_append(&self, root: &ProgramId) -> wire::Append {
        wire::Append {
            partition: u32::from(self.partition.0),
            epoch: self.epoch.0,
            root: root.to_string(),
            ..Default::default()
        }
    }

    /// Reads all trees of the partition, which must be fenced at this epoch.
    ///
    /// # Errors
    /// Fails as [`JournalError`] describes.
    pub async fn read(&self) -> Result<BTreeMap<ProgramId, Tree>, JournalError> {
        let mut trees: BTreeMap<ProgramId, Tree> = BTreeMap::new();
        let mut read = wire::Read {
            partition: u32::from(self.partition.0),
            epoch: self.epoch.0,
            ..Default::default()
        };
        loop {
            let answer = self.propose(WireCommand::Read(read.clone())).await?;
            if let Some(last) = answer.page.last() {
                read.after_root = last.root.clone();
                read.after_sequence = last.sequence;
            }
            for stored in answer.page {
                let root = ProgramId::try_from(stored.root).map_err(RecordError::from)?;
                let record = Record::decode(&stored.record)?;
                trees.entry(root).or_default().apply(Epoch(stored.epoch), record)?;
            }
            if !answer.more {
                return Ok(trees);
            }
        }
    }

    /// Reads one tree of the partition, which must be fenced at this epoch.
    ///
    /// # Errors
    /// Fails as [`JournalError`] describes.
    pub async fn read_tree(&self, root: &ProgramId) -> Result<Tree, JournalError> {
        let mut tree = Tree::default();
        loop {
            let read = wire::Read {
                partition: u32::from(self.partition.0),
                epoch: self.epoch.0,
                only_root: root.to_string(),
                from_sequence: tree.next_sequence,
                ..Default::default()
            };
            let answer = self.propose(WireCommand::Read(read)).await?;
            for stored in answer.page {
                tree.apply(Epoch(stored.epoch), Record::decode(&stored.record)?)?;
            }
            if !answer.more {
                return Ok(tree);
            }
        }
    }

    async fn propose(&self, command: WireCommand) -> Result<wire::Answer, JournalError> {
        propose(&*self.log, self.group, command).await
    }
}

async fn propose(
    log: &dyn ReplicatedLog,
    group: GroupId,
    command: WireCommand,
) -> Result<wire::Answer, JournalError> {
    let command = wire::Command { command: Some(command) }.encode_to_vec();
    let answer = log.propose(group, command.into()).await?;
    let answer = wire::Answer::decode(answer)
        .map_err(|cause| JournalError::Invalid { reason: cause.to_string() })?;
    match answer.verdict() {
        Verdict::Applied => Ok(answer),
        Verdict::StaleEpoch => Err(JournalError::Stale { epoch: Epoch(answer.epoch) }),
        Verdict::OutOfOrder | Verdict::Invalid => Err(JournalError::Invalid {
            reason: "the journal refused a command as invalid or out of order".to_owned(),
        }),
    }
}
