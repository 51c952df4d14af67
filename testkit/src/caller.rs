//! A caller as the contract describes it, with a log of all that it was answered.
//!
//! It asks for addresses, moves to another instance when one does not answer, and sends a call
//! whose answer is lost again under the same call id.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use hyper::Method;
use serde_json::Value;
use serde_json::json;
use tokio::time::Instant;

use crate::fakes::announcer::addresses_of;
use crate::http::Answer;
use crate::http::Call;
use crate::http::Client;
use crate::http::HttpError;
use crate::sequence;
use crate::wait;

/// How long one attempt may take.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(10);

/// The pause before the next attempt.
const RETRY_PAUSE: Duration = Duration::from_millis(25);

/// A program as its caller knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Program {
    /// The identifier.
    pub id: String,
    /// The secret.
    pub secret: String,
}

/// A program in the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProgramRecord {
    /// The identifier.
    pub id: String,
    /// The parent of a sub-agent.
    pub parent: Option<String>,
    /// The budget of tokens.
    pub tokens: Option<u64>,
    /// The budget of calls.
    pub calls: Option<u64>,
    /// Whether the caller ended it and was told so.
    pub ended: bool,
}

/// How one attempt was answered.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// In full, with this body.
    Done(Value),
    /// With a refusal.
    Refused {
        /// The numbered code.
        code: String,
        /// Whether the call is said not to have run.
        not_run: bool,
    },
    /// Not at all, or not in full.
    Lost,
}

/// One attempt of a call in the log.
#[derive(Debug, Clone, PartialEq)]
pub struct Attempt {
    /// The program.
    pub program: String,
    /// The call as it was sent.
    pub request: Value,
    /// The place of sending in the order of all records.
    pub sent_at: u64,
    /// The place of the answer in the order of all records.
    pub answered_at: u64,
    /// How it was answered.
    pub outcome: Outcome,
}

impl Attempt {
    /// Returns the call id.
    pub fn call(&self) -> &str {
        self.request["call_id"].as_str().unwrap_or("")
    }
}

/// A history that was read.
#[derive(Debug, Clone, PartialEq)]
pub struct HistoryRead {
    /// The program.
    pub program: String,
    /// The place of the request in the order of all records.
    pub sent_at: u64,
    /// The turns.
    pub turns: Vec<Value>,
}

/// All that a caller sent and was answered.
#[derive(Debug, Clone, Default)]
pub struct Log {
    /// The programs.
    pub programs: Vec<ProgramRecord>,
    /// The attempts, in the order of their answers.
    pub attempts: Vec<Attempt>,
    /// The histories that were read.
    pub histories: Vec<HistoryRead>,
}

/// A caller.
pub struct Caller {
    client: Client,
    known: Mutex<Vec<SocketAddr>>,
    log: Mutex<Log>,
    attempt_timeout: Duration,
}

impl Caller {
    /// Creates a caller that knows these addresses at first.
    pub fn new(known: Vec<SocketAddr>) -> Self {
        Self {
            client: Client::default(),
            known: Mutex::new(known),
            log: Mutex::default(),
            attempt_timeout: ATTEMPT_TIMEOUT,
        }
    }

    /// Sets how long one attempt may take.
    pub fn attempt_timeout(mut self, timeout: Duration) -> Self {
        self.attempt_timeout = timeout;
        self
    }

    /// Returns a copy of the log.
    pub fn log(&self) -> Log {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Log> {
        self.log.lock().expect("not poisoned")
    }

    fn first_known(&self) -> SocketAddr {
        self.known.lock().expect("not poisoned")[0]
    }

    /// Puts the first known address last.
    fn move_on(&self) {
        self.known.lock().expect("not poisoned").rotate_left(1);
    }

    /// Asks an instance which addresses to use, and uses them first.
    ///
    /// # Errors
    /// Fails if the instance does not answer.
    pub async fn learn_addresses(&self, from: SocketAddr) -> Result<Vec<SocketAddr>, HttpError> {
        let call = Call::new(Method::GET, &format!("http://{from}/v1/addresses"));
        let told = addresses_of(&self.client.send(call).await?.json());
        let mut known = self.known.lock().expect("not poisoned");
        known.retain(|address| !told.contains(address));
        known.splice(0..0, told.iter().copied());
        Ok(told)
    }

    /// Sends a request once to the first known address and follows one redirect.
    async fn attempt(&self, method: &Method, path: &str, secret: &str, body: &Value) -> Attempted {
        let url = format!("http://{}{path}", self.first_known());
        let call = Call::new(method.clone(), &url).bearer(secret).timeout(self.attempt_timeout);
        let call = if body.is_null() { call } else { call.json(body) };
        let answer = self.client.send(call.clone()).await?;
        let location = answer.headers.get("location").and_then(|value| value.to_str().ok());
        match location {
            Some(url) if (300..400).contains(&answer.status) => {
                self.client.send(Call { url: url.to_owned(), ..call }).await
            }
            _ => Ok(answer),
        }
    }

    /// Sends a request until it is answered for good; a lost answer is none.
    async fn persist(&self, method: Method, path: &str, secret: &str, body: &Value) -> Answer {
        let started = Instant::now();
        loop {
            match self.attempt(&method, path, secret, body).await {
                Ok(answer) if !is_worth_retrying(&answer) => return answer,
                Ok(answer) if started.elapsed() > wait::LIMIT => return answer,
                _ => self.move_on(),
            }
            assert!(started.elapsed() < wait::LIMIT * 2, "{method} {path} is never answered");
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    /// Creates a program; `budget` as in the contract.
    ///
    /// # Panics
    /// Panics if the program is refused for good.
    pub async fn create(&self, entry: &str, budget: Value) -> Program {
        let body = json!({"entry": entry, "budget": budget});
        let answer = self.persist(Method::POST, "/v1/programs", "", &body).await;
        self.created(&answer, None, &budget)
    }

    /// Creates a sub-agent.
    ///
    /// # Panics
    /// Panics if it is refused for good.
    pub async fn create_child(&self, parent: &Program, budget: Value) -> Program {
        let path = format!("/v1/programs/{}/programs", parent.id);
        let body = json!({"budget": budget});
        let answer = self.persist(Method::POST, &path, &parent.secret, &body).await;
        self.created(&answer, Some(parent.id.clone()), &budget)
    }

    fn created(&self, answer: &Answer, parent: Option<String>, budget: &Value) -> Program {
        let body = answer.json();
        assert_eq!(answer.status, 201, "a program is created: {body}");
        let text = |key: &str| body[key].as_str().expect("a text").to_owned();
        let program = Program { id: text("program"), secret: text("secret") };
        let (tokens, calls) = (budget["tokens"].as_u64(), budget["calls"].as_u64());
        let id = program.id.clone();
        let record = ProgramRecord { id, parent, tokens, calls, ended: false };
        self.lock().programs.push(record);
        program
    }

    /// Sends a call once and logs how it was answered.
    pub async fn call_once(&self, program: &Program, request: &Value) -> Outcome {
        let path = format!("/v1/programs/{}/calls", program.id);
        let sent_at = sequence::next();
        let answer = self.attempt(&Method::POST, &path, &program.secret, request).await;
        let outcome = outcome_of(answer);
        self.lock().attempts.push(Attempt {
            program: program.id.clone(),
            request: request.clone(),
            sent_at,
            answered_at: sequence::next(),
            outcome: outcome.clone(),
        });
        outcome
    }

    /// Sends a call under one call id until it is answered for good.
    ///
    /// # Panics
    /// Panics if no instance answers in time.
    pub async fn call(&self, program: &Program, request: Value) -> Outcome {
        let started = Instant::now();
        loop {
            let outcome = self.call_once(program, &request).await;
            let again = match &outcome {
                Outcome::Done(_) => false,
                // A resend is safe also where an earlier attempt may have run: it joins that one.
                Outcome::Refused { code, .. } => is_passing(code),
                Outcome::Lost => true,
            };
            if !again {
                return outcome;
            }
            assert!(started.elapsed() < wait::LIMIT, "never answered for good: {outcome:?}");
            self.move_on();
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    /// Reads a history.
    ///
    /// # Panics
    /// Panics if it is refused for good.
    pub async fn history(&self, program: &Program) -> Vec<Value> {
        let path = format!("/v1/programs/{}/history", program.id);
        let sent_at = sequence::next();
        let answer = self.persist(Method::GET, &path, &program.secret, &Value::Null).await;
        let body = answer.json();
        assert_eq!(answer.status, 200, "a history is read: {body}");
        let turns = body["turns"].as_array().cloned().unwrap_or_default();
        let program = program.id.clone();
        self.lock().histories.push(HistoryRead { program, sent_at, turns: turns.clone() });
        turns
    }

    /// Ends a program.
    ///
    /// # Panics
    /// Panics if it is refused for good.
    pub async fn end(&self, program: &Program) {
        let path = format!("/v1/programs/{}", program.id);
        let answer = self.persist(Method::DELETE, &path, &program.secret, &Value::Null).await;
        assert!(answer.status == 204 || answer.status == 410, "ended: {}", answer.json());
        let mut log = self.lock();
        let ended = log.programs.iter_mut().filter(|record| record.id == program.id);
        ended.for_each(|record| record.ended = true);
    }
}

type Attempted = Result<Answer, HttpError>;

fn outcome_of(answer: Attempted) -> Outcome {
    let Ok(answer) = answer else {
        return Outcome::Lost;
    };
    let body = answer.json();
    if answer.status == 200 && body["outcome"] == "done" {
        return Outcome::Done(body);
    }
    match body["code"].as_str() {
        Some(code) => Outcome::Refused {
            code: code.to_owned(),
            not_run: body["not_run"].as_bool().unwrap_or(false),
        },
        None => Outcome::Lost,
    }
}

/// Returns whether the numbered code tells of a state that passes.
fn is_passing(code: &str) -> bool {
    code.starts_with("CG-2")
}

/// Returns whether a request that is resent after a lost answer is worth sending again.
fn is_worth_retrying(answer: &Answer) -> bool {
    is_passing(answer.json()["code"].as_str().unwrap_or(""))
}
