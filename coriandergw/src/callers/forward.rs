//! Forwards requests to the home of their program, at most once.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::Json;
use axum::body::Body;
use axum::extract::ConnectInfo;
use axum::extract::Request;
use axum::extract::State;
use axum::http::HeaderName;
use axum::http::HeaderValue;
use axum::http::StatusCode;
use axum::http::Uri;
use axum::http::header;
use axum::middleware::Next;
use axum::response::IntoResponse;
use axum::response::Response;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::json;

use crate::callers::body::refusal_body;
use crate::ids::ProgramId;
use crate::instance::HandlerState;
use crate::leases::Home;
use crate::programs::Location;
use crate::programs::Programs;
use crate::programs::no_home;
use crate::result_code::Refusal;
use crate::result_code::ResultCode;

/// Marks a forwarded request; its value is the home's epoch as the forwarder knew it.
pub const FORWARDED: HeaderName = HeaderName::from_static("cgw-forwarded");

/// How long connecting to another instance may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// When a caller should come back after its home was lost in the middle of a request.
const LOST_RETRY: Duration = Duration::from_millis(500);

/// How often a request looks again for a home that is moving.
const MOVE_WAIT_POLLS: u32 = 50;

/// The time between two looks.
const MOVE_WAIT_INTERVAL: Duration = Duration::from_millis(20);

/// Sends requests to other instances; keeps connections open between them.
#[derive(Clone)]
pub(super) struct Forwarder {
    http: Client<HttpConnector, Body>,
}

impl Default for Forwarder {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        Self { http: Client::builder(TokioExecutor::new()).build(connector) }
    }
}

/// What a request asks for, as far as its refusals differ.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RequestKind {
    /// Adds a call, which an earlier attempt may have sent to its endpoint already.
    Call,
    /// Anything else.
    Other,
}

impl RequestKind {
    fn of(uri: &Uri) -> Self {
        match uri.path().ends_with("/calls") {
            true => Self::Call,
            false => Self::Other,
        }
    }

    /// Makes a refusal by an instance that is not the home true for this kind of request.
    fn qualify(self, refusal: Refusal) -> Refusal {
        match self {
            Self::Call => refusal.may_be_resent(),
            Self::Other => refusal,
        }
    }
}

/// Says why a request is answered neither here nor by the home.
#[derive(Debug)]
enum Turned {
    Refused(Refusal),
    /// The caller has to ask at `location` by itself.
    Redirected {
        location: String,
        refusal: Refusal,
    },
}

impl From<Refusal> for Turned {
    fn from(refusal: Refusal) -> Self {
        Self::Refused(refusal)
    }
}

/// Serves a request here or forwards it to where its program is served.
pub(super) async fn serve_or_forward(
    State((shared, forwarder)): State<(Arc<HandlerState>, Forwarder)>,
    req: Request,
    next: Next,
) -> Response {
    let kind = RequestKind::of(req.uri());
    let program = program_of(req.uri());
    if program.is_none()
        && let Err(refusal) = shared.programs.check_accepts_programs()
    {
        return refuse_program(&shared, &req, &kind.qualify(refusal));
    }
    match serve_or_forward_admitted(&shared, &forwarder, program, req, next).await {
        Ok(res) => res,
        Err(Turned::Refused(refusal)) => kind.qualify(refusal).into_response(),
        Err(Turned::Redirected { location, refusal }) => redirect(&location, kind.qualify(refusal)),
    }
}

async fn serve_or_forward_admitted(
    shared: &Arc<HandlerState>,
    forwarder: &Forwarder,
    program: Option<ProgramId>,
    req: Request,
    next: Next,
) -> Result<Response, Turned> {
    let _entering = program.as_ref().map(|id| shared.programs.begin_request(id.partition()));
    let is_forwarded = req.headers().contains_key(FORWARDED);
    let home = match locate(&shared.programs, program.as_ref(), is_forwarded).await {
        Location::Here => return Ok(next.run(req).await),
        Location::Nowhere => return Err(no_home("the program has no home at the moment").into()),
        Location::Elsewhere(_) if is_forwarded => {
            return Err(no_home("the program's home has moved").into());
        }
        Location::Elsewhere(home) => home,
    };
    if shared.settings.caller_keys.is_some() {
        return Err(turn_to(&home, req.uri()));
    }
    Ok(forwarder.forward(&home, req).await?)
}

/// Refuses a new program and names the instances that may take it.
fn refuse_program(shared: &HandlerState, req: &Request, refusal: &Refusal) -> Response {
    let caller = req.extensions().get::<ConnectInfo<SocketAddr>>();
    let caller = caller.map_or(shared.caller_address, |ConnectInfo(caller)| *caller);
    let mut answer = shared.addresses.answer(caller.ip());
    answer.addresses.retain(|known| known.address != shared.caller_address);
    let mut body = refusal_body(refusal);
    body["addresses"] = json!(answer.addresses);
    (refusal.status(), Json(body)).into_response()
}

/// Finds where a request is served; waits a little for a home that is moving.
async fn locate(programs: &Programs, id: Option<&ProgramId>, is_forwarded: bool) -> Location {
    let find = || match id {
        Some(id) => programs.locate(id),
        None => programs.locate_new(),
    };
    for _ in 0..MOVE_WAIT_POLLS {
        match find() {
            Location::Here => return Location::Here,
            Location::Elsewhere(home) if !is_forwarded => return Location::Elsewhere(home),
            // The new home may not know yet that it is the home.
            _ => tokio::time::sleep(MOVE_WAIT_INTERVAL).await,
        }
    }
    find()
}

/// Returns the program that a path names.
fn program_of(uri: &Uri) -> Option<ProgramId> {
    let rest = uri.path().strip_prefix("/v1/programs/")?;
    ProgramId::try_from(rest.split('/').next()?).ok()
}

/// Sends the caller on by itself where callers speak TLS, whose names are its own to check.
fn turn_to(home: &Home, uri: &Uri) -> Turned {
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    let location = format!("https://{}{path}", home.address);
    let refusal = no_home(format!("the program's home is {}", home.address));
    Turned::Redirected { location, refusal }
}

fn redirect(location: &str, refusal: Refusal) -> Response {
    let mut res = refusal.into_response();
    *res.status_mut() = StatusCode::TEMPORARY_REDIRECT;
    if let Ok(location) = HeaderValue::from_str(location) {
        res.headers_mut().insert(header::LOCATION, location);
    }
    res
}

impl Forwarder {
    async fn forward(&self, home: &Home, mut req: Request) -> Result<Response, Refusal> {
        let path = req.uri().path_and_query().map_or("/", |path| path.as_str());
        let Some(uri) = uri_at(home.address, path) else {
            return Err(no_home("the program's home has no usable address"));
        };
        *req.uri_mut() = uri;
        let headers = req.headers_mut();
        headers.remove(header::HOST);
        headers.remove(header::CONNECTION);
        headers.insert(FORWARDED, HeaderValue::from(home.epoch.0));
        match self.http.request(req).await {
            Ok(res) => Ok(res.map(Body::new)),
            Err(cause) if cause.is_connect() => {
                Err(no_home(format!("the program's home cannot be reached: {cause}")))
            }
            Err(cause) => {
                let message = format!("the program's home was lost: {cause}; resend the request");
                let refusal = Refusal::may_have_run(ResultCode::NoHome, message);
                Err(refusal.retry_after(LOST_RETRY))
            }
        }
    }
}

fn uri_at(address: SocketAddr, path: &str) -> Option<Uri> {
    Uri::builder().scheme("http").authority(address.to_string()).path_and_query(path).build().ok()
}
