//! Kept turns on the way of a request: what came before a turn is put before its input, and the
//! turn is written before the end of its answer is passed on.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use tokio::time::Instant;

use crate::clock::Clock;
use crate::forwarding::AccountHeader;
use crate::forwarding::RequestHeaders;
use crate::forwarding::attempt::UpstreamRequest;
use crate::forwarding::event_data::event_data;
use crate::forwarding::events::events_through;
use crate::forwarding::forwarder::Forwarder;
use crate::forwarding::forwarder::RequestPlan;
use crate::kept_turns::Chain;
use crate::kept_turns::FindError;
use crate::kept_turns::KeepError;
use crate::kept_turns::KeptTurns;
use crate::kept_turns::TurnKey;
use crate::kept_turns::TurnRecord;
use crate::result_code::Refusal;
use crate::result_code::ResultCode;
use crate::supervision;
use crate::transport::PAYLOAD_MAX_BYTES;

/// The timeout of a look-up. An instance that restarts is back within it, and a caller that gets a
/// refusal after it has time left for another attempt.
const FIND_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The timeout of a write; long enough that lost instances leave the list of live ones.
const KEEP_TIMEOUT: Duration = Duration::from_millis(2_000);

/// When a turn that is refused for lack of journal instances should come back. Callers try a few
/// times only, and a journal instance takes a second or more to restart.
const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_millis(500);

/// How long the events of a broken stream may take to be kept before its caller sees the break. It
/// stays below the time that a stopping process leaves for its last answers.
const PARTIAL_WAIT: Duration = Duration::from_millis(80);

/// The look-ups of a broken stream, and the pause between them: its events are written after its
/// caller left, so the first look-up of a prompt resumption may come too early.
const PARTIAL_LOOK_UPS: u32 = 3;
const PARTIAL_PAUSE: Duration = Duration::from_millis(50);

/// How much longer than promised a turn is kept. It covers the time between the write and the end
/// of the answer, and differences between the clocks of instances.
const EXPIRY_MARGIN: Duration = Duration::from_secs(5);

/// The most that a prompt may have, as a multiple of the limit on bodies.
const PROMPT_BODIES_MAX: usize = 4;

/// The most that a prompt may have in any case, and the most that the input and the events of a turn
/// may have together. A chain is read in one message between instances; the rest of the message is
/// for the last output and the names.
const KEPT_MAX_BYTES: usize = PAYLOAD_MAX_BYTES - (1 << 20);

/// The attempt whose stream a caller resumes.
struct Resumed {
    attempt: Arc<str>,
    /// The output of that attempt, if it was kept whole although its caller did not get the end.
    whole_output: Option<Bytes>,
}

/// A turn on a route that keeps turns. If it is dropped before it was written, its events so far are
/// written in the background, for a resumption.
pub(super) struct KeptTurn {
    kept_turns: Arc<dyn KeptTurns>,
    clock: Arc<dyn Clock>,
    key: TurnKey,
    /// The turns before this one.
    chain: Chain,
    input: Bytes,
    retention: Duration,
    resumed: Option<Resumed>,
    is_resumable: bool,
    /// The events as they were passed on, with those that a resumed attempt brought.
    events: BytesMut,
    has_unkept_events: bool,
}

impl Forwarder {
    /// On a route that keeps turns, puts the chain of the turn before its input.
    ///
    /// # Errors
    /// Refuses a turn whose chain does not exist, cannot be read or is too long.
    pub(super) async fn prepend_chain(
        &self,
        plan: &mut RequestPlan,
        upstream_request: &mut UpstreamRequest,
    ) -> Result<(), Refusal> {
        let Some(retention) = plan.route.retention.filter(|_| plan.route.retry_policy.is_stream())
        else {
            return Ok(());
        };
        let time_left = plan.deadline.saturating_duration_since(Instant::now());
        self.wait_until_known(time_left, || self.kept_turns.check_writable().is_ok()).await;
        self.kept_turns.check_writable().map_err(|cause| unavailable(&cause))?;
        let head = &upstream_request.head;
        let account: Arc<str> = match &plan.account {
            AccountHeader::Named(name) => name.clone(),
            AccountHeader::AsSent | AccountHeader::Anonymous => "".into(),
        };
        let mut turn = KeptTurn {
            kept_turns: self.kept_turns.clone(),
            clock: self.cx.clock.clone(),
            key: TurnKey { account, turn: head.attempt.clone() },
            chain: Chain::default(),
            input: upstream_request.body.clone(),
            retention,
            resumed: None,
            is_resumable: plan.route.retry_policy.allows_retry(),
            events: BytesMut::new(),
            has_unkept_events: false,
        };
        match head.last_event {
            Some(last_event) => turn.resume(head, last_event, plan.deadline).await?,
            None => turn.find_chain(head, plan.deadline).await?,
        }
        let limit = self.caller_limits().body_bytes.saturating_mul(PROMPT_BODIES_MAX);
        upstream_request.body = turn.prompt(limit.min(KEPT_MAX_BYTES))?;
        plan.kept = Some(turn);
        Ok(())
    }
}

impl KeptTurn {
    async fn find(&self, turn: &Arc<str>, deadline: Instant) -> Result<Chain, FindError> {
        let key = TurnKey { account: self.key.account.clone(), turn: turn.clone() };
        let time_left = deadline.saturating_duration_since(Instant::now());
        // A refusal must reach the caller before it gives up.
        let limit = Instant::now() + FIND_TIMEOUT.min(time_left / 2);
        self.kept_turns.find(&key, self.retention, limit).await
    }

    /// Finds the chain of a turn that is not resumed.
    async fn find_chain(
        &mut self,
        head: &RequestHeaders,
        deadline: Instant,
    ) -> Result<(), Refusal> {
        let Some(previous) = &head.previous_turn else {
            return Ok(());
        };
        let chain = self.find(previous, deadline).await.map_err(|cause| match cause {
            FindError::Unknown => Refusal::not_run(ResultCode::UnknownTurn, cause.to_string()),
            FindError::Uncertain { .. } => unavailable(&cause),
        })?;
        if chain.records.last().is_none_or(|record| record.is_partial) {
            return Err(unavailable(&"the answer of that turn was broken off"));
        }
        self.chain = chain;
        Ok(())
    }

    /// Finds the chain of a turn that its caller resumes, and the events that came before.
    async fn resume(
        &mut self,
        head: &RequestHeaders,
        last_event: u64,
        deadline: Instant,
    ) -> Result<(), Refusal> {
        let missing = "the events before the resumption are not kept";
        let resumes = head.resumes.as_ref().ok_or_else(|| unavailable(&missing))?;
        let mut look_ups = 0;
        let mut chain = loop {
            look_ups += 1;
            match self.find(resumes, deadline).await {
                Ok(chain) => break chain,
                Err(FindError::Unknown) if look_ups < PARTIAL_LOOK_UPS => {
                    tokio::time::sleep(PARTIAL_PAUSE).await;
                }
                Err(FindError::Unknown) => return Err(unavailable(&missing)),
                Err(cause) => return Err(unavailable(&cause)),
            }
        };
        let before = chain.records.pop().ok_or_else(|| unavailable(&missing))?;
        let is_same = head.previous_turn.is_none() || before.previous == head.previous_turn;
        if !is_same || before.input != self.input {
            let message = "the resumed attempt has another input or another previous turn";
            return Err(Refusal::not_run(ResultCode::MalformedRequest, message));
        }
        let whole_output = (!before.is_partial).then(|| before.output.clone());
        if before.is_partial {
            let events = events_through(&before.output, last_event);
            self.events = BytesMut::from(events.ok_or_else(|| unavailable(&missing))?);
        }
        self.chain = chain;
        self.resumed = Some(Resumed { attempt: resumes.clone(), whole_output });
        Ok(())
    }

    /// Returns the body for the endpoint: the input and the output of each turn of the chain, then
    /// the new input.
    fn prompt(&self, limit_bytes: usize) -> Result<Bytes, Refusal> {
        let records = self.chain.records.iter();
        let parts = records.flat_map(|record| [&record.input, &record.output]);
        let bytes: usize = parts.clone().map(Bytes::len).sum::<usize>() + self.input.len();
        if bytes > limit_bytes {
            let message = format!(
                "the turn and those before it have {bytes} bytes, the limit is {limit_bytes}"
            );
            return Err(Refusal::not_run(ResultCode::BodyTooLarge, message));
        }
        if self.chain.records.is_empty() {
            return Ok(self.input.clone());
        }
        let mut prompt = BytesMut::with_capacity(bytes);
        parts.for_each(|part| prompt.extend_from_slice(part));
        prompt.extend_from_slice(&self.input);
        Ok(prompt.freeze())
    }

    /// Adds events that are passed on.
    ///
    /// # Errors
    /// Fails if the turn gets too large to be kept.
    pub(super) fn add_events(&mut self, events: &[u8]) -> Result<(), String> {
        if self.input.len() + self.events.len() + events.len() > KEPT_MAX_BYTES {
            return Err(format!("the turn exceeds the limit of {KEPT_MAX_BYTES} bytes"));
        }
        self.events.extend_from_slice(events);
        self.has_unkept_events = true;
        Ok(())
    }

    /// Writes the whole turn. The write goes on if the future is dropped.
    ///
    /// # Errors
    /// Says why the turn is not kept, so that the end of its answer must not be passed on.
    pub(super) async fn keep(&mut self) -> Result<(), String> {
        self.has_unkept_events = false;
        let data = event_data(&self.events);
        let whole = self.resumed.as_ref().and_then(|resumed| resumed.whole_output.clone());
        let records = match whole {
            Some(output) if !output.ends_with(&data) => {
                return Err("the resumed answer differs from the one that is kept".to_owned());
            }
            Some(output) => vec![self.record(self.key.turn.clone(), output, false)],
            None => self.records(&data, false),
        };
        let writing = self.write(records);
        let (sender, kept) = tokio::sync::oneshot::channel();
        tokio::spawn(supervision::isolated("keep a turn", async move {
            // The receiver is gone if the caller left; the turn is kept all the same.
            let _ = sender.send(writing.await);
        }));
        match kept.await {
            Ok(result) => result.map_err(|cause| cause.to_string()),
            Err(_) => Err("the task that writes the turn failed".to_owned()),
        }
    }

    /// Writes the events of a stream that is broken off, and waits for that for a short time.
    pub(super) async fn keep_partial(&mut self) {
        if let Some(written) = self.start_partial() {
            // Without an answer in time, the write goes on in the background.
            let _ = tokio::time::timeout(PARTIAL_WAIT, written).await;
        }
    }

    fn start_partial(&mut self) -> Option<tokio::task::JoinHandle<()>> {
        let is_whole = self.resumed.as_ref().is_some_and(|one| one.whole_output.is_some());
        if !std::mem::take(&mut self.has_unkept_events) || is_whole || !self.is_resumable {
            return None;
        }
        let runtime = tokio::runtime::Handle::try_current().ok()?;
        let writing = self.write(self.records(&self.events.clone().freeze(), true));
        Some(runtime.spawn(supervision::isolated("keep a partial turn", async move {
            if let Err(cause) = writing.await {
                log::warn!("the events of a stream that broke off are not kept: {cause}");
            }
        })))
    }

    /// Returns the records of this turn under each attempt that its answer took.
    fn records(&self, output: &Bytes, is_partial: bool) -> Vec<TurnRecord> {
        let resumed = self.resumed.as_ref().map(|resumed| resumed.attempt.clone());
        let attempts = std::iter::once(self.key.turn.clone()).chain(resumed);
        attempts.map(|attempt| self.record(attempt, output.clone(), is_partial)).collect()
    }

    fn record(&self, attempt: Arc<str>, output: Bytes, is_partial: bool) -> TurnRecord {
        let kept_for = self.retention.saturating_add(EXPIRY_MARGIN);
        let last = self.chain.records.last();
        TurnRecord {
            key: TurnKey { account: self.key.account.clone(), turn: attempt.clone() },
            previous: last.map(|record| record.key.turn.clone()),
            root: last.map_or(attempt, |record| record.root.clone()),
            input: self.input.clone(),
            output,
            expires_ms: self.clock.wall().0 + kept_for.as_millis() as u64,
            is_partial,
        }
    }

    /// Returns the writing of records, which does not borrow the turn.
    fn write(
        &self,
        records: Vec<TurnRecord>,
    ) -> impl Future<Output = Result<(), KeepError>> + Send + use<> {
        let (kept_turns, chain) = (self.kept_turns.clone(), self.chain.clone());
        let deadline = Instant::now() + KEEP_TIMEOUT;
        async move {
            let writes =
                records.into_iter().map(|record| kept_turns.keep(record, &chain, deadline));
            futures_util::future::try_join_all(writes).await.map(|_| ())
        }
    }
}

impl Drop for KeptTurn {
    fn drop(&mut self) {
        // The caller left, or the request was stopped.
        drop(self.start_partial());
    }
}

fn unavailable<C>(cause: &C) -> Refusal
where
    C: std::fmt::Display,
{
    let refusal = Refusal::not_run(ResultCode::TurnUnavailable, cause.to_string());
    refusal.retry_after(UNAVAILABLE_RETRY_AFTER)
}
