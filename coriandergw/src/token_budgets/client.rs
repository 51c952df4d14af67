//! Reserves and settles from an entry instance, many turns in one command.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use prost::Message as _;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::context::Context;
use crate::events::EventNumber;
use crate::events::Subject;
use crate::ids::EndpointName;
use crate::ids::GroupId;
use crate::log_groups::ProposeError;
use crate::log_groups::ReplicatedLog;
use crate::token_budgets::BudgetError;
use crate::token_budgets::Reservation;
use crate::token_budgets::ReservationOutcome;
use crate::token_budgets::TurnKey;
use crate::token_budgets::generated as raw;

/// The group of the replicated log that holds the budgets.
pub const BUDGET_GROUP: GroupId = GroupId(1);

/// The commands under way at once; further turns wait and share the next one.
const COMMANDS_UNDER_WAY: usize = 4;

/// The turns in one command at most.
const TURNS_PER_COMMAND: usize = 256;

/// How long settlements wait for company when no reservation takes them along.
const SETTLE_COLLECT: Duration = Duration::from_millis(25);

/// How often a settlement is sent again before its reservation is left to count as spent.
const SETTLE_ATTEMPTS: u32 = 6;

/// The wait before a settlement is sent again.
const SETTLE_PAUSE: Duration = Duration::from_millis(500);

type Reply = oneshot::Sender<Result<ReservationOutcome, BudgetError>>;

enum Request {
    Reserve { key: TurnKey, asked: Reservation, reply: Reply },
    Settle { key: TurnKey, tokens: u64, engine: Option<EndpointName> },
}

/// Reserves and settles tokens.
#[derive(Clone)]
pub struct BudgetClient {
    tx: mpsc::UnboundedSender<Request>,
}

impl BudgetClient {
    /// Starts the task that sends commands to the journal group.
    pub fn start(cx: Context, log: Arc<dyn ReplicatedLog>) -> Self {
        let (tx, rx) = mpsc::unbounded_channel();
        let under_way = Arc::new(Semaphore::new(COMMANDS_UNDER_WAY));
        tokio::spawn(Sender { cx, log, under_way }.run(rx));
        Self { tx }
    }

    /// Reserves the most that a turn may generate.
    ///
    /// # Errors
    /// Fails if the journal did not answer; whoever stops to wait settles the turn with nothing.
    pub async fn reserve(
        &self,
        key: TurnKey,
        asked: Reservation,
    ) -> Result<ReservationOutcome, BudgetError> {
        let (reply, verdict) = oneshot::channel();
        let stopped = |_| BudgetError { reason: "the process is stopping".to_owned() };
        let request = Request::Reserve { key, asked, reply };
        self.tx.send(request).map_err(|_| stopped(()))?;
        verdict.await.map_err(|_| stopped(()))?
    }

    /// Replaces a reservation by what was handed out, and tells the engine that ran the turn.
    pub fn settle(&self, key: TurnKey, tokens: u64, engine: Option<EndpointName>) {
        // The task ends only with the process; the reservation then counts as spent.
        let _ = self.tx.send(Request::Settle { key, tokens, engine });
    }
}

#[derive(Default)]
struct Batch {
    command: raw::Command,
    replies: Vec<Reply>,
}

impl Batch {
    fn add(&mut self, request: Request) {
        match request {
            Request::Reserve { key, asked, reply } => {
                let (program, turn) = (key.program.to_string(), key.turn.to_string());
                let Reservation { budget, tokens, engines } = asked;
                let engines = engines.iter().map(ToString::to_string).collect();
                let reserve = raw::Reserve { program, turn, budget, tokens, engines };
                self.command.reserves.push(reserve);
                self.replies.push(reply);
            }
            Request::Settle { key, tokens, engine } => {
                let (program, turn) = (key.program.to_string(), key.turn.to_string());
                let engine = engine.map(|engine| engine.to_string()).unwrap_or_default();
                self.command.settles.push(raw::Settle { program, turn, tokens, engine });
            }
        }
    }

    fn turns(&self) -> usize {
        self.command.reserves.len() + self.command.settles.len()
    }
}

#[derive(Clone)]
struct Sender {
    cx: Context,
    log: Arc<dyn ReplicatedLog>,
    under_way: Arc<Semaphore>,
}

impl Sender {
    async fn run(self, mut rx: mpsc::UnboundedReceiver<Request>) {
        while let Some(first) = rx.recv().await {
            let mut batch = Batch::default();
            batch.add(first);
            if batch.replies.is_empty() {
                collect_settlements(&mut batch, &mut rx).await;
            }
            // The semaphore is never closed.
            let Ok(place) = self.under_way.clone().acquire_owned().await else {
                return;
            };
            while batch.turns() < TURNS_PER_COMMAND {
                let Ok(request) = rx.try_recv() else {
                    break;
                };
                batch.add(request);
            }
            let sender = self.clone();
            tokio::spawn(async move {
                sender.commit(batch).await;
                drop(place);
            });
        }
    }

    async fn commit(&self, batch: Batch) {
        let Batch { mut command, replies } = batch;
        command.wall_ms = self.cx.clock.wall().0;
        let answered = self.propose(&command).await;
        match answered {
            Ok(verdicts) => {
                for (reply, verdict) in replies.into_iter().zip(verdicts) {
                    // Whoever stopped to wait settles the turn.
                    let _ = reply.send(Ok(verdict));
                }
            }
            Err(cause) => {
                self.report(&command, &cause);
                for reply in replies {
                    let _ = reply.send(Err(cause.clone()));
                }
                self.settle_again(command.settles);
            }
        }
    }

    async fn propose(
        &self,
        command: &raw::Command,
    ) -> Result<Vec<ReservationOutcome>, BudgetError> {
        let bytes = Bytes::from(command.encode_to_vec());
        let proposed = self.log.propose(BUDGET_GROUP, bytes).await;
        let answer =
            proposed.map_err(|cause: ProposeError| BudgetError { reason: cause.to_string() })?;
        let answer = raw::Answer::decode(answer)
            .map_err(|cause| BudgetError { reason: cause.to_string() })?;
        if answer.verdicts.len() != command.reserves.len() {
            return Err(BudgetError { reason: "the answer does not fit the command".to_owned() });
        }
        Ok(answer.verdicts.into_iter().map(ReservationOutcome::from).collect())
    }

    /// Sends settlements that may be lost again in the background.
    fn settle_again(&self, settles: Vec<raw::Settle>) {
        if settles.is_empty() {
            return;
        }
        let sender = self.clone();
        tokio::spawn(async move {
            let wall_ms = sender.cx.clock.wall().0;
            let command = raw::Command { settles, wall_ms, ..raw::Command::default() };
            for _ in 0..SETTLE_ATTEMPTS {
                tokio::time::sleep(SETTLE_PAUSE).await;
                match sender.propose(&command).await {
                    Ok(_) => return,
                    Err(cause) => sender.report(&command, &cause),
                }
            }
        });
    }

    fn report(&self, command: &raw::Command, cause: &BudgetError) {
        let detail = format!(
            "reserves={} settles={} {cause}",
            command.reserves.len(),
            command.settles.len()
        );
        self.cx.events.record(EventNumber::JournalLost, Subject::default(), detail);
    }
}

async fn collect_settlements(batch: &mut Batch, rx: &mut mpsc::UnboundedReceiver<Request>) {
    let collected = async {
        while batch.replies.is_empty() && batch.turns() < TURNS_PER_COMMAND {
            match rx.recv().await {
                Some(request) => batch.add(request),
                None => break,
            }
        }
    };
    // What was collected in time goes.
    let _ = tokio::time::timeout(SETTLE_COLLECT, collected).await;
}

impl From<raw::Verdict> for ReservationOutcome {
    fn from(raw: raw::Verdict) -> Self {
        match raw.granted {
            true => {
                Self::Granted { left: raw.left, engine: EndpointName::try_from(raw.engine).ok() }
            }
            false => Self::Denied { left: raw.left },
        }
    }
}
