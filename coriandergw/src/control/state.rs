//! The control state, which is the state machine of group 0.

use std::collections::BTreeSet;

use bytes::Bytes;
use prost::Message;
use sha2::Digest;
use sha2::Sha256;

use crate::control::Published;
use crate::control::Replica;
use crate::control::answers::RecentAnswers;
use crate::control::command::accepted;
use crate::control::command::refused;
use crate::control::generated;
use crate::control::generated::HistoryRecord;
use crate::control::generated::InstanceState;
use crate::control::generated::command::Kind;
use crate::control::generated::delta;
use crate::control::history::Histories;
use crate::control::published::Instance;
use crate::control::published::entry_json;
use crate::control::published::parse_entry;
use crate::control::published::partition_id;
use crate::ids::EntryName;
use crate::ids::FencingNumber;
use crate::ids::InstanceName;
use crate::ids::Revision;
use crate::log_groups::RestoreError;
use crate::result_code::Refusal;
use crate::result_code::ResultCode;

/// The format of the snapshots that this version writes and reads.
const SNAPSHOT_FORMAT: u32 = 1;

/// The control state of a store instance, to which group 0 of the replicated log applies commands.
#[derive(Debug, Clone, Default)]
pub struct ControlState {
    replica: Replica,
    answers: RecentAnswers,
    histories: Histories,
    epoch: u64,
    fencing: u64,
    leader: generated::TakeControl,
    table_revision: u64,
}

type Outcome = Result<u64, Refusal>;

fn refuse<M>(code: ResultCode, message: M) -> Outcome
where
    M: Into<String>,
{
    Err(Refusal::not_run(code, message))
}

fn malformed<E>(cause: E) -> Refusal
where
    E: std::fmt::Display,
{
    Refusal::not_run(ResultCode::MalformedCommand, cause.to_string())
}

impl ControlState {
    /// Returns the distributed part of the state with its latest deltas.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Returns the distributed part of the state.
    pub fn published(&self) -> &Published {
        self.replica.published()
    }

    /// Returns the fencing number of the current control leader; 0 before the first one.
    pub fn fencing(&self) -> FencingNumber {
        FencingNumber(self.fencing)
    }

    /// Returns the name of the instance that last took control; empty before the first one.
    pub fn leader(&self) -> &str {
        &self.leader.instance
    }

    /// Returns the revision at which instances or partitions last changed.
    pub fn table_revision(&self) -> Revision {
        Revision(self.table_revision)
    }

    /// Returns the recorded changes of an entry, oldest first.
    pub fn history(&self, entry: &EntryName) -> &[HistoryRecord] {
        self.histories.records(entry.as_str())
    }

    /// Applies an encoded command and returns the encoded answer.
    pub fn apply(&mut self, command: &[u8]) -> Bytes {
        let kind = generated::Command::decode(command).ok().and_then(|command| command.kind);
        let outcome = match kind {
            Some(Kind::Change(change)) => return self.answer_change(change),
            Some(Kind::Register(register)) => self.register(register),
            Some(Kind::TakeControl(take)) => Ok(self.take_control(take)),
            Some(Kind::SetState(set)) => self.set_state(&set),
            Some(Kind::Reassign(reassign)) => self.reassign(reassign),
            Some(Kind::Forget(forget)) => self.forget(&forget),
            None => Err(malformed("the command could not be decoded")),
        };
        encode_outcome(&outcome)
    }

    /// Applies a change, or returns its first answer if it was applied before.
    fn answer_change(&mut self, change: generated::Change) -> Bytes {
        let fingerprint = fingerprint(&change);
        if let Some((first, answer)) = self.answers.find(&change.id) {
            if *first == fingerprint {
                return answer.clone();
            }
            let message = format!("change id {} was used for another change", change.id);
            return encode_outcome(&refuse(ResultCode::ChangeIdReused, message));
        }
        let id = change.id.clone();
        let answer = encode_outcome(&self.change(change));
        self.answers.insert(id, fingerprint, answer.clone());
        answer
    }

    fn change(&mut self, change: generated::Change) -> Outcome {
        let name = EntryName::try_from(change.entry.as_str()).map_err(malformed)?;
        self.check_revision(&name, &change)?;
        let new_entry = match change.entry_json.is_empty() {
            true => Bytes::new(),
            false => self.entry_with_revision(&change.entry_json, &name)?,
        };
        let delta_change = match new_entry.is_empty() {
            true => delta::Change::RemoveEntry(change.entry.clone()),
            false => delta::Change::PutEntry(new_entry.clone()),
        };
        let revision = self.advance(delta_change)?;
        let record = HistoryRecord {
            revision,
            change_id: change.id,
            operator: change.operator,
            wall_ms: change.wall_ms,
            entry_json: new_entry,
        };
        self.histories.add(&change.entry, record);
        Ok(revision)
    }

    /// Returns the entry of a change, with the revision that results from the change.
    fn entry_with_revision(&self, json: &[u8], name: &EntryName) -> Result<Bytes, Refusal> {
        let mut entry = parse_entry(json).map_err(malformed)?;
        if entry.name != *name {
            return Err(malformed(format!("entry {} in a change of {name}", entry.name)));
        }
        entry.revision = Revision(self.published().revision().0 + 1);
        Ok(entry_json(&entry).into())
    }

    fn check_revision(&self, name: &EntryName, change: &generated::Change) -> Result<(), Refusal> {
        let current = self.published().entries().get(name).map_or(0, |entry| entry.revision.0);
        if change.against != current {
            let winner = self.histories.records(name.as_str()).last();
            let winner = winner.map_or("an earlier change", |record| record.change_id.as_str());
            let message = format!(
                "entry {name} is at revision {current} by change {winner}, not at {}",
                change.against
            );
            return Err(Refusal::not_run(ResultCode::RevisionConflict, message));
        }
        if current == 0 && change.entry_json.is_empty() {
            let message = format!("no entry is named {name}");
            return Err(Refusal::not_run(ResultCode::UnknownEntry, message));
        }
        Ok(())
    }

    fn register(&mut self, register: generated::Register) -> Outcome {
        let name = InstanceName::try_from(register.name.as_str()).map_err(malformed)?;
        let known = self.published().instances().get(&name).cloned();
        if let Some(known) = &known
            && known.session == register.session
        {
            return Ok(known.incarnation);
        }
        let incarnation = known.as_ref().map_or(0, |known| known.incarnation) + 1;
        let raw = generated::Instance {
            index: known.map_or_else(|| self.published().free_index(), |known| known.index),
            name: register.name,
            data_centre: register.data_centre,
            caller_address: register.caller_address,
            peer_address: register.peer_address,
            state: InstanceState::Alive.into(),
            incarnation,
            registered_epoch: self.epoch,
            session: register.session,
            since_wall_ms: register.wall_ms,
        };
        self.advance_table(delta::Change::PutInstance(raw))?;
        Ok(incarnation)
    }

    fn take_control(&mut self, take: generated::TakeControl) -> u64 {
        if self.leader != take {
            self.fencing += 1;
            self.leader = take;
        }
        self.fencing
    }

    fn check_fencing(&self, fencing: u64) -> Result<(), Refusal> {
        if fencing == self.fencing {
            return Ok(());
        }
        let message = format!("fencing number {fencing} is not the current {}", self.fencing);
        Err(Refusal::not_run(ResultCode::StaleFencing, message))
    }

    fn instance(&self, name: &str) -> Result<Instance, Refusal> {
        let name = InstanceName::try_from(name).map_err(malformed)?;
        let known = self.published().instances().get(&name);
        known.map(|known| known.as_ref().clone()).ok_or_else(|| {
            let message = format!("no instance is named {name}");
            Refusal::not_run(ResultCode::UnknownInstance, message)
        })
    }

    fn set_state(&mut self, set: &generated::SetState) -> Outcome {
        self.check_fencing(set.fencing)?;
        let mut instance = self.instance(&set.name)?;
        if instance.incarnation != set.incarnation {
            let message = format!("{} runs as incarnation {}", set.name, instance.incarnation);
            return refuse(ResultCode::StaleIncarnation, message);
        }
        if instance.state == set.state() {
            return Ok(self.published().revision().0);
        }
        instance.state = set.state();
        instance.since_wall_ms = set.wall_ms;
        self.advance_table(delta::Change::PutInstance((&instance).into()))
    }

    fn reassign(&mut self, reassign: generated::Reassign) -> Outcome {
        self.check_fencing(reassign.fencing)?;
        if reassign.against != self.table_revision {
            let message = format!("the partition table is at revision {}", self.table_revision);
            return refuse(ResultCode::StaleTable, message);
        }
        self.check_moves(&reassign.moves)?;
        self.epoch += 1;
        let moves = generated::Moves { epoch: self.epoch, moves: reassign.moves };
        self.advance_table(delta::Change::Moves(moves))?;
        Ok(self.epoch)
    }

    fn check_moves(&self, moves: &[generated::Move]) -> Result<(), Refusal> {
        let mut seen = BTreeSet::new();
        for change in moves {
            if self.published().instance_at(change.holder).is_none() {
                let message = format!("no instance has index {}", change.holder);
                return Err(Refusal::not_run(ResultCode::UnknownInstance, message));
            }
            for raw in &change.partitions {
                if partition_id(*raw).is_none() || !seen.insert(*raw) {
                    return Err(malformed(format!("partition {raw} is unknown or assigned twice")));
                }
            }
        }
        Ok(())
    }

    fn forget(&mut self, forget: &generated::Forget) -> Outcome {
        self.check_fencing(forget.fencing)?;
        let instance = self.instance(&forget.name)?;
        let holds = self.published().table().held_by(instance.index).next().is_some();
        if holds || instance.state != InstanceState::Dead {
            let message = format!("instance {} is still in use", forget.name);
            return refuse(ResultCode::InstanceInUse, message);
        }
        self.advance_table(delta::Change::RemoveInstance(forget.name.clone()))
    }

    fn advance(&mut self, change: delta::Change) -> Outcome {
        self.replica.advance(change).map(|revision| revision.0).map_err(malformed)
    }

    fn advance_table(&mut self, change: delta::Change) -> Outcome {
        self.table_revision = self.advance(change)?;
        Ok(self.table_revision)
    }

    /// Encodes the whole state as a snapshot.
    pub fn snapshot(&self) -> Bytes {
        let snapshot = generated::Snapshot {
            published: Some(self.published().to_message()),
            epoch: self.epoch,
            fencing: self.fencing,
            leader: Some(self.leader.clone()),
            table_revision: self.table_revision,
            answers: self.answers.to_messages(),
            histories: self.histories.to_messages(),
            format: SNAPSHOT_FORMAT,
        };
        snapshot.encode_to_vec().into()
    }

    /// Restores the state from a snapshot.
    ///
    /// # Errors
    /// Fails if the snapshot cannot be decoded, has another format or contains a value that is out
    /// of range.
    pub fn restore(snapshot: &[u8]) -> Result<Self, RestoreError> {
        let restore_error = |reason: String| RestoreError { reason };
        let raw = generated::Snapshot::decode(snapshot)
            .map_err(|cause| restore_error(cause.to_string()))?;
        if raw.format != SNAPSHOT_FORMAT {
            return Err(restore_error(format!("unknown snapshot format {}", raw.format)));
        }
        let published = raw
            .published
            .ok_or_else(|| restore_error("the snapshot has no distributed state".to_owned()))?;
        let published =
            Published::try_from(published).map_err(|cause| restore_error(cause.to_string()))?;
        Ok(Self {
            replica: Replica::new(published),
            answers: RecentAnswers::from_messages(raw.answers),
            histories: Histories::from_messages(raw.histories),
            epoch: raw.epoch,
            fencing: raw.fencing,
            leader: raw.leader.unwrap_or_default(),
            table_revision: raw.table_revision,
        })
    }
}

fn encode_outcome(outcome: &Outcome) -> Bytes {
    match outcome {
        Ok(number) => accepted(*number),
        Err(refusal) => refused(refusal),
    }
}

/// Returns a hash of a change that does not depend on the time at which it was sent, so that a
/// resent change has the same fingerprint.
fn fingerprint(change: &generated::Change) -> Bytes {
    let asked = generated::Change { wall_ms: 0, ..change.clone() };
    Bytes::copy_from_slice(&Sha256::digest(asked.encode_to_vec()))
}
