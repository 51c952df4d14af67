//! The distributed part of the control state, which every instance has a copy of.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use derive_more::Display;
use derive_more::Error;
use prost::Message;
use sha2::Digest;
use sha2::Sha256;

use crate::catalogue::Entry;
use crate::catalogue::RawEntry;
use crate::control::generated;
use crate::control::generated::InstanceState;
use crate::control::generated::delta::Change;
use crate::control::table::PartitionAssignment;
use crate::control::table::PartitionTable;
use crate::ids::DataCentre;
use crate::ids::EntryName;
use crate::ids::Epoch;
use crate::ids::InstanceName;
use crate::ids::PARTITION_COUNT;
use crate::ids::PartitionId;
use crate::ids::Revision;

/// A registered instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Instance {
    /// The number, greater than 0, by which the partition table refers to the instance.
    pub index: u32,
    /// The name of the instance.
    pub name: InstanceName,
    /// The data centre in which the instance runs.
    pub data_centre: DataCentre,
    /// The address at which the instance accepts requests of callers.
    pub caller_address: SocketAddr,
    /// The address at which the instance accepts messages of other instances.
    pub peer_address: SocketAddr,
    /// Whether the instance is alive, leaving or dead.
    pub state: InstanceState,
    /// The number of times that the instance has registered; it registers at least once per start.
    pub incarnation: u64,
    /// The latest epoch at the time of the registration. Assignments of this or an earlier epoch
    /// belong to an earlier incarnation.
    pub registered_epoch: Epoch,
    /// A random number that the instance chooses for each registration. It
    /// distinguishes a repeated command from a new registration.
    pub session: u64,
    /// The time at which `state` began, in milliseconds since the Unix epoch, by the wall clock of
    /// the instance that proposed it.
    pub since_wall_ms: u64,
}

/// An error in a delta or a full state.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum PublishedError {
    /// A message could not be decoded or contains a value that is out of range.
    #[display("malformed state: {reason}")]
    Malformed {
        /// A description of the error.
        reason: String,
    },
    /// The delta does not follow the applied revision.
    #[display("a delta to revision {delta} does not follow revision {applied}")]
    Gap {
        /// The revision that the delta leads to.
        delta: Revision,
        /// The applied revision.
        applied: Revision,
    },
    /// The digest after the delta differs from the sender's.
    #[display("the digest of revision {revision} differs")]
    DigestMismatch {
        /// The revision at which the states differ.
        revision: Revision,
    },
}

fn malformed<E>(cause: E) -> PublishedError
where
    E: std::fmt::Display,
{
    PublishedError::Malformed { reason: cause.to_string() }
}

impl TryFrom<generated::Instance> for Instance {
    type Error = PublishedError;

    fn try_from(raw: generated::Instance) -> Result<Self, PublishedError> {
        if raw.index == 0 {
            return Err(malformed("instance index is 0"));
        }
        Ok(Self {
            index: raw.index,
            state: raw.state(),
            name: InstanceName::try_from(raw.name).map_err(malformed)?,
            data_centre: DataCentre::try_from(raw.data_centre).map_err(malformed)?,
            caller_address: raw.caller_address.parse().map_err(malformed)?,
            peer_address: raw.peer_address.parse().map_err(malformed)?,
            incarnation: raw.incarnation,
            registered_epoch: Epoch(raw.registered_epoch),
            session: raw.session,
            since_wall_ms: raw.since_wall_ms,
        })
    }
}

impl From<&Instance> for generated::Instance {
    fn from(instance: &Instance) -> Self {
        Self {
            index: instance.index,
            name: instance.name.to_string(),
            data_centre: instance.data_centre.to_string(),
            caller_address: instance.caller_address.to_string(),
            peer_address: instance.peer_address.to_string(),
            state: instance.state.into(),
            incarnation: instance.incarnation,
            registered_epoch: instance.registered_epoch.0,
            session: instance.session,
            since_wall_ms: instance.since_wall_ms,
        }
    }
}

impl Instance {
    /// Returns whether an assignment is to the current incarnation of this instance.
    pub fn holds(&self, assignment: PartitionAssignment) -> bool {
        assignment.holder == self.index && assignment.epoch > self.registered_epoch
    }
}

/// Parses an entry from the JSON form that operators write.
pub(super) fn parse_entry(json: &[u8]) -> Result<Entry, PublishedError> {
    let raw: RawEntry = serde_json::from_slice(json).map_err(malformed)?;
    Entry::try_from(raw).map_err(malformed)
}

/// Returns an entry in the JSON form that operators write.
pub(super) fn entry_json(entry: &Entry) -> Vec<u8> {
    serde_json::to_vec(&RawEntry::from(entry)).unwrap_or_default()
}

/// The distributed part of the control state.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Published {
    revision: Revision,
    entries: BTreeMap<EntryName, Arc<Entry>>,
    instances: BTreeMap<InstanceName, Arc<Instance>>,
    by_index: BTreeMap<u32, Arc<Instance>>,
    table: PartitionTable,
    digest: u64,
}

impl Published {
    /// Returns the revision of the last applied delta.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the digest of the state: the wrapping sum of the hashes of its parts.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the catalogue entries, ordered by name.
    pub fn entries(&self) -> &BTreeMap<EntryName, Arc<Entry>> {
        &self.entries
    }

    /// Returns the registered instances, ordered by name; dead ones are included.
    pub fn instances(&self) -> &BTreeMap<InstanceName, Arc<Instance>> {
        &self.instances
    }

    /// Returns the instance with this index in the partition table.
    pub fn instance_at(&self, index: u32) -> Option<&Arc<Instance>> {
        self.by_index.get(&index)
    }

    /// Returns the partition table.
    pub fn table(&self) -> &PartitionTable {
        &self.table
    }

    /// Returns the lowest index that is not in use.
    pub fn free_index(&self) -> u32 {
        (1..).find(|index| !self.by_index.contains_key(index)).unwrap_or(u32::MAX)
    }

    /// Applies a delta that follows the applied revision and checks the digest after it.
    ///
    /// # Errors
    /// Fails if the delta is malformed, does not follow the applied revision or leads to a state
    /// other than the sender's. After a digest mismatch the state must be replaced by a full one.
    pub fn apply(&mut self, delta: &generated::Delta) -> Result<(), PublishedError> {
        let revision = Revision(delta.revision);
        if delta.revision != self.revision.0 + 1 {
            return Err(PublishedError::Gap { delta: revision, applied: self.revision });
        }
        self.advance(delta)?;
        match self.digest == delta.digest {
            true => Ok(()),
            false => Err(PublishedError::DigestMismatch { revision }),
        }
    }

    /// Applies a delta without checking its revision and digest.
    pub(super) fn advance(&mut self, delta: &generated::Delta) -> Result<(), PublishedError> {
        match &delta.change {
            Some(Change::PutEntry(json)) => self.put_entry(parse_entry(json)?),
            Some(Change::RemoveEntry(name)) => {
                self.remove_entry(&EntryName::try_from(name.as_str()).map_err(malformed)?);
            }
            Some(Change::PutInstance(raw)) => self.put_instance(Instance::try_from(raw.clone())?),
            Some(Change::RemoveInstance(name)) => {
                self.remove_instance(&InstanceName::try_from(name.as_str()).map_err(malformed)?);
            }
            Some(Change::Moves(moves)) => self.move_partitions(moves),
            None => return Err(malformed("unknown kind of delta")),
        }
        self.revision = Revision(delta.revision);
        Ok(())
    }

    fn put_entry(&mut self, entry: Entry) {
        self.add(hash_entry(&entry));
        let name = entry.name.clone();
        if let Some(earlier) = self.entries.insert(name, Arc::new(entry)) {
            self.subtract(hash_entry(&earlier));
        }
    }

    fn remove_entry(&mut self, name: &EntryName) {
        if let Some(earlier) = self.entries.remove(name) {
            self.subtract(hash_entry(&earlier));
        }
    }

    fn put_instance(&mut self, instance: Instance) {
        self.remove_instance(&instance.name);
        self.add(hash_instance(&instance));
        let instance = Arc::new(instance);
        self.by_index.insert(instance.index, instance.clone());
        self.instances.insert(instance.name.clone(), instance);
    }

    fn remove_instance(&mut self, name: &InstanceName) {
        if let Some(earlier) = self.instances.remove(name) {
            self.by_index.remove(&earlier.index);
            self.subtract(hash_instance(&earlier));
        }
    }

    fn move_partitions(&mut self, moves: &generated::Moves) {
        for change in &moves.moves {
            let assignment =
                PartitionAssignment { holder: change.holder, epoch: Epoch(moves.epoch) };
            for partition in change.partitions.iter().filter_map(|raw| partition_id(*raw)) {
                self.put_assignment(partition, assignment);
            }
        }
    }

    fn put_assignment(&mut self, partition: PartitionId, assignment: PartitionAssignment) {
        let earlier = self.table.set(partition, assignment);
        self.subtract(hash_assignment(partition, earlier));
        self.add(hash_assignment(partition, assignment));
    }

    fn add(&mut self, hash: u64) {
        self.digest = self.digest.wrapping_add(hash);
    }

    fn subtract(&mut self, hash: u64) {
        self.digest = self.digest.wrapping_sub(hash);
    }

    /// Converts the state to a message.
    pub(super) fn to_message(&self) -> generated::Published {
        let newest = self.table.iter().map(|(_, assignment)| assignment.epoch.0).max().unwrap_or(0);
        generated::Published {
            revision: self.revision.0,
            entries: self.entries.values().map(|entry| entry_json(entry).into()).collect(),
            instances: self.instances.values().map(|instance| instance.as_ref().into()).collect(),
            holders: self.table.iter().map(|(_, assignment)| assignment.holder).collect(),
            newest_epoch: newest,
            epoch_ages: self
                .table
                .iter()
                .map(|(_, assignment)| newest - assignment.epoch.0)
                .collect(),
        }
    }

    /// Encodes the state for [`Published::decode`].
    pub fn encode(&self) -> Vec<u8> {
        self.to_message().encode_to_vec()
    }

    /// Decodes a full state.
    ///
    /// # Errors
    /// Fails if the message cannot be decoded or contains a value that is out of range.
    pub fn decode(bytes: &[u8]) -> Result<Self, PublishedError> {
        generated::Published::decode(bytes).map_err(malformed)?.try_into()
    }
}

impl TryFrom<generated::Published> for Published {
    type Error = PublishedError;

    fn try_from(raw: generated::Published) -> Result<Self, PublishedError> {
        let partitions = usize::from(PARTITION_COUNT);
        if raw.holders.len() != partitions || raw.epoch_ages.len() != partitions {
            return Err(malformed("the partition table is incomplete"));
        }
        let mut published = Self { revision: Revision(raw.revision), ..Self::default() };
        for json in &raw.entries {
            published.put_entry(parse_entry(json)?);
        }
        for instance in raw.instances {
            published.put_instance(Instance::try_from(instance)?);
        }
        let rows = raw.holders.iter().zip(&raw.epoch_ages);
        for (index, (holder, age)) in rows.enumerate() {
            let epoch = raw.newest_epoch.checked_sub(*age);
            let epoch = Epoch(epoch.ok_or_else(|| malformed("partition epoch is negative"))?);
            published.put_assignment(
                PartitionId(index as u16),
                PartitionAssignment { holder: *holder, epoch },
            );
        }
        Ok(published)
    }
}

/// Returns the partition with this number, or `None` if it is out of range.
pub(super) fn partition_id(raw: u32) -> Option<PartitionId> {
    let id = u16::try_from(raw).ok()?;
    (id < PARTITION_COUNT).then_some(PartitionId(id))
}

fn short_hash(kind: u8, bytes: &[u8]) -> u64 {
    let full = Sha256::new().chain_update([kind]).chain_update(bytes).finalize();
    full.iter().take(8).fold(0, |hash, byte| (hash << 8) | u64::from(*byte))
}

fn hash_entry(entry: &Entry) -> u64 {
    short_hash(1, &entry_json(entry))
}

fn hash_instance(instance: &Instance) -> u64 {
    short_hash(2, &generated::Instance::from(instance).encode_to_vec())
}

fn hash_assignment(partition: PartitionId, assignment: PartitionAssignment) -> u64 {
    if assignment == PartitionAssignment::default() {
        return 0;
    }
    let mut bytes = [0; 14];
    bytes[..2].copy_from_slice(&partition.0.to_be_bytes());
    bytes[2..6].copy_from_slice(&assignment.holder.to_be_bytes());
    bytes[6..].copy_from_slice(&assignment.epoch.0.to_be_bytes());
    short_hash(3, &bytes)
}
