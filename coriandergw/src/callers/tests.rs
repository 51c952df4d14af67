use std::net::SocketAddr;
use std::sync::Mutex;

use axum::body::Body as HttpBody;
use axum::extract::FromRequest;
use axum::http::Method;
use axum::http::Request;
use http_body_util::BodyExt;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use serde_json::json;
use sha2::Digest;
use sha2::Sha256;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use super::*;
use crate::catalogue::Entry;
use crate::catalogue::MemoryCatalogue;
use crate::catalogue::RawEntry;
use crate::clock::Clock;
use crate::clock::SystemClock;
use crate::clock::Timestamp;
use crate::endpoints::directory::Directory;
use crate::http_server::CallerKeyFiles;
use crate::ids::Epoch;
use crate::ids::InstanceName;
use crate::ids::PartitionId;
use crate::leases::Home;
use crate::leases::Partitions;
use crate::settings::Settings;
use crate::test_support;

/// All partitions are at one instance, which may move.
#[derive(Default)]
struct OneHome {
    home: Mutex<Option<Home>>,
    here: Mutex<Option<InstanceName>>,
}

impl Partitions for OneHome {
    fn home(&self, _partition: PartitionId) -> Option<Home> {
        self.home.lock().unwrap().clone()
    }

    fn held(&self, _partition: PartitionId, _now: Timestamp) -> Option<Epoch> {
        let home = self.home.lock().unwrap().clone()?;
        let here = self.here.lock().unwrap().clone();
        (Some(home.instance) == here).then_some(home.epoch)
    }

    fn all_held(&self, now: Timestamp) -> Vec<(PartitionId, Epoch)> {
        (0..4).filter_map(|n| Some((PartitionId(n), self.held(PartitionId(n), now)?))).collect()
    }

    fn is_fresh(&self, _now: Timestamp) -> bool {
        true
    }
}

struct Instance {
    address: SocketAddr,
    directory: Arc<Directory>,
    partitions: Arc<OneHome>,
}

impl Instance {
    /// Starts an instance that knows no home yet.
    async fn start(name: &str, require_account_key: bool) -> Self {
        Self::start_with(name, |settings| settings.access.require_account_key = require_account_key)
            .await
    }

    /// Starts an instance that redirects, as where callers speak TLS.
    async fn start_redirecting(name: &str) -> Self {
        let none = CallerKeyFiles { certificate: "unused".into(), key: "unused".into() };
        Self::start_with(name, |settings| settings.caller_keys = Some(none)).await
    }

    async fn start_with<F>(name: &str, set: F) -> Self
    where
        F: FnOnce(&mut Settings),
    {
        let clock = Arc::new(SystemClock::default());
        let instance = InstanceName::try_from(name).unwrap();
        let cx = test_support::context(instance.clone(), "dc", clock);
        let raw = |name: &str, key: &str| RawEntry {
            name: name.to_owned(),
            owner: name.to_owned(),
            account_key_digests: vec![hex::encode(Sha256::digest(key))],
            ..RawEntry::default()
        };
        let entries = [raw("e", "key-e"), raw("other", "key-other")];
        let entries = entries.map(|raw| Entry::try_from(raw).unwrap());
        let catalogue = Arc::new(MemoryCatalogue::with_entries(entries));
        let partitions = Arc::new(OneHome::default());
        *partitions.here.lock().unwrap() = Some(instance);
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let mut settings = Settings::dev(address);
        set(&mut settings);
        let shared = test_support::shared(cx, settings, catalogue, partitions.clone());
        let directory = shared.directory.clone();
        let shared = Arc::new(shared);
        let service =
            crate::instance::router(shared).into_make_service_with_connect_info::<SocketAddr>();
        tokio::spawn(async move { axum::serve(listener, service).await });
        Self { address, directory, partitions }
    }

    /// Tells this instance where all programs are served.
    fn tell_home(&self, name: &str, address: SocketAddr) {
        let instance = InstanceName::try_from(name).unwrap();
        let home = Home { instance, address, epoch: Epoch(1) };
        *self.partitions.home.lock().unwrap() = Some(home);
    }

    /// Starts an instance that is the home of all programs.
    async fn alone(require_account_key: bool) -> Self {
        let instance = Self::start("a", require_account_key).await;
        instance.tell_home("a", instance.address);
        instance
    }

    async fn connect(&self) -> Connection {
        let stream = TcpStream::connect(self.address).await.unwrap();
        let (sender, connection) =
            hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.unwrap();
        tokio::spawn(connection);
        Connection { sender }
    }
}

/// One connection, used for all requests of a test.
struct Connection {
    sender: SendRequest<HttpBody>,
}

impl Connection {
    async fn send(&mut self, method: Method, path: &str, key: &str, body: &str) -> (u16, Value) {
        let req = Request::builder()
            .method(method)
            .uri(path)
            .header("host", "test")
            .header("authorization", format!("Bearer {key}"))
            .body(HttpBody::from(body.to_owned()))
            .unwrap();
        self.sender.ready().await.expect("the connection is still usable");
        let res = self.sender.send_request(req).await.unwrap();
        let status = res.status().as_u16();
        let body = res.into_body().collect().await.unwrap().to_bytes();
        (status, serde_json::from_slice(&body).unwrap_or_default())
    }

    async fn post(&mut self, path: &str, key: &str, body: &str) -> (u16, Value) {
        self.send(Method::POST, path, key, body).await
    }

    /// Creates a program and returns its path and its secret.
    async fn create(&mut self) -> (String, String) {
        let (status, body) = self.post("/v1/programs", "key-e", r#"{"entry":"e"}"#).await;
        assert_eq!(status, 201, "{body}");
        let text = |name: &str| body[name].as_str().unwrap().to_owned();
        (format!("/v1/programs/{}", text("program")), text("secret"))
    }
}

#[track_caller]
fn assert_refused(answer: &(u16, Value), status: u16, code: &str) {
    let (got, body) = answer;
    assert_eq!((*got, body["code"].as_str()), (status, Some(code)), "{body}");
    assert_eq!(body["not_run"], true, "{body}");
}

/// Checks that a refusal does not claim that the call has not run: it may be a resend.
#[track_caller]
fn assert_open(answer: &(u16, Value), status: u16) {
    let (got, body) = answer;
    assert_eq!((*got, &body["code"]), (status, &json!("CG-2003")));
    assert_eq!(body["not_run"], false, "{body}");
    assert!(body["retry_after_ms"].is_u64(), "{body}");
}

#[tokio::test]
async fn bad_requests_get_numbered_answers_and_leave_the_connection_usable() {
    let instance = Instance::alone(false).await;
    let mut connection = instance.connect().await;
    let (path, secret) = connection.create().await;
    let (other, _) = connection.create().await;
    let (calls, foreign) = (format!("{path}/calls"), format!("{other}/calls"));
    let call = r#"{"call_id":"x","kind":"tool","target":"t"}"#;
    let large = format!(r#"{{"call_id":"x","input":"{}"}}"#, "x".repeat(BODY_MAX_BYTES));
    let cases = [
        (Method::POST, "/v1/programs", "{", 400, "CG-1001"),
        (Method::POST, "/v1/programs", r#"{"entry":"e","more":1}"#, 400, "CG-1001"),
        (Method::POST, "/v1/programs", r#"{"entry":"a b"}"#, 400, "CG-1001"),
        (Method::POST, "/v1/programs", r#"{"entry":"none"}"#, 404, "CG-1005"),
        (Method::POST, "/v1/programs", r#"{"entry":"e","budget":{"calls":0}}"#, 400, "CG-1009"),
        (Method::POST, &calls, r#"{"call_id":1}"#, 400, "CG-1001"),
        (Method::POST, &calls, &large, 413, "CG-1002"),
        (Method::POST, &calls, call, 503, "CG-2006"),
        (Method::POST, &foreign, call, 403, "CG-1004"),
        (Method::POST, "/v1/programs/%ff/calls", call, 404, "CG-1003"),
        (Method::PUT, &calls, call, 404, "CG-1017"),
        (Method::GET, "/v1/nothing", "", 404, "CG-1017"),
    ];
    for (method, to, body, status, code) in cases {
        let answer = connection.send(method, to, &secret, body).await;
        assert_refused(&answer, status, code);
        if status == 413 {
            // A body that is not read to its end takes its connection with it.
            connection = instance.connect().await;
        }
    }
    // A program that is not known may have been forgotten, and may have run the call.
    let (status, body) = connection.post("/v1/programs/p-none/calls", &secret, call).await;
    assert_eq!((status, &body["code"], &body["not_run"]), (404, &json!("CG-1003"), &json!(false)));
    let read = connection.send(Method::GET, &format!("{path}/history"), &secret, "").await;
    assert_eq!((read.0, &read.1["turns"]), (200, &json!([])));
}

#[tokio::test]
async fn account_keys_are_asked_for_where_the_settings_say_so() {
    let instance = Instance::alone(true).await;
    let mut connection = instance.connect().await;
    let body = r#"{"entry":"e"}"#;
    let cases = [("", 401, "CG-1013"), ("none", 401, "CG-1013"), ("key-other", 403, "CG-1012")];
    for (key, status, code) in cases {
        assert_refused(&connection.post("/v1/programs", key, body).await, status, code);
    }
    connection.create().await;
}

#[tokio::test]
async fn a_request_is_forwarded_to_the_home_once() {
    let home = Instance::alone(false).await;
    let entry = Instance::start("b", false).await;
    entry.tell_home("a", home.address);
    let mut connection = entry.connect().await;
    let (path, secret) = connection.create().await;
    let read = connection.send(Method::GET, &format!("{path}/history"), &secret, "").await;
    assert_eq!(read.0, 200);

    // Each believes that the other is the home, so that the second hop must refuse.
    home.tell_home("b", entry.address);
    let answer = connection.send(Method::GET, &format!("{path}/history"), &secret, "").await;
    assert_refused(&answer, 503, "CG-2003");
    assert!(answer.1["retry_after_ms"].is_u64());
}

#[tokio::test]
async fn a_home_that_cannot_be_reached_leaves_open_whether_a_call_ran() {
    let entry = Instance::start("b", false).await;
    let mut connection = entry.connect().await;
    let path = "/v1/programs/p-1/calls";
    let call = r#"{"call_id":"x","kind":"tool","target":"t"}"#;
    let program = r#"{"entry":"e"}"#;
    assert_open(&connection.post(path, "", call).await, 503);
    assert_refused(&connection.post("/v1/programs", "", program).await, 503, "CG-2003");

    let gone = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = gone.local_addr().unwrap();
    entry.tell_home("a", address);
    drop(gone);
    assert_open(&connection.post(path, "", call).await, 503);
    assert_refused(&connection.post("/v1/programs", "", program).await, 503, "CG-2003");

    let cut = TcpListener::bind("127.0.0.1:0").await.unwrap();
    entry.tell_home("a", cut.local_addr().unwrap());
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = cut.accept().await {
            let mut buf = [0; 64];
            // Takes a part of the request, then closes.
            let _ = tokio::io::AsyncReadExt::read(&mut stream, &mut buf).await;
        }
    });
    assert_open(&connection.post(path, "", call).await, 503);
}

#[tokio::test]
async fn a_redirect_leaves_open_whether_a_call_ran() {
    let entry = Instance::start_redirecting("b").await;
    let mut connection = entry.connect().await;
    entry.tell_home("a", "192.0.2.1:443".parse().unwrap());
    let call = r#"{"call_id":"x","kind":"tool","target":"t"}"#;
    assert_open(&connection.post("/v1/programs/p-1/calls", "", call).await, 307);
    let program = r#"{"entry":"e"}"#;
    assert_refused(&connection.post("/v1/programs", "", program).await, 307, "CG-2003");
}

#[tokio::test]
async fn a_stream_ends_with_the_answer_and_an_early_refusal_has_its_status() {
    let instance = Instance::alone(false).await;
    let mut connection = instance.connect().await;
    let (path, secret) = connection.create().await;
    let data_centre = "dc".try_into().unwrap();
    for announcement in crate::dev::start_endpoints(&data_centre).await.unwrap() {
        instance.directory.announce(announcement, SystemClock::default().now());
    }
    let stream = async |connection: &mut Connection, key: &str| {
        let call = r#"{"call_id":"x","kind":"model","target":"dev-model","input":"a b"}"#;
        let req = Request::post(format!("{path}/calls"))
            .header("host", "test")
            .header("accept", "text/event-stream")
            .header("authorization", format!("Bearer {key}"))
            .body(HttpBody::from(call))
            .unwrap();
        connection.sender.ready().await.unwrap();
        let res = connection.sender.send_request(req).await.unwrap();
        let status = res.status().as_u16();
        let body = res.into_body().collect().await.unwrap().to_bytes();
        (status, String::from_utf8(body.to_vec()).unwrap())
    };
    assert_eq!(stream(&mut connection, "wrong").await.0, 403);
    let (status, events) = stream(&mut connection, &secret).await;
    assert_eq!(status, 200, "{events}");
    let kinds: Vec<&str> = events.lines().filter_map(|line| line.strip_prefix("event: ")).collect();
    assert_eq!(kinds.split_last(), Some((&"answer", &["token"; 5][..])), "{events}");
    let (_, resent) = stream(&mut connection, &secret).await;
    assert!(events.ends_with(&resent), "{resent}");
}

// A connection that is cut within the body: the request is not at fault and may be sent again.
#[tokio::test]
async fn a_body_that_breaks_off_is_refused_with_a_code_that_passes() {
    let pieces: [Result<&str, std::io::Error>; 2] =
        [Ok("{\"call_id\":"), Err(std::io::ErrorKind::ConnectionReset.into())];
    let body = HttpBody::from_stream(futures_util::stream::iter(pieces));
    let refusal = body::Body::<Value>::from_request(Request::new(body), &()).await.err();
    let refusal = refusal.expect("the body is not whole");
    assert_eq!((refusal.code, refusal.not_run), (ResultCode::BodyIncomplete, true));
}
