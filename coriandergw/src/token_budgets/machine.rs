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

/// The number of turns of each program whose version is kept, so that their streams can be resumed. A
/// caller resumes a stream within seconds.
const MAX_BOUND_TURNS: usize = 64;

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
    engine: Option<Engine>,
    /// The version that each of the latest turns is bound to, oldest first.
    versions: VecDeque<(String, String)>,
}

/// An engine and the version of its software.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Engine {
    name: String,
    version: String,
}

impl Program {
    /// Returns the version that a turn is bound to.
    fn version_of(&self, turn: &str) -> Option<&str> {
        let bound = self.versions.iter().find(|(known, _)| known == turn);
        bound.map(|(_, version)| version.as_str())
    }

    /// Binds a turn to a version, instead of the one before.
    fn bind(&mut self, turn: &str, version: String) {
        self.versions.retain(|(known, _)| known != turn);
        if version.is_empty() {
            return;
        }
        self.versions.push_back((turn.to_owned(), version));
        if self.versions.len() > MAX_BOUND_TURNS {
            self.versions.pop_front();
        }
    }

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

/// An engine that a turn may run on.
#[derive(Debug, Clone)]
struct Proposal {
    engine: Engine,
    /// Whether it names a limit of requests a second.
    is_limited: bool,
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
        for bind in command.binds {
            self.touch_program(bind.program).bind(&bind.turn, bind.version);
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
        let raw::Settle { program: id, turn, tokens, engine: name, version } = settle;
        self.loads.end(&turn_key(&id, &turn));
        let program = self.touch_program(id);
        program.settle(&turn, tokens);
        if !name.is_empty() {
            program.engine = Some(Engine { name, version });
        }
    }

    fn reserve(&mut self, reserve: raw::Reserve) -> raw::Verdict {
        let raw::Reserve { program: id, turn, budget, tokens, engines, versions, resumes, limited } =
            reserve;
        let versions = versions.into_iter().chain(std::iter::repeat(String::new()));
        let limited = limited.into_iter().chain(std::iter::repeat(false));
        let proposed: Vec<Proposal> = engines
            .into_iter()
            .zip(versions)
            .zip(limited)
            .map(|((name, version), is_limited)| Proposal {
                engine: Engine { name, version },
                is_limited,
            })
            .collect();
        let program = self.touch_program(id.clone());
        let granted = program.reserve(&turn, budget, tokens);
        let used = program.spent.saturating_add(program.reserved());
        let left = budget.saturating_sub(used);
        if !granted {
            return raw::Verdict { granted, left, ..raw::Verdict::default() };
        }
        let last = program.engine.clone();
        let origin = program.version_of(&resumes).map(str::to_owned);
        let (engine, version) = match (resumes.is_empty(), origin) {
            (true, _) => {
                let engine = self.assign_engine(&id, &turn, last, &proposed);
                engine.map(|engine| (engine.name, engine.version)).unwrap_or_default()
            }
            (false, None) => Default::default(),
            (false, Some(version)) => {
                let fits = |engine: &Engine| engine.version == version;
                let proposed: Vec<Proposal> =
                    proposed.into_iter().filter(|one| fits(&one.engine)).collect();
                let engine = self.assign_engine(&id, &turn, last.filter(fits), &proposed);
                (engine.map(|engine| engine.name).unwrap_or_default(), version)
            }
        };
        let program = self.touch_program(id);
        if program.version_of(&turn).is_none() {
            program.bind(&turn, version);
        }
        let version = program.version_of(&turn).unwrap_or_default().to_owned();
        raw::Verdict { granted, left, engine, version }
    }

    /// Chooses an engine for a turn of a program whose last turn, if any, ran on `last`, and adds the
    /// turn to its load. Returns `None` if no engine is known.
    fn assign_engine(
        &mut self,
        id: &str,
        turn: &str,
        last: Option<Engine>,
        proposed: &[Proposal],
    ) -> Option<Engine> {
        let key = turn_key(id, turn);
        if let Some((name, _)) = self.loads.running(&key) {
            let version = self.programs.get(id).and_then(|program| program.version_of(turn));
            let version = version.unwrap_or_default().to_owned();
            return Some(Engine { name: name.to_owned(), version });
        }
        // A limited engine runs few turns because of its limit and not because it has room for a
        // program that moves there with all its turns to come.
        let is_target = |one: &&Proposal| last.is_none() || !one.is_limited;
        let engines = proposed.iter().filter(is_target).map(|one| &one.engine);
        let names: Vec<String> = engines.clone().map(|engine| engine.name.clone()).collect();
        let name = self.loads.choose(last.as_ref().map(|engine| engine.name.as_str()), &names)?;
        let engine = engines.chain(&last).find(|engine| engine.name == name)?.clone();
        self.loads.begin(key, &name, self.wall_ms);
        // Turns that the program starts before this one ends go to the same engine.
        self.touch_program(id.to_owned()).engine = Some(engine.clone());
        Some(engine)
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
            engine: program.engine.as_ref().map(|engine| engine.name.clone()).unwrap_or_default(),
            engine_version: program
                .engine
                .as_ref()
                .map(|engine| engine.version.clone())
                .unwrap_or_default(),
            versions: program
                .versions
                .iter()
                .map(|(turn, version)| raw::TurnVersion {
                    turn: turn.clone(),
                    version: version.clone(),
                })
                .collect(),
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
                engine: (!raw.engine.is_empty())
                    .then_some(Engine { name: raw.engine, version: raw.engine_version }),
                versions: raw
                    .versions
                    .into_iter()
                    .map(|bound| (bound.turn, bound.version))
                    .collect(),
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
