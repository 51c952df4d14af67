//! Announces an endpoint to one instance at a time and moves on when that one does not answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use coriandergw::endpoints::Announcement;
use hyper::Method;
use serde_json::Value;
use tokio::sync::Notify;
use tokio::task::JoinHandle;

use crate::http::Call;
use crate::http::Client;

/// How long an instance may take to answer an announcement.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);

/// The pause after an instance did not answer.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// The renewal interval where an answer names none.
const DEFAULT_RENEWAL_MS: u64 = 500;

#[derive(Default)]
struct Shared {
    leaving: AtomicBool,
    accepted: AtomicU64,
    changed: Notify,
}

/// Announces one endpoint until it is dropped.
pub struct Announcer {
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

impl Announcer {
    /// Starts to announce what `announcement` returns to one of `instances`.
    pub fn start<F>(announcement: F, instances: Vec<SocketAddr>) -> Self
    where
        F: Fn() -> Announcement + Send + Sync + 'static,
    {
        let shared = Arc::new(Shared::default());
        let task = tokio::spawn(announce_forever(shared.clone(), announcement, instances));
        Self { shared, task }
    }

    /// Says whether the endpoint leaves, at once and on every renewal.
    pub fn set_leaving(&self, leaving: bool) {
        self.shared.leaving.store(leaving, Ordering::SeqCst);
        self.shared.changed.notify_one();
    }

    /// Returns how many announcements were accepted.
    pub fn accepted(&self) -> u64 {
        self.shared.accepted.load(Ordering::SeqCst)
    }
}

impl Drop for Announcer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn announce_forever<F>(shared: Arc<Shared>, announcement: F, mut known: Vec<SocketAddr>)
where
    F: Fn() -> Announcement + Send + Sync + 'static,
{
    let client = Client::default();
    let mut turn = 0;
    loop {
        let instance = known[turn % known.len()];
        let mut body = announcement();
        body.leaving |= shared.leaving.load(Ordering::SeqCst);
        let pause = match send(&client, instance, &body).await {
            Some(renewal) => {
                shared.accepted.fetch_add(1, Ordering::SeqCst);
                learn_addresses(&client, instance, &mut known).await;
                renewal
            }
            None => {
                turn += 1;
                RETRY_PAUSE
            }
        };
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = shared.changed.notified() => {}
        }
    }
}

async fn send(client: &Client, instance: SocketAddr, body: &Announcement) -> Option<Duration> {
    let body = serde_json::to_value(body).ok()?;
    let call = Call::new(Method::POST, &format!("http://{instance}/v1/endpoints")).json(&body);
    let answer = client.send(call.timeout(ANSWER_TIMEOUT)).await.ok()?;
    let renewal = answer.json()["renew_after_ms"].as_u64().unwrap_or(DEFAULT_RENEWAL_MS);
    (answer.status == 200).then(|| Duration::from_millis(renewal))
}

async fn learn_addresses(client: &Client, instance: SocketAddr, known: &mut Vec<SocketAddr>) {
    let call = Call::new(Method::GET, &format!("http://{instance}/v1/addresses"));
    let Ok(answer) = client.send(call.timeout(ANSWER_TIMEOUT)).await else {
        return;
    };
    for address in addresses_of(&answer.json()) {
        if !known.contains(&address) {
            known.push(address);
        }
    }
}

/// Reads the addresses of an answer to `GET /v1/addresses`.
pub fn addresses_of(body: &Value) -> Vec<SocketAddr> {
    let listed = body["addresses"].as_array().cloned().unwrap_or_default();
    listed.iter().filter_map(|item| item["address"].as_str()?.parse().ok()).collect()
}
