//! A system of stores under faults, without a network: writers, readers and repair call the stores
//! directly.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use rand::Rng;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;

use crate::ids::DataCentre;
use crate::ids::InstanceName;
use crate::kept_turns::TurnKey;
use crate::kept_turns::TurnRecord;
use crate::kept_turns::placement::Holder;
use crate::kept_turns::placement::order_holders;
use crate::kept_turns::store::Found;
use crate::kept_turns::store::KeepOutcome;
use crate::kept_turns::store::StoreOptions;
use crate::kept_turns::store::TurnStore;
use crate::kept_turns::store::repair;
use crate::log_groups::test_cluster::FaultyDisk;
use crate::storage::Disk;
use crate::storage::frames::scan_frames;

const INSTANCES: usize = 8;
const COPIES: usize = 3;
const RETENTION_MS: u64 = 20_000;
const STEPS: usize = 60;

struct Instance {
    holder: Holder,
    disk: Arc<FaultyDisk>,
    /// `None` while the process is down.
    store: Option<TurnStore>,
    is_cut: bool,
}

/// What the writers know of a turn.
struct Written {
    record: TurnRecord,
    /// When it may be forgotten; 0 if it was never acknowledged by enough instances.
    kept_until_ms: u64,
}

struct Simulation {
    seed: u64,
    rng: ChaCha8Rng,
    now_ms: u64,
    instances: Vec<Instance>,
    turns: BTreeMap<TurnKey, Written>,
    /// Whether every turn is on as many disks as were wanted when it was written.
    has_all_copies: bool,
}

fn options(is_first_start: bool) -> StoreOptions {
    // Small segments, so that schedules begin, move and remove many of them.
    StoreOptions { max_bytes: 24_000, segment_bytes: 4_000, is_first_start }
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let instance = |number: usize| {
            let disk = Arc::new(FaultyDisk::default());
            let name = InstanceName::try_from(format!("10.0.0.{number}:1/a")).expect("a name");
            let centre = format!("dc-{}", number % 4);
            let data_centre = DataCentre::try_from(centre.as_str()).expect("a name");
            let store = TurnStore::open(disk.clone(), options(true), 0).expect("opened");
            let holder = Holder { name, data_centre };
            Instance { holder, disk, store: Some(store), is_cut: false }
        };
        Self {
            seed,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now_ms: 1_000_000,
            instances: (0..INSTANCES).map(instance).collect(),
            turns: BTreeMap::new(),
            has_all_copies: true,
        }
    }

    fn reachable(&self) -> impl Iterator<Item = (&Holder, &TurnStore)> {
        let reachable = self.instances.iter().filter(|instance| !instance.is_cut);
        reachable.filter_map(|one| Some((&one.holder, one.store.as_ref()?)))
    }

    fn chain_of(&self, record: &TurnRecord) -> Vec<TurnRecord> {
        let mut chain = vec![record.clone()];
        while let Some(previous) = chain.last().and_then(|record| record.previous.clone()) {
            let key = TurnKey { account: record.key.account.clone(), turn: previous };
            chain.push(self.turns[&key].record.clone());
        }
        chain.reverse();
        chain
    }

    /// Writes a record to the best reachable instances; returns whether enough of them acknowledged it.
    fn keep(&self, record: &TurnRecord) -> bool {
        let chain = self.chain_of(record);
        let reachable: BTreeMap<&InstanceName, &TurnStore> =
            self.reachable().map(|(holder, store)| (&holder.name, store)).collect();
        let holders: Vec<Holder> = self.reachable().map(|(holder, _)| holder.clone()).collect();
        let mut acknowledged = 0;
        for holder in order_holders(&record.key.account, &record.root, &holders) {
            let store = reachable[&holder.name];
            let keep = |records: &[TurnRecord]| {
                store.write_batch(&[records.to_vec()], self.now_ms).outcomes[0]
            };
            let mut outcome = keep(std::slice::from_ref(record));
            if outcome == KeepOutcome::PreviousMissing {
                outcome = keep(&chain);
            }
            acknowledged += usize::from(outcome == KeepOutcome::Written);
            if acknowledged == COPIES {
                return true;
            }
        }
        false
    }

    fn living_turns(&self) -> Vec<TurnKey> {
        let living = self.turns.iter().filter(|(_, turn)| turn.kept_until_ms > self.now_ms);
        living.map(|(key, _)| key.clone()).collect()
    }

    fn write_turn(&mut self) {
        let accounts: [Arc<str>; 2] = ["a".into(), "b".into()];
        let account = accounts.choose(&mut self.rng).expect("two").clone();
        let number = self.turns.len();
        let name: Arc<str> = number.to_string().into();
        let living = self.living_turns();
        let previous = living.choose(&mut self.rng).filter(|_| !number.is_multiple_of(3));
        let account = previous.map_or(account, |previous| previous.account.clone());
        let root = previous.map_or(name.clone(), |key| self.turns[key].record.root.clone());
        // Half of them are large, so that files with few turns left are moved.
        let repeats = if number.is_multiple_of(2) { 300 } else { 1 };
        let mut record = TurnRecord {
            key: TurnKey { account, turn: name },
            previous: previous.map(|key| key.turn.clone()),
            root,
            input: Bytes::from(format!("input {number}").repeat(repeats)),
            output: Bytes::from(format!("output {number}\n")),
            expires_ms: self.now_ms + RETENTION_MS,
            is_partial: false,
        };
        if self.rng.random_bool(0.2) {
            let output = Bytes::from_static(b"out");
            self.keep(&TurnRecord { is_partial: true, output, ..record.clone() });
            self.fault();
            record.expires_ms = self.now_ms + RETENTION_MS;
        }
        let is_acknowledged = self.keep(&record);
        let kept_until_ms = if is_acknowledged { record.expires_ms } else { 0 };
        let written = Written { record: record.clone(), kept_until_ms };
        self.turns.insert(record.key.clone(), written);
        if is_acknowledged {
            for before in self.chain_of(&record) {
                let known = self.turns.get_mut(&before.key).expect("written before");
                known.kept_until_ms = known.kept_until_ms.max(kept_until_ms);
            }
        }
    }

    /// Looks a turn up on all reachable instances, and checks what a reader that reaches any of them
    /// would conclude; returns how many of them have it.
    fn check_turn(&self, key: &TurnKey) -> usize {
        let written = &self.turns[key];
        let expected = self.chain_of(&written.record);
        let (mut found, mut certain) = (0, 0);
        for (holder, store) in self.reachable() {
            match store.find(key, self.now_ms) {
                Found::Chain(chain) if chain.last().is_some_and(|last| last.is_partial) => {}
                Found::Chain(chain) => {
                    assert_eq!(chain, expected, "seed {}: mixed at {}", self.seed, holder.name);
                    found += 1;
                }
                Found::Absent => {
                    let since = store.complete_since_ms();
                    certain += usize::from(since + RETENTION_MS <= self.now_ms);
                }
                Found::Unreadable => {}
            }
        }
        let is_kept = written.kept_until_ms > self.now_ms;
        // Also if it was found: the instances that have it might be cut off.
        assert!(
            !is_kept || certain <= INSTANCES - COPIES,
            "seed {}: turn {key:?} is certainly not there",
            self.seed
        );
        found
    }

    fn start(&mut self, at: usize) {
        let instance = &mut self.instances[at];
        if instance.store.is_none() {
            let opened = TurnStore::open(instance.disk.clone(), options(false), self.now_ms);
            instance.store = Some(opened.expect("the disk is readable"));
        }
    }

    /// Loses or damages the disks of at most as many instances as are tolerated.
    fn lose_disks(&mut self) {
        if !std::mem::take(&mut self.has_all_copies) {
            self.has_all_copies = false;
            return;
        }
        let mut numbers: Vec<usize> = (0..INSTANCES).collect();
        numbers.shuffle(&mut self.rng);
        for at in numbers.into_iter().take(self.rng.random_range(1..COPIES)) {
            if self.rng.random_bool(0.3) {
                self.damage(at);
                continue;
            }
            self.instances[at].store = None;
            self.instances[at].disk = Arc::new(FaultyDisk::default());
        }
    }

    /// Changes a byte of a record that is not the last one of its file.
    fn damage(&mut self, at: usize) {
        let disk = &self.instances[at].disk;
        let names = disk.names().expect("names");
        let segments = names.iter().filter(|name| name.ends_with(".turns"));
        let Some(file) = segments.min() else { return };
        let mut bytes = disk.read(file).expect("read").expect("exists");
        // Damage to the last record of the last file cannot be told from an unfinished write.
        if scan_frames(&bytes).frames.len() >= 2 {
            bytes[20] ^= 1;
            disk.replace(file, &bytes).expect("replaced");
        }
    }

    fn fault(&mut self) {
        let at = self.rng.random_range(0..INSTANCES);
        match self.rng.random_range(0..9) {
            0 => self.instances[at].store = None,
            1 => {
                self.instances[at].store = None;
                self.instances[at].disk.lose_power();
            }
            2 => {
                for instance in &mut self.instances {
                    instance.store = None;
                    instance.disk.lose_power();
                }
            }
            3 => self.lose_disks(),
            4 => self.instances[at].is_cut = true,
            5 => self.instances[at].disk.free_bytes.store(90, Ordering::SeqCst),
            6 => self.instances[at].disk.fails_syncs.store(true, Ordering::SeqCst),
            7 => {
                self.instances[at].is_cut = false;
                self.instances[at].disk.set_full(false);
                self.instances[at].disk.fails_syncs.store(false, Ordering::SeqCst);
            }
            _ => self.start_all(),
        }
    }

    fn start_all(&mut self) {
        for at in 0..INSTANCES {
            self.instances[at].disk.set_full(false);
            self.instances[at].disk.fails_syncs.store(false, Ordering::SeqCst);
            self.start(at);
        }
    }

    /// Lets every reachable instance offer and send its turns once; returns whether all were taken.
    fn repair(&self) -> bool {
        let mut is_complete = true;
        let candidates: Vec<Holder> = self.reachable().map(|(holder, _)| holder.clone()).collect();
        let stores: BTreeMap<&InstanceName, &TurnStore> =
            self.reachable().map(|(holder, store)| (&holder.name, store)).collect();
        for (me, store) in &stores {
            let chains = store.chains();
            let listed =
                chains.iter().map(|((account, root), turns)| (&**account, &**root, &**turns));
            for (target, turns) in repair::plan(listed, &candidates, COPIES, me).by_instance {
                let target = stores[&target];
                let missing: HashSet<TurnKey> = target.missing(turns.clone()).into_iter().collect();
                for key in turns.iter().filter(|key| missing.contains(key)) {
                    let Found::Chain(chain) = store.find(key, self.now_ms) else { continue };
                    let part = repair::missing_part(&chain, &missing).to_vec();
                    let mut outcome = target.write_batch(&[part], self.now_ms).outcomes[0];
                    if outcome == KeepOutcome::PreviousMissing {
                        outcome = target.write_batch(&[chain], self.now_ms).outcomes[0];
                    }
                    is_complete &= outcome == KeepOutcome::Written;
                }
            }
        }
        is_complete
    }

    fn heal(&mut self) {
        self.start_all();
        self.instances.iter_mut().for_each(|instance| instance.is_cut = false);
        // Past the delay after a failed write.
        self.now_ms += 2_000;
        self.expire();
        let living = self.living_turns();
        // Reading finds the damage that is to be repaired.
        living.iter().for_each(|key| {
            self.check_turn(key);
        });
        self.has_all_copies = self.repair();
        for key in living {
            let found = self.check_turn(&key);
            let wanted = if self.has_all_copies { COPIES } else { 1 };
            assert!(found >= wanted, "seed {}: {found} copies of {key:?}", self.seed);
        }
    }

    fn expire(&self) {
        for (_, store) in self.reachable() {
            // A disk that fails is tried again at the next step.
            let _ = store.expire(self.now_ms);
        }
    }

    fn step(&mut self) {
        self.now_ms += self.rng.random_range(0..3_000);
        match self.rng.random_range(0..10) {
            0..5 => self.write_turn(),
            5 | 6 => self.fault(),
            7 => self.expire(),
            8 if self.rng.random_bool(0.5) => self.heal(),
            8 => {
                self.repair();
            }
            _ => {
                let keys: Vec<TurnKey> = self.turns.keys().cloned().collect();
                if let Some(key) = keys.choose(&mut self.rng) {
                    self.check_turn(key);
                }
            }
        }
    }
}

/// Runs one schedule of writes and faults; panics if a promise is broken.
pub fn run_schedule(seed: u64) {
    let mut simulation = Simulation::new(seed);
    for _ in 0..STEPS {
        simulation.step();
    }
    for key in simulation.living_turns() {
        simulation.check_turn(&key);
    }
    simulation.heal();
}
