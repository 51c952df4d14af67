use axum::body::Body;
use axum::http::Request;
use serde_json::Value;
use tower::ServiceExt;

use super::*;
use crate::catalogue::MemoryCatalogue;
use crate::clock::SystemClock;
use crate::instance::router;
use crate::leases::local::LocalPartitions;
use crate::settings::Settings;
use crate::test_support;

const ENTRY: &str = "/v1/catalogue/entries/costing";

/// Answers requests as a lone instance does.
struct Bench {
    routes: Router,
}

/// Everything of an answer that a client sees.
#[derive(Debug, PartialEq)]
struct Answer {
    status: u16,
    tag: String,
    body: String,
}

impl Answer {
    fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap()
    }
}

impl Bench {
    fn new() -> Self {
        let settings = Settings::dev(([127, 0, 0, 1], 0).into());
        let name = settings.instance.name.clone();
        let data_centre = settings.instance.data_centre.to_string();
        let address = settings.instance.listen;
        let cx =
            test_support::context(name.clone(), &data_centre, Arc::new(SystemClock::default()));
        let catalogue = Arc::new(MemoryCatalogue::default());
        let partitions = Arc::new(LocalPartitions::new(name, address));
        let shared = test_support::shared(cx, settings, catalogue, partitions);
        Self { routes: router(Arc::new(shared)) }
    }

    async fn send(&self, method: &str, path: &str, headers: &[(&str, &str)], body: &str) -> Answer {
        let mut req = Request::builder().method(method).uri(path);
        for (name, value) in headers {
            req = req.header(*name, *value);
        }
        let req = req.body(Body::from(body.to_owned())).unwrap();
        let response = self.routes.clone().oneshot(req).await.unwrap();
        let tag = response.headers().get("etag").map(|tag| tag.to_str().unwrap().to_owned());
        let status = response.status().as_u16();
        let body = axum::body::to_bytes(response.into_body(), 1 << 20).await.unwrap();
        let body = String::from_utf8(body.to_vec()).unwrap();
        Answer { status, tag: tag.unwrap_or_default(), body }
    }

    async fn put(&self, headers: &[(&str, &str)], owner: &str) -> Answer {
        let body = format!(r#"{{"owner":"{owner}"}}"#);
        self.send("PUT", ENTRY, headers, &body).await
    }
}

#[tokio::test]
async fn put_takes_what_get_gives() {
    let bench = Bench::new();
    let created = bench.put(&[], "a").await;
    assert_eq!(created.status, 200);
    let read = bench.send("GET", ENTRY, &[], "").await;
    assert_eq!(read.tag, created.tag);
    let again = bench.send("PUT", ENTRY, &[("if-match", &read.tag)], &read.body).await;
    assert_eq!(again.status, 200);
    assert_ne!(again.tag, read.tag);
}

#[tokio::test]
async fn a_change_of_an_entry_that_exists_needs_if_match() {
    let bench = Bench::new();
    bench.put(&[], "a").await;
    let without = bench.put(&[], "b").await;
    assert_eq!((without.status, without.json()["code"].as_str()), (428, Some("CG-4003")));
    let removal = bench.send("DELETE", ENTRY, &[], "").await;
    assert_eq!(removal.status, 428);
    let racing = bench.put(&[("if-match", "0")], "b").await;
    assert_eq!((racing.status, racing.json()["code"].as_str()), (412, Some("CG-4001")));
    let absent = bench.send("DELETE", "/v1/catalogue/entries/other", &[], "").await;
    assert_eq!(absent.status, 404);
}

#[tokio::test]
async fn a_resent_change_gets_the_first_answer_byte_for_byte() {
    let bench = Bench::new();
    let first = bench.put(&[("change-id", "c1")], "a").await;
    let lost = bench.put(&[("change-id", "c2")], "b").await;
    let stale = [("change-id", "c3"), ("if-match", "7")];
    let conflict = bench.put(&stale, "b").await;
    bench.put(&[("if-match", first.tag.as_str())], "z").await;
    assert_eq!(bench.put(&[("change-id", "c1")], "a").await, first);
    assert_eq!(bench.put(&[("change-id", "c2")], "b").await, lost);
    assert_eq!(bench.put(&stale, "b").await, conflict);
    let reused = bench.put(&[("change-id", "c1")], "other").await;
    assert_eq!((reused.status, reused.json()["code"].as_str()), (409, Some("CG-4004")));
}

#[tokio::test]
async fn history_tells_who_changed_what_and_when() {
    let bench = Bench::new();
    bench.put(&[("change-id", "c1"), ("operator", "ann")], "a").await;
    bench.send("DELETE", ENTRY, &[("if-match", "1"), ("change-id", "c2")], "").await;
    let history = bench.send("GET", &format!("{ENTRY}/history"), &[], "").await.json();
    let changes = history["changes"].as_array().unwrap();
    assert_eq!(changes.len(), 2);
    assert_eq!((&changes[0]["change_id"], &changes[0]["operator"]), (&"c1".into(), &"ann".into()));
    assert_eq!(changes[0]["entry"]["owner"], "a");
    assert!(changes[0]["wall_ms"].as_u64() > Some(0));
    assert!(changes[1]["entry"].is_null());
}

#[tokio::test]
async fn bad_input_is_refused_with_a_number() {
    let bench = Bench::new();
    let unknown = bench.send("PUT", ENTRY, &[], r#"{"owner":"a","ownre":"b"}"#).await;
    assert_eq!((unknown.status, unknown.json()["code"].as_str()), (400, Some("CG-1001")));
    assert!(unknown.body.contains("ownre"), "{}", unknown.body);
    for headers in [[("if-match", "x")], [("change-id", "a b")], [("operator", "a b")]] {
        let answer = bench.put(&headers, "a").await;
        assert_eq!((answer.status, answer.json()["not_run"].as_bool()), (400, Some(true)));
    }
    let status = bench.send("GET", "/v1/status", &[], "").await;
    assert_eq!((status.status, status.json()["revision"].as_u64()), (200, Some(0)));
}
