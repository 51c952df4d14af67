//! Checks whether an endpoint that lost a response has crashed.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;

use crate::forwarding::attempt::UpstreamRequest;
use crate::forwarding::forwarder::Forwarder;
use crate::forwarding::forwarder::RequestPlan;
use crate::roster::EndpointRecord;

/// How long an endpoint may take to accept or refuse a connection: several round trips between data
/// centres. Without an answer, a crash cannot be told from a cut.
const CHECK_TIMEOUT: Duration = Duration::from_millis(50);

impl Forwarder {
    /// Logs whether the endpoint that lost a response has crashed. Does not wait for the check.
    pub(super) fn check_for_crash(
        &self,
        plan: &RequestPlan,
        upstream_request: &UpstreamRequest,
        endpoint: &EndpointRecord,
    ) {
        let (cx, report) = (self.cx.clone(), plan.report.clone());
        let (digest, endpoint) = (upstream_request.digest(), endpoint.clone());
        tokio::spawn(async move {
            if refuses_connections(endpoint.address).await {
                report.endpoint_crashed(&cx, &endpoint, digest);
            }
        });
    }
}

/// Returns whether nothing listens at an address. A reset connection alone is no crash.
async fn refuses_connections(address: SocketAddr) -> bool {
    let connected = tokio::time::timeout(CHECK_TIMEOUT, TcpStream::connect(address)).await;
    matches!(connected, Ok(Err(cause)) if cause.kind() == ErrorKind::ConnectionRefused)
}
