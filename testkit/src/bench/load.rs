//! Open-loop load: programs arrive at random times that do not depend on the answers.
//!
//! The latency of a program counts from when it was to arrive, not from when the load generator
//! got to it, so that a slow system does not hide its own queue.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use futures_util::future::join_all;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::bench::latency::Latency;
use crate::bench::latency::Summary;
use crate::bench::shapes::Shape;
use crate::bench::shapes::Step;
use crate::bench::shapes::Targets;
use crate::http::Answer;
use crate::http::Call;
use crate::http::Client;

/// How long one request may take.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(60);

/// A load.
#[derive(Debug, Clone)]
pub struct LoadOptions {
    /// The instances; programs are spread over them in turn.
    pub addresses: Vec<SocketAddr>,
    /// The catalogue entry.
    pub entry: String,
    /// The account key, if the entry asks for one.
    pub key: String,
    /// The programs that arrive a second.
    pub rate: f64,
    /// How long programs arrive, after the warm-up.
    pub duration: Duration,
    /// How long programs arrive before anything is recorded.
    pub warm_up: Duration,
    /// What the programs do.
    pub shape: Shape,
    /// The calls of a program.
    pub turns: usize,
    /// Whom the calls are for.
    pub targets: Targets,
    /// The programs under way at most; more arrivals are counted as dropped.
    pub most_under_way: usize,
    /// The seed.
    pub seed: u64,
}

/// What came of a load.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct LoadReport {
    /// Programs, from their intended arrival to their end.
    pub programs: Summary,
    /// Calls, from sending to the whole answer.
    pub calls: Summary,
    /// Programs that ended well.
    pub completed: u64,
    /// Programs of which a request was refused.
    pub refused: u64,
    /// Programs of which a request failed or got no answer.
    pub failed: u64,
    /// Arrivals for which there was no room in the load generator.
    pub dropped: u64,
    /// Completed calls a second.
    pub calls_per_second: f64,
}

#[derive(Default)]
struct Tally {
    programs: Latency,
    calls: Latency,
    completed: u64,
    refused: u64,
    failed: u64,
    dropped: u64,
}

/// How a request or program ended without success.
enum Trouble {
    Refused,
    Failed,
}

struct Driver {
    options: LoadOptions,
    client: Client,
    tally: Mutex<Tally>,
    recording_from: Instant,
}

/// Runs a load to its end; `progress` is told of programs ended and under way.
pub async fn run<F>(options: LoadOptions, progress: F) -> LoadReport
where
    F: Fn(u64, usize),
{
    let start = Instant::now();
    let recording_from = start + options.warm_up;
    let end = recording_from + options.duration;
    let room = Arc::new(Semaphore::new(options.most_under_way));
    let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
    let driver = Arc::new(Driver {
        options,
        client: Client::default(),
        tally: Mutex::default(),
        recording_from,
    });
    let mut running = JoinSet::new();
    let mut arrival = start;
    for n in 0_usize.. {
        arrival += exponential(driver.options.rate, &mut rng);
        if arrival >= end {
            break;
        }
        tokio::time::sleep_until(arrival).await;
        while running.try_join_next().is_some() {}
        let Ok(permit) = room.clone().try_acquire_owned() else {
            driver.tally.lock().expect("not poisoned").dropped += 1;
            continue;
        };
        let seed = rng.random();
        let driver = driver.clone();
        progress(driver.tally.lock().expect("not poisoned").completed, running.len());
        running.spawn(async move {
            driver.program(n, arrival, seed).await;
            drop(permit);
        });
    }
    while running.join_next().await.is_some() {}
    driver.report()
}

/// Returns the time to the next arrival of a Poisson process.
fn exponential(rate: f64, rng: &mut ChaCha8Rng) -> Duration {
    let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
    Duration::from_secs_f64(-uniform.ln() / rate)
}

impl Driver {
    async fn program(&self, n: usize, arrival: Instant, seed: u64) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let options = &self.options;
        let steps = options.shape.steps(options.turns, &options.targets, &mut rng);
        let address = options.addresses[n % options.addresses.len()];
        let ended = self.run_steps(address, steps).await;
        if arrival < self.recording_from {
            return;
        }
        let mut tally = self.tally.lock().expect("not poisoned");
        match ended {
            Ok(()) => {
                tally.completed += 1;
                tally.programs.record(arrival.elapsed());
            }
            Err(Trouble::Refused) => tally.refused += 1,
            Err(Trouble::Failed) => tally.failed += 1,
        }
    }

    async fn run_steps(&self, address: SocketAddr, steps: Vec<Step>) -> Result<(), Trouble> {
        let create = json!({"entry": self.options.entry});
        let root = self.send(address, "/v1/programs", &self.options.key, &create).await?;
        let mut program = root.clone();
        for step in steps {
            match step {
                Step::Pause(pause) => tokio::time::sleep(pause).await,
                Step::Descend => program = self.descend(address, &program).await?,
                Step::Calls(calls) => {
                    let sent = calls.iter().map(|call| self.call(address, &program, call));
                    for answered in join_all(sent).await {
                        answered?;
                    }
                }
            }
        }
        self.end(address, &program).await?;
        if program["program"] != root["program"] {
            self.end(address, &root).await?;
        }
        Ok(())
    }

    async fn descend(&self, address: SocketAddr, parent: &Value) -> Result<Value, Trouble> {
        let (id, secret) = names(parent);
        let body = json!({"budget": {"calls": 100, "tokens": 50_000}, "inherit_history": true});
        self.send(address, &format!("/v1/programs/{id}/programs"), secret, &body).await
    }

    async fn call(
        &self,
        address: SocketAddr,
        program: &Value,
        call: &Value,
    ) -> Result<(), Trouble> {
        let (id, secret) = names(program);
        let sent = Instant::now();
        self.send(address, &format!("/v1/programs/{id}/calls"), secret, call).await?;
        if sent >= self.recording_from {
            self.tally.lock().expect("not poisoned").calls.record(sent.elapsed());
        }
        Ok(())
    }

    async fn end(&self, address: SocketAddr, program: &Value) -> Result<(), Trouble> {
        let (id, secret) = names(program);
        let url = format!("http://{address}/v1/programs/{id}");
        let call = Call::new(hyper::Method::DELETE, &url).bearer(secret);
        checked(self.client.send(call.timeout(REQUEST_TIMEOUT)).await).map(|_| ())
    }

    async fn send(
        &self,
        address: SocketAddr,
        path: &str,
        secret: &str,
        body: &Value,
    ) -> Result<Value, Trouble> {
        let call = Call::new(hyper::Method::POST, &format!("http://{address}{path}"));
        let call = call.bearer(secret).json(body).timeout(REQUEST_TIMEOUT);
        checked(self.client.send(call).await).map(|answer| answer.json())
    }

    fn report(&self) -> LoadReport {
        let tally = self.tally.lock().expect("not poisoned");
        let calls = tally.calls.summary();
        LoadReport {
            programs: tally.programs.summary(),
            calls,
            completed: tally.completed,
            refused: tally.refused,
            failed: tally.failed,
            dropped: tally.dropped,
            calls_per_second: calls.count as f64 / self.options.duration.as_secs_f64(),
        }
    }
}

fn names(program: &Value) -> (&str, &str) {
    (program["program"].as_str().unwrap_or(""), program["secret"].as_str().unwrap_or(""))
}

fn checked(answer: Result<Answer, crate::http::HttpError>) -> Result<Answer, Trouble> {
    match answer {
        Ok(answer) if answer.status < 300 => Ok(answer),
        Ok(answer) if answer.json()["not_run"] == true => Err(Trouble::Refused),
        _ => Err(Trouble::Failed),
    }
}
