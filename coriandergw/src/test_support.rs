//! Builds what the tests of several features share.

use std::sync::Arc;
use std::time::Duration;

use proptest::test_runner::Config as ProptestConfig;
use proptest::test_runner::RngSeed;

use crate::addresses::StaticAddress;
use crate::catalogue::MemoryCatalogue;
use crate::clock::Clock;
use crate::clock::Timestamp;
use crate::context::Context;
use crate::dispatch::scheduled::DispatchSettings;
use crate::dispatch::scheduled::ScheduledDispatcher;
use crate::endpoint_limits::RateLimit;
use crate::endpoint_limits::StatedLimit;
use crate::endpoints::directory::Directory;
use crate::endpoints::gossip::NoPeers;
use crate::events::Recorder;
use crate::ids::DataCentre;
use crate::ids::EndpointName;
use crate::ids::GroupId;
use crate::ids::InstanceName;
use crate::instance::HandlerState;
use crate::leases::Partitions;
use crate::log_groups::StateMachine;
use crate::log_groups::local::LocalLog;
use crate::metrics::Metrics;
use crate::programs::JournalState;
use crate::programs::Programs;
use crate::roster::EndpointRecord;
use crate::roster::EndpointState;
use crate::roster::GroupStatus;
use crate::roster::Presence;
use crate::roster::Role;
use crate::settings::Settings;

/// The seed of the random cases.
const SEED: u64 = 4;

/// Returns the settings of tests with random cases: each run has the same cases.
pub fn random_cases() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Builds the context of an instance, which keeps its events in memory.
pub fn context(instance: InstanceName, data_centre: &str, clock: Arc<dyn Clock>) -> Context {
    Context {
        instance: instance.clone(),
        data_centre: DataCentre::try_from(data_centre).expect("a valid name"),
        clock: clock.clone(),
        events: Arc::new(Recorder::new(instance, clock)),
        metrics: Arc::new(Metrics::new().expect("metrics")),
        memory: Arc::default(),
        supervisor: Arc::default(),
    }
}

/// Builds the presence of a ready entry instance.
pub fn presence(name: &str) -> Presence {
    Presence {
        name: InstanceName::try_from(name).expect("a name"),
        role: Role::Entry,
        data_centre: DataCentre::try_from("dc").expect("a name"),
        node: "machine".into(),
        caller_address: None,
        ready: true,
        leaving: false,
        started_ms: 1,
        group: GroupStatus::default(),
        is_founder: false,
        watchers: Vec::new(),
        relay_address: None,
        lost_endpoints: false,
        holds_turns: false,
    }
}

/// Builds what the routes of a lone instance share: its journal is in memory, and it knows no
/// endpoint yet.
pub fn shared(
    cx: Context,
    settings: Settings,
    catalogue: Arc<MemoryCatalogue>,
    partitions: Arc<dyn Partitions>,
) -> HandlerState {
    let directory = Arc::new(Directory::default());
    let dispatcher = ScheduledDispatcher::start(
        cx.clone(),
        directory.clone(),
        Arc::new(NoPeers),
        DispatchSettings::default(),
    );
    let machine: Box<dyn StateMachine> = Box::new(JournalState::default());
    let programs = Programs::start(
        cx.clone(),
        settings.programs,
        catalogue.clone(),
        partitions.clone(),
        Arc::new(LocalLog::new(cx.instance.clone(), [(GroupId(1), machine)])),
        1,
        dispatcher,
    );
    let address = settings.instance.listen;
    let ttl = settings.instance.addresses_ttl;
    HandlerState {
        addresses: Arc::new(StaticAddress::new(address, cx.data_centre.clone(), ttl)),
        cx,
        settings,
        caller_address: address,
        catalogue: catalogue.clone(),
        catalogue_writer: catalogue.clone(),
        cluster: catalogue,
        directory,
        programs,
        partitions,
        voters: None,
        transport: None,
        membership: None,
        stage: Arc::default(),
    }
}

/// How long a condition may take before a test gives up.
pub const WAIT_LIMIT: Duration = Duration::from_secs(30);

/// Waits until `condition` holds.
pub async fn wait_for<F>(what: &str, condition: F)
where
    F: Fn() -> bool,
{
    let polled = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(WAIT_LIMIT, polled).await.unwrap_or_else(|_| panic!("waited for {what}"));
}

/// Returns the record of one incarnation of a ready endpoint `a`.
pub fn incarnation(started_ms: u64) -> EndpointRecord {
    EndpointRecord {
        id: EndpointName::try_from("a").expect("a name"),
        service: "models".into(),
        address: ([10, 1, 0, 1], 8_000).into(),
        data_centre: "dc".into(),
        slots: 4,
        state: EndpointState::Ready,
        started_ms,
        sequence: 1,
        cold_ms: 0,
        version: "v1".into(),
    }
}

/// Builds the limit that an endpoint named at `at_ms` of the instance's clock, in requests a second.
pub fn stated_limit(endpoint: &str, started_ms: u64, per_second: f64, at_ms: u64) -> StatedLimit {
    StatedLimit {
        endpoint: EndpointName::try_from(endpoint).expect("a name"),
        started_ms,
        limit: RateLimit::try_from(per_second).expect("a limit"),
        stated_at: Timestamp::from_millis(at_ms),
    }
}
