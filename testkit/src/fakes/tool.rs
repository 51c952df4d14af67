//! A fake tool: a service whose calls are idempotent and which offers no look-up.

use coriandergw::dispatch::CallKind;

use crate::fakes::service::Service;
use crate::fakes::service::ServiceOptions;

/// Starts a tool on a port of the system's choice.
///
/// # Errors
/// Fails if no port can be bound.
pub async fn start(name: &str, target: &str) -> std::io::Result<Service> {
    Service::start(ServiceOptions {
        name: name.to_owned(),
        kind: CallKind::Tool,
        target: target.to_owned(),
        outcome_lookup: false,
        ..ServiceOptions::default()
    })
    .await
}
