//! Pure functions that check the limits of programs.

use crate::catalogue::Limits;
use crate::clock::WallTime;
use crate::programs::record::EndReason;
use crate::programs::request::CallRequest;
use crate::programs::state::Program;
use crate::programs::state::Tree;
use crate::programs::turn::Turn;
use crate::result_code::Refusal;
use crate::result_code::ResultCode;

/// How many consecutive turns may have the same request and the same answer before the same call is
/// refused.
pub const REPETITION_LIMIT: usize = 32;

/// The number of records from which a tree's journal is full: it accepts no new calls or
/// sub-agents, but still other records, such as the results of open calls.
pub const TREE_RECORDS_MAX: u64 = 32_768;

/// Refuses new calls and sub-agents of a tree whose journal is full.
///
/// The turn limit does not bound the journal, as calls that are refused and resent fill it too.
pub fn check_journal(tree: &Tree) -> Result<(), Refusal> {
    if tree.next_sequence >= TREE_RECORDS_MAX {
        let message = "the program and its sub-agents have filled their journal";
        return Err(Refusal::not_run(ResultCode::TurnLimit, message));
    }
    Ok(())
}

/// Refuses requests to a program that has ended.
pub fn check_running(program: &Program) -> Result<(), Refusal> {
    let Some((_, reason)) = program.ended else {
        return Ok(());
    };
    let code = match reason {
        EndReason::WallTime => ResultCode::WallTimeLimit,
        _ => ResultCode::ProgramEnded,
    };
    Err(Refusal::not_run(code, format!("the program has ended: {reason}")))
}

/// Refuses a call that depends on itself or on an unknown call.
pub fn check_predecessors(program: &Program, req: &CallRequest) -> Result<(), Refusal> {
    for id in &req.after {
        if *id == req.call_id {
            let message = format!("call {id} depends on itself");
            return Err(Refusal::not_run(ResultCode::DependencyCycle, message));
        }
        if !program.calls.contains_key(id) {
            let message = format!("the program has no call {id}");
            return Err(Refusal::not_run(ResultCode::UnknownPredecessor, message));
        }
    }
    Ok(())
}

/// Refuses a call beyond the turn limit or the repetition limit.
pub fn check_turns(program: &Program, limits: &Limits, req: &CallRequest) -> Result<(), Refusal> {
    if program.calls.len() as u64 >= limits.turns {
        let message = "the program has used all the turns that its entry allows";
        return Err(Refusal::not_run(ResultCode::TurnLimit, message));
    }
    if repeats(program, req) {
        let message =
            format!("the last {REPETITION_LIMIT} turns were this call with the same answer");
        return Err(Refusal::not_run(ResultCode::RepetitionLimit, message));
    }
    Ok(())
}

fn repeats(program: &Program, req: &CallRequest) -> bool {
    let Some(last) = program.history.last() else {
        return false;
    };
    let is_same_turn = |turn: &Turn| {
        let asked = &turn.request;
        asked.kind == req.kind
            && asked.target == req.target
            && asked.input == req.input
            && turn.completion.output == last.completion.output
    };
    let latest = program.history.iter().rev().take(REPETITION_LIMIT);
    latest.take_while(|turn| is_same_turn(turn)).count() == REPETITION_LIMIT
}

/// The data that the time limits of a program are checked against.
#[derive(Debug, Clone, Copy)]
pub struct Age {
    /// When the program was created.
    pub created_at: WallTime,
    /// When it was last active, as [`Program::active_at`] defines it.
    pub active_at: WallTime,
    /// When it ended.
    pub ended_at: Option<WallTime>,
    /// Whether a call has no result yet.
    pub has_open_calls: bool,
}

impl Age {
    /// Returns whether the program ended at least `span_ms` milliseconds ago.
    pub fn ended_before(&self, now: WallTime, span_ms: u64) -> bool {
        self.ended_at.is_some_and(|at| now.0.saturating_sub(at.0) >= span_ms)
    }
}

impl Program {
    /// Returns the data that the program's time limits are checked against.
    pub fn age(&self) -> Age {
        Age {
            created_at: self.created_at,
            active_at: self.active_at,
            ended_at: self.ended.map(|(at, _)| at),
            has_open_calls: self.has_open_calls(),
        }
    }
}

/// Returns why a program must end at `now`, or `None` if it need not.
pub fn end_due(age: &Age, limits: &Limits, now: WallTime) -> Option<EndReason> {
    if age.ended_at.is_some() {
        return None;
    }
    if now.0.saturating_sub(age.created_at.0) >= limits.wall_ms {
        return Some(EndReason::WallTime);
    }
    let idle_ms = now.0.saturating_sub(age.active_at.0);
    let is_idle = idle_ms >= limits.idle_ms && !age.has_open_calls;
    is_idle.then_some(EndReason::Idle)
}
