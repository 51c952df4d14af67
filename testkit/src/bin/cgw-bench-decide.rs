//! Measures what one decision costs: to queue a call, assign it and end it.

use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use coriandergw::catalogue::Entry;
use coriandergw::catalogue::RawEntry;
use coriandergw::clock::Timestamp;
use coriandergw::dispatch::CallKind;
use coriandergw::dispatch::Usage;
use coriandergw::dispatch::call_metadata::CallMetadata;
use coriandergw::dispatch::scheduler::AssignmentOutcome;
use coriandergw::dispatch::scheduler::Scheduler;
use coriandergw::dispatch::scheduler::SchedulerSettings;
use coriandergw::endpoints::Announcement;
use coriandergw::endpoints::directory::Directory;
use coriandergw::placement::ExpectedFinish;
use coriandergw::placement::PrefixKey;
use coriandergw::queueing::QueueSettings;
use gumdrop::Options as _;
use serde_json::json;

/// The calls in flight while decisions are measured, as a part of the capacity.
const BUSY_SHARE: f64 = 0.8;

/// The calls that an endpoint works on at once.
const CAPACITY: usize = 8;

#[derive(Debug, gumdrop::Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "how many decisions are measured", default = "100000")]
    decisions: usize,
    #[options(help = "how many programs are under way", default = "170000")]
    programs: usize,
}

fn directory(endpoints: usize, now: Timestamp) -> Directory {
    let directory = Directory::default();
    for number in 0..endpoints {
        let announcement: Announcement = serde_json::from_value(json!({
            "name": format!("e{number}"), "kind": "model", "address": "127.0.0.1:9",
            "targets": ["m"], "data_centre": "dc-a", "capacity": CAPACITY,
        }))
        .expect("a valid announcement");
        directory.announce(announcement, now);
    }
    directory
}

fn facts(program: usize, entry: &Arc<Entry>) -> CallMetadata {
    let id = format!("p{program}").try_into().expect("a valid name");
    CallMetadata {
        queue: (CallKind::Model, "m".try_into().expect("a valid name")),
        prefixes: vec![(PrefixKey::Program(coriandergw::ids::ProgramId::clone(&id)), 2_000)],
        program: id,
        entry: entry.clone(),
        prompt_tokens: 2_200,
        history_tokens: 2_000,
        max_tokens: 100,
        under_way: true,
        attained_tokens: (program % 5_000) as u64,
        deadline: None,
        excluded: Vec::new(),
    }
}

/// Returns the mean, median and 99th percentile of a decision in microseconds.
fn measure(endpoints: usize, arguments: &Arguments) -> serde_json::Value {
    let now = Timestamp::from_millis(1);
    let directory = directory(endpoints, now);
    let raw = RawEntry { name: "n".into(), owner: "o".into(), ..RawEntry::default() };
    let entry = Arc::new(Entry::try_from(raw).expect("a valid entry"));
    let mut scheduler = Scheduler::new(SchedulerSettings {
        queue: QueueSettings::default(),
        placement_policy: Arc::new(ExpectedFinish::default()),
        data_centre: "dc-a".try_into().expect("a valid name"),
        seed: 1,
    });
    let usage = Usage { prompt_tokens: 2_200, cached_tokens: 2_000, completion_tokens: 100 };
    let total = Duration::from_millis(900);
    let finish =
        AssignmentOutcome::Answered { usage, first_token: Duration::from_millis(90), total };
    let busy = (endpoints as f64 * CAPACITY as f64 * BUSY_SHARE) as usize;
    let mut in_flight = std::collections::VecDeque::new();
    let mut taken = Vec::with_capacity(arguments.decisions);
    let rounds = arguments.programs.max(busy) + arguments.decisions;
    for round in 0..rounds {
        let call = facts(round % arguments.programs, &entry);
        let key = call.queue.clone();
        let ended = (in_flight.len() >= busy).then(|| in_flight.pop_front()).flatten();
        let begun = Instant::now();
        if let Some(ticket) = ended {
            scheduler.finish(ticket, finish, &directory, now);
        }
        scheduler.enqueue(call, now);
        let assigned = scheduler.assign(&key, None, &directory, now);
        let time = begun.elapsed();
        in_flight.extend(assigned.iter().map(|one| one.ticket));
        if round >= rounds - arguments.decisions {
            taken.push(time.as_nanos() as f64 / 1e3);
        }
    }
    taken.sort_by(f64::total_cmp);
    json!({
        "endpoints": endpoints,
        "programs": arguments.programs,
        "mean_us": taken.iter().sum::<f64>() / taken.len() as f64,
        "p50_us": taken[taken.len() / 2],
        "p99_us": taken[taken.len() * 99 / 100],
    })
}

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    if arguments.decisions == 0 || arguments.programs == 0 {
        eprintln!("there must be at least one decision and one program");
        return ExitCode::from(2);
    }
    for endpoints in [16, 256, 2_900] {
        println!("{}", measure(endpoints, &arguments));
    }
    ExitCode::SUCCESS
}
