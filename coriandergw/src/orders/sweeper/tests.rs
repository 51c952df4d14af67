use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use async_trait::async_trait;
use serde_json::json;

use super::*;
use crate::clock::Clock;
use crate::clock::SystemClock;
use crate::clock::Timestamp;
use crate::ids::Epoch;
use crate::ids::FencingNumber;
use crate::ids::InstanceName;
use crate::orders::ProgramLiveness;
use crate::test_support;

fn program(id: &str) -> ProgramId {
    id.try_into().unwrap()
}

/// Homes with one epoch that return preset answers and record which programs they are asked about.
#[derive(Default)]
struct Homes {
    epoch: Mutex<Option<Epoch>>,
    liveness_by_program: Mutex<BTreeMap<ProgramId, ProgramLiveness>>,
    asked: Mutex<Vec<ProgramId>>,
}

impl Homes {
    fn set_liveness(&self, id: &str, liveness: ProgramLiveness) {
        self.liveness_by_program.lock().unwrap().insert(program(id), liveness);
    }

    fn take_asked(&self) -> Vec<ProgramId> {
        std::mem::take(&mut self.asked.lock().unwrap())
    }
}

#[async_trait]
impl ProgramLivenessSource for Homes {
    fn epoch(&self, _program: &ProgramId) -> Option<Epoch> {
        *self.epoch.lock().unwrap()
    }

    async fn liveness(&self, programs: &[ProgramId]) -> BTreeMap<ProgramId, ProgramLiveness> {
        self.asked.lock().unwrap().extend(programs.iter().cloned());
        let liveness_by_program = self.liveness_by_program.lock().unwrap();
        programs.iter().filter_map(|id| Some((id.clone(), *liveness_by_program.get(id)?))).collect()
    }
}

/// An engine that refuses the first `refusals` release orders.
#[derive(Default)]
struct FakeMemory {
    held: Mutex<Vec<ProgramId>>,
    refusals: Mutex<u32>,
}

#[async_trait]
impl EngineMemory for FakeMemory {
    async fn held(&self, _engine: &Announcement) -> Option<HeldMemory> {
        let programs = self.held.lock().unwrap().clone();
        Some(HeldMemory { fencing: FencingNumber(7), programs })
    }

    async fn release(
        &self,
        _engine: &Announcement,
        program: &ProgramId,
        fencing: FencingNumber,
    ) -> bool {
        assert_eq!(
            fencing,
            FencingNumber(7),
            "the fencing number that the engine reported is sent"
        );
        let mut refusals = self.refusals.lock().unwrap();
        if *refusals > 0 {
            *refusals -= 1;
            return false;
        }
        self.held.lock().unwrap().retain(|held| held != program);
        true
    }
}

fn sweeper(memory: &Arc<FakeMemory>, homes: &Arc<Homes>) -> MemorySweeper {
    let clock = Arc::new(SystemClock::default());
    let name = InstanceName::try_from("i1").unwrap();
    let cx = test_support::context(name, "dc-a", clock.clone());
    let engine = json!({
        "name": "e", "kind": "model", "address": "127.0.0.1:9", "targets": ["m"],
        "data_centre": "dc-a",
    });
    let directory = Arc::new(Directory::default());
    directory.announce(serde_json::from_value(engine).unwrap(), clock.now());
    MemorySweeper::new(cx, directory, memory.clone(), homes.clone())
}

fn engine_with(held: &[&str]) -> Arc<FakeMemory> {
    let held = held.iter().map(|id| program(id)).collect();
    Arc::new(FakeMemory { held: Mutex::new(held), ..FakeMemory::default() })
}

#[tokio::test]
async fn only_programs_reported_gone_are_released() {
    let (memory, homes) = (engine_with(&["gone", "live", "not-known"]), Arc::<Homes>::default());
    homes.set_liveness("gone", ProgramLiveness::Gone);
    homes.set_liveness("live", ProgramLiveness::Live);
    let mut sweeper = sweeper(&memory, &homes);
    for _ in 0..3 {
        sweeper.round().await;
    }
    assert_eq!(*memory.held.lock().unwrap(), ["live", "not-known"].map(program));
}

#[tokio::test]
async fn a_release_is_repeated_until_the_engine_holds_nothing() {
    let (memory, homes) = (engine_with(&["gone"]), Arc::<Homes>::default());
    homes.set_liveness("gone", ProgramLiveness::Gone);
    *memory.refusals.lock().unwrap() = 2;
    let mut sweeper = sweeper(&memory, &homes);
    sweeper.round().await;
    sweeper.round().await;
    assert_eq!(memory.held.lock().unwrap().len(), 1);
    sweeper.round().await;
    assert!(memory.held.lock().unwrap().is_empty());
    // A call that ends late stores its prefix again.
    memory.held.lock().unwrap().push(program("gone"));
    sweeper.round().await;
    assert!(memory.held.lock().unwrap().is_empty());
}

#[tokio::test]
async fn a_home_is_asked_again_when_it_has_changed_or_did_not_answer() {
    let (memory, homes) = (engine_with(&["live", "not-known"]), Arc::<Homes>::default());
    homes.set_liveness("live", ProgramLiveness::Live);
    let mut sweeper = sweeper(&memory, &homes);
    sweeper.round().await;
    assert_eq!(homes.take_asked(), ["live", "not-known"].map(program));
    sweeper.round().await;
    assert_eq!(homes.take_asked(), ["not-known"].map(program));
    *homes.epoch.lock().unwrap() = Some(Epoch(2));
    sweeper.round().await;
    assert_eq!(homes.take_asked(), ["live", "not-known"].map(program));
}

#[test]
fn a_live_program_is_asked_for_again_after_60_s() {
    let (mut sweep, homes) = (MemorySweep::default(), Homes::default());
    let held = BTreeSet::from([program("p")]);
    let at = |seconds: u64| Timestamp::from_millis(seconds * 1_000);
    sweep.learn(&program("p"), ProgramLiveness::Live, None, at(1));
    assert!(sweep.programs_to_ask(&held, &homes, at(60)).is_empty());
    assert_eq!(sweep.programs_to_ask(&held, &homes, at(61)), [program("p")]);
    sweep.learn(&program("p"), ProgramLiveness::Gone, None, at(61));
    assert!(
        sweep.programs_to_ask(&held, &homes, at(200)).is_empty() && sweep.is_gone(&program("p"))
    );
    sweep.programs_to_ask(&BTreeSet::new(), &homes, at(201));
    assert!(!sweep.is_gone(&program("p")), "programs that are no longer held are dropped");
}

#[test]
fn the_pause_grows_with_the_programs_held() {
    let seconds = [0, 40, 472, 100_000].map(|held| pause_after(held).as_secs_f64());
    assert_eq!(seconds, [2.0, 2.0, 23.6, 60.0]);
    assert!(pause_after(usize::MAX) <= Duration::from_secs(60));
}
