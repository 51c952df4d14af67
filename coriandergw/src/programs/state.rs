//! The state of a tree of programs, derived only from the records of its journal.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use crate::clock::WallTime;
use crate::dispatch::CallKind;
use crate::ids::CallId;
use crate::ids::EndpointName;
use crate::ids::EntryName;
use crate::ids::Epoch;
use crate::ids::OwnerName;
use crate::ids::ProgramId;
use crate::ids::TargetName;
use crate::programs::budget::Amount;
use crate::programs::budget::Ledger;
use crate::programs::record::Completion;
use crate::programs::record::Creation;
use crate::programs::record::EndReason;
use crate::programs::record::Failure;
use crate::programs::record::Record;
use crate::programs::record::RecordBody;
use crate::programs::record::RecordError;
use crate::programs::request::CallRequest;
use crate::programs::turn::Turn;

/// A root program and its sub-agents, which share one journal.
#[derive(Debug, Default)]
pub struct Tree {
    /// The sequence number of the next record.
    pub next_sequence: u64,
    /// The programs by identifier, the root among them.
    pub programs: BTreeMap<ProgramId, Program>,
    /// The tokens used by the calls of all programs of the tree that ended with a complete answer.
    pub attained_tokens: u64,
}

/// The state of one program.
#[derive(Debug)]
pub struct Program {
    /// The identifier, which also gives the partition.
    pub id: ProgramId,
    /// The catalogue entry that it was created under.
    pub entry: EntryName,
    /// The owner of that entry.
    pub owner: OwnerName,
    /// The SHA-256 digest of the secret that its callers present.
    pub secret_digest: [u8; 32],
    /// The parent; only a sub-agent has one.
    pub parent: Option<ProgramId>,
    /// When it was created.
    pub created_at: WallTime,
    /// The epoch that it was created under.
    pub created_under: Epoch,
    /// When a record of one of its calls was last written or a sub-agent was last created or ended;
    /// initially the time of its creation.
    pub active_at: WallTime,
    /// The time by which the caller wants it done.
    pub deadline: Option<WallTime>,
    /// The budget and its use.
    pub ledger: Ledger,
    /// The turns, oldest first, beginning with any inherited from the parent.
    pub history: Vec<Arc<Turn>>,
    /// The bytes of text that its own turns added to the history.
    pub history_bytes: usize,
    /// All calls that have not been withdrawn.
    pub calls: BTreeMap<CallId, Call>,
    /// The calls that were withdrawn after they may have been sent. They stay charged to the budget
    /// of calls, so a resend is not charged again.
    pub sent_before: BTreeSet<CallId>,
    /// When and why it ended; `None` while it runs.
    pub ended: Option<(WallTime, EndReason)>,
}

/// A call and its progress.
#[derive(Debug)]
pub struct Call {
    /// The request as first received.
    pub request: Arc<CallRequest>,
    /// The epoch that it was accepted under.
    pub epoch: Epoch,
    /// The tokens reserved for the latest attempt: 0 if nothing of it was sent, `None` until the
    /// call can start.
    pub reserved: Option<u64>,
    /// The epoch that the latest reservation was made under.
    pub reserved_epoch: Epoch,
    /// The tokens reserved for earlier attempts that may have been sent.
    pub reserved_earlier: u64,
    /// What the call takes from the budget of calls: 1, or 0 if it was charged before it was
    /// withdrawn.
    pub reserved_calls: u64,
    /// The endpoint that the call was about to be sent to. Set only for calls that must not be
    /// repeated.
    pub intent: Option<EndpointName>,
    /// The result; `None` while the call is open.
    pub result: Option<CallResult>,
}

/// How a call ended.
#[derive(Debug, Clone)]
pub enum CallResult {
    /// With a complete answer.
    Done(Arc<Completion>),
    /// Without a complete answer.
    Failed(Failure),
}

impl Call {
    /// Returns whether the call ended with a complete answer.
    pub fn is_done(&self) -> bool {
        matches!(self.result, Some(CallResult::Done(_)))
    }

    fn held(&self) -> Amount {
        let tokens = self.reserved.unwrap_or(0).saturating_add(self.reserved_earlier);
        Amount { tokens, calls: self.reserved_calls }
    }
}

impl Program {
    fn new(id: ProgramId, at: WallTime, creation: Creation, history: Vec<Arc<Turn>>) -> Self {
        Self {
            id,
            entry: creation.entry,
            owner: creation.owner,
            secret_digest: creation.secret_digest,
            parent: creation.parent,
            created_at: at,
            created_under: Epoch::default(),
            active_at: at,
            deadline: creation.deadline,
            ledger: Ledger::new(creation.budget),
            history,
            history_bytes: 0,
            calls: BTreeMap::new(),
            sent_before: BTreeSet::new(),
            ended: None,
        }
    }

    /// Returns whether any call has no result yet.
    pub fn has_open_calls(&self) -> bool {
        self.calls.values().any(|call| call.result.is_none())
    }

    /// Returns the models that the program's calls target.
    pub fn models(&self) -> BTreeSet<TargetName> {
        let requests = self.calls.values().map(|call| &call.request);
        let models = requests.filter(|request| request.kind == CallKind::Model);
        models.map(|request| request.target.clone()).collect()
    }

    /// Returns what a new call takes from the budget of calls: 0 if it was charged before it was
    /// withdrawn, otherwise 1.
    pub fn calls_needed(&self, id: &CallId) -> u64 {
        u64::from(!self.sent_before.contains(id))
    }

    /// Returns the tokens reserved under `epoch` by open calls other than `id`.
    pub fn held_by_others(&self, id: &CallId, epoch: Epoch) -> u64 {
        let runs = |call: &&Call| call.result.is_none() && call.reserved_epoch == epoch;
        let others = self.calls.iter().filter(|(other, _)| *other != id).map(|(_, call)| call);
        others.filter(runs).filter_map(|call| call.reserved).sum()
    }

    fn call(&mut self, id: &CallId) -> Result<&mut Call, RecordError> {
        let missing = || RecordError::new(format!("program {} has no call {id}", self.id));
        self.calls.get_mut(id).ok_or_else(missing)
    }
}

impl Tree {
    /// Applies the next record, which was written under `epoch`.
    ///
    /// # Errors
    /// Fails on a record that is inconsistent with the state, such as one for an unknown call.
    pub fn apply(&mut self, epoch: Epoch, record: Record) -> Result<(), RecordError> {
        let Record { at, program, body } = record;
        self.next_sequence += 1;
        match body {
            RecordBody::Created(creation) => return self.create(program, epoch, at, creation),
            RecordBody::Ended { reason } => return self.end(&program, at, reason),
            _ => {}
        }
        let missing = || RecordError::new(format!("there is no program {program}"));
        let program = self.programs.get_mut(&program).ok_or_else(missing)?;
        program.active_at = at;
        if let RecordBody::Done { completion, .. } = &body {
            self.attained_tokens += completion.usage.total();
        }
        apply_to_call(program, epoch, body)
    }

    fn create(
        &mut self,
        id: ProgramId,
        epoch: Epoch,
        at: WallTime,
        creation: Creation,
    ) -> Result<(), RecordError> {
        let mut history = Vec::new();
        if let Some(parent) = &creation.parent {
            let missing = || RecordError::new(format!("there is no parent {parent}"));
            let parent = self.programs.get_mut(parent).ok_or_else(missing)?;
            if !parent.ledger.delegate(creation.budget) {
                return Err(RecordError::new("the parent's budget does not cover the sub-agent's"));
            }
            parent.active_at = at;
            if creation.inherit_history {
                history = parent.history.clone();
            }
        }
        let mut program = Program::new(id.clone(), at, creation, history);
        program.created_under = epoch;
        self.programs.insert(id, program);
        Ok(())
    }

    fn end(&mut self, id: &ProgramId, at: WallTime, reason: EndReason) -> Result<(), RecordError> {
        for child in self.children(id) {
            self.end(&child, at, EndReason::ParentEnded)?;
        }
        let missing = || RecordError::new(format!("there is no program {id}"));
        let program = self.programs.get_mut(id).ok_or_else(missing)?;
        if program.ended.is_some() {
            return Ok(());
        }
        program.ended = Some((at, reason));
        let (total, rest) = (program.ledger.total(), program.ledger.remaining());
        let parent = program.parent.clone();
        if let Some(parent) = parent.and_then(|parent| self.programs.get_mut(&parent)) {
            parent.ledger.reclaim(total, rest);
            parent.active_at = at;
        }
        Ok(())
    }

    fn children(&self, id: &ProgramId) -> Vec<ProgramId> {
        let is_child = |program: &&Program| program.parent.as_ref() == Some(id);
        self.programs.values().filter(is_child).map(|program| program.id.clone()).collect()
    }

    /// Returns a program and all its descendants.
    pub fn subtree(&self, id: &ProgramId) -> Vec<ProgramId> {
        let mut subtree = vec![id.clone()];
        let mut next = 0;
        while let Some(member) = subtree.get(next).cloned() {
            subtree.extend(self.children(&member));
            next += 1;
        }
        subtree
    }
}

fn apply_to_call(program: &mut Program, epoch: Epoch, body: RecordBody) -> Result<(), RecordError> {
    match body {
        RecordBody::Accepted { request, reserved } => accept(program, epoch, request, reserved),
        RecordBody::Reserved { call, tokens } => reserve(program, epoch, &call, tokens),
        RecordBody::NotSent { call } => release_attempt(program, &call),
        RecordBody::Intent { call, endpoint } => {
            program.call(&call)?.intent = Some(endpoint);
            Ok(())
        }
        RecordBody::Done { call, completion } => finish(program, &call, completion),
        RecordBody::Failed { call, failure } => fail(program, &call, failure),
        RecordBody::Withdrawn { call, sent } => withdraw(program, &call, sent),
        RecordBody::Created(_) | RecordBody::Ended { .. } => Ok(()),
    }
}

fn accept(
    program: &mut Program,
    epoch: Epoch,
    request: Arc<CallRequest>,
    reserved: Option<u64>,
) -> Result<(), RecordError> {
    let id = request.call_id.clone();
    let calls = program.calls_needed(&id);
    if !program.ledger.reserve(Amount { tokens: reserved.unwrap_or(0), calls }) {
        return Err(RecordError::new("the budget does not cover an accepted call"));
    }
    let call = Call {
        request,
        epoch,
        reserved,
        reserved_epoch: epoch,
        reserved_earlier: 0,
        reserved_calls: calls,
        intent: None,
        result: None,
    };
    program.calls.insert(id, call);
    Ok(())
}

fn reserve(
    program: &mut Program,
    epoch: Epoch,
    id: &CallId,
    tokens: u64,
) -> Result<(), RecordError> {
    if !program.ledger.reserve(Amount { tokens, calls: 0 }) {
        return Err(RecordError::new("the budget does not cover a reservation"));
    }
    let call = program.call(id)?;
    call.reserved_earlier = call.reserved_earlier.saturating_add(call.reserved.unwrap_or(0));
    call.reserved = Some(tokens);
    call.reserved_epoch = epoch;
    Ok(())
}

fn release_attempt(program: &mut Program, id: &CallId) -> Result<(), RecordError> {
    let call = program.call(id)?;
    let tokens = call.reserved.replace(0).unwrap_or(0);
    call.intent = None;
    program.ledger.settle(Amount { tokens, calls: 0 }, Amount::default());
    Ok(())
}

fn finish(program: &mut Program, id: &CallId, completion: Completion) -> Result<(), RecordError> {
    let completion = Arc::new(completion);
    let call = program.call(id)?;
    let held = call.held();
    // The usage of earlier attempts is unknown, so they are charged in full.
    let tokens = call.reserved_earlier.saturating_add(completion.usage.total());
    call.result = Some(CallResult::Done(completion.clone()));
    let turn = Turn::new(call.request.clone(), completion);
    program.ledger.settle(held, Amount { tokens, calls: held.calls });
    program.history_bytes += turn.text_bytes();
    program.history.push(Arc::new(turn));
    Ok(())
}

fn fail(program: &mut Program, id: &CallId, failure: Failure) -> Result<(), RecordError> {
    let call = program.call(id)?;
    let held = call.held();
    call.result = Some(CallResult::Failed(failure));
    program.ledger.settle(held, held);
    Ok(())
}

fn withdraw(program: &mut Program, id: &CallId, sent: bool) -> Result<(), RecordError> {
    let call = program.call(id)?;
    let held = call.held();
    let earlier = Amount { tokens: call.reserved_earlier, ..held };
    let used = match (sent, call.reserved_earlier > 0) {
        (true, _) => held,
        (false, true) => earlier,
        (false, false) => Amount::default(),
    };
    if sent || call.reserved_earlier > 0 {
        program.sent_before.insert(id.clone());
    }
    program.calls.remove(id);
    program.ledger.settle(held, used);
    Ok(())
}

impl CallRequest {
    /// Returns whether the call may run more than once, which model calls always may.
    pub fn is_idempotent(&self) -> bool {
        self.idempotent || self.kind == CallKind::Model
    }
}

#[cfg(test)]
impl Program {
    /// Returns a program without calls and with a budget of 1,000 tokens and 10 calls.
    pub fn for_test() -> Self {
        let creation = Creation {
            entry: "e".try_into().expect("a valid name"),
            owner: "o".try_into().expect("a valid name"),
            secret_digest: [0; 32],
            budget: Amount { tokens: 1_000, calls: 10 },
            parent: None,
            inherit_history: false,
            deadline: None,
        };
        let id = "p-1".try_into().expect("a valid name");
        Self::new(id, WallTime::default(), creation, Vec::new())
    }
}
