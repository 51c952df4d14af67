//! The replicated state machine of the journal group, which holds the token budgets.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use bytes::Bytes;
use prost::Message as _;

use crate::log_groups::RestoreError;
use crate::log_groups::StateMachine;
use crate::token_budgets::TurnKey;
use crate::token_budgets::engine_loads::EngineLoads;
use crate::token_budgets::generated as raw;

/// A program that has not been used for this time, in milliseconds, is removed. Programs return
/// within the retention of their route, which is well below this time.
const PROGRAM_RETENTION_MS: u64 = 300_000;

/// The number of commands between two removals of unused programs.
const CLEANUP_INTERVAL_COMMANDS: u64 = 512;

/// The number of settled turns kept for each program, so that a late duplicate has no effect.
const MAX_SETTLED_TURNS: usize = 64;

#[derive(Debug, Default)]
struct Program {
    spent: u64,
    used_at_ms: u64,
    reservations: BTreeMap<String, u64>,
    settled: VecDeque<String>,
    /// The engine to which the program's last turn was assigned, or that ran it instead. It is
    /// expected to have the program's prompt cached.
    engine: Option<String>,
}

impl Program {
    fn reserved(&self) -> u64 {
        self.reservations.values().sum()
    }

    /// Reserves `tokens` for a turn if they fit in the remaining budget. Returns whether the turn
    /// holds a reservation.
    fn reserve(&mut self, turn: &str, budget: u64, tokens: u64) -> bool {
        if self.reservations.contains_key(turn) {
            return true;
        }
        // The sender gave up and settled the turn before its reservation arrived.
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
        if self.settled.len() > MAX_SETTLED_TURNS {
            self.settled.pop_front();
        }
    }
}

/// The tokens that each program has spent and reserved, and the turns that run on each engine.
#[derive(Debug, Default)]
pub struct BudgetMachine {
    programs: BTreeMap<String, Program>,
    loads: EngineLoads,
    /// The latest wall time of any command applied so far, in milliseconds.
    wall_ms: u64,
    /// The number of commands applied so far.
    commands: u64,
}

impl BudgetMachine {
    fn apply_command(&mut self, command: raw::Command) -> raw::Answer {
        self.wall_ms = self.wall_ms.max(command.wall_ms);
        self.loads.expire(self.wall_ms);
        for settle in command.settles {
            self.settle(settle);
        }
        let verdicts = command.reserves.into_iter().map(|reserve| self.reserve(reserve)).collect();
        self.commands += 1;
        if self.commands.is_multiple_of(CLEANUP_INTERVAL_COMMANDS) {
            self.remove_unused_programs();
        }
        raw::Answer { verdicts }
    }

    /// Returns the program, created if necessary, and marks it as used now.
    fn touch_program(&mut self, id: String) -> &mut Program {
        let used_at_ms = self.wall_ms;
        let program = self.programs.entry(id).or_default();
        program.used_at_ms = used_at_ms;
        program
    }

    fn settle(&mut self, settle: raw::Settle) {
        let raw::Settle { program: id, turn, tokens, engine } = settle;
        self.loads.end(&turn_key(&id, &turn));
        let program = self.touch_program(id);
        program.settle(&turn, tokens);
        if !engine.is_empty() {
            program.engine = Some(engine);
        }
    }

    fn reserve(&mut self, reserve: raw::Reserve) -> raw::Verdict {
        let raw::Reserve { program: id, turn, budget, tokens, engines } = reserve;
        let program = self.touch_program(id.clone());
        let granted = program.reserve(&turn, budget, tokens);
        let used = program.spent.saturating_add(program.reserved());
        let last_engine = program.engine.clone();
        let engine = match granted {
            true => self.assign_engine(&id, &turn, last_engine, &engines),
            false => String::new(),
        };
        raw::Verdict { granted, left: budget.saturating_sub(used), engine }
    }

    /// Chooses an engine for a turn and adds the turn to its load. Returns an empty name if no
    /// engine is known.
    fn assign_engine(
        &mut self,
        id: &str,
        turn: &str,
        last_engine: Option<String>,
        engines: &[String],
    ) -> String {
        let key = turn_key(id, turn);
        if let Some((engine, _)) = self.loads.running(&key) {
            return engine.to_owned();
        }
        let Some(engine) = self.loads.choose(last_engine.as_deref(), engines) else {
            return String::new();
        };
        self.loads.begin(key, &engine, self.wall_ms);
        // Turns that the program starts before this one ends go to the same engine.
        self.touch_program(id.to_owned()).engine = Some(engine.clone());
        engine
    }

    fn remove_unused_programs(&mut self) {
        let now = self.wall_ms;
        self.programs.retain(|_, program| now - program.used_at_ms < PROGRAM_RETENTION_MS);
    }
}

fn turn_key(program: &str, turn: &str) -> TurnKey {
    TurnKey { program: program.into(), turn: turn.into() }
}

impl StateMachine for BudgetMachine {
    fn apply(&mut self, _index: u64, command: &[u8]) -> Bytes {
        // All voters ignore a command that cannot be decoded, so their states stay equal.
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
                .map(|(turn, tokens)| {
                    let running = self.loads.running(&turn_key(id, turn));
                    let (engine, since_ms) = running.unwrap_or_default();
                    let (turn, engine) = (turn.clone(), engine.to_owned());
                    raw::Reservation { turn, tokens: *tokens, engine, since_ms }
                })
                .collect(),
            settled: program.settled.iter().cloned().collect(),
            engine: program.engine.clone().unwrap_or_default(),
        };
        let programs = self.programs.iter().map(encode).collect();
        let snapshot = raw::Snapshot { programs, wall_ms: self.wall_ms, commands: self.commands };
        snapshot.encode_to_vec().into()
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<(), RestoreError> {
        let raw = raw::Snapshot::decode(snapshot)
            .map_err(|cause| RestoreError { reason: cause.to_string() })?;
        let mut running = Vec::new();
        let mut decode = |raw: raw::Program| {
            let on_engine =
                raw.reservations.iter().filter(|reservation| !reservation.engine.is_empty());
            running
                .extend(on_engine.map(|reservation| {
                    (reservation.since_ms, raw.id.clone(), reservation.clone())
                }));
            let reservations = raw
                .reservations
                .into_iter()
                .map(|reservation| (reservation.turn, reservation.tokens))
                .collect();
            let program = Program {
                spent: raw.spent,
                used_at_ms: raw.used_at_ms,
                reservations,
                settled: raw.settled.into(),
                engine: (!raw.engine.is_empty()).then_some(raw.engine),
            };
            (raw.id, program)
        };
        self.programs = raw.programs.into_iter().map(&mut decode).collect();
        running.sort_by_key(|(since_ms, ..)| *since_ms);
        self.loads = EngineLoads::default();
        for (since_ms, program, reservation) in running {
            self.loads.begin(turn_key(&program, &reservation.turn), &reservation.engine, since_ms);
        }
        self.wall_ms = raw.wall_ms;
        self.commands = raw.commands;
        Ok(())
    }
}
