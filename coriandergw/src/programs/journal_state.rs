//! The state machine of a journal group: the records of each partition and its highest epoch.
//!
//! Replicas store records as opaque bytes. The cost of a turn therefore depends only on the record
//! that it adds, and replicas of different software versions keep identical state.

use std::collections::BTreeMap;

use bytes::Bytes;
use prost::Message;

use crate::log_groups::RestoreError;
use crate::log_groups::StateMachine;
use crate::programs::generated as wire;
use crate::programs::generated::answer::Verdict;
use crate::programs::generated::command::Command as WireCommand;

/// The most bytes of records in a page of a read. A larger record gets a page of its own.
const PAGE_BYTES: usize = 1024 * 1024;

/// The journals of the partitions of one group.
#[derive(Debug, Default)]
pub struct JournalState {
    partitions: BTreeMap<u32, PartitionJournal>,
}

#[derive(Debug, Default)]
struct PartitionJournal {
    epoch: u64,
    trees: BTreeMap<String, Vec<StoredRecord>>,
}

#[derive(Debug, Clone)]
struct StoredRecord {
    epoch: u64,
    bytes: Bytes,
}

impl JournalState {
    /// Returns the total size of all stored records in bytes.
    pub fn record_bytes(&self) -> usize {
        let trees = self.partitions.values().flat_map(|partition| partition.trees.values());
        trees.flatten().map(|record| record.bytes.len()).sum()
    }

    fn answer(&mut self, command: WireCommand) -> wire::Answer {
        match command {
            WireCommand::Fence(fence) => self.partition(fence.partition).fence(fence.epoch),
            WireCommand::Append(append) => self.partition(append.partition).append(append),
            WireCommand::Read(read) => self.partition(read.partition).read(&read),
            WireCommand::FenceAll(all) => self.fence_all(&all),
        }
    }

    fn fence_all(&mut self, all: &wire::FenceAll) -> wire::Answer {
        let mut answer =
            wire::Answer { verdict: Verdict::Applied.into(), ..wire::Answer::default() };
        for fence in &all.fences {
            let partition = self.partition(fence.partition);
            if partition.fence(fence.epoch).verdict() == Verdict::StaleEpoch {
                answer.stale.push(fence.partition);
            } else if !partition.trees.is_empty() {
                answer.with_records.push(fence.partition);
            }
        }
        answer
    }

    fn partition(&mut self, partition: u32) -> &mut PartitionJournal {
        self.partitions.entry(partition).or_default()
    }
}

impl PartitionJournal {
    fn verdict(&self, verdict: Verdict) -> wire::Answer {
        wire::Answer { verdict: verdict.into(), epoch: self.epoch, ..Default::default() }
    }

    fn fence(&mut self, epoch: u64) -> wire::Answer {
        if epoch < self.epoch {
            return self.verdict(Verdict::StaleEpoch);
        }
        self.epoch = epoch;
        self.verdict(Verdict::Applied)
    }

    fn append(&mut self, append: wire::Append) -> wire::Answer {
        // A home fences its epoch before it writes, so only the fenced epoch may write.
        if append.epoch != self.epoch {
            return self.verdict(Verdict::StaleEpoch);
        }
        if append.forget {
            self.trees.remove(&append.root);
            return self.verdict(Verdict::Applied);
        }
        let records = self.trees.get(&append.root).map_or(&[][..], Vec::as_slice);
        let next = records.len() as u64;
        let known = records.get(append.sequence as usize);
        if append.sequence > next || known.is_some_and(|known| known.bytes != append.record) {
            return self.verdict(Verdict::OutOfOrder);
        }
        if append.sequence == next {
            // Copied, because a slice would keep the whole received batch in memory.
            let bytes = Bytes::copy_from_slice(&append.record);
            let record = StoredRecord { epoch: append.epoch, bytes };
            self.trees.entry(append.root).or_default().push(record);
        }
        self.verdict(Verdict::Applied)
    }

    fn read(&self, read: &wire::Read) -> wire::Answer {
        if read.epoch != self.epoch {
            return self.verdict(Verdict::StaleEpoch);
        }
        let mut answer = self.verdict(Verdict::Applied);
        let mut bytes = 0;
        let records: Box<dyn Iterator<Item = wire::Stored>> = match read.only_root.is_empty() {
            true => Box::new(self.records_after(read)),
            false => Box::new(self.records_of(&read.only_root, read.from_sequence)),
        };
        for stored in records {
            if bytes > 0 && bytes + stored.record.len() > PAGE_BYTES {
                answer.more = true;
                break;
            }
            bytes += stored.record.len();
            answer.page.push(stored);
        }
        answer
    }

    fn records_of<'a>(
        &'a self,
        root: &'a str,
        from: u64,
    ) -> impl Iterator<Item = wire::Stored> + 'a {
        let records = self.trees.get(root).map_or(&[][..], Vec::as_slice);
        stored_records(root, records).skip(from as usize)
    }

    fn records_after<'a>(
        &'a self,
        read: &'a wire::Read,
    ) -> impl Iterator<Item = wire::Stored> + 'a {
        let trees = self.trees.range(read.after_root.clone()..);
        trees.flat_map(move |(root, records)| {
            let skipped = match *root == read.after_root {
                true => read.after_sequence as usize + 1,
                false => 0,
            };
            stored_records(root, records).skip(skipped)
        })
    }
}

fn stored_records<'a>(
    root: &'a str,
    records: &'a [StoredRecord],
) -> impl Iterator<Item = wire::Stored> + 'a {
    records.iter().enumerate().map(move |(sequence, record)| wire::Stored {
        root: root.to_owned(),
        sequence: sequence as u64,
        epoch: record.epoch,
        record: record.bytes.clone(),
    })
}

impl StateMachine for JournalState {
    fn apply(&mut self, _index: u64, command: &[u8]) -> Bytes {
        let command = wire::Command::decode(command).ok().and_then(|command| command.command);
        let answer = match command {
            Some(command) => self.answer(command),
            None => wire::Answer { verdict: Verdict::Invalid.into(), ..Default::default() },
        };
        answer.encode_to_vec().into()
    }

    fn snapshot(&self) -> Bytes {
        let partitions = self.partitions.iter().map(|(number, partition)| {
            let trees = partition.trees.iter();
            wire::PartitionSnapshot {
                partition: *number,
                epoch: partition.epoch,
                records: trees.flat_map(|(root, list)| stored_records(root, list)).collect(),
            }
        });
        wire::Snapshot { partitions: partitions.collect() }.encode_to_vec().into()
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<(), RestoreError> {
        let snapshot = wire::Snapshot::decode(snapshot)
            .map_err(|cause| RestoreError { reason: cause.to_string() })?;
        let mut partitions = BTreeMap::new();
        for raw in snapshot.partitions {
            partitions.insert(raw.partition, restore_partition(raw)?);
        }
        self.partitions = partitions;
        Ok(())
    }
}

fn restore_partition(raw: wire::PartitionSnapshot) -> Result<PartitionJournal, RestoreError> {
    let mut partition = PartitionJournal { epoch: raw.epoch, ..Default::default() };
    for stored in raw.records {
        let records = partition.trees.entry(stored.root).or_default();
        if stored.sequence != records.len() as u64 {
            let reason = format!("record {} is out of order", stored.sequence);
            return Err(RestoreError { reason });
        }
        let bytes = Bytes::copy_from_slice(&stored.record);
        records.push(StoredRecord { epoch: stored.epoch, bytes });
    }
    Ok(partition)
}
