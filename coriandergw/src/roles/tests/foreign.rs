//! Tests with announcements of a writer that is no endpoint of this system.

use std::net::SocketAddr;

use crate::ids::EndpointName;
use crate::roles::tests::endpoint::Endpoint;
use crate::roles::tests::endpoint::Step;
use crate::roles::tests::endpoint::answer;
use crate::roles::tests::world::World;
use crate::roles::tests::world::get;
use crate::roles::tests::world::record;
use crate::roles::tests::world::status;
use crate::roster::EndpointRecord;
use crate::roster::EndpointState;

/// The endpoint that serves.
const ENDPOINT: &str = "a";

// Guards against endpoints that are taken out of use by announcements of another writer, which claim
// their names or addresses for a service that no configuration names.
#[tokio::test]
async fn announcements_of_an_unknown_service_take_no_endpoint_out_of_use() {
    for state in [EndpointState::Ready, EndpointState::Draining] {
        let world = World::start().await;
        let endpoint = Endpoint::start(|_, seen| {
            let attempt = seen.header("attempt").unwrap_or_default();
            vec![Step::Send(answer(&attempt, "done"))]
        })
        .await;
        world.announce(ENDPOINT, "plain", &endpoint).await;
        let elsewhere = SocketAddr::from(([127, 0, 0, 1], 1));
        let claims = [("b", endpoint.address), (ENDPOINT, endpoint.address), (ENDPOINT, elsewhere)];
        for (number, (id, address)) in (1..).zip(claims) {
            let id = EndpointName::try_from(id).expect("a name");
            let started_ms = 100 + number;
            let claim = record(&id, "node-metrics", address);
            world.announce_record(EndpointRecord { started_ms, state, ..claim }).await;
            let reply = world.ask(&get("/safe/x", &format!("t{number}"), "")).await;
            assert_eq!(status(&reply), "200", "{state:?} {id} at {address}: {reply}");
        }
    }
}
