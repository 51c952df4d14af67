use std::net::Ipv4Addr;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::net::TcpStream;

use super::*;

/// The longest silence of an endpoint that goes on afterwards.
const SOUND_SILENCE: Duration = Duration::from_millis(1_500);

// Guards against connections, and the requests on them, that are lost because a sound endpoint was
// silent for a second. The user timeout also decides when keep-alive probes give up: it counts from
// the last sign of the peer, which may be as old as the pause before a probe when the silence begins.
#[tokio::test]
async fn a_connection_outlives_a_short_silence_of_its_endpoint() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("bound");
    let address = listener.local_addr().expect("an address");
    let stream = TcpStream::connect(address).await.expect("connected");
    configure(&stream).expect("options are set");
    let socket = socket2::SockRef::from(&stream);
    let user_timeout = socket.tcp_user_timeout().expect("an option").expect("set");
    let probe_after = socket.tcp_keepalive_time().expect("an option");
    assert!(
        user_timeout >= probe_after + SOUND_SILENCE,
        "a silence of {SOUND_SILENCE:?} after {probe_after:?} without data ends the connection: \
         the user timeout is {user_timeout:?}"
    );
}
