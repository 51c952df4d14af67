//! Creates programs and sub-agents.

use std::sync::Arc;
use std::time::Duration;

use crate::catalogue::Entry;
use crate::clock::WallTime;
use crate::events::EventNumber;
use crate::events::Subject;
use crate::ids::ProgramId;
use crate::programs::append::AppendRetry;
use crate::programs::budget::Amount;
use crate::programs::digest;
use crate::programs::home::LiveTree;
use crate::programs::home::ProgramHandle;
use crate::programs::home::Programs;
use crate::programs::home::no_home;
use crate::programs::home::program_of;
use crate::programs::limits::check_journal;
use crate::programs::limits::check_running;
use crate::programs::record::Creation;
use crate::programs::record::RecordBody;
use crate::programs::request::Budget;
use crate::programs::request::ChildRequest;
use crate::programs::request::ProgramRequest;
use crate::programs::state::Program;
use crate::programs::state::Tree;
use crate::result_code::Refusal;
use crate::result_code::ResultCode;

/// How many random identifiers are tried to find one whose partition is held here.
const MAX_ID_ATTEMPTS: usize = 100_000;

/// The `Retry-After` of a refused creation.
const REFUSED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The answer to the creation of a program.
#[derive(Debug, Clone)]
#[derive(serde::Serialize)]
pub struct CreatedProgram {
    /// The identifier to use in calls.
    pub program: ProgramId,
    /// The secret that requests to the program must carry. It is returned only here.
    pub secret: String,
}

impl Programs {
    /// Creates a program.
    ///
    /// # Errors
    /// Refuses an unknown entry, a budget of zero, and all programs while the instance drains,
    /// cannot confirm its configuration or is the home of no partition.
    pub async fn create(self: &Arc<Self>, req: ProgramRequest) -> Result<CreatedProgram, Refusal> {
        self.check_accepts_programs()?;
        let entry = self.entry(&req.entry)?;
        let budget = checked_budget(&req.budget, &entry)?;
        let id = self.new_root()?;
        let _in_flight = self.begin_request(id.partition());
        let home = self.home(id.partition()).await?;
        let wall = self.cx.clock.wall();
        let deadline = req.deadline_ms.map(|ms| WallTime(wall.0.saturating_add(ms)));
        let secret = new_secret();
        let creation = Creation {
            entry: entry.name.clone(),
            owner: entry.owner.clone(),
            secret_digest: digest(&secret),
            budget,
            parent: None,
            inherit_history: false,
            deadline,
        };
        let handle =
            ProgramHandle { home, tree: Arc::new(LiveTree::default()), program: id.clone() };
        self.append_creation(&handle, creation).await?;
        self.record_created(&handle, &entry);
        Ok(CreatedProgram { program: id, secret })
    }

    async fn append_creation(
        self: &Arc<Self>,
        handle: &ProgramHandle,
        creation: Creation,
    ) -> Result<(), Refusal> {
        // Registered before it is journalled, so that sweeps enforce its limits even if the caller
        // disconnects.
        let tree = handle.tree.clone();
        handle.home.trees.lock().expect("not poisoned").live.insert(handle.program.clone(), tree);
        let body = RecordBody::Created(creation);
        let created = self.append(handle, AppendRetry::Bounded, |_| Ok((body, ()))).await;
        created.map_err(|refusal| {
            handle.home.trees.lock().expect("not poisoned").live.remove(&handle.program);
            // No call can exist yet, as nobody knows the identifier.
            Refusal { not_run: true, ..refusal }
        })
    }

    /// Creates a sub-agent of a program.
    ///
    /// # Errors
    /// Refuses an unknown or ended parent, a wrong secret, a full journal, and a budget that is
    /// zero or that the parent's remaining budget does not cover.
    pub async fn create_child(
        self: &Arc<Self>,
        parent: &ProgramId,
        secret: &str,
        req: ChildRequest,
    ) -> Result<CreatedProgram, Refusal> {
        let handle = self.open(parent, secret).await?;
        let entry = handle.read(|program| self.entry_of(program))?;
        let id = ProgramId::child_from_random(&parent.root(), rand::random());
        let secret = new_secret();
        let secret_digest = digest(&secret);
        let handle = ProgramHandle { program: id.clone(), ..handle };
        let parent = parent.clone();
        let build = move |tree: &Tree| {
            let parent = program_of(tree, &parent)?;
            check_journal(tree)?;
            check_running(parent)?;
            let creation = child_creation(parent, &req, secret_digest)?;
            Ok((RecordBody::Created(creation), ()))
        };
        let created = self.append(&handle, AppendRetry::Bounded, build).await;
        created.map_err(|refusal| Refusal { not_run: true, ..refusal })?;
        self.record_created(&handle, &entry);
        Ok(CreatedProgram { program: id, secret })
    }

    /// Refuses new programs while the instance drains or cannot confirm its configuration.
    ///
    /// # Errors
    /// Refuses with [`ResultCode::Draining`] or [`ResultCode::StaleConfiguration`].
    pub fn check_accepts_programs(&self) -> Result<(), Refusal> {
        if self.draining.is_cancelled() {
            let refusal = Refusal::not_run(ResultCode::Draining, "the instance is shutting down");
            return Err(refusal.retry_after(REFUSED_RETRY_AFTER));
        }
        if !self.partitions.is_fresh(self.cx.clock.now()) {
            let message = "the instance cannot confirm its configuration; use another address";
            let refusal = Refusal::not_run(ResultCode::StaleConfiguration, message);
            return Err(refusal.retry_after(REFUSED_RETRY_AFTER));
        }
        Ok(())
    }

    /// Returns a random identifier whose partition is held here.
    fn new_root(&self) -> Result<ProgramId, Refusal> {
        let now = self.cx.clock.now();
        if self.partitions.all_held(now).is_empty() {
            return Err(no_home("this instance is the home of no partition"));
        }
        (0..MAX_ID_ATTEMPTS)
            .map(|_| ProgramId::from_random(rand::random()))
            .find(|id| self.partitions.held(id.partition(), now).is_some())
            .ok_or_else(|| no_home("found no identifier in a partition held here"))
    }

    /// Returns whether this instance is the home of any partition.
    pub fn holds_any(&self) -> bool {
        !self.partitions.all_held(self.cx.clock.now()).is_empty()
    }

    fn record_created(&self, handle: &ProgramHandle, entry: &Entry) {
        let entry = Some(entry.name.clone());
        let subject = Subject { entry, ..self.subject(handle, None) };
        self.cx.events.record(EventNumber::ProgramCreated, subject, "program created");
    }
}

fn new_secret() -> String {
    hex::encode(rand::random::<[u8; 32]>())
}

fn checked_budget(budget: &Budget, entry: &Entry) -> Result<Amount, Refusal> {
    let limits = &entry.limits;
    let budget = Amount {
        tokens: budget.tokens.unwrap_or(limits.tokens).min(limits.tokens),
        calls: budget.calls.unwrap_or(limits.calls).min(limits.calls),
    };
    check_not_zero(budget)
}

fn check_not_zero(budget: Amount) -> Result<Amount, Refusal> {
    if budget.tokens == 0 || budget.calls == 0 {
        let message = "a budget must allow at least one call and one token";
        return Err(Refusal::not_run(ResultCode::ZeroBudget, message));
    }
    Ok(budget)
}

fn child_creation(
    parent: &Program,
    req: &ChildRequest,
    secret_digest: [u8; 32],
) -> Result<Creation, Refusal> {
    let rest = parent.ledger.remaining();
    let exhausted = || {
        let message = "the parent's budget does not cover the sub-agent's";
        Refusal::not_run(ResultCode::BudgetExhausted, message)
    };
    if rest.tokens == 0 || rest.calls == 0 {
        return Err(exhausted());
    }
    let budget = check_not_zero(Amount {
        tokens: req.budget.tokens.unwrap_or(rest.tokens),
        calls: req.budget.calls.unwrap_or(rest.calls),
    })?;
    if !rest.covers(budget) {
        return Err(exhausted());
    }
    Ok(Creation {
        entry: parent.entry.clone(),
        owner: parent.owner.clone(),
        secret_digest,
        budget,
        parent: Some(parent.id.clone()),
        inherit_history: req.inherit_history,
        deadline: parent.deadline,
    })
}
