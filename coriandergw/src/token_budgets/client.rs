//! Sends the reservations and settlements of an entry instance, several turns in one command.

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
use crate::supervision;
use crate::token_budgets::BudgetError;
use crate::token_budgets::ProposedEngine;
use crate::token_budgets::Reservation;
use crate::token_budgets::ReservationOutcome;
use crate::token_budgets::TurnKey;
use crate::token_budgets::generated as raw;

/// The replicated log group that holds the budgets: the journal group.
pub const BUDGET_GROUP: GroupId = GroupId(1);

/// The maximum number of commands in flight. Further turns wait and share the next command.
const MAX_COMMANDS_IN_FLIGHT: usize = 4;

/// The maximum number of reservations and settlements in one command.
const MAX_TURNS_PER_COMMAND: usize = 256;

/// How long settlements are collected into one command if no reservation arrives to be sent with
/// them.
const SETTLE_BATCH_DELAY: Duration = Duration::from_millis(25);

/// The number of retries of a failed settlement. After the last one, its reservation counts as
/// spent.
const MAX_SETTLE_RETRIES: u32 = 6;

/// The delay before each retry of a settlement.
const SETTLE_RETRY_DELAY: Duration = Duration::from_millis(500);

type Reply = oneshot::Sender<Result<ReservationOutcome, BudgetError>>;

enum Request {
    Reserve { key: TurnKey, reservation: Reservation, reply: Reply },
    Bind { key: TurnKey, version: Arc<str>, reply: oneshot::Sender<Result<(), BudgetError>> },
    Settle { key: TurnKey, tokens: u64, engine: Option<ProposedEngine> },
}

/// Reserves and settles tokens of program budgets. Clones share one background task.
#[derive(Clone)]
pub struct BudgetClient {
    tx: mpsc::UnboundedSender<Request>,
}

impl BudgetClient {
    /// Starts the background task that sends commands to the journal group.
    pub fn start(cx: Context, log: Arc<dyn ReplicatedLog>) -> Self {
        let (tx, rx) = mpsc::unbounded_channel();
        let in_flight = Arc::new(Semaphore::new(MAX_COMMANDS_IN_FLIGHT));
        let sending = CommandSender { cx: cx.clone(), log, in_flight }.run(rx);
        tokio::spawn(supervision::finite(cx, "send budget commands", sending));
        Self { tx }
    }

    /// Reserves the maximum number of tokens that a turn may generate.
    ///
    /// # Errors
    /// Fails if the journal did not answer. A caller that stops waiting must settle the turn with
    /// 0 tokens.
    pub async fn reserve(
        &self,
        key: TurnKey,
        reservation: Reservation,
    ) -> Result<ReservationOutcome, BudgetError> {
        let (reply, outcome) = oneshot::channel();
        let stopping = |_| BudgetError { reason: "the process is stopping".to_owned() };
        let request = Request::Reserve { key, reservation, reply };
        self.tx.send(request).map_err(|_| stopping(()))?;
        outcome.await.map_err(|_| stopping(()))?
    }

    /// Records the software version that the events of a turn come from.
    ///
    /// # Errors
    /// Fails if the journal did not answer.
    pub async fn bind(&self, key: TurnKey, version: Arc<str>) -> Result<(), BudgetError> {
        let (reply, outcome) = oneshot::channel();
        let stopping = |_| BudgetError { reason: "the process is stopping".to_owned() };
        self.tx.send(Request::Bind { key, version, reply }).map_err(|_| stopping(()))?;
        outcome.await.map_err(|_| stopping(()))?
    }

    /// Replaces a reservation by the number of tokens delivered, and records the engine that ran
    /// the turn.
    pub fn settle(&self, key: TurnKey, tokens: u64, engine: Option<ProposedEngine>) {
        // Sending fails only while the process stops; the reservation then counts as spent.
        let _ = self.tx.send(Request::Settle { key, tokens, engine });
    }
}

#[derive(Default)]
struct Batch {
    command: raw::Command,
    replies: Vec<Reply>,
    bind_replies: Vec<oneshot::Sender<Result<(), BudgetError>>>,
}

impl Batch {
    fn add(&mut self, request: Request) {
        match request {
            Request::Reserve { key, reservation, reply } => {
                let (program, turn) = (key.program.to_string(), key.turn.to_string());
                let Reservation { budget, tokens, engines, resumes } = reservation;
                let versions = engines.iter().map(|engine| engine.version.to_string()).collect();
                let limited = engines.iter().map(|engine| engine.is_limited).collect();
                let engines = engines.iter().map(|engine| engine.name.to_string()).collect();
                let resumes = resumes.map(|turn| turn.to_string()).unwrap_or_default();
                let reserve = raw::Reserve {
                    program,
                    turn,
                    budget,
                    tokens,
                    engines,
                    versions,
                    resumes,
                    limited,
                };
                self.command.reserves.push(reserve);
                self.replies.push(reply);
            }
            Request::Settle { key, tokens, engine } => {
                let (program, turn) = (key.program.to_string(), key.turn.to_string());
                let (engine, version) = engine
                    .map(|engine| (engine.name.to_string(), engine.version.to_string()))
                    .unwrap_or_default();
                self.command.settles.push(raw::Settle { program, turn, tokens, engine, version });
            }
            Request::Bind { key, version, reply } => {
                let (program, turn) = (key.program.to_string(), key.turn.to_string());
                let version = version.to_string();
                self.command.binds.push(raw::Bind { program, turn, version });
                self.bind_replies.push(reply);
            }
        }
    }

    fn turns(&self) -> usize {
        self.command.reserves.len() + self.command.settles.len() + self.command.binds.len()
    }

    /// Returns whether a request waits for the result of the command.
    fn is_awaited(&self) -> bool {
        !self.replies.is_empty() || !self.bind_replies.is_empty()
    }
}

#[derive(Clone)]
struct CommandSender {
    cx: Context,
    log: Arc<dyn ReplicatedLog>,
    in_flight: Arc<Semaphore>,
}

impl CommandSender {
    async fn run(self, mut rx: mpsc::UnboundedReceiver<Request>) {
        while let Some(first) = rx.recv().await {
            let mut batch = Batch::default();
            batch.add(first);
            if !batch.is_awaited() {
                collect_settlements(&mut batch, &mut rx).await;
            }
            // The semaphore is never closed.
            let Ok(permit) = self.in_flight.clone().acquire_owned().await else {
                return;
            };
            while batch.turns() < MAX_TURNS_PER_COMMAND {
                let Ok(request) = rx.try_recv() else {
                    break;
                };
                batch.add(request);
            }
            let sender = self.clone();
            let sending = async move {
                sender.send_batch(batch).await;
                drop(permit);
            };
            tokio::spawn(supervision::isolated("send a budget command", sending));
        }
    }

    async fn send_batch(&self, batch: Batch) {
        let Batch { mut command, replies, bind_replies } = batch;
        command.wall_ms = self.cx.clock.wall().0;
        let result = self.propose(&command).await;
        match result {
            Ok(verdicts) => {
                for (reply, verdict) in replies.into_iter().zip(verdicts) {
                    // Sending fails if the caller has stopped waiting; it then settles the turn.
                    let _ = reply.send(Ok(verdict));
                }
                for reply in bind_replies {
                    // Sending fails if the stream has ended.
                    let _ = reply.send(Ok(()));
                }
            }
            Err(cause) => {
                self.record_failure(&command, &cause);
                for reply in replies {
                    let _ = reply.send(Err(cause.clone()));
                }
                for reply in bind_replies {
                    let _ = reply.send(Err(cause.clone()));
                }
                self.retry_settlements(command.settles);
            }
        }
    }

    async fn propose(
        &self,
        command: &raw::Command,
    ) -> Result<Vec<ReservationOutcome>, BudgetError> {
        let bytes = Bytes::from(command.encode_to_vec());
        let result = self.log.propose(BUDGET_GROUP, bytes).await;
        let answer =
            result.map_err(|cause: ProposeError| BudgetError { reason: cause.to_string() })?;
        let answer = raw::Answer::decode(answer)
            .map_err(|cause| BudgetError { reason: cause.to_string() })?;
        if answer.verdicts.len() != command.reserves.len() {
            return Err(BudgetError {
                reason: "the answer does not have one verdict for each reservation".to_owned(),
            });
        }
        Ok(answer.verdicts.into_iter().map(ReservationOutcome::from).collect())
    }

    /// Retries the settlements of a failed command in the background. The command may have been
    /// applied nevertheless; settling a turn twice has no effect.
    fn retry_settlements(&self, settles: Vec<raw::Settle>) {
        if settles.is_empty() {
            return;
        }
        let sender = self.clone();
        let retrying = async move {
            let wall_ms = sender.cx.clock.wall().0;
            let command = raw::Command { settles, wall_ms, ..raw::Command::default() };
            for _ in 0..MAX_SETTLE_RETRIES {
                tokio::time::sleep(SETTLE_RETRY_DELAY).await;
                match sender.propose(&command).await {
                    Ok(_) => return,
                    Err(cause) => sender.record_failure(&command, &cause),
                }
            }
        };
        tokio::spawn(supervision::isolated("retry settlements", retrying));
    }

    fn record_failure(&self, command: &raw::Command, cause: &BudgetError) {
        let detail = format!(
            "reserves={} settles={} {cause}",
            command.reserves.len(),
            command.settles.len()
        );
        self.cx.events.record(EventNumber::JournalLost, Subject::default(), detail);
    }
}

async fn collect_settlements(batch: &mut Batch, rx: &mut mpsc::UnboundedReceiver<Request>) {
    let collect = async {
        while !batch.is_awaited() && batch.turns() < MAX_TURNS_PER_COMMAND {
            match rx.recv().await {
                Some(request) => batch.add(request),
                None => break,
            }
        }
    };
    // At the timeout, the batch holds what has arrived so far.
    let _ = tokio::time::timeout(SETTLE_BATCH_DELAY, collect).await;
}

impl From<raw::Verdict> for ReservationOutcome {
    fn from(raw: raw::Verdict) -> Self {
        match raw.granted {
            true => Self::Granted {
                left: raw.left,
                engine: EndpointName::try_from(raw.engine).ok(),
                version: (!raw.version.is_empty()).then(|| raw.version.into()),
            },
            false => Self::Denied { left: raw.left },
        }
    }
}
