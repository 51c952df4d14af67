//! Tests that an old leader's orders change nothing on engines that check fencing numbers, and
//! that it gives none after its lease on engines that ignore them.

use std::sync::Arc;
use std::time::Duration;

use coriandergw::clock::Clock;
use coriandergw::clock::SystemClock;
use coriandergw::clock::Timestamp;
use coriandergw::context::Context;
use coriandergw::endpoints::Announcement;
use coriandergw::endpoints::directory::Directory;
use coriandergw::events::Recorder;
use coriandergw::ids::FencingNumber;
use coriandergw::ids::InstanceName;
use coriandergw::metrics::Metrics;
use coriandergw::orders::DesiredState;
use coriandergw::orders::DesiredStateSource;
use coriandergw::orders::LeaderTerm;
use coriandergw::orders::LeaderTermSource;
use coriandergw::orders::ModelVersion;
use coriandergw::orders::OrderDriver;
use coriandergw::orders::OrderSettings;
use coriandergw::orders::Role;
use testkit::fakes::engine::Engine;
use testkit::fakes::engine::EngineOptions;
use testkit::fakes::engine_core::CoreOptions;
use testkit::wait;
use tokio::task::JoinHandle;

/// Takes itself for the leader and wants one version of the model.
#[derive(Clone)]
struct Leader {
    fencing: u64,
    version: &'static str,
    lease_until: Timestamp,
}

impl LeaderTermSource for Leader {
    fn leader_term(&self) -> Option<LeaderTerm> {
        Some(LeaderTerm {
            fencing: FencingNumber(self.fencing),
            began: Timestamp::default(),
            old_lease_max: Duration::ZERO,
            lease_until: self.lease_until,
        })
    }
}

impl DesiredStateSource for Leader {
    fn desired_state(&self, _engine: &Announcement) -> Option<DesiredState> {
        let model = "model-a".try_into().expect("a valid name");
        let version = ModelVersion { model, version: self.version.to_owned() };
        Some(DesiredState { models: [version].into(), role: Role::Both })
    }
}

/// An engine, and the directory that two leaders know it by.
struct Site {
    engine: Engine,
    clock: Arc<SystemClock>,
    directory: Arc<Directory>,
    renewal: JoinHandle<()>,
}

impl Drop for Site {
    fn drop(&mut self) {
        self.renewal.abort();
    }
}

impl Site {
    async fn start(checks_fencing: bool) -> Self {
        let core = CoreOptions { checks_fencing, ..CoreOptions::default() };
        let options = EngineOptions { core, ..EngineOptions::default() };
        let engine = Engine::start(options).await.expect("a port is free");
        let (clock, directory) = (Arc::<SystemClock>::default(), Arc::<Directory>::default());
        let announcements = engine.announcements();
        let (at, to) = (clock.clone(), directory.clone());
        let renewal = tokio::spawn(async move {
            loop {
                to.announce(announcements(), at.now());
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        });
        Self { engine, clock, directory, renewal }
    }

    fn lead(&self, leader: &Leader) -> (Context, JoinHandle<()>) {
        let name = InstanceName::try_from(format!("e{}", leader.fencing)).expect("a valid name");
        let cx = Context {
            instance: name.clone(),
            data_centre: "dc-a".try_into().expect("a valid name"),
            clock: self.clock.clone(),
            events: Arc::new(Recorder::new(name, self.clock.clone())),
            metrics: Arc::new(Metrics::new().expect("metrics can be registered")),
            memory: Arc::default(),
            supervisor: Arc::default(),
        };
        let leader = Arc::new(leader.clone());
        let directory = self.directory.clone();
        let settings = OrderSettings::default();
        (cx.clone(), OrderDriver::start(cx, directory, leader.clone(), leader, settings))
    }

    /// Lets the present leader replace version 1 by version 2.
    async fn replace_version(&self) -> JoinHandle<()> {
        let leader = Leader { fencing: 2, version: "2", lease_until: self.later() };
        let (_, driver) = self.lead(&leader);
        wait::until("version 2 has replaced version 1", || self.engine.orders().len() == 2).await;
        driver
    }

    fn later(&self) -> Timestamp {
        self.clock.now() + wait::LIMIT * 2
    }

    fn fencing_numbers(&self) -> Vec<u64> {
        self.engine.orders().iter().map(|order| order.fencing).collect()
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_checks_numbers_refuses_a_leader_that_does_not_know_it_was_replaced() {
    let site = Site::start(true).await;
    let present = site.replace_version().await;
    let old = Leader { fencing: 1, version: "3", lease_until: site.later() };
    let (cx, driver) = site.lead(&old);
    let failed = || cx.metrics.orders.with_label_values(&["load_model", "failed"]).get();
    wait::until("orders of the old leader are refused", || failed() >= 2).await;
    driver.abort();
    present.abort();
    assert_eq!(site.fencing_numbers(), [2, 2]);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leader_without_its_lease_gives_no_order_to_an_engine_that_ignores_numbers() {
    let site = Site::start(false).await;
    let present = site.replace_version().await;
    let old = Leader { fencing: 1, version: "3", lease_until: site.clock.now() };
    present.abort();
    let (_, driver) = site.lead(&old);
    let before = site.engine.state_reads();
    wait::until("the old leader has looked", || site.engine.state_reads() >= before + 3).await;
    driver.abort();
    assert_eq!(site.fencing_numbers(), [2, 2]);
}
