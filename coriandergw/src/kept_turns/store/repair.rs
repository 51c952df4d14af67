//! Copies kept turns to the instances that are to hold them, after the set of these changed.
//!
//! Every holder of a chain offers its turns to the instances that now rank first for it, after a random
//! delay, and sends what they lack. Holders need not know of each other: the later ones find that
//! nothing is missing any more.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;

use crate::context::Context;
use crate::events::EventNumber;
use crate::events::Subject;
use crate::ids::InstanceName;
use crate::kept_turns::TurnKey;
use crate::kept_turns::TurnRecord;
use crate::kept_turns::generated as raw;
use crate::kept_turns::generated::answer;
use crate::kept_turns::generated::request;
use crate::kept_turns::placement::Holder;
use crate::kept_turns::placement::order_holders;
use crate::kept_turns::store::Found;
use crate::kept_turns::store::TurnStore;
use crate::kept_turns::store::server::KeptTurnsServer;
use crate::kept_turns::wire;
use crate::roster::Role;
use crate::roster::poller::Roster;
use crate::transport::Kind;
use crate::transport::Transport;

/// The longest delay before a changed set of instances is acted upon. The delays of several holders
/// differ, so that the first one sends and the others find nothing missing.
const START_DELAY_MAX: Duration = Duration::from_millis(1_000);

/// How often the instances are compared with those of the last pass, and a pass that could not reach all
/// of them is repeated.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// The number of turns of one offer, about 50 KB.
const OFFER_TURNS: usize = 512;

/// How long an instance may take to answer an offer.
const OFFER_TIMEOUT: Duration = Duration::from_secs(1);

/// How long an instance may take to write a chain, which waits for its disk.
const KEEP_TIMEOUT: Duration = Duration::from_secs(2);

/// The size from which the records of a chain are split into several messages, in bytes. Small ones take
/// little of the receiver's memory; the transport takes 8 MiB.
const MESSAGE_BYTES: usize = 1 << 20;

/// The rate at which an instance sends copies, in bytes a second. It is a tenth of what a disk writes,
/// and sends the 45 MB of an instance at the planned load in 4 s.
const SEND_BYTES_PER_SECOND: u64 = 12_000_000;

/// Returns the instances to which the holder `me` offers the chain of `account` that begins with `root`:
/// the first `copies` of the order without itself.
pub fn targets(
    account: &str,
    root: &str,
    candidates: &[Holder],
    copies: usize,
    me: &InstanceName,
) -> Vec<InstanceName> {
    let ordered = order_holders(account, root, candidates).into_iter().take(copies);
    ordered.map(|holder| holder.name).filter(|name| name != me).collect()
}

/// The turns to be offered to each instance, and how many have too few instances to be copied to.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Offers {
    /// The turns by instance.
    pub by_instance: BTreeMap<InstanceName, Vec<TurnKey>>,
    /// The turns for which there are fewer instances than copies.
    pub without_place: usize,
}

/// Returns what a holder of `chains`, given as account, first turn and all turns, has to offer.
pub fn plan<'a, I>(chains: I, candidates: &[Holder], copies: usize, me: &InstanceName) -> Offers
where
    I: IntoIterator<Item = (&'a str, &'a str, &'a [TurnKey])>,
{
    let mut offers = Offers::default();
    for (account, root, turns) in chains {
        for target in targets(account, root, candidates, copies, me) {
            offers.by_instance.entry(target).or_default().extend_from_slice(turns);
        }
        if candidates.len() < copies {
            offers.without_place += turns.len();
        }
    }
    offers
}

/// Returns the part of a chain that an instance lacks: from its first missing turn on.
pub fn missing_part<'a>(chain: &'a [TurnRecord], missing: &HashSet<TurnKey>) -> &'a [TurnRecord] {
    let first = chain.iter().position(|record| missing.contains(&record.key));
    first.map_or(&[], |first| &chain[first..])
}

fn body_bytes(record: &TurnRecord) -> usize {
    record.input.len() + record.output.len()
}

/// Splits records into parts of at most [`MESSAGE_BYTES`], or of one record.
pub fn messages(records: &[TurnRecord]) -> Vec<&[TurnRecord]> {
    let mut parts = Vec::new();
    let (mut start, mut bytes) = (0, 0);
    for (at, record) in records.iter().enumerate() {
        if at > start && bytes + body_bytes(record) > MESSAGE_BYTES {
            parts.push(&records[start..at]);
            (start, bytes) = (at, 0);
        }
        bytes += body_bytes(record);
    }
    if start < records.len() {
        parts.push(&records[start..]);
    }
    parts
}

/// Copies the turns of this instance to those that are to hold them.
pub struct Repair {
    /// Context of the instance.
    pub cx: Context,
    /// The turns of this instance.
    pub store: Arc<TurnStore>,
    /// Reads the turns, and counts the writes that it accepts.
    pub server: Arc<KeptTurnsServer>,
    /// Tells which instances live, and publishes whether this one holds turns that others lack.
    pub roster: Arc<Roster>,
    /// Reaches the other instances.
    pub transport: Arc<dyn Transport>,
    /// The number of instances that are to hold each turn.
    pub copies: usize,
}

/// What is known to be elsewhere after a pass.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Pass {
    situation: Situation,
    /// The writes that had ended before, so that the pass included their turns.
    settled: u64,
    /// The turns that could not be offered or sent.
    failed: usize,
    /// The turns for which there are fewer instances than copies, and those that cannot be read here and
    /// have to be copied by another holder. Repeating the pass does not help these.
    without_copies: usize,
    /// The instances that have all that was offered to them.
    reached: BTreeSet<InstanceName>,
}

impl Pass {
    fn new(situation: Situation, settled: u64, without_copies: usize) -> Self {
        Self { situation, settled, failed: 0, without_copies, reached: BTreeSet::new() }
    }
}

/// How fast copies are sent: all instances that are sent to at the same time share one rate.
#[derive(Debug, Clone, Copy)]
struct Pace {
    targets: u64,
}

impl Pace {
    fn pause_after(self, bytes: usize) -> Duration {
        Duration::from_micros(bytes as u64 * 1_000_000 * self.targets / SEND_BYTES_PER_SECOND)
    }
}

/// What became of the offers to an instance.
#[derive(Debug, Default)]
struct Copied {
    sent: Sent,
    /// The turns that could not be offered or sent.
    failed: usize,
    /// The instance, if it has all that was offered.
    reached: Option<InstanceName>,
}

/// What was sent to an instance.
#[derive(Debug, Default)]
struct Sent {
    turns: usize,
    unreadable: usize,
}

/// The instances that turns are copied to, and whether this one is to be emptied.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Situation {
    candidates: Vec<Holder>,
    is_retiring: bool,
}

impl Repair {
    /// Repairs until the task is dropped.
    pub async fn run(self) {
        let mut changes = self.roster.changes();
        let mut last: Option<Pass> = None;
        loop {
            self.publish(last.as_ref());
            if self.is_due(last.as_ref()) {
                tokio::time::sleep(START_DELAY_MAX.mul_f64(rand::random())).await;
                let pass = self.pass(last.take()).await;
                let short = (pass.failed + pass.without_copies) as i64;
                self.cx.metrics.states.with_label_values(&["kept_turns_short"]).set(short);
                last = Some(pass);
            }
            self.publish(last.as_ref());
            // A timeout is the usual end of the wait; the roster owns the sender.
            let _ = tokio::time::timeout(CHECK_INTERVAL, changes.changed()).await;
        }
    }

    fn is_due(&self, last: Option<&Pass>) -> bool {
        let Some(last) = last else {
            return true;
        };
        // A retiring instance also copies the turns that it took before it knew.
        let is_behind = last.situation.is_retiring && last.settled != self.server.accepted();
        last.failed > 0 || is_behind || last.situation != self.situation()
    }

    /// Tells the core instances whether the disk of this instance is needed for turns.
    fn publish(&self, last: Option<&Pass>) {
        let is_copied = last.is_some_and(|pass| {
            pass.situation.is_retiring && pass.without_copies == 0 && !self.is_due(last)
        });
        let holds_turns = self.store.counts().turns > 0 && !is_copied;
        self.roster.update_presence(|presence| presence.holds_turns = holds_turns);
    }

    fn situation(&self) -> Situation {
        let now = self.cx.clock.now();
        let node = self.roster.presence().node;
        self.roster.with_view(|view| {
            let mut living = view.living(Role::Journal, now);
            living
                .retain(|presence| !presence.leaving && !view.retiring().contains(&presence.node));
            let holder = |presence: &crate::roster::Presence| Holder {
                name: presence.name.clone(),
                data_centre: presence.data_centre.clone(),
            };
            Situation {
                candidates: living.iter().map(holder).collect(),
                is_retiring: view.retiring().contains(&node),
            }
        })
    }

    /// Offers all turns, and sends those that are missing. Instances that have taken all in the last pass
    /// are left out while nothing has changed.
    async fn pass(&self, last: Option<Pass>) -> Pass {
        let situation = self.situation();
        let settled = self.server.settled();
        let chains = self.store.chains();
        let listed = chains.iter().map(|((account, root), turns)| (&**account, &**root, &**turns));
        let offers = plan(listed, &situation.candidates, self.copies, &self.cx.instance);
        let mut pass = Pass::new(situation, settled, offers.without_place);
        if let Some(last) = last.filter(|last| last.situation == pass.situation) {
            let is_current = !last.situation.is_retiring || last.settled == settled;
            pass.reached = last.reached.into_iter().filter(|_| is_current).collect();
        }
        let targets = offers.by_instance.iter();
        let targets: Vec<_> = targets.filter(|(name, _)| !pass.reached.contains(*name)).collect();
        let pace = Pace { targets: targets.len() as u64 };
        let copies = targets.into_iter().map(|(target, turns)| self.copy(target, turns, pace));
        let mut sent = 0;
        for copied in join_all(copies).await {
            sent += copied.sent.turns;
            pass.failed += copied.failed;
            pass.without_copies += copied.sent.unreadable;
            pass.reached.extend(copied.reached);
        }
        if sent > 0 {
            self.cx.metrics.kept_turns.with_label_values(&["copied"]).inc_by(sent as u64);
            let detail = format!("sent={sent} failed={}", pass.failed);
            self.cx.events.record(EventNumber::TurnsCopied, Subject::default(), detail);
        }
        pass
    }

    /// Offers turns to an instance, and gives up at the first failure: one that does not answer would
    /// otherwise take a time limit for each offer.
    async fn copy(&self, target: &InstanceName, turns: &[TurnKey], pace: Pace) -> Copied {
        let mut copied = Copied::default();
        for (number, part) in turns.chunks(OFFER_TURNS).enumerate() {
            match self.offer(target, part, pace).await {
                Ok(sent) => {
                    copied.sent.turns += sent.turns;
                    copied.sent.unreadable += sent.unreadable;
                }
                Err(cause) => {
                    log::debug!("kept turns could not be copied to {target}: {cause}");
                    copied.failed = turns.len() - number * OFFER_TURNS;
                    return copied;
                }
            }
        }
        // What cannot be read here is counted again in the next pass.
        copied.reached = (copied.sent.unreadable == 0).then(|| target.clone());
        copied
    }

    /// Offers turns to an instance and sends those that it lacks; returns what was sent.
    async fn offer(
        &self,
        target: &InstanceName,
        turns: &[TurnKey],
        pace: Pace,
    ) -> Result<Sent, String> {
        let keys = turns.iter().map(raw::Key::from).collect();
        let body = request::Body::Offer(raw::Offer { keys });
        let answer::Body::Offer(answer) = self.call(target, body, OFFER_TIMEOUT).await? else {
            return Err("another answer than to an offer".to_owned());
        };
        let missing = wire::parse_keys(answer.missing).map_err(|cause| cause.to_string())?;
        let mut missing: HashSet<TurnKey> = missing.into_iter().collect();
        let offered: Vec<&TurnKey> = turns.iter().filter(|key| missing.contains(key)).collect();
        let mut sent = Sent::default();
        for key in offered {
            // A chain that was sent for a later turn of it has all of its turns.
            if missing.contains(key) {
                match self.server.read(key.clone()).await? {
                    Found::Chain(chain) => {
                        sent.turns += self.send_chain(target, &chain, &mut missing, pace).await?;
                    }
                    // It expired since it was listed.
                    Found::Absent => {}
                    Found::Unreadable => sent.unreadable += 1,
                }
            }
        }
        Ok(sent)
    }

    async fn send_chain(
        &self,
        target: &InstanceName,
        chain: &[TurnRecord],
        missing: &mut HashSet<TurnKey>,
        pace: Pace,
    ) -> Result<usize, String> {
        let mut part = missing_part(chain, missing);
        let mut answer = self.keep(target, part, pace).await?;
        if answer.previous_missing {
            part = chain;
            answer = self.keep(target, part, pace).await?;
        }
        if !answer.written {
            return Err("the write was refused".to_owned());
        }
        part.iter().for_each(|record| {
            missing.remove(&record.key);
        });
        Ok(part.len())
    }

    /// Sends records in messages of bounded size; returns the last answer, or the first that is not
    /// "written".
    async fn keep(
        &self,
        target: &InstanceName,
        records: &[TurnRecord],
        pace: Pace,
    ) -> Result<raw::KeepAnswer, String> {
        let mut answer = raw::KeepAnswer { written: true, previous_missing: false };
        for message in messages(records) {
            let bytes: usize = message.iter().map(body_bytes).sum();
            let records = wire::encode_records(message);
            let body = request::Body::Keep(raw::Keep { records });
            answer = match self.call(target, body, KEEP_TIMEOUT).await? {
                answer::Body::Keep(answer) => answer,
                _ => return Err("another answer than to a write".to_owned()),
            };
            if !answer.written {
                break;
            }
            tokio::time::sleep(pace.pause_after(bytes)).await;
        }
        Ok(answer)
    }

    async fn call(
        &self,
        target: &InstanceName,
        body: request::Body,
        timeout: Duration,
    ) -> Result<answer::Body, String> {
        let payload = wire::encode_request(body);
        let answer = self.transport.call(target, Kind::KeptTurns, payload, timeout).await;
        let answer = answer.map_err(|cause| cause.to_string())?;
        wire::decode_answer(answer).map_err(|cause| cause.to_string())
    }
}

#[cfg(test)]
mod tests;
