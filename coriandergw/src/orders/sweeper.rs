//! Releases engine memory that is held for programs that are gone.
//!
//! Each engine is swept by the instance where it renews its announcement, so that every engine has
//! one sweeper without coordination between instances.

use std::collections::BTreeSet;
use std::sync::Arc;

use futures_util::StreamExt;

use crate::context::Context;
use crate::dispatch::CallKind;
use crate::dispatch::EngineMemory;
use crate::dispatch::HeldMemory;
use crate::endpoints::Announcement;
use crate::endpoints::directory::Directory;
use crate::events::EventNumber;
use crate::events::Subject;
use crate::ids::ProgramId;
use crate::orders::MemorySweep;
use crate::orders::ProgramLivenessSource;
use crate::orders::pause_after;
use crate::supervision;

/// The most engines whose held memory is read concurrently.
const MAX_CONCURRENT_ENGINES: usize = 16;

/// The most release orders that are in flight at once.
const MAX_CONCURRENT_RELEASES: usize = 16;

/// An engine and the memory that it reports as held.
type Report = (Arc<Announcement>, HeldMemory);

/// Periodically compares the memory that engines hold with the live programs.
pub struct MemorySweeper {
    cx: Context,
    directory: Arc<Directory>,
    memory: Arc<dyn EngineMemory>,
    live: Arc<dyn ProgramLivenessSource>,
    sweep: MemorySweep,
}

impl MemorySweeper {
    /// Creates a sweeper with an empty liveness cache.
    pub fn new(
        cx: Context,
        directory: Arc<Directory>,
        memory: Arc<dyn EngineMemory>,
        live: Arc<dyn ProgramLivenessSource>,
    ) -> Self {
        Self { cx, directory, memory, live, sweep: MemorySweep::default() }
    }

    /// Spawns the sweeper as a task.
    pub fn start(mut self) -> tokio::task::JoinHandle<()> {
        let cx = self.cx.clone();
        let sweeping = async move {
            loop {
                let held = self.round().await;
                tokio::time::sleep(pause_after(held)).await;
            }
        };
        tokio::spawn(supervision::essential(cx, "sweep the engines' memory", sweeping))
    }

    /// Sweeps each engine once. Returns the number of programs that memory is held for.
    pub async fn round(&mut self) -> usize {
        let reports = self.read_engines().await;
        let held: BTreeSet<ProgramId> =
            reports.iter().flat_map(|(_, held)| held.programs.iter().cloned()).collect();
        self.ask_homes(&held).await;
        self.release_gone(&reports).await;
        held.len()
    }

    async fn read_engines(&self) -> Vec<Report> {
        let engines = self.directory.local().into_iter();
        let engines = engines.filter(|engine| engine.kind == CallKind::Model);
        let reads: Vec<_> = engines.map(|engine| read_held(self.memory.clone(), engine)).collect();
        let reads = futures_util::stream::iter(reads).buffer_unordered(MAX_CONCURRENT_ENGINES);
        reads.filter_map(std::future::ready).collect().await
    }

    async fn ask_homes(&mut self, held: &BTreeSet<ProgramId>) {
        // Homes are asked after the engines, so every program in `held` was created before its home
        // is asked.
        let live = self.live.clone();
        let now = self.cx.clock.now();
        let asked = self.sweep.programs_to_ask(held, &*live, now);
        // Read before asking, so that a home that changes meanwhile is asked again.
        let epochs: Vec<_> = asked.iter().map(|program| live.epoch(program)).collect();
        let answers = live.liveness(&asked).await;
        let now = self.cx.clock.now();
        for (program, epoch) in asked.iter().zip(epochs) {
            if let Some(liveness) = answers.get(program) {
                self.sweep.learn(program, *liveness, epoch, now);
            }
        }
    }

    async fn release_gone(&self, reports: &[Report]) {
        let mut releases = Vec::new();
        for (engine, held) in reports {
            let gone = held.programs.iter().filter(|program| self.sweep.is_gone(program));
            releases.extend(gone.map(|program| self.release(engine, held, program)));
        }
        let mut releases =
            futures_util::stream::iter(releases).buffer_unordered(MAX_CONCURRENT_RELEASES);
        while releases.next().await.is_some() {}
    }

    async fn release(&self, engine: &Announcement, held: &HeldMemory, program: &ProgramId) {
        let confirmed = self.memory.release(engine, program, held.fencing).await;
        self.record_release(engine, program, confirmed);
    }

    fn record_release(&self, engine: &Announcement, program: &ProgramId, confirmed: bool) {
        let (result, number) = match confirmed {
            true => ("confirmed", EventNumber::OrderConfirmed),
            // The next round finds the memory still held and orders its release again.
            false => ("failed", EventNumber::OrderFailed),
        };
        self.cx.metrics.orders.with_label_values(&["sweep", result]).inc();
        let subject = Subject {
            peer: Some(engine.name.to_string()),
            program: Some(program.clone()),
            ..Subject::default()
        };
        self.cx.events.record(number, subject, "release by the sweep");
    }
}

async fn read_held(memory: Arc<dyn EngineMemory>, engine: Arc<Announcement>) -> Option<Report> {
    let held = memory.held(&engine).await?;
    Some((engine, held))
}

#[cfg(test)]
mod tests;
