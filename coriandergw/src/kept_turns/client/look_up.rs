//! Looks a chain up.

use std::collections::BTreeSet;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::time::Instant;

use crate::ids::DataCentre;
use crate::ids::InstanceName;
use crate::kept_turns::Chain;
use crate::kept_turns::FindError;
use crate::kept_turns::TurnKey;
use crate::kept_turns::certainty::HolderAnswer;
use crate::kept_turns::certainty::LookUpScope;
use crate::kept_turns::client::KeptTurnsClient;
use crate::kept_turns::client::messages::call;
use crate::kept_turns::client::messages::decode_chain;
use crate::kept_turns::generated as raw;
use crate::kept_turns::holders::KnownHolders;
use crate::kept_turns::placement::Holder;
use crate::kept_turns::wire::encode_request;
use crate::rendezvous::hash_of;

/// How long only the instances of the own data centre are asked. A disk there answers within a few
/// milliseconds; asking the others costs traffic between data centres.
const LOCAL_WAIT: Duration = Duration::from_millis(15);

/// How long the instances of one more data centre are asked before those of the next one are; above
/// a round trip and the read.
const FAR_WAIT: Duration = Duration::from_millis(40);

/// How long one call may take. A chain of some hundred turns is read from disk within this time; a
/// restarted instance is asked again before the look-up ends.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);

/// The pause before an instance that did not answer is asked again; above the pause of the
/// transport after a refused connection.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// How long a whole record is waited for after a partial one was found; several round trips between
/// data centres.
const WHOLE_WAIT: Duration = Duration::from_millis(100);

/// How often instances that are listed meanwhile are added: those that restart, for example after
/// a loss of power.
const REFRESH_INTERVAL: Duration = Duration::from_millis(100);

/// What an instance answered.
enum Answer {
    Chain(Chain),
    Other(HolderAnswer),
}

/// The answers so far.
struct LookUp {
    scope: LookUpScope,
    is_complete: bool,
    answers: Vec<HolderAnswer>,
    /// The longest chain that ends with a partial record.
    partial: Option<Chain>,
}

impl LookUp {
    fn new(scope: LookUpScope) -> Self {
        Self { scope, is_complete: false, answers: Vec::new(), partial: None }
    }

    /// Notes which instances may hold the turn as far as is known now.
    fn note_holders(&mut self, holders: &KnownHolders) {
        self.scope.holders = self.scope.holders.max(holders.count());
        self.is_complete = holders.is_complete;
    }

    /// Adds an answer; returns the chain if it ends with a whole record.
    fn note(&mut self, answer: Answer) -> Option<Chain> {
        match answer {
            Answer::Chain(chain) if !ends_partially(&chain) => return Some(chain),
            Answer::Chain(chain) => {
                if output_len(&chain) >= self.partial.as_ref().map_or(0, output_len) {
                    self.partial = Some(chain);
                }
            }
            Answer::Other(answer) => self.answers.push(answer),
        }
        None
    }

    fn is_absent(&self) -> bool {
        self.is_complete && self.partial.is_none() && self.scope.is_certainly_absent(&self.answers)
    }

    /// Returns the result when nothing more is to be expected.
    fn conclude(self) -> Result<Chain, FindError> {
        if let Some(partial) = self.partial {
            return Ok(partial);
        }
        let roster = if self.is_complete { "" } else { ", and others may not be known yet" };
        let reason = format!(
            "{} of {} instances certainly do not have it, {} have to{roster}",
            self.scope.definite_answers(&self.answers),
            self.scope.holders,
            self.scope.answers_needed(),
        );
        Err(FindError::Uncertain { reason })
    }
}

fn ends_partially(chain: &Chain) -> bool {
    chain.records.last().is_some_and(|record| record.is_partial)
}

fn output_len(chain: &Chain) -> usize {
    chain.records.last().map_or(0, |record| record.output.len())
}

/// The instances to be asked.
struct Targets {
    names: Vec<InstanceName>,
    are_all: bool,
}

impl Targets {
    /// Returns the living instances of the first `width` data centres: the own one, then the others
    /// in an order that differs from turn to turn. The instances that are not heard come last.
    ///
    /// A chain that is not in one data centre is most likely in each of some others, so that asking
    /// one of these brings it, and asking more brings it several times.
    fn of(holders: KnownHolders, own: &DataCentre, turn: &str, width: usize) -> Self {
        let living: Vec<Holder> = holders.living.into_iter().map(|one| one.holder).collect();
        let centres: BTreeSet<&DataCentre> = living.iter().map(|one| &one.data_centre).collect();
        let mut centres: Vec<&DataCentre> = centres.into_iter().collect();
        centres.sort_by_key(|centre| (*centre != own, hash_of(turn, centre.as_str())));
        let are_all = width > centres.len();
        centres.truncate(width);
        let asked = living.iter().filter(|one| centres.contains(&&one.data_centre));
        let silent = holders.silent.iter().filter(|_| are_all);
        Self { names: asked.chain(silent).map(|one| one.name.clone()).collect(), are_all }
    }
}

impl KeptTurnsClient {
    /// Asks the instances of the own data centre, then those of the others, for a chain.
    pub(super) async fn look_up(
        &self,
        key: &TurnKey,
        retention: Duration,
        deadline: Instant,
    ) -> Result<Chain, FindError> {
        let body = raw::Find { account: key.account.to_string(), turn: key.turn.to_string() };
        let request = encode_request(raw::request::Body::Find(body));
        let ask = |holder: InstanceName| self.ask(holder, key, request.clone());
        let mut look_up = LookUp::new(self.scope(retention));
        let mut asked: BTreeSet<InstanceName> = BTreeSet::new();
        let mut pending = FuturesUnordered::new();
        // The data centres that are asked.
        let mut width = 1;
        let mut wake_at = Instant::now() + LOCAL_WAIT;
        let mut end = deadline;
        loop {
            let holders = self.directory.holders(retention);
            look_up.note_holders(&holders);
            let targets = Targets::of(holders, &self.cx.data_centre, &key.turn, width);
            let new = targets.names.into_iter().filter(|holder| asked.insert(holder.clone()));
            pending.extend(new.map(ask));
            if look_up.is_absent() {
                return Err(FindError::Unknown);
            }
            if pending.is_empty() && !targets.are_all {
                width += 1;
                continue;
            }
            tokio::select! {
                Some(answer) = pending.next(), if !pending.is_empty() => {
                    if let Some(chain) = look_up.note(answer) {
                        return Ok(chain);
                    }
                    if look_up.partial.is_some() {
                        width = usize::MAX;
                        end = end.min(Instant::now() + WHOLE_WAIT);
                    }
                }
                () = tokio::time::sleep_until(wake_at) => {
                    width = width.saturating_add(1);
                    let pause = if targets.are_all { REFRESH_INTERVAL } else { FAR_WAIT };
                    wake_at = Instant::now() + pause;
                }
                () = tokio::time::sleep_until(end) => return look_up.conclude(),
            }
        }
    }

    fn scope(&self, retention: Duration) -> LookUpScope {
        let (replicas, wall) = (self.replicas, self.cx.clock.wall());
        LookUpScope { holders: 0, replicas, retention, wall }
    }

    /// Asks one instance until it answers.
    async fn ask(&self, holder: InstanceName, key: &TurnKey, request: Bytes) -> Answer {
        loop {
            match call(&*self.transport, &holder, request.clone(), CALL_TIMEOUT).await {
                Ok(raw::answer::Body::Find(answer)) => return read_answer(&holder, answer, key),
                Ok(_) => log::warn!("{holder} answered the look-up of a turn with something else"),
                Err(cause) => log::debug!("look-up of turn {}: {cause}", key.turn),
            }
            self.transport.reconnect(&holder);
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}

fn read_answer(holder: &InstanceName, answer: raw::FindAnswer, key: &TurnKey) -> Answer {
    let raw::FindAnswer { records, complete_since_ms, unreadable } = answer;
    if unreadable {
        return Answer::Other(HolderAnswer::Unreadable);
    }
    if records.is_empty() {
        return Answer::Other(HolderAnswer::Absent { complete_since_ms });
    }
    match decode_chain(records, key) {
        Ok(chain) => Answer::Chain(chain),
        Err(cause) => {
            log::error!("instance {holder} sent an invalid chain for turn {}: {cause}", key.turn);
            Answer::Other(HolderAnswer::Unreadable)
        }
    }
}
