//! An instance of a cluster.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::Weak;

use crate::addresses::Address;
use crate::addresses::ClusterAddresses;
use crate::context::Context;
use crate::control::ControlMachine;
use crate::control::SharedControlState;
use crate::dispatch::scheduled::DispatchSettings;
use crate::dispatch::scheduled::ScheduledDispatcher;
use crate::endpoints::directory::Directory;
use crate::endpoints::gossip::Gossip;
use crate::events::EventNumber;
use crate::events::Subject;
use crate::ids::CONTROL_GROUP;
use crate::ids::GroupId;
use crate::instance::HandlerState;
use crate::instance::RunError;
use crate::instance::adapters::RegisteredPeers;
use crate::instance::context;
use crate::instance::serve::bind;
use crate::instance::serve::serve;
use crate::instance::start_sweeper;
use crate::leases;
use crate::leases::ControlClient;
use crate::leases::Registration;
use crate::leases::StoreRole;
use crate::log_groups::ReplicatedLog;
use crate::log_groups::StateMachine;
use crate::log_groups::client::LogClient;
use crate::log_groups::node::LogNode;
use crate::log_groups::node::LogOptions;
use crate::log_groups::node::SNAPSHOT_EVERY_ENTRIES;
use crate::log_groups::voters::Voters;
use crate::membership::Membership;
use crate::programs::JournalState;
use crate::programs::ProgramLivenessClient;
use crate::programs::ProgramLivenessHandler;
use crate::programs::Programs;
use crate::settings::Settings;
use crate::storage::file_disk::FileDisk;
use crate::supervision;
use crate::transport::Kind;
use crate::transport::Transport;
use crate::transport::quic::QuicTransport;
use crate::transport::quic::StartError;
use crate::transport::tls::KeyFiles;
use crate::transport::tls::TlsConfigs;

/// The log as an instance sees it, and what only a store instance has of it.
struct LogSide {
    log: Arc<dyn ReplicatedLog>,
    node: Option<Arc<LogNode>>,
    store: Option<StoreRole>,
}

/// Runs one instance until a signal asks it to stop.
///
/// # Errors
/// Fails if keys or the data folder cannot be used or an address cannot be bound.
pub async fn run(settings: Settings) -> Result<(), RunError> {
    let cx = context(&settings)?;
    cx.events.record(EventNumber::InstanceStarted, Subject::default(), "started");
    let server = bind(&settings).await?;
    let caller_address = settings.instance.advertise.unwrap_or(server.local_address());
    let (transport, peer_address) = start_transport(&cx, &settings)?;
    let LogSide { log, node, store } = start_log(&cx, &settings, transport.clone())?;
    let registration = registration(&settings, caller_address, peer_address);
    let control = leases::start(cx.clone(), transport.clone(), log.clone(), registration, store)
        .map_err(|cause| RunError::Control { cause })?;
    let peers = Arc::new(RegisteredPeers { control: control.clone(), name: cx.instance.clone() });
    let seeds = settings.cluster.peers.keys().cloned().collect();
    let timing = settings.membership;
    let membership = Membership::start(cx.clone(), transport.clone(), seeds, peers.clone(), timing);
    control.set_liveness(membership.clone());
    let directory = Arc::new(Directory::default());
    let _gossip = Gossip::start(cx.clone(), directory.clone(), transport.clone(), peers.clone());
    let dispatcher = ScheduledDispatcher::start(
        cx.clone(),
        directory.clone(),
        peers,
        DispatchSettings::default(),
    );
    let programs = Programs::start(
        cx.clone(),
        settings.programs,
        control.clone(),
        control.clone(),
        log,
        settings.cluster.journal_groups,
        dispatcher,
    );
    control.set_handover_gate(programs.clone());
    transport.register(Kind::Programs, Arc::new(ProgramLivenessHandler(programs.clone())));
    let homes = ProgramLivenessClient::new(
        cx.clone(),
        programs.clone(),
        control.clone(),
        Some(transport.clone()),
    );
    let sweeper = start_sweeper(&cx, &directory, homes);
    let shared = Arc::new(HandlerState {
        addresses: addresses(&settings, control.clone(), membership.clone(), caller_address),
        cx,
        settings,
        caller_address,
        catalogue: control.clone(),
        catalogue_writer: control.clone(),
        cluster: control.clone(),
        directory,
        programs,
        partitions: control.clone(),
        voters: node.clone().map(|node| node as Arc<dyn Voters>),
        transport: Some(transport.clone()),
        membership: Some(membership.clone()),
        stage: Arc::default(),
    });
    let leave = || {
        membership.leave();
        control.leave();
    };
    serve(server, shared, leave).await?;
    sweeper.abort();
    control.stop();
    if let Some(node) = node {
        node.stop().await;
    }
    transport.close();
    Ok(())
}

fn start_transport(
    cx: &Context,
    settings: &Settings,
) -> Result<(Arc<QuicTransport>, SocketAddr), RunError> {
    let files = settings.keys.as_ref().ok_or(RunError::NoKeys)?;
    let tls = TlsConfigs::load(files).map_err(|cause| RunError::Keys { cause })?;
    let peers = settings.cluster.peers.clone();
    let listen = settings.instance.peer_listen;
    let bind_error = |cause| RunError::Bind { address: listen, cause };
    let transport = QuicTransport::start(listen, tls, peers, cx)
        .map_err(|StartError::Bind { cause, .. }| bind_error(cause))?;
    let address = transport.local_address().map_err(bind_error)?;
    println!("coriandergw {} peers at {address}", cx.instance);
    let reloading = reload_keys(cx.clone(), files.clone(), Arc::downgrade(&transport));
    tokio::spawn(supervision::finite(cx.clone(), "reload the keys", reloading));
    Ok((transport, address))
}

/// Loads the keys again on each hang-up signal.
async fn reload_keys(cx: Context, files: KeyFiles, transport: Weak<QuicTransport>) {
    let hang_up = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::hangup());
    let mut hang_up = hang_up.expect("signals can be waited for");
    while hang_up.recv().await.is_some() {
        let Some(transport) = transport.upgrade() else {
            return;
        };
        let (number, message) = match TlsConfigs::load(&files) {
            Ok(tls) => {
                transport.reload(tls);
                (EventNumber::KeysReloaded, "other keys are in use".to_owned())
            }
            Err(cause) => (EventNumber::KeysRefused, cause.to_string()),
        };
        cx.events.record(number, Subject::default(), message);
    }
}

fn start_log(
    cx: &Context,
    settings: &Settings,
    transport: Arc<QuicTransport>,
) -> Result<LogSide, RunError> {
    let voters = settings.cluster.voters.clone();
    let Some(folder) = &settings.data else {
        let log = Arc::new(LogClient::new(transport, voters));
        return Ok(LogSide { log, node: None, store: None });
    };
    let state = SharedControlState::default();
    let options = log_options(settings, folder, state.clone())?;
    let node =
        LogNode::start(cx.clone(), transport, options).map_err(|cause| RunError::Log { cause })?;
    let store = StoreRole { state, leadership: node.clone() };
    Ok(LogSide { log: node.clone(), node: Some(node), store: Some(store) })
}

fn log_options(
    settings: &Settings,
    folder: &Path,
    state: SharedControlState,
) -> Result<LogOptions, RunError> {
    let unusable = |cause| RunError::DataFolder { folder: folder.to_owned(), cause };
    let mut groups: Vec<(GroupId, Box<dyn StateMachine>)> =
        vec![(CONTROL_GROUP, Box::new(ControlMachine::new(state)))];
    for number in 1..=settings.cluster.journal_groups {
        groups.push((GroupId(number), Box::new(JournalState::default())));
    }
    Ok(LogOptions {
        cluster: settings.cluster.name.clone(),
        voters: settings.cluster.voters.clone(),
        disk: Arc::new(FileDisk::open(folder).map_err(unusable)?),
        groups,
        snapshot_every: SNAPSHOT_EVERY_ENTRIES,
        has_leases: true,
    })
}

fn registration(
    settings: &Settings,
    caller_address: SocketAddr,
    peer_address: SocketAddr,
) -> Registration {
    Registration {
        caller_address,
        peer_address,
        voters: settings.cluster.voters.clone(),
        freshness_limit: settings.cluster.freshness_limit,
        data: settings.data.clone(),
    }
}

fn addresses(
    settings: &Settings,
    control: Arc<ControlClient>,
    membership: Arc<Membership>,
    caller_address: SocketAddr,
) -> Arc<ClusterAddresses> {
    let instance = &settings.instance;
    let own = Address { address: caller_address, data_centre: instance.data_centre.clone() };
    let (name, ttl) = (instance.name.clone(), instance.addresses_ttl);
    Arc::new(ClusterAddresses::new(control, membership, name, own, ttl))
}
