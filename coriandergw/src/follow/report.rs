//! The lines of one request or program, what was believed around it, and what ended it.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use time::format_description::well_known::Rfc3339;

use crate::events::EventNumber;
use crate::follow::line::LogLine;

/// How long before a request what processes came to believe may still explain it: a few elections.
const BELIEFS_BEFORE: Duration = Duration::from_secs(2);

/// Events that change what a process believes about others, or whether it runs at all.
const BELIEFS: [EventNumber; 14] = [
    EventNumber::InstanceStarted,
    EventNumber::DrainStarted,
    EventNumber::ProcessStalled,
    EventNumber::LogLeaderElected,
    EventNumber::LogLeaderLost,
    EventNumber::LogStorageFailed,
    EventNumber::CoreLost,
    EventNumber::CoreRegained,
    EventNumber::JournalLost,
    EventNumber::InstanceSilent,
    EventNumber::EndpointLeaving,
    EventNumber::EndpointSilent,
    EventNumber::ConfigApplied,
    EventNumber::ConfigRefused,
];

/// What is followed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FollowTarget {
    /// One request, by the identifier that its caller gave it.
    Request(Arc<str>),
    /// All requests of a program.
    Program(Arc<str>),
}

impl FollowTarget {
    fn matches(&self, line: &LogLine) -> bool {
        match self {
            Self::Request(id) => line.word("request") == Some(id),
            Self::Program(id) => line.word("program") == Some(id),
        }
    }
}

/// What the logs tell.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FollowReport {
    /// The lines of the request or program, in order.
    pub own: Vec<LogLine>,
    /// What was believed around them by the processes that they passed, and elections, in order.
    pub beliefs: Vec<LogLine>,
    /// Which decision ended it and on what grounds.
    pub conclusion: String,
}

impl FollowReport {
    /// Collects the report from the lines of all processes.
    pub fn tell(lines: &[LogLine], followed: &FollowTarget) -> Self {
        let mut own: Vec<LogLine> =
            lines.iter().filter(|line| followed.matches(line)).cloned().collect();
        own.sort_by_key(|line| line.at);
        let beliefs = beliefs_around(&own, lines);
        let conclusion = conclude(&own);
        Self { own, beliefs, conclusion }
    }

    /// Returns the report as text, one line an event.
    pub fn text(&self) -> String {
        let mut all: Vec<(&LogLine, char)> = self.own.iter().map(|line| (line, '*')).collect();
        all.extend(self.beliefs.iter().map(|line| (line, ' ')));
        all.sort_by_key(|(line, _)| line.at);
        let row = |(line, mark): &(&LogLine, char)| {
            let peer = line.peer.as_deref().unwrap_or("-");
            format!(
                "{mark} {} {} {} peer={peer} {}",
                time_of(line),
                line.instance,
                line.name,
                line.message
            )
        };
        let mut rows: Vec<String> = all.iter().map(row).collect();
        rows.push(self.conclusion.clone());
        rows.join("\n")
    }

    /// Returns the report as JSON.
    pub fn json(&self) -> serde_json::Value {
        let rows = |lines: &[LogLine]| lines.iter().map(Row::from).collect::<Vec<_>>();
        serde_json::json!({
            "own": rows(&self.own),
            "beliefs": rows(&self.beliefs),
            "conclusion": self.conclusion,
        })
    }
}

/// One line of the JSON form.
#[derive(Debug, Serialize)]
struct Row {
    at: String,
    event: u16,
    name: Arc<str>,
    instance: Arc<str>,
    peer: Option<Arc<str>>,
    message: Arc<str>,
}

impl From<&LogLine> for Row {
    fn from(line: &LogLine) -> Self {
        Self {
            at: time_of(line),
            event: line.event,
            name: line.name.clone(),
            instance: line.instance.clone(),
            peer: line.peer.clone(),
            message: line.message.clone(),
        }
    }
}

fn time_of(line: &LogLine) -> String {
    line.at.format(&Rfc3339).unwrap_or_default()
}

fn beliefs_around(own: &[LogLine], lines: &[LogLine]) -> Vec<LogLine> {
    let (Some(first), Some(last)) = (own.first(), own.last()) else {
        return Vec::new();
    };
    let took = first.millis("total_ms").unwrap_or_default();
    let from = first.at - took - BELIEFS_BEFORE;
    let names = |line: &LogLine| [Some(line.instance.clone()), line.peer.clone()];
    let passed: BTreeSet<Arc<str>> = own.iter().flat_map(names).flatten().collect();
    let concerns = |line: &LogLine| {
        line.event == EventNumber::LogLeaderElected.number()
            || names(line).iter().flatten().any(|name| passed.contains(name))
    };
    let is_belief = |line: &LogLine| BELIEFS.iter().any(|number| number.number() == line.event);
    let mut found: Vec<LogLine> = lines
        .iter()
        .filter(|line| line.at >= from && line.at <= last.at && is_belief(line) && concerns(line))
        .cloned()
        .collect();
    found.sort_by_key(|line| line.at);
    found
}

fn conclude(own: &[LogLine]) -> String {
    let ends =
        [EventNumber::RequestEnded, EventNumber::RequestRefused, EventNumber::StreamBrokenOff];
    let is_end = |line: &&LogLine| ends.iter().any(|number| number.number() == line.event);
    let Some(end) = own.iter().rev().find(is_end) else {
        return nothing_ended(own);
    };
    let word = |key: &str| end.word(key).unwrap_or("-").to_owned();
    let grounds = format!(
        "route {}, configuration {}, {} sends",
        word("route"),
        word("config"),
        word("sends")
    );
    let number = end.event;
    if number == EventNumber::RequestRefused.number() {
        let (code, not_run) = (word("code"), word("not_run"));
        return format!("refused by {} with {code}, not run: {not_run}; {grounds}", end.instance);
    }
    if number == EventNumber::StreamBrokenOff.number() {
        let events = word("events");
        return format!("broken off by {} after {events} events; {grounds}", end.instance);
    }
    let peer = end.peer.as_deref().unwrap_or("-");
    format!("answered by {peer} with status {}; {grounds}; {}", word("status"), slowest(end))
}

fn nothing_ended(own: &[LogLine]) -> String {
    match own.last() {
        Some(line) => format!("no end was logged; {} was the last to log it", line.instance),
        None => "no process logged it: it reached none that still ran, or its lines were left out"
            .to_owned(),
    }
}

/// Names the step of an answered request that took longest.
fn slowest(end: &LogLine) -> String {
    let at = |key: &str| end.millis(key).unwrap_or_default();
    let (reserved, first, total) = (at("reserved_ms"), at("first_event_ms"), at("total_ms"));
    let steps = [
        ("the reservation of its budget", reserved),
        ("the first event", first.saturating_sub(reserved)),
        ("the rest of the answer", total.saturating_sub(first.max(reserved))),
    ];
    let (step, took) = steps.into_iter().max_by_key(|(_, took)| *took).unwrap_or_default();
    format!("of {} ms {step} took {} ms", total.as_millis(), took.as_millis())
}
