//! The state machine of the journal group.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use bytes::Bytes;
use prost::Message as _;

use crate::log_groups::RestoreError;
use crate::log_groups::StateMachine;
use crate::token_budgets::generated as raw;

/// A program that was not used for this long is forgotten, in milliseconds. Programs return within
/// their route's retention; this is well above it.
const FORGET_AFTER_MS: u64 = 300_000;

/// The commands between two looks for programs to forget.
const FORGET_EVERY_COMMANDS: u64 = 512;

/// The settled turns that are remembered of each program, so that late repetitions count once.
const SETTLED_KEPT: usize = 64;

#[derive(Debug, Default)]
struct Program {
    spent: u64,
    used_at_ms: u64,
    reservations: BTreeMap<String, u64>,
    settled: VecDeque<String>,
}

impl Program {
    fn reserved(&self) -> u64 {
        self.reservations.values().sum()
    }

    /// Reserves `tokens` for a turn if the budget holds them.
    fn reserve(&mut self, turn: &str, budget: u64, tokens: u64) -> bool {
        if self.reservations.contains_key(turn) {
            return true;
        }
        // Its sender gave up and settled it before the reservation arrived.
        if self.settled.iter().any(|settled| settled == turn) {
            return false;
        }
        if self.spent.saturating_add(self.reserved()).saturating_add(tokens) > budget {
            return false;
        }
        self.reservations.insert(turn.to_owned(), tokens);
        true
    }

    fn settle(&mut self, turn: &str, tokens: u64) {
        if self.settled.iter().any(|settled| settled == turn) {
            return;
        }
        self.reservations.remove(turn);
        self.spent = self.spent.saturating_add(tokens);
        self.settled.push_back(turn.to_owned());
        if self.settled.len() > SETTLED_KEPT {
            self.settled.pop_front();
        }
    }
}

/// Keeps what each program spent and reserved.
#[derive(Debug, Default)]
pub struct BudgetMachine {
    programs: BTreeMap<String, Program>,
    wall_ms: u64,
    commands: u64,
}

impl BudgetMachine {
    fn apply_command(&mut self, command: raw::Command) -> raw::Answer {
        self.wall_ms = self.wall_ms.max(command.wall_ms);
        for settle in command.settles {
            let program = self.program(settle.program);
            program.settle(&settle.turn, settle.tokens);
        }
        let verdicts = command.reserves.into_iter().map(|reserve| self.reserve(reserve)).collect();
        self.commands += 1;
        if self.commands.is_multiple_of(FORGET_EVERY_COMMANDS) {
            self.forget();
        }
        raw::Answer { verdicts }
    }

    fn program(&mut self, id: String) -> &mut Program {
        let used_at_ms = self.wall_ms;
        let program = self.programs.entry(id).or_default();
        program.used_at_ms = used_at_ms;
        program
    }

    fn reserve(&mut self, reserve: raw::Reserve) -> raw::Verdict {
        let raw::Reserve { program, turn, budget, tokens } = reserve;
        let program = self.program(program);
        let granted = program.reserve(&turn, budget, tokens);
        let used = program.spent.saturating_add(program.reserved());
        raw::Verdict { granted, left: budget.saturating_sub(used) }
    }

    fn forget(&mut self) {
        let now = self.wall_ms;
        self.programs.retain(|_, program| now - program.used_at_ms < FORGET_AFTER_MS);
    }
}

impl StateMachine for BudgetMachine {
    fn apply(&mut self, _index: u64, command: &[u8]) -> Bytes {
        // A command that cannot be read changes nothing, on every voter alike.
        let Ok(command) = raw::Command::decode(command) else {
            return Bytes::new();
        };
        self.apply_command(command).encode_to_vec().into()
    }

    fn snapshot(&self) -> Bytes {
        let encode = |(id, program): (&String, &Program)| raw::Program {
            id: id.clone(),
            spent: program.spent,
            used_at_ms: program.used_at_ms,
            reservations: program
                .reservations
                .iter()
                .map(|(turn, tokens)| raw::Reservation { turn: turn.clone(), tokens: *tokens })
                .collect(),
            settled: program.settled.iter().cloned().collect(),
        };
        let programs = self.programs.iter().map(encode).collect();
        let snapshot = raw::Snapshot { programs, wall_ms: self.wall_ms, commands: self.commands };
        snapshot.encode_to_vec().into()
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<(), RestoreError> {
        let raw = raw::Snapshot::decode(snapshot)
            .map_err(|cause| RestoreError { reason: cause.to_string() })?;
        let decode = |raw: raw::Program| {
            let reservations =
                raw.reservations.into_iter().map(|one| (one.turn, one.tokens)).collect();
            let program = Program {
                spent: raw.spent,
                used_at_ms: raw.used_at_ms,
                reservations,
                settled: raw.settled.into(),
            };
            (raw.id, program)
        };
        self.programs = raw.programs.into_iter().map(decode).collect();
        self.wall_ms = raw.wall_ms;
        self.commands = raw.commands;
        Ok(())
    }
}
