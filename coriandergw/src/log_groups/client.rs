//! Proposes commands to the leader, wherever it is.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::RwLock;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::ids::GroupId;
use crate::ids::InstanceName;
use crate::log_groups::ProposeError;
use crate::log_groups::ReplicatedLog;
use crate::log_groups::propose;
use crate::log_groups::propose::LocalProposer;
use crate::log_groups::propose::Outcome;
use crate::transport::Kind;
use crate::transport::Transport;
use crate::transport::TransportError;

/// How long a proposal may take in all.
pub const PROPOSE_LIMIT: Duration = Duration::from_secs(3);

/// How long one instance has to answer.
const ATTEMPT_LIMIT: Duration = Duration::from_secs(1);

/// The first and the longest wait between two attempts.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(10), Duration::from_millis(160));

/// Commits commands from an instance that need not hold the log.
///
/// A command may be appended more than once when answers are lost; state machines recognise it.
pub struct LogClient {
    transport: Arc<dyn Transport>,
    voters: RwLock<Vec<InstanceName>>,
    local: Option<(InstanceName, LocalProposer)>,
    leaders: watch::Sender<BTreeMap<GroupId, InstanceName>>,
}

/// One proposal on its way.
struct Attempts {
    deadline: Instant,
    backoff: Duration,
    next_voter: usize,
    /// Why the command may have been appended, if it may.
    uncertain: Option<String>,
    last_reason: String,
}

impl LogClient {
    /// Creates a client that tries the given voters.
    pub fn new(transport: Arc<dyn Transport>, voters: Vec<InstanceName>) -> Self {
        Self {
            transport,
            voters: RwLock::new(voters),
            local: None,
            leaders: watch::Sender::default(),
        }
    }

    /// Makes the client ask the log node of its own instance without the transport.
    pub(super) fn with_local(mut self, name: InstanceName, local: LocalProposer) -> Self {
        self.local = Some((name, local));
        self
    }

    /// Replaces the voters that are tried.
    pub fn set_voters(&self, voters: Vec<InstanceName>) {
        *self.voters.write().expect("not poisoned") = voters;
    }

    /// Records who leads a group.
    pub fn note_leader(&self, group: GroupId, leader: Option<InstanceName>) {
        self.leaders.send_if_modified(|leaders| {
            let before = match leader.clone() {
                Some(leader) => leaders.insert(group, leader),
                None => leaders.remove(&group),
            };
            before != leader
        });
    }

    fn known_leader(&self, group: GroupId) -> Option<InstanceName> {
        self.leaders.borrow().get(&group).cloned()
    }

    /// Waits until another instance than `target` is known to lead.
    async fn led_by_another(&self, group: GroupId, target: &InstanceName) {
        let is_another = |leaders: &BTreeMap<GroupId, InstanceName>| {
            leaders.get(&group).is_some_and(|leader| leader != target)
        };
        // The sender lives as long as this client.
        let _ = self.leaders.subscribe().wait_for(is_another).await;
    }

    fn target(&self, group: GroupId, attempts: &mut Attempts) -> Option<InstanceName> {
        if let Some(leader) = self.known_leader(group) {
            return Some(leader);
        }
        let voters = self.voters.read().expect("not poisoned");
        let voter = voters.get(attempts.next_voter % voters.len().max(1)).cloned();
        attempts.next_voter += 1;
        voter
    }

    async fn ask(&self, target: &InstanceName, group: GroupId, command: Bytes) -> Outcome {
        if let Some((_, local)) = self.local.as_ref().filter(|(name, _)| name == target) {
            let answer = local.propose(group, command);
            let unknown = |_| Outcome::Unknown("the log did not answer in time".to_owned());
            return tokio::time::timeout(ATTEMPT_LIMIT, answer).await.unwrap_or_else(unknown);
        }
        let request = propose::encode_request(group, command);
        match self.transport.call(target, Kind::Propose, request, ATTEMPT_LIMIT).await {
            Ok(answer) => propose::decode_answer(answer),
            Err(cause @ TransportError::NoAnswer { .. }) => Outcome::Unknown(cause.to_string()),
            Err(cause) => Outcome::NotProposed(cause.to_string()),
        }
    }

    /// Takes in an outcome that is no answer; returns whether to wait before the next attempt.
    fn note_outcome(
        &self,
        group: GroupId,
        target: &InstanceName,
        outcome: Outcome,
        attempts: &mut Attempts,
    ) -> bool {
        let mut leader = None;
        match outcome {
            Outcome::Applied(_) => {}
            Outcome::NotLeader(hint) => {
                leader = hint.filter(|hint| hint != target);
                attempts.last_reason = "no leader was found".to_owned();
            }
            Outcome::NotProposed(reason) => attempts.last_reason = reason,
            Outcome::Unknown(reason) => attempts.uncertain = Some(reason),
        }
        let has_hint = leader.is_some();
        self.note_leader(group, leader);
        !has_hint
    }
}

impl Attempts {
    fn new() -> Self {
        Self {
            deadline: Instant::now() + PROPOSE_LIMIT,
            backoff: BACKOFF.0,
            next_voter: rand::random_range(0..1_024),
            uncertain: None,
            last_reason: "no voter is known".to_owned(),
        }
    }

    /// Waits before the next attempt; returns false if the time is up.
    async fn wait(&mut self, hinted: bool) -> bool {
        // A hint may be as outdated as the leader that it replaces, so it waits a little as well.
        let wait = if hinted { BACKOFF.0 / 10 } else { self.backoff };
        if !hinted {
            self.backoff = (self.backoff * 2).min(BACKOFF.1);
        }
        tokio::time::sleep(wait.mul_f64(rand::random_range(0.5..1.0))).await;
        Instant::now() < self.deadline
    }

    fn error(self) -> ProposeError {
        match self.uncertain {
            Some(reason) => ProposeError::Unknown { reason },
            None => ProposeError::NotProposed { reason: self.last_reason },
        }
    }
}

#[async_trait]
impl ReplicatedLog for LogClient {
    async fn propose(&self, group: GroupId, command: Bytes) -> Result<Bytes, ProposeError> {
        if command.len() > propose::COMMAND_MAX_BYTES {
            let reason = format!("a command of {} bytes is too large", command.len());
            return Err(ProposeError::NotProposed { reason });
        }
        let mut attempts = Attempts::new();
        loop {
            let Some(target) = self.target(group, &mut attempts) else {
                // The voters are told soon after a start.
                if attempts.wait(false).await {
                    continue;
                }
                break;
            };
            // An instance that was cut off or froze does not answer; its successor does.
            let outcome = tokio::select! {
                biased;
                outcome = self.ask(&target, group, command.clone()) => Some(outcome),
                () = self.led_by_another(group, &target) => None,
            };
            let must_wait = match outcome {
                Some(Outcome::Applied(answer)) => {
                    self.note_leader(group, Some(target));
                    return Ok(answer);
                }
                Some(outcome) => self.note_outcome(group, &target, outcome, &mut attempts),
                None => {
                    attempts.uncertain = Some(format!("{target} lost the lead"));
                    false
                }
            };
            if !attempts.wait(!must_wait).await {
                break;
            }
        }
        Err(attempts.error())
    }

    fn leader(&self, group: GroupId) -> Option<InstanceName> {
        self.known_leader(group)
    }
}

#[cfg(test)]
mod tests;
