//! Periodic sweeps: take over granted partitions, enforce limits and forget ended programs.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Weak;
use std::time::Duration;

use futures_util::StreamExt;

use crate::clock::Timestamp;
use crate::clock::WallTime;
use crate::events::EventNumber;
use crate::events::Subject;
use crate::ids::Epoch;
use crate::ids::PartitionId;
use crate::ids::ProgramId;
use crate::leases::HeldVersion;
use crate::programs::home::Home;
use crate::programs::home::LiveTree;
use crate::programs::home::ProgramHandle;
use crate::programs::home::Programs;
use crate::programs::limits::end_due;
use crate::programs::record::EndReason;

/// The delay between two sweeps.
const SWEEP_INTERVAL: Duration = Duration::from_millis(200);

/// Limits are checked once in this many sweeps.
const SWEEPS_PER_LIMIT_CHECK: u64 = 3;

/// The most partitions that are taken over concurrently.
const MAX_CONCURRENT_TAKEOVERS: usize = 64;

/// How long a home without a confirmed lease keeps its running calls before it is dropped.
const LAPSE_GRACE: Duration = Duration::from_secs(3);

/// How long an ended program stays readable before it is forgotten, in milliseconds.
pub(super) const RETENTION_MS: u64 = 10 * 60 * 1_000;

/// The version of the held leases and the number of homes at a sweep that found them consistent:
/// each lease had its home and there were no other homes.
///
/// While both are unchanged, sweeps skip the comparison of leases and homes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct SettledLeases {
    version: HeldVersion,
    homes: usize,
}

impl Programs {
    pub(super) async fn run_sweeps(programs: Weak<Self>) {
        let mut round = 0u64;
        while let Some(programs) = programs.upgrade() {
            programs.follow_leases().await;
            if round.is_multiple_of(SWEEPS_PER_LIMIT_CHECK) {
                programs.sweep_programs().await;
            }
            drop(programs);
            round += 1;
            tokio::time::sleep(SWEEP_INTERVAL).await;
        }
    }

    /// Drops homes whose lease was lost and takes over partitions that were granted.
    pub(super) async fn follow_leases(self: &Arc<Self>) {
        let now = self.cx.clock.now();
        // Read first, so that the next sweep notices a change that happens during this one.
        let state = self.lease_state(now);
        if state.is_some() && *self.settled_leases.lock().expect("not poisoned") == state {
            return;
        }
        let held: BTreeMap<PartitionId, Epoch> =
            self.partitions.all_held(now).into_iter().collect();
        self.drop_lost_homes(&held, now);
        let missing = self.missing_homes(&held);
        if missing.is_empty() {
            let is_done = state.is_some_and(|state| state.homes == held.len());
            *self.settled_leases.lock().expect("not poisoned") = state.filter(|_| is_done);
            return;
        }
        // Most partitions are empty: they are fenced in batches and need not be read.
        let homes: Vec<Arc<Home>> =
            missing.iter().map(|(partition, epoch)| self.home_under(*partition, *epoch)).collect();
        let empty = self.journals.fence_empty(&missing).await;
        let empty: BTreeSet<PartitionId> = empty.into_iter().map(|(id, _)| id).collect();
        for home in homes.iter().filter(|home| empty.contains(&home.partition)) {
            // Fails if a request has loaded the partition meanwhile, which is fine.
            let _ = home.loaded.set(());
        }
        let takeovers = self.missing_homes(&held).into_iter().map(|(id, _)| self.home(id));
        // The next sweep retries failed takeovers.
        let mut takeovers =
            futures_util::stream::iter(takeovers).buffer_unordered(MAX_CONCURRENT_TAKEOVERS);
        while takeovers.next().await.is_some() {}
    }

    fn lease_state(&self, now: Timestamp) -> Option<SettledLeases> {
        let version = self.partitions.held_version(now)?;
        Some(SettledLeases { version, homes: self.homes.lock().expect("not poisoned").len() })
    }

    fn drop_lost_homes(&self, held: &BTreeMap<PartitionId, Epoch>, now: Timestamp) {
        let mut homes = self.known_homes();
        homes.retain(|home| is_lost(home, held.get(&home.partition).copied(), now));
        for home in &homes {
            self.drop_home(home);
        }
        if !homes.is_empty() {
            let message = format!("{} partitions dropped: the lease was lost", homes.len());
            self.cx.events.record(EventNumber::PartitionDropped, Subject::default(), message);
        }
    }

    fn missing_homes(&self, held: &BTreeMap<PartitionId, Epoch>) -> Vec<(PartitionId, Epoch)> {
        let homes = self.homes.lock().expect("not poisoned");
        let has_home = |partition: &PartitionId, epoch: &Epoch| {
            let home = homes.get(partition);
            home.is_some_and(|home| home.epoch == *epoch && home.loaded.initialized())
        };
        let missing = held.iter().filter(|(partition, epoch)| !has_home(partition, epoch));
        missing.map(|(partition, epoch)| (*partition, *epoch)).collect()
    }

    pub(super) fn known_homes(&self) -> Vec<Arc<Home>> {
        self.homes.lock().expect("not poisoned").values().cloned().collect()
    }

    /// Ends programs that reached a limit, forgets programs past their retention, parks idle trees
    /// and updates the gauges.
    pub(super) async fn sweep_programs(self: &Arc<Self>) {
        let now = self.cx.clock.wall();
        let mut totals = Totals::default();
        for home in self.known_homes() {
            totals.partitions += 1;
            let trees: Vec<(ProgramId, Arc<LiveTree>)> = {
                let trees = home.trees.lock().expect("not poisoned");
                trees.live.iter().map(|(root, tree)| (root.clone(), tree.clone())).collect()
            };
            for (program, tree) in trees {
                let handle = ProgramHandle { home: home.clone(), tree, program };
                totals.add(&handle);
                self.sweep_tree(&handle, now).await;
            }
            totals.add_parked(&home);
            self.sweep_parked(&home, now).await;
        }
        self.park_idle_trees();
        self.update_gauges(&totals);
    }

    pub(super) async fn sweep_tree(self: &Arc<Self>, handle: &ProgramHandle, now: WallTime) {
        for (program, reason) in self.due_programs(handle, now) {
            let handle = ProgramHandle { program, ..handle.clone() };
            // If this fails, the next sweep retries.
            let _ = self.end_for(&handle, reason).await;
        }
        if is_past_retention(handle, now) {
            self.forget(handle).await;
        }
    }

    fn due_programs(&self, handle: &ProgramHandle, now: WallTime) -> Vec<(ProgramId, EndReason)> {
        let state = handle.tree.state.lock().expect("not poisoned");
        let due = state.programs.values().filter_map(|program| {
            let entry = self.catalogue.entry(&program.entry)?;
            Some((program.id.clone(), end_due(&program.age(), &entry.limits, now)?))
        });
        due.collect()
    }

    fn update_gauges(&self, totals: &Totals) {
        let states = &self.cx.metrics.states;
        states.with_label_values(&["program_partitions"]).set(totals.partitions);
        states.with_label_values(&["programs"]).set(totals.programs);
        states.with_label_values(&["programs_parked"]).set(totals.parked);
        states.with_label_values(&["programs_ended"]).set(totals.ended);
        states.with_label_values(&["program_turns"]).set(totals.turns);
        states.with_label_values(&["program_history_bytes"]).set(totals.history_bytes);
        states.with_label_values(&["calls_running"]).set(self.running() as i64);
    }
}

/// Returns whether a home was superseded or has been without a lease for `LAPSE_GRACE`. Keeps
/// `lapsed_since` up to date.
fn is_lost(home: &Home, held: Option<Epoch>, now: Timestamp) -> bool {
    let mut lapsed_since = home.lapsed_since.lock().expect("not poisoned");
    match held {
        Some(epoch) => {
            *lapsed_since = None;
            epoch != home.epoch
        }
        None => now.since(*lapsed_since.get_or_insert(now)) >= LAPSE_GRACE,
    }
}

/// Totals over all programs served here, for the gauges.
#[derive(Default)]
struct Totals {
    partitions: i64,
    programs: i64,
    ended: i64,
    parked: i64,
    turns: i64,
    history_bytes: i64,
}

impl Totals {
    fn add_parked(&mut self, home: &Home) {
        let trees = home.trees.lock().expect("not poisoned");
        for program in trees.parked.values().flat_map(|tree| &tree.programs) {
            self.programs += 1;
            self.parked += 1;
            self.ended += i64::from(program.age.ended_at.is_some());
        }
    }

    fn add(&mut self, handle: &ProgramHandle) {
        let state = handle.tree.state.lock().expect("not poisoned");
        for program in state.programs.values() {
            self.programs += 1;
            self.ended += i64::from(program.ended.is_some());
            self.turns += program.history.len() as i64;
            self.history_bytes += program.history_bytes as i64;
        }
    }
}

fn is_past_retention(handle: &ProgramHandle, now: WallTime) -> bool {
    let has_live = !handle.tree.live.lock().expect("not poisoned").is_empty();
    let state = handle.tree.state.lock().expect("not poisoned");
    !has_live
        && !state.programs.is_empty()
        && state.programs.values().all(|program| program.age().ended_before(now, RETENTION_MS))
}
