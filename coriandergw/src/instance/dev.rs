//! An instance for a first try: alone, in memory, with embedded stand-ins.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::addresses::StaticAddress;
use crate::catalogue::Entry;
use crate::catalogue::MemoryCatalogue;
use crate::catalogue::RawEntry;
use crate::context::Context;
use crate::dev::start_endpoints;
use crate::dispatch::scheduled::DispatchSettings;
use crate::dispatch::scheduled::ScheduledDispatcher;
use crate::endpoints::Announcement;
use crate::endpoints::directory::Directory;
use crate::endpoints::directory::RENEWAL_INTERVAL;
use crate::endpoints::gossip::NoPeers;
use crate::ids::CONTROL_GROUP;
use crate::ids::GroupId;
use crate::instance::HandlerState;
use crate::instance::RunError;
use crate::instance::context;
use crate::instance::serve::bind;
use crate::instance::serve::serve;
use crate::instance::start_sweeper;
use crate::leases::local::LocalPartitions;
use crate::log_groups::StateMachine;
use crate::log_groups::local::LocalLog;
use crate::programs::JournalState;
use crate::programs::ProgramLivenessClient;
use crate::programs::Programs;
use crate::settings::Settings;
use crate::supervision;

/// The number of journal groups of an instance that is alone.
const JOURNAL_GROUPS: u32 = 1;

/// Runs one instance with embedded stand-ins until a signal asks it to stop.
///
/// # Errors
/// Fails if an address cannot be bound.
pub async fn run_dev(settings: Settings) -> Result<(), RunError> {
    let cx = context(&settings)?;
    let server = bind(&settings).await?;
    let caller_address = server.local_address();
    let directory = Arc::new(Directory::default());
    let endpoints = start_endpoints(&cx.data_centre)
        .await
        .map_err(|cause| RunError::Bind { address: settings.instance.listen, cause })?;
    let renewing = renew_forever(cx.clone(), directory.clone(), endpoints);
    tokio::spawn(supervision::essential(cx.clone(), "renew announcements", renewing));
    let catalogue = Arc::new(MemoryCatalogue::with_entries([default_entry()]));
    let dispatcher = ScheduledDispatcher::start(
        cx.clone(),
        directory.clone(),
        Arc::new(NoPeers),
        DispatchSettings::default(),
    );
    let partitions = Arc::new(LocalPartitions::new(cx.instance.clone(), caller_address));
    let programs = Programs::start(
        cx.clone(),
        settings.programs,
        catalogue.clone(),
        partitions.clone(),
        local_log(&cx),
        JOURNAL_GROUPS,
        dispatcher,
    );
    let homes = ProgramLivenessClient::new(cx.clone(), programs.clone(), partitions.clone(), None);
    let sweeper = start_sweeper(&cx, &directory, homes);
    let shared = Arc::new(HandlerState {
        addresses: one_address(&settings, caller_address),
        cx,
        settings,
        caller_address,
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
    });
    serve(server, shared, || {}).await?;
    sweeper.abort();
    Ok(())
}

fn one_address(settings: &Settings, address: SocketAddr) -> Arc<StaticAddress> {
    let instance = &settings.instance;
    Arc::new(StaticAddress::new(address, instance.data_centre.clone(), instance.addresses_ttl))
}

fn local_log(cx: &Context) -> Arc<LocalLog> {
    let journal: Box<dyn StateMachine> = Box::new(JournalState::default());
    let group = GroupId(CONTROL_GROUP.0 + JOURNAL_GROUPS);
    Arc::new(LocalLog::new(cx.instance.clone(), [(group, journal)]))
}

fn default_entry() -> Entry {
    let raw =
        RawEntry { name: "default".to_owned(), owner: "dev".to_owned(), ..RawEntry::default() };
    Entry::try_from(raw).expect("the default entry is valid")
}

async fn renew_forever(cx: Context, directory: Arc<Directory>, endpoints: Vec<Announcement>) {
    loop {
        for announcement in &endpoints {
            directory.announce(announcement.clone(), cx.clock.now());
        }
        tokio::time::sleep(RENEWAL_INTERVAL).await;
    }
}
