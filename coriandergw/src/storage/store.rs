//! The write-ahead log file shared by all groups, and their snapshot files.

use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::Bytes;

use crate::ids::GroupId;
use crate::ids::InstanceName;
use crate::log_groups::core::Members;
use crate::log_groups::core::Record;
use crate::log_groups::core::Recovered;
use crate::log_groups::core::Snapshot;
use crate::log_groups::wire;
use crate::storage::Disk;
use crate::storage::StorageError;
use crate::storage::frames;
use crate::storage::identity::Identity;

/// The name of the write-ahead log file.
pub const LOG_FILE: &str = "log.wal";

/// The size up to which the write-ahead log file is not rewritten, in bytes.
const REWRITE_MIN_BYTES: u64 = 16 << 20;

/// The maximum number of entries in one frame of a rewritten file.
const REWRITE_FRAME_ENTRIES: usize = 1_024;

/// The options of a store: its owner and its groups.
#[derive(Debug, Clone)]
pub struct StoreOptions {
    /// The name of the cluster.
    pub cluster: String,
    /// The name of the instance.
    pub instance: InstanceName,
    /// The groups that the instance is a member of.
    pub groups: Vec<GroupId>,
    /// The initial membership of a new log.
    pub members: Members,
}

/// The durable state of all groups of an instance.
pub struct Store {
    disk: Arc<dyn Disk>,
    identity: Identity,
    log_bytes: u64,
    /// The size of the write-ahead log file when it was last rewritten or opened, in bytes.
    bytes_after_rewrite: u64,
    /// The index of the stored snapshot of each group.
    snapshot_indices: BTreeMap<GroupId, u64>,
    /// The first error of a write, with which every later write fails.
    failure: Option<StorageError>,
    /// Whether the error was one of replacing the write-ahead log file, which then is the old or the
    /// new one as a whole.
    is_log_replaced: bool,
}

/// The result of opening a data folder.
pub struct Opened {
    /// The store, ready for writing.
    pub store: Store,
    /// The recovered state of each group.
    pub groups: BTreeMap<GroupId, Recovered>,
    /// The size of a truncated unfinished write, in bytes.
    pub truncated_bytes: usize,
    /// The damage for which the log was set aside, if any; the instance has then lost its log.
    pub damage: Option<StorageError>,
}

/// The result of replaying the files.
struct Replayed {
    groups: BTreeMap<GroupId, Recovered>,
    intact_bytes: usize,
    file_bytes: usize,
}

fn snapshot_file(group: GroupId) -> String {
    format!("group-{group}.snapshot")
}

impl Store {
    /// Opens a data folder; truncates an unfinished write and sets a damaged log aside.
    ///
    /// # Errors
    /// Fails if the folder cannot be used or belongs to another cluster or instance.
    pub fn open(disk: Arc<dyn Disk>, options: &StoreOptions) -> Result<Opened, StorageError> {
        Self::open_up_to(disk, options, None)
    }

    /// Opens the data folder again after a failed write, with what was durable before that write.
    ///
    /// # Errors
    /// Fails as [`Store::open`] does, and while the disk still refuses to truncate or sync.
    pub fn reopen(&self, options: &StoreOptions) -> Result<Opened, StorageError> {
        let durable_bytes = (!self.is_log_replaced).then_some(self.log_bytes);
        Self::open_up_to(self.disk.clone(), options, durable_bytes)
    }

    /// Opens the data folder with the first `durable_bytes` of the write-ahead log file, or with all
    /// of it.
    fn open_up_to(
        disk: Arc<dyn Disk>,
        options: &StoreOptions,
        durable_bytes: Option<u64>,
    ) -> Result<Opened, StorageError> {
        let identity = match Identity::read(&*disk)? {
            Some(identity) => identity,
            None => initialise_folder(&*disk, options)?,
        };
        identity.check(&options.cluster, &options.instance)?;
        let store = Self {
            disk,
            identity,
            log_bytes: 0,
            bytes_after_rewrite: 0,
            snapshot_indices: BTreeMap::new(),
            failure: None,
            is_log_replaced: false,
        };
        let truncated = durable_bytes.map_or(Ok(()), |bytes| store.truncate_to(bytes));
        // A process that was killed before a sync leaves bytes that are read back and not durable.
        store.disk.sync_all().map_err(|e| StorageError::failed(LOG_FILE, &e))?;
        match truncated.and_then(|()| store.replay(options)) {
            Ok(replayed) => store.finish_open(replayed),
            Err(damage @ StorageError::Corrupt { .. }) => store.set_aside(options, damage),
            Err(cause) => Err(cause),
        }
    }

    /// Removes the bytes of a failed write. They may be read back although they are not durable.
    fn truncate_to(&self, durable_bytes: u64) -> Result<(), StorageError> {
        let found = read(&*self.disk, LOG_FILE)?.map_or(0, |bytes| bytes.len() as u64);
        if found < durable_bytes {
            let fault = format!("{found} bytes are left of {durable_bytes} that were synced");
            return Err(StorageError::corrupt(LOG_FILE, fault));
        }
        let truncated = self.disk.truncate(LOG_FILE, durable_bytes);
        truncated.map_err(|e| StorageError::failed(LOG_FILE, &e))
    }

    fn finish_open(mut self, replayed: Replayed) -> Result<Opened, StorageError> {
        let Replayed { groups, intact_bytes, file_bytes } = replayed;
        let truncated_bytes = file_bytes - intact_bytes;
        if truncated_bytes > 0 {
            let truncated = self.disk.truncate(LOG_FILE, intact_bytes as u64);
            truncated.map_err(|e| StorageError::failed(LOG_FILE, &e))?;
        }
        self.log_bytes = intact_bytes as u64;
        self.bytes_after_rewrite = self.log_bytes;
        self.snapshot_indices =
            groups.iter().map(|(group, found)| (*group, found.snapshot_index())).collect();
        let regained = groups.iter().filter(|(_, recovered)| !recovered.log_lost);
        let regained: Vec<GroupId> = regained.map(|(group, _)| *group).collect();
        self.clear_lost_groups(&regained)?;
        Ok(Opened { store: self, groups, truncated_bytes, damage: None })
    }

    fn replay(&self, options: &StoreOptions) -> Result<Replayed, StorageError> {
        let bytes = read(&*self.disk, LOG_FILE)?
            .ok_or_else(|| StorageError::corrupt(LOG_FILE, "the file is missing"))?;
        let frames =
            frames::split_frames(&bytes).map_err(|e| StorageError::corrupt(LOG_FILE, e))?;
        let mut groups = BTreeMap::new();
        for group in &options.groups {
            groups.insert(*group, self.new_group(*group, &options.members));
        }
        for payload in frames.payloads {
            let records =
                wire::decode_records(payload).map_err(|e| StorageError::corrupt(LOG_FILE, e))?;
            for (group, record) in records {
                let recovered =
                    groups.get_mut(&group).ok_or(StorageError::UnknownGroup { group })?;
                recovered.replay(record).map_err(|e| StorageError::corrupt(LOG_FILE, e))?;
            }
        }
        for (group, recovered) in &mut groups {
            let stored = self.read_snapshot(*group)?;
            recovered.finish(stored).map_err(|e| StorageError::corrupt(LOG_FILE, e))?;
        }
        Ok(Replayed { groups, intact_bytes: frames.intact_bytes, file_bytes: bytes.len() })
    }

    fn new_group(&self, group: GroupId, members: &Members) -> Recovered {
        let snapshot = Snapshot { members: members.clone(), ..Snapshot::default() };
        let mut recovered = Recovered::new(snapshot);
        recovered.log_lost = self.identity.lost_groups.contains(&group.0);
        recovered
    }

    fn read_snapshot(&self, group: GroupId) -> Result<Option<Snapshot>, StorageError> {
        let file = snapshot_file(group);
        let Some(bytes) = read(&*self.disk, &file)? else {
            return Ok(None);
        };
        let split = frames::split_frames(&bytes).map_err(|e| StorageError::corrupt(&file, e))?;
        let payload = split.payloads.first();
        let payload = payload.ok_or_else(|| StorageError::corrupt(&file, "the file is damaged"))?;
        let snapshot = wire::decode_snapshot(payload);
        snapshot.map(Some).map_err(|e| StorageError::corrupt(&file, e))
    }

    /// Renames the write-ahead log file and all snapshot files, and starts with an empty log and
    /// without the right to vote.
    fn set_aside(
        mut self,
        options: &StoreOptions,
        damage: StorageError,
    ) -> Result<Opened, StorageError> {
        self.identity.lost_groups = options.groups.iter().map(|group| group.0).collect();
        self.identity.write(&*self.disk)?;
        let mut files: Vec<String> = options.groups.iter().copied().map(snapshot_file).collect();
        files.push(LOG_FILE.to_owned());
        for file in files {
            self.set_file_aside(&file)?;
        }
        let empty = self.disk.replace(LOG_FILE, &[]);
        empty.map_err(|e| StorageError::failed(LOG_FILE, &e))?;
        let new_group = |group: &GroupId| (*group, self.new_group(*group, &options.members));
        let groups = options.groups.iter().map(new_group).collect();
        Ok(Opened { store: self, groups, truncated_bytes: 0, damage: Some(damage) })
    }

    fn set_file_aside(&self, file: &str) -> Result<(), StorageError> {
        if read(&*self.disk, file)?.is_none() {
            return Ok(());
        }
        let mut number = 1;
        while read(&*self.disk, &format!("{file}.damaged-{number}"))?.is_some() {
            number += 1;
        }
        let renamed = self.disk.rename(file, &format!("{file}.damaged-{number}"));
        renamed.map_err(|e| StorageError::failed(file, &e))
    }

    /// Writes and syncs the records of one batch.
    ///
    /// # Errors
    /// Fails if any write or sync fails; every later call then fails with the same error.
    pub fn write(&mut self, records: Vec<(GroupId, Record)>) -> Result<(), StorageError> {
        self.run_unless_failed(|store| {
            let regained = regained_groups(&records);
            let records = store.store_snapshots(records)?;
            let mut buf = Vec::new();
            frames::push_frame(&mut buf, store.log_bytes, &wire::encode_records(records));
            let appended = store.disk.append(LOG_FILE, &buf);
            appended.map_err(|e| StorageError::failed(LOG_FILE, &e))?;
            let synced = store.disk.sync(LOG_FILE);
            synced.map_err(|e| StorageError::failed(LOG_FILE, &e))?;
            store.log_bytes += buf.len() as u64;
            store.clear_lost_groups(&regained)
        })
    }

    /// Replaces the write-ahead log file by one that holds only these records.
    ///
    /// The records must represent the complete state of all groups.
    ///
    /// # Errors
    /// Fails if any write or sync fails; every later call then fails with the same error.
    pub fn rewrite(&mut self, records: Vec<(GroupId, Record)>) -> Result<(), StorageError> {
        self.run_unless_failed(|store| {
            let regained = regained_groups(&records);
            let records = store.store_snapshots(records)?;
            let mut buf = Vec::new();
            for record in records.into_iter().flat_map(split_record) {
                let offset = buf.len() as u64;
                frames::push_frame(&mut buf, offset, &wire::encode_records(vec![record]));
            }
            store.is_log_replaced = true;
            let replaced = store.disk.replace(LOG_FILE, &buf);
            replaced.map_err(|e| StorageError::failed(LOG_FILE, &e))?;
            store.is_log_replaced = false;
            store.log_bytes = buf.len() as u64;
            store.bytes_after_rewrite = store.log_bytes;
            store.clear_lost_groups(&regained)
        })
    }

    /// Returns whether the write-ahead log file is larger than `REWRITE_MIN_BYTES` and more than
    /// twice as large as when it was last rewritten or opened.
    pub fn needs_rewrite(&self) -> bool {
        self.log_bytes > REWRITE_MIN_BYTES.max(2 * self.bytes_after_rewrite)
    }

    /// Returns the size of the write-ahead log file, in bytes.
    pub fn log_bytes(&self) -> u64 {
        self.log_bytes
    }

    fn run_unless_failed<F>(&mut self, action: F) -> Result<(), StorageError>
    where
        F: FnOnce(&mut Self) -> Result<(), StorageError>,
    {
        if let Some(failure) = &self.failure {
            return Err(failure.clone());
        }
        let result = action(self);
        // After a failed sync the kernel may have dropped the data, so a successful retry would not
        // prove that it is durable.
        self.failure = result.as_ref().err().cloned();
        result
    }

    /// Writes the snapshot files and returns the records without the snapshot data.
    fn store_snapshots(
        &mut self,
        mut records: Vec<(GroupId, Record)>,
    ) -> Result<Vec<(GroupId, Record)>, StorageError> {
        for (group, record) in &mut records {
            let Record::Snapshot(snapshot) = record else {
                continue;
            };
            let full_snapshot = snapshot.clone();
            snapshot.data = Bytes::new();
            let index = full_snapshot.index;
            let stored_index = self.snapshot_indices.get(group).copied().unwrap_or_default();
            if index <= stored_index {
                continue;
            }
            let file = snapshot_file(*group);
            let mut buf = Vec::new();
            frames::push_frame(&mut buf, 0, &wire::encode_snapshot(full_snapshot));
            let replaced = self.disk.replace(&file, &buf);
            replaced.map_err(|e| StorageError::failed(&file, &e))?;
            self.snapshot_indices.insert(*group, index);
        }
        Ok(records)
    }

    fn clear_lost_groups(&mut self, groups: &[GroupId]) -> Result<(), StorageError> {
        let before = self.identity.lost_groups.len();
        self.identity.lost_groups.retain(|lost| !groups.contains(&GroupId(*lost)));
        if self.identity.lost_groups.len() == before {
            return Ok(());
        }
        self.identity.write(&*self.disk)
    }
}

fn initialise_folder(disk: &dyn Disk, options: &StoreOptions) -> Result<Identity, StorageError> {
    if read(disk, LOG_FILE)?.is_some_and(|bytes| !bytes.is_empty()) {
        return Err(StorageError::Foreign { owner: "an unknown instance".to_owned() });
    }
    // The log is created first, because an identity without a log means that the log was lost.
    disk.replace(LOG_FILE, &[]).map_err(|e| StorageError::failed(LOG_FILE, &e))?;
    let identity = Identity {
        cluster: options.cluster.clone(),
        instance: options.instance.clone(),
        lost_groups: Default::default(),
    };
    identity.write(disk)?;
    Ok(identity)
}

fn read(disk: &dyn Disk, file: &str) -> Result<Option<Vec<u8>>, StorageError> {
    disk.read(file).map_err(|e| StorageError::failed(file, &e))
}

fn regained_groups(records: &[(GroupId, Record)]) -> Vec<GroupId> {
    let regained = records.iter().filter(|(_, record)| *record == Record::VoteRegained);
    regained.map(|(group, _)| *group).collect()
}

fn split_record((group, record): (GroupId, Record)) -> Vec<(GroupId, Record)> {
    match record {
        Record::Entries(entries) => entries
            .chunks(REWRITE_FRAME_ENTRIES)
            .map(|chunk| (group, Record::Entries(chunk.to_vec())))
            .collect(),
        other => vec![(group, other)],
    }
}
