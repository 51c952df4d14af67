//! How many tokens a call may use, as pure functions.

use std::sync::Arc;

use serde_json::Value;

use crate::dispatch::CallKind;
use crate::endpoints::client::input_messages;
use crate::ids::Epoch;
use crate::programs::request::CallRequest;
use crate::programs::state::Program;
use crate::programs::turn::Turn;
use crate::programs::turn::messages_bound;
use crate::result_code::Refusal;
use crate::result_code::ResultCode;

/// The tokens a model call may generate where the caller names no limit.
const DEFAULT_MAX_TOKENS: u64 = 1_024;

/// What a call may use at most, and the prompt that this was worked out for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Reservation {
    /// The tokens of prompt and answer together.
    pub tokens: u64,
    /// The tokens that may be generated.
    pub max_tokens: u64,
    /// The turns of the history that the prompt holds.
    pub prompt_turns: usize,
    /// The most tokens that this history takes.
    pub history_tokens: u64,
}

/// Says how a call's needs compare with the budget.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BudgetCheck {
    /// The rest of the budget covers it.
    Covered(Reservation),
    /// It may be covered when calls under way have settled.
    Later,
    /// The budget does not cover it.
    Exhausted(Refusal),
}

/// Returns what a call needs of the program's budget, at a home of this epoch.
///
/// What attempts under earlier epochs hold is never given back, so that nothing waits for it.
pub fn need(program: &Program, req: &CallRequest, epoch: Epoch) -> BudgetCheck {
    if req.kind != CallKind::Model {
        return BudgetCheck::Covered(Reservation::default());
    }
    let rest = program.ledger.remaining().tokens;
    let history_tokens = history_bound(&program.history, req);
    let prompt = history_tokens + messages_bound(&input_messages(&req.input));
    let asked = req.input.get("max_tokens").and_then(Value::as_u64);
    let left = rest.saturating_sub(prompt);
    let max_tokens = asked.unwrap_or_else(|| left.clamp(1, DEFAULT_MAX_TOKENS));
    let tokens = prompt.saturating_add(max_tokens);
    if tokens <= rest {
        let prompt_turns = program.history.len();
        return BudgetCheck::Covered(Reservation {
            tokens,
            max_tokens,
            prompt_turns,
            history_tokens,
        });
    }
    if tokens <= rest.saturating_add(program.held_by_others(&req.call_id, epoch)) {
        return BudgetCheck::Later;
    }
    let message = format!("the call may use {tokens} tokens, the budget has {rest} left");
    BudgetCheck::Exhausted(Refusal::not_run(ResultCode::BudgetExhausted, message))
}

/// Returns the most tokens that a history takes in a prompt.
///
/// Where an engine of the same model has reported the length of a prompt, that part is exact.
fn history_bound(history: &[Arc<Turn>], req: &CallRequest) -> u64 {
    let mut bound = 0;
    for (index, turn) in history.iter().enumerate().rev() {
        let usage = turn.completion.usage;
        let counted = turn.request.kind == CallKind::Model
            && turn.request.target == req.target
            && usage.prompt_tokens > 0;
        if counted {
            let prompt_turns = (turn.completion.prompt_turns as usize).min(index);
            let between = &history[prompt_turns..index];
            let missed: u64 = between.iter().map(|turn| turn.token_bound()).sum();
            let messages = turn.messages().len() as u64;
            let overhead = messages * crate::programs::turn::MESSAGE_OVERHEAD_TOKENS;
            return bound + usage.total() + overhead + missed;
        }
        bound += turn.token_bound();
    }
    bound
}
