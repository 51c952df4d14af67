//! Checks the promises against what the fakes and the callers recorded.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use derive_more::Display;
use serde_json::Value;

use crate::caller::Attempt;
use crate::caller::HistoryRead;
use crate::caller::Log;
use crate::caller::Outcome;
use crate::caller::ProgramRecord;
use crate::fakes::engine::Engine;
use crate::fakes::engine_core::EngineRecord;
use crate::fakes::service::RunRecord;
use crate::fakes::service::Service;

#[cfg(test)]
mod tests;

/// A promise that was broken.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Display)]
pub enum Violation {
    /// A call ran before one that it depends on was done.
    #[display("{program}/{call} ran before {predecessor} was done")]
    OutOfOrder {
        /// The program.
        program: String,
        /// The call.
        call: String,
        /// The call that it depends on.
        predecessor: String,
    },
    /// A non-idempotent call ran more than once.
    #[display("{program}/{call} must not be repeated and ran {runs} times")]
    Repeated {
        /// The program.
        program: String,
        /// The call.
        call: String,
        /// How often it ran.
        runs: usize,
    },
    /// A history or prompt holds what belongs to another program.
    #[display("the history of {program} holds {foreign}")]
    Mixed {
        /// The program.
        program: String,
        /// What does not belong there.
        foreign: String,
    },
    /// A history lacks a call that was answered before it was read.
    #[display("the history of {program} lacks {call}")]
    Short {
        /// The program.
        program: String,
        /// The call.
        call: String,
    },
    /// A caller got an answer to another request or not the whole one.
    #[display("the answer to {program}/{call} is not the endpoint's")]
    WrongAnswer {
        /// The program.
        program: String,
        /// The call.
        call: String,
    },
    /// A tree of programs used more than its budget.
    #[display("{program} used {used} {unit} of {budget}")]
    OverBudget {
        /// The root program.
        program: String,
        /// What it used.
        used: u64,
        /// What it was allowed.
        budget: u64,
        /// Tokens or calls.
        unit: &'static str,
    },
    /// An engine holds memory for a program that has ended.
    #[display("an engine holds {tokens} tokens for {program}, which has ended")]
    Held {
        /// The program.
        program: String,
        /// The tokens.
        tokens: u64,
    },
    /// A call was said not to have run, and ran.
    #[display("{program}/{call} was said not to have run ({code}), and ran")]
    UntrueNotRun {
        /// The program.
        program: String,
        /// The call.
        call: String,
        /// The numbered code of the refusal.
        code: String,
    },
}

/// A call that an engine, tool or service worked on.
#[derive(Debug, Clone, PartialEq)]
struct Run {
    program: String,
    call: String,
    started_at: u64,
    finished_at: Option<u64>,
    output: Value,
    /// Whether the endpoint is a tool or service.
    has_effect: bool,
}

/// What is known of a trial.
#[derive(Debug, Clone, Default)]
pub struct TrialRecords {
    /// What the caller sent and was answered.
    pub log: Log,
    /// What tools and services ran.
    pub services: Vec<RunRecord>,
    /// What engines worked on.
    pub engines: Vec<EngineRecord>,
    /// The tokens that engines hold for each program.
    pub held: BTreeMap<String, u64>,
}

impl TrialRecords {
    /// Gathers the records of a caller and of all fakes.
    pub fn collect(log: Log, engines: &[&Engine], services: &[&Service]) -> Self {
        let mut held = BTreeMap::new();
        for (program, tokens) in engines.iter().flat_map(|engine| engine.held()) {
            *held.entry(program).or_default() += tokens;
        }
        Self {
            log,
            services: services.iter().flat_map(|service| service.ran()).collect(),
            engines: engines.iter().flat_map(|engine| engine.records()).collect(),
            held,
        }
    }

    /// Adds the log of another caller.
    pub fn add_log(&mut self, log: Log) {
        self.log.programs.extend(log.programs);
        self.log.attempts.extend(log.attempts);
        self.log.histories.extend(log.histories);
    }

    fn runs(&self) -> Vec<Run> {
        let services = self.services.iter().map(|record| Run {
            program: record.program.clone(),
            call: record.call.clone(),
            started_at: record.started_at,
            finished_at: record.finished_at,
            output: record.output.clone(),
            has_effect: true,
        });
        let engines = self.engines.iter().map(|record| Run {
            program: record.call.program.clone(),
            call: record.call.call.clone(),
            started_at: record.started_at,
            finished_at: record.finished_at,
            output: Value::String(record.text.clone()),
            has_effect: false,
        });
        services.chain(engines).collect()
    }
}

/// Returns every promise that was broken.
pub fn audit(evidence: &TrialRecords) -> Vec<Violation> {
    let runs = evidence.runs();
    let mut found = Vec::new();
    for attempt in &evidence.log.attempts {
        found.extend(check_order(attempt, &runs));
        found.extend(check_repetition(attempt, &runs));
        found.extend(check_not_run(attempt, &evidence.log.attempts, &runs));
        found.extend(check_answer(attempt, &runs));
    }
    for read in &evidence.log.histories {
        found.extend(check_history(read, &evidence.log));
    }
    found.extend(evidence.engines.iter().flat_map(check_prompt));
    found.extend(check_budgets(evidence, &runs));
    found.extend(check_held(evidence));
    found.sort();
    found.dedup();
    found
}

/// Asserts that no promise was broken.
///
/// # Panics
/// Panics with the list of broken promises.
pub fn assert_clean(evidence: &TrialRecords) {
    let found = audit(evidence);
    let list: Vec<String> = found.iter().map(ToString::to_string).collect();
    assert!(list.is_empty(), "broken promises:\n{}", list.join("\n"));
}

fn runs_of<'a>(runs: &'a [Run], program: &'a str, call: &'a str) -> impl Iterator<Item = &'a Run> {
    runs.iter().filter(move |run| run.program == program && run.call == call)
}

fn check_order(attempt: &Attempt, runs: &[Run]) -> Vec<Violation> {
    let after = attempt.request["after"].as_array().cloned().unwrap_or_default();
    let mut found = Vec::new();
    for predecessor in after.iter().filter_map(Value::as_str) {
        let done = runs_of(runs, &attempt.program, predecessor).filter_map(|run| run.finished_at);
        let done = done.min().unwrap_or(u64::MAX);
        if runs_of(runs, &attempt.program, attempt.call()).any(|run| run.started_at < done) {
            found.push(Violation::OutOfOrder {
                program: attempt.program.clone(),
                call: attempt.call().to_owned(),
                predecessor: predecessor.to_owned(),
            });
        }
    }
    found
}

fn check_repetition(attempt: &Attempt, runs: &[Run]) -> Option<Violation> {
    let may_repeat = attempt.request["idempotent"] == true || attempt.request["kind"] == "model";
    let effects = runs_of(runs, &attempt.program, attempt.call()).filter(|run| run.has_effect);
    let runs = effects.count();
    (!may_repeat && runs > 1).then(|| Violation::Repeated {
        program: attempt.program.clone(),
        call: attempt.call().to_owned(),
        runs,
    })
}

fn check_not_run(attempt: &Attempt, all: &[Attempt], runs: &[Run]) -> Option<Violation> {
    let Outcome::Refused { code, not_run: true } = &attempt.outcome else {
        return None;
    };
    let same = |other: &&Attempt| {
        other.program == attempt.program
            && other.call() == attempt.call()
            && other.sent_at > attempt.answered_at
    };
    // A call that was sent again later may run from then on.
    let sent_again = all.iter().filter(same).map(|other| other.sent_at).min();
    let until = sent_again.unwrap_or(u64::MAX);
    let ran = runs_of(runs, &attempt.program, attempt.call()).any(|run| run.started_at < until);
    ran.then(|| Violation::UntrueNotRun {
        program: attempt.program.clone(),
        call: attempt.call().to_owned(),
        code: code.clone(),
    })
}

fn check_answer(attempt: &Attempt, runs: &[Run]) -> Option<Violation> {
    let Outcome::Done(body) = &attempt.outcome else {
        return None;
    };
    let own = body["program"] == attempt.program.as_str() && body["call_id"] == attempt.call();
    let whole = runs_of(runs, &attempt.program, attempt.call())
        .any(|run| run.finished_at.is_some() && run.output == body["output"]);
    (!own || !whole).then(|| Violation::WrongAnswer {
        program: attempt.program.clone(),
        call: attempt.call().to_owned(),
    })
}

fn check_history(read: &HistoryRead, log: &Log) -> Vec<Violation> {
    let mut found = Vec::new();
    let owners = family(&read.program, &log.programs);
    for turn in &read.turns {
        if let Some(owner) = owner_of(&turn["output"]).filter(|owner| !owners.contains(owner)) {
            let foreign = format!("a turn of {owner}");
            found.push(Violation::Mixed { program: read.program.clone(), foreign });
        }
    }
    let listed: BTreeSet<&str> =
        read.turns.iter().filter_map(|turn| turn["call_id"].as_str()).collect();
    let answered = log.attempts.iter().filter(|attempt| {
        attempt.program == read.program
            && attempt.answered_at < read.sent_at
            && matches!(attempt.outcome, Outcome::Done(_))
    });
    for attempt in answered.filter(|attempt| !listed.contains(attempt.call())) {
        let (program, call) = (read.program.clone(), attempt.call().to_owned());
        found.push(Violation::Short { program, call });
    }
    found
}

/// Returns a program and its ancestors, whose history it may have inherited.
fn family(program: &str, programs: &[ProgramRecord]) -> BTreeSet<String> {
    let mut family = BTreeSet::new();
    let mut next = Some(program.to_owned());
    while let Some(id) = next {
        let record = programs.iter().find(|record| record.id == id);
        next = record.and_then(|record| record.parent.clone());
        next = next.filter(|parent| !family.contains(parent));
        family.insert(id);
    }
    family
}

/// Returns the program that an output of a fake names.
fn owner_of(output: &Value) -> Option<String> {
    let named = output["program"].as_str();
    let text = output.as_str().and_then(|text| text.split_once('/')).map(|(owner, _)| owner);
    named.or(text).map(str::to_owned)
}

/// Checks that the answers in a prompt are those of its own program.
fn check_prompt(record: &EngineRecord) -> Option<Violation> {
    let answers = record.call.messages.iter().filter(|m| m.role.as_ref() == "assistant");
    let owners =
        answers.filter_map(|message| owner_of(&Value::String(message.content.to_string())));
    let foreign = owners.into_iter().find(|owner| *owner != record.call.program)?;
    let program = record.call.program.clone();
    Some(Violation::Mixed { program, foreign: format!("a prompt with an answer of {foreign}") })
}

fn check_budgets(evidence: &TrialRecords, runs: &[Run]) -> Vec<Violation> {
    let mut found = Vec::new();
    let programs = &evidence.log.programs;
    for root in programs {
        let tree: BTreeSet<&str> = programs
            .iter()
            .filter(|record| family(&record.id, programs).contains(&root.id))
            .map(|record| record.id.as_str())
            .collect();
        let in_tree = |program: &str| tree.contains(program);
        let calls: BTreeSet<(&str, &str)> = runs
            .iter()
            .filter(|run| in_tree(&run.program))
            .map(|run| (run.program.as_str(), run.call.as_str()))
            .collect();
        let answered = evidence.engines.iter().filter(|r| r.finished && in_tree(&r.call.program));
        let tokens = answered.map(|record| record.usage.total()).sum();
        let checks = [(root.calls, calls.len() as u64, "calls"), (root.tokens, tokens, "tokens")];
        for (budget, used, unit) in checks {
            if let Some(budget) = budget.filter(|budget| used > *budget) {
                let program = root.id.clone();
                found.push(Violation::OverBudget { program, used, budget, unit });
            }
        }
    }
    found
}

fn check_held(evidence: &TrialRecords) -> Vec<Violation> {
    let ended = evidence.log.programs.iter().filter(|record| record.ended);
    let held = ended.filter_map(|record| {
        let tokens = *evidence.held.get(&record.id)?;
        Some(Violation::Held { program: record.id.clone(), tokens })
    });
    held.collect()
}
