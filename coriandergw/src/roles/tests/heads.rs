//! Tests of connections of callers whose heads do not end, and of idle ones.

use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::roles::tests::world::World;
use crate::test_support::WAIT_LIMIT;

/// A time in which a connection that was closed before would be seen to be.
const LOOK: Duration = Duration::from_millis(100);

/// Guards against heads that never end and keep their connections, and against a limit on them that
/// closes idle connections, which callers use again.
#[tokio::test(flavor = "multi_thread")]
async fn a_head_that_does_not_end_is_closed_before_an_older_idle_connection() {
    let world = World::start().await;
    let mut idle = TcpStream::connect(world.callers).await.expect("connected");
    let mut half = TcpStream::connect(world.callers).await.expect("connected");
    half.write_all(b"POST /plain HTTP/1.1\r\nhost: host\r\n").await.expect("sent");
    let mut buf = [0; 64];
    let closed =
        tokio::time::timeout(WAIT_LIMIT, half.read(&mut buf)).await.expect("closed in time");
    assert!(!closed.is_ok_and(|bytes| bytes > 0), "an answer to a head without an end");
    let is_open = tokio::time::timeout(LOOK, idle.read(&mut buf)).await.is_err();
    assert!(is_open, "the idle connection was closed");
}
