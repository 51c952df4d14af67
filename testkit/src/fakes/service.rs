//! A fake plain service that records what ran and fails on request.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use axum::Json;
use axum::Router;
use axum::body::Body;
use axum::extract::Path;
use axum::extract::State;
use axum::http::StatusCode;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use axum::routing::post;
use bytes::Bytes;
use coriandergw::dispatch::CallKind;
use coriandergw::endpoints::Announcement;
use coriandergw::endpoints::LoadReport;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;

use crate::fakes::server::Server;
use crate::sequence;

/// The calls that a service takes at once, as it announces.
const CAPACITY: u32 = 64;

/// How a fake service is set up.
#[derive(Debug, Clone)]
pub struct ServiceOptions {
    /// The name.
    pub name: String,
    /// Tool or service.
    pub kind: CallKind,
    /// What it serves.
    pub target: String,
    /// The data centre.
    pub data_centre: String,
    /// Whether the outcome of a call can be asked for.
    pub outcome_lookup: bool,
}

impl Default for ServiceOptions {
    fn default() -> Self {
        Self {
            name: "service-1".to_owned(),
            kind: CallKind::Service,
            target: "service-a".to_owned(),
            data_centre: "dc-a".to_owned(),
            outcome_lookup: true,
        }
    }
}

/// What the service does with a call.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Behaviour {
    /// Runs it and answers.
    #[default]
    Answer,
    /// Runs it and answers late.
    Late(Duration),
    /// Runs it and never answers.
    RunThenHang,
    /// Runs it and breaks the connection in the middle of the answer.
    RunThenCut,
    /// Never runs it and never answers.
    Hang,
    /// Answers 500 without running it.
    Fail,
}

/// A call that ran.
#[derive(Debug, Clone, PartialEq)]
pub struct RunRecord {
    /// The program.
    pub program: String,
    /// The call.
    pub call: String,
    /// The input.
    pub input: Value,
    /// The output.
    pub output: Value,
    /// The place of its start in the order of all records.
    pub started_at: u64,
    /// The place of its answer in the order of all records.
    pub finished_at: Option<u64>,
}

#[derive(Default)]
struct Plan {
    usual: Behaviour,
    next: VecDeque<Behaviour>,
}

struct Shared {
    options: ServiceOptions,
    plan: Mutex<Plan>,
    ran: Mutex<Vec<RunRecord>>,
}

/// A running fake service; dropping it stops it at once.
pub struct Service {
    shared: Arc<Shared>,
    server: Server,
}

impl Service {
    /// Starts a service on a port of the system's choice.
    ///
    /// # Errors
    /// Fails if no port can be bound.
    pub async fn start(options: ServiceOptions) -> std::io::Result<Self> {
        let shared = Arc::new(Shared { options, plan: Mutex::default(), ran: Mutex::default() });
        let mut routes = Router::new().route("/call", post(run));
        if shared.options.outcome_lookup {
            routes = routes.route("/calls/{program}/{call}", get(look_up));
        }
        let server = Server::start(routes.with_state(shared.clone())).await?;
        Ok(Self { shared, server })
    }

    /// Returns where the service listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns what the service announces of itself.
    pub fn announcement(&self) -> Announcement {
        let options = &self.shared.options;
        Announcement {
            name: options.name.as_str().try_into().expect("a valid name"),
            kind: options.kind,
            address: self.address(),
            targets: vec![options.target.as_str().try_into().expect("a valid name")],
            data_centre: options.data_centre.as_str().try_into().expect("a valid name"),
            capacity: CAPACITY,
            leaving: false,
            load: LoadReport::default(),
            checks_fencing: false,
            outcome_lookup: options.outcome_lookup,
        }
    }

    /// Sets what the service does with every call for which nothing else is planned.
    pub fn set_usual(&self, behaviour: Behaviour) {
        self.shared.plan.lock().expect("not poisoned").usual = behaviour;
    }

    /// Plans what the service does with the next call that has no plan yet.
    pub fn plan(&self, behaviour: Behaviour) {
        self.shared.plan.lock().expect("not poisoned").next.push_back(behaviour);
    }

    /// Returns the calls that ran, oldest first.
    pub fn ran(&self) -> Vec<RunRecord> {
        self.shared.ran.lock().expect("not poisoned").clone()
    }

    /// Returns how often a call ran.
    pub fn count(&self, program: &str, call: &str) -> usize {
        let ran = self.shared.ran.lock().expect("not poisoned");
        ran.iter().filter(|record| record.program == program && record.call == call).count()
    }
}

#[derive(Debug, Deserialize)]
struct CallBody {
    call_id: String,
    program: String,
    #[serde(default)]
    input: Value,
}

async fn run(State(shared): State<Arc<Shared>>, Json(call): Json<CallBody>) -> Response {
    let behaviour = {
        let mut plan = shared.plan.lock().expect("not poisoned");
        plan.next.pop_front().unwrap_or(plan.usual)
    };
    match behaviour {
        Behaviour::Hang => std::future::pending::<()>().await,
        Behaviour::Fail => {
            return (StatusCode::INTERNAL_SERVER_ERROR, "the service fails").into_response();
        }
        _ => {}
    }
    let (index, output) = record(&shared, call);
    match behaviour {
        Behaviour::Late(delay) => tokio::time::sleep(delay).await,
        Behaviour::RunThenHang => std::future::pending::<()>().await,
        Behaviour::RunThenCut => return cut_answer(&output),
        _ => {}
    }
    shared.ran.lock().expect("not poisoned")[index].finished_at = Some(sequence::next());
    Json(output).into_response()
}

/// Records a run. Returns its place and its output.
fn record(shared: &Shared, call: CallBody) -> (usize, Value) {
    let mut ran = shared.ran.lock().expect("not poisoned");
    let output = json!({"call_id": call.call_id, "program": call.program, "run": ran.len()});
    ran.push(RunRecord {
        program: call.program,
        call: call.call_id,
        input: call.input,
        output: output.clone(),
        started_at: sequence::next(),
        finished_at: None,
    });
    (ran.len() - 1, output)
}

fn cut_answer(output: &Value) -> Response {
    let text = output.to_string();
    let half = Bytes::copy_from_slice(&text.as_bytes()[..text.len() / 2]);
    let parts = [Ok(half), Err(std::io::Error::other("the answer is cut"))];
    Body::from_stream(futures_util::stream::iter(parts)).into_response()
}

async fn look_up(
    State(shared): State<Arc<Shared>>,
    Path((program, call)): Path<(String, String)>,
) -> Response {
    let ran = shared.ran.lock().expect("not poisoned");
    let found = ran.iter().find(|record| record.program == program && record.call == call);
    match found {
        Some(record) => Json(json!({"ran": true, "output": record.output})).into_response(),
        None => (StatusCode::NOT_FOUND, Json(json!({"ran": false}))).into_response(),
    }
}
