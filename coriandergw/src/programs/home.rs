//! Serves the programs of the partitions that this instance is the home of.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::sync::OnceCell;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::catalogue::CatalogueView;
use crate::catalogue::Entry;
use crate::clock::Timestamp;
use crate::context::Context;
use crate::dispatch::Dispatcher;
use crate::events::EventNumber;
use crate::events::Subject;
use crate::ids::CallId;
use crate::ids::EntryName;
use crate::ids::Epoch;
use crate::ids::PARTITION_COUNT;
use crate::ids::PartitionId;
use crate::ids::ProgramId;
use crate::leases::Home as HomeAddress;
use crate::leases::Partitions;
use crate::log_groups::ReplicatedLog;
use crate::programs::accept::LiveCall;
use crate::programs::digest;
use crate::programs::handover::InFlightRequests;
use crate::programs::journal::Journal;
use crate::programs::journal::Journals;
use crate::programs::parked::Trees;
use crate::programs::state::Program;
use crate::programs::state::Tree;
use crate::programs::sweep::SettledLeases;
use crate::programs::turn::Turn;
use crate::result_code::Refusal;
use crate::result_code::ResultCode;
use crate::settings::ProgramSettings;
use crate::supervision;

/// The `Retry-After` of a request whose program currently has no home.
pub const NO_HOME_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Runs the programs whose home is this instance.
pub struct Programs {
    pub(super) cx: Context,
    pub(super) catalogue: Arc<dyn CatalogueView>,
    pub(super) partitions: Arc<dyn Partitions>,
    pub(super) settings: ProgramSettings,
    pub(super) journals: Journals,
    pub(super) dispatcher: Arc<dyn Dispatcher>,
    pub(super) homes: Mutex<BTreeMap<PartitionId, Arc<Home>>>,
    pub(super) draining: CancellationToken,
    pub(super) running: watch::Sender<usize>,
    pub(super) in_flight: InFlightRequests,
    pub(super) settled_leases: Mutex<Option<SettledLeases>>,
}

/// The state of one partition that this instance serves under one epoch.
pub(super) struct Home {
    pub partition: PartitionId,
    pub epoch: Epoch,
    pub journal: Journal,
    /// Cancelled when this instance stops serving the partition under this epoch.
    pub lost: CancellationToken,
    /// Set once the programs have been rebuilt from the journal.
    pub loaded: OnceCell<()>,
    pub trees: Mutex<Trees>,
    /// Since when sweeps have found no lease of the partition; `None` while it is held.
    pub lapsed_since: Mutex<Option<Timestamp>>,
}

/// A tree of programs at its home.
#[derive(Default)]
pub(super) struct LiveTree {
    /// Lock order: where both locks are needed, `live` is locked first.
    pub state: Mutex<Tree>,
    /// Serialises appends to the tree's journal.
    pub writer: tokio::sync::Mutex<()>,
    /// The calls in progress.
    pub live: Mutex<HashMap<(ProgramId, CallId), Arc<LiveCall>>>,
    /// Notifies tasks that wait for a change of the state.
    pub changed: Notify,
}

/// A program together with the home and the tree that it belongs to.
#[derive(Clone)]
pub(super) struct ProgramHandle {
    pub home: Arc<Home>,
    pub tree: Arc<LiveTree>,
    pub program: ProgramId,
}

/// Which instance serves a program.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Location {
    /// This instance.
    Here,
    /// Another instance, which requests can be forwarded to.
    Elsewhere(HomeAddress),
    /// No instance at the moment.
    Nowhere,
}

impl Programs {
    /// Starts serving the partitions that this instance holds leases for.
    ///
    /// The journals are stored in the groups 1 to `groups` of `log`.
    pub fn start(
        cx: Context,
        settings: ProgramSettings,
        catalogue: Arc<dyn CatalogueView>,
        partitions: Arc<dyn Partitions>,
        log: Arc<dyn ReplicatedLog>,
        groups: u32,
        dispatcher: Arc<dyn Dispatcher>,
    ) -> Arc<Self> {
        let programs = Arc::new(Self {
            cx,
            settings,
            catalogue,
            partitions,
            journals: Journals::new(log, groups),
            dispatcher,
            homes: Mutex::default(),
            draining: CancellationToken::new(),
            running: watch::Sender::new(0),
            in_flight: InFlightRequests::default(),
            settled_leases: Mutex::default(),
        });
        let sweeping = Self::run_sweeps(Arc::downgrade(&programs));
        tokio::spawn(supervision::finite(programs.cx.clone(), "sweep programs", sweeping));
        programs
    }

    /// Refuses new programs from now on and waits until no call is in progress.
    pub async fn drain(&self) {
        self.draining.cancel();
        // `self` owns the sender, so `wait_for` cannot fail.
        let _ = self.running.subscribe().wait_for(|running| *running == 0).await;
    }

    /// Returns the number of calls in progress.
    pub fn running(&self) -> usize {
        *self.running.borrow()
    }

    /// Returns which instance serves a program.
    pub fn locate(&self, id: &ProgramId) -> Location {
        let partition = id.partition();
        if self.partitions.held(partition, self.cx.clock.now()).is_some() {
            return Location::Here;
        }
        match self.partitions.home(partition) {
            Some(home) if home.instance != self.cx.instance => Location::Elsewhere(home),
            _ => Location::Nowhere,
        }
    }

    /// Returns an instance that can create a new program: this one if it holds any partition,
    /// otherwise a random home.
    pub fn locate_new(&self) -> Location {
        if self.holds_any() {
            return Location::Here;
        }
        let homes =
            (0..PARTITION_COUNT).filter_map(|number| self.partitions.home(PartitionId(number)));
        let others = homes.filter(|home| home.instance != self.cx.instance);
        let mut others: Vec<HomeAddress> = others.collect();
        match others.len() {
            0 => Location::Nowhere,
            count => Location::Elsewhere(others.swap_remove(rand::random_range(0..count))),
        }
    }

    /// Returns the history of a program, oldest turn first.
    ///
    /// # Errors
    /// Refuses an unknown program, a wrong secret and a program that is not served here.
    pub async fn history(
        self: &Arc<Self>,
        id: &ProgramId,
        secret: &str,
    ) -> Result<Vec<Arc<Turn>>, Refusal> {
        let handle = self.open(id, secret).await?;
        handle.read(|program| Ok(program.history.clone()))
    }

    pub(super) fn entry(&self, name: &EntryName) -> Result<Arc<Entry>, Refusal> {
        self.catalogue.entry(name).ok_or_else(|| {
            Refusal::not_run(ResultCode::UnknownEntry, format!("no entry is named {name}"))
        })
    }

    /// Returns the catalogue entry of a program unless it was removed or changed owner.
    pub(super) fn entry_of(&self, program: &Program) -> Result<Arc<Entry>, Refusal> {
        let entry = self.entry(&program.entry)?;
        if entry.owner != program.owner {
            let message = "the program's entry now belongs to another owner";
            return Err(Refusal::not_run(ResultCode::WrongOwner, message));
        }
        Ok(entry)
    }

    /// Returns the program if it is served here and the secret matches.
    pub(super) async fn open(
        self: &Arc<Self>,
        id: &ProgramId,
        secret: &str,
    ) -> Result<ProgramHandle, Refusal> {
        let home = self.home(id.partition()).await?;
        let tree = self.tree(&home, &id.root()).await?;
        let unknown =
            || Refusal::not_run(ResultCode::UnknownProgram, format!("no program is named {id}"));
        let handle = ProgramHandle { home, tree: tree.ok_or_else(unknown)?, program: id.clone() };
        let expected = handle.read(|program| Ok(program.secret_digest))?;
        if digest(secret) != expected {
            let message = "the secret does not match this program";
            return Err(Refusal::not_run(ResultCode::WrongSecret, message));
        }
        Ok(handle)
    }

    /// Returns the home of a partition after its programs have been rebuilt from the journal.
    pub(super) async fn home(
        self: &Arc<Self>,
        partition: PartitionId,
    ) -> Result<Arc<Home>, Refusal> {
        let held = self.partitions.held(partition, self.cx.clock.now());
        let epoch = held.ok_or_else(|| no_home("the program's home is not here"))?;
        let home = self.home_under(partition, epoch);
        let loaded = home.loaded.get_or_try_init(|| self.load(&home)).await;
        if let Err(cause) = loaded {
            self.drop_home_and_record(&home, &cause.to_string());
            return Err(no_home(format!("the program's home is not ready: {cause}")));
        }
        match home.lost.is_cancelled() {
            true => Err(no_home("the program's home is moving")),
            false => Ok(home),
        }
    }

    /// Returns the home of a partition under an epoch, whether or not its programs are loaded.
    ///
    /// A home of another epoch is cancelled and replaced.
    pub(super) fn home_under(&self, partition: PartitionId, epoch: Epoch) -> Arc<Home> {
        let mut homes = self.homes.lock().expect("not poisoned");
        if let Some(home) = homes.get(&partition) {
            if home.epoch == epoch && !home.lost.is_cancelled() {
                return home.clone();
            }
            home.lost.cancel();
        }
        let home = Arc::new(Home {
            partition,
            epoch,
            journal: self.journals.open(partition, epoch),
            lost: CancellationToken::new(),
            loaded: OnceCell::new(),
            trees: Mutex::default(),
            lapsed_since: Mutex::default(),
        });
        homes.insert(partition, home.clone());
        home
    }

    /// Stops serving a partition: from now on no call of it is sent or answered under this epoch.
    pub(super) fn drop_home(&self, home: &Arc<Home>) {
        home.lost.cancel();
        let mut homes = self.homes.lock().expect("not poisoned");
        if homes.get(&home.partition).is_some_and(|known| Arc::ptr_eq(known, home)) {
            homes.remove(&home.partition);
        }
    }

    /// Stops serving a partition and records an event with the reason if it was being served.
    pub(super) fn drop_home_and_record(&self, home: &Arc<Home>, reason: &str) {
        let was_serving = home.loaded.initialized() && !home.lost.is_cancelled();
        self.drop_home(home);
        if was_serving {
            let subject = Subject { epoch: Some(home.epoch.0), ..Subject::default() };
            let message = format!("partition {} dropped: {reason}", home.partition);
            self.cx.events.record(EventNumber::PartitionDropped, subject, message);
        }
    }

    pub(super) fn subject(&self, handle: &ProgramHandle, call: Option<&CallId>) -> Subject {
        Subject {
            program: Some(handle.program.clone()),
            call: call.cloned(),
            epoch: Some(handle.home.epoch.0),
            ..Subject::default()
        }
    }
}

impl ProgramHandle {
    /// Calls `read` with the program's state, which is locked during the call.
    pub fn read<T, F>(&self, read: F) -> Result<T, Refusal>
    where
        F: FnOnce(&Program) -> Result<T, Refusal>,
    {
        let state = self.tree.state.lock().expect("not poisoned");
        read(program_of(&state, &self.program)?)
    }

    /// Waits until `ready` returns a value for the program's state.
    pub async fn wait_for<T, F>(&self, ready: F) -> Result<T, Refusal>
    where
        F: Fn(&Program) -> Result<Option<T>, Refusal>,
    {
        loop {
            let changed = self.tree.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if let Some(found) = self.read(&ready)? {
                return Ok(found);
            }
            changed.await;
        }
    }
}

/// Returns a program of a tree.
pub(super) fn program_of<'a>(tree: &'a Tree, id: &ProgramId) -> Result<&'a Program, Refusal> {
    tree.programs.get(id).ok_or_else(|| {
        Refusal::not_run(ResultCode::UnknownProgram, format!("no program is named {id}"))
    })
}

/// Builds the refusal of a request that was not accepted because its program has no home here.
pub fn no_home<M>(message: M) -> Refusal
where
    M: Into<String>,
{
    Refusal::not_run(ResultCode::NoHome, message).retry_after(NO_HOME_RETRY_AFTER)
}

/// Builds the answer to a request that was accepted before its home was lost.
pub(super) fn home_lost() -> Refusal {
    let message = "the program's home was lost; resend the call under the same call_id";
    Refusal::may_have_run(ResultCode::NoHome, message).retry_after(NO_HOME_RETRY_AFTER)
}

/// Counts a call as in progress until dropped.
pub(super) struct RunningGuard<'a>(&'a watch::Sender<usize>);

impl<'a> RunningGuard<'a> {
    pub fn new(running: &'a watch::Sender<usize>) -> Self {
        running.send_modify(|count| *count += 1);
        Self(running)
    }
}

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        self.0.send_modify(|count| *count = count.saturating_sub(1));
    }
}

/// The number of callers that wait for the answer to a call.
pub(super) type Listeners = AtomicUsize;
