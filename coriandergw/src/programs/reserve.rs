//! Pure functions that compute how many tokens to reserve for a call.

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

/// The tokens that a model call may generate if the caller sets no `max_tokens`.
const DEFAULT_MAX_TOKENS: u64 = 1_024;

/// The most tokens that a call may use, and the prompt that they were computed for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Reservation {
    /// The tokens of the prompt and the answer together.
    pub tokens: u64,
    /// The most tokens that may be generated.
    pub max_tokens: u64,
    /// The number of turns of the history in the prompt.
    pub prompt_turns: usize,
    /// An upper bound of the tokens of the history in the prompt.
    pub history_tokens: u64,
}

/// Whether the budget covers a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BudgetCheck {
    /// The remaining budget covers the call.
    Covered(Reservation),
    /// The budget may cover the call once running calls have settled.
    Later,
    /// The budget does not cover the call.
    Exhausted(Refusal),
}

/// Computes the reservation for a call and checks it against the program's budget, at a home of
/// this epoch.
///
/// Reservations of earlier epochs are never released, so no call waits for them.
pub fn check_budget(program: &Program, req: &CallRequest, epoch: Epoch) -> BudgetCheck {
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

/// Returns an upper bound of the tokens that a history takes in a prompt.
///
/// Where an engine has reported the usage of a turn of the same model, the latest such report
/// replaces the bounds of that turn and of the turns in its prompt. All other turns are bounded by
/// the length of their text.
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
            let not_in_prompt: u64 = between.iter().map(|turn| turn.token_bound()).sum();
            let messages = turn.messages().len() as u64;
            let overhead = messages * crate::programs::turn::MESSAGE_OVERHEAD_TOKENS;
            return bound + usage.total() + overhead + not_in_prompt;
        }
        bound += turn.token_bound();
    }
    bound
}
