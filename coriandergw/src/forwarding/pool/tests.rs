//! How long idle connections are kept, and which requests they may carry.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::DuplexStream;

use crate::clock::Timestamp;
use crate::forwarding::pool::Connection;
use crate::forwarding::pool::ConnectionPath;
use crate::forwarding::pool::LONG_IDLE_MAX;
use crate::forwarding::pool::Pool;
use crate::forwarding::pool::REFUSED_ATTEMPTS_MAX;
use crate::forwarding::pool::open_on;
use crate::ids::EndpointName;

fn endpoint() -> (EndpointName, SocketAddr) {
    let name = EndpointName::try_from("e1").expect("a name");
    (name, SocketAddr::from(([10, 0, 0, 1], 8_000)))
}

fn at(seconds: u64) -> Timestamp {
    Timestamp::from_millis(60_000 + seconds * 1_000)
}

/// Opens a connection that is ready for a request; it is open until the returned stream is dropped.
async fn open(keep_alive: Option<Duration>) -> (Connection, DuplexStream) {
    let (near, far) = tokio::io::duplex(1_024);
    let mut connection = open_on(near, ConnectionPath::Direct).await.expect("opened");
    connection.sender.ready().await.expect("ready");
    connection.keep_alive = keep_alive.unwrap_or(connection.keep_alive);
    (connection, far)
}

async fn is_kept(keep_alive: Option<Duration>, idle_s: u64) -> bool {
    let (name, address) = endpoint();
    let pool = Pool::default();
    let (connection, _far) = open(keep_alive).await;
    pool.put(&name, address, connection, at(0));
    pool.sweep(|_| true, at(idle_s));
    pool.take(&name, address, "t1", Duration::MAX, at(idle_s)).is_some()
}

// Guards against a new connection for most turns: with many instances, an instance sends to the same
// engine every few seconds only.
#[tokio::test]
async fn with_a_request_every_few_seconds_a_connection_is_kept_as_long_as_the_endpoint_states() {
    assert!(is_kept(Some(Duration::from_secs(15)), 14).await);
    assert!(!is_kept(Some(Duration::from_secs(15)), 16).await, "the endpoint has closed it");
    assert!(!is_kept(Some(Duration::from_secs(2)), 3).await, "the endpoint has closed it");
    assert!(is_kept(None, 3).await);
    assert!(!is_kept(None, 5).await, "the endpoint states nothing");
    assert!(!is_kept(Some(Duration::from_secs(600)), 30).await, "the time is bounded");
}

// Guards against connections of a burst that use up what the endpoint accepts.
#[tokio::test]
async fn after_a_burst_only_a_few_connections_stay_idle_for_long() {
    let (name, address) = endpoint();
    let pool = Pool::default();
    let mut far = Vec::new();
    for _ in 0..6 {
        let (connection, stream) = open(Some(Duration::from_secs(60))).await;
        pool.put(&name, address, connection, at(0));
        far.push(stream);
    }
    pool.sweep(|_| true, at(10));
    let take = || pool.take(&name, address, "t1", Duration::MAX, at(10));
    let kept = std::iter::from_fn(take).count();
    assert_eq!(kept, LONG_IDLE_MAX);
}

// Guards against a late copy of a refusal that is taken for the answer to the same attempt, and against a
// new connection while another idle one may carry the attempt.
#[tokio::test]
async fn a_connection_that_brought_a_refusal_is_not_taken_for_the_same_attempt() {
    let (name, address) = endpoint();
    let pool = Pool::default();
    let (other, _other_far) = open(None).await;
    let other_number = other.last_use;
    pool.put(&name, address, other, at(0));
    let (mut refusing, _refusing_far) = open(None).await;
    let refusing_number = refusing.last_use;
    refusing.note_refused("t1");
    refusing.note_refused("t2");
    pool.put(&name, address, refusing, at(1));
    let take = |attempt| {
        let taken = pool.take(&name, address, attempt, Duration::MAX, at(2))?;
        let number = taken.last_use;
        pool.put(&name, address, taken, at(2));
        Some(number)
    };
    assert_eq!(take("t1"), Some(other_number));
    assert_eq!(take("t2"), Some(other_number));
    assert!(pool.take(&name, address, "t1", Duration::MAX, at(2)).is_some());
    assert_eq!(take("t1"), None);
    assert_eq!(take("t3"), Some(refusing_number));
}

// Guards against memory that grows with the refusals on a connection.
#[tokio::test]
async fn a_connection_with_many_refusals_is_closed() {
    let (name, address) = endpoint();
    let pool = Pool::default();
    let (mut connection, _far) = open(None).await;
    (1..REFUSED_ATTEMPTS_MAX).for_each(|number| connection.note_refused(&number.to_string()));
    pool.put(&name, address, connection, at(0));
    let taken = pool.take(&name, address, "t", Duration::MAX, at(0));
    let mut connection = taken.expect("a connection with room for one more");
    connection.note_refused("t");
    pool.put(&name, address, connection, at(0));
    assert!(pool.take(&name, address, "other", Duration::MAX, at(0)).is_none());
}
