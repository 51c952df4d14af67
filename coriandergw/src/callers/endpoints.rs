//! Takes the announcements of endpoints and tells callers which instances to use.

use std::net::SocketAddr;
use std::sync::Arc;

use axum::Json;
use axum::extract::ConnectInfo;
use axum::extract::State;
use serde_json::json;

use crate::addresses::AddressAnswer;
use crate::callers::body::Body;
use crate::endpoints::Announcement;
use crate::endpoints::directory::RENEWAL_INTERVAL;
use crate::events::EventNumber;
use crate::events::Subject;
use crate::instance::HandlerState;
use crate::result_code::Refusal;
use crate::result_code::ResultCode;

pub(super) async fn addresses(
    State(shared): State<Arc<HandlerState>>,
    ConnectInfo(caller): ConnectInfo<SocketAddr>,
) -> Json<AddressAnswer> {
    Json(shared.addresses.answer(caller.ip()))
}

pub(super) async fn announce(
    State(shared): State<Arc<HandlerState>>,
    Body(announcement): Body<Announcement>,
) -> Result<Json<serde_json::Value>, Refusal> {
    if !shared.partitions.is_fresh(shared.cx.clock.now()) {
        // An instance that is cut off could not tell the others of the endpoint.
        let message = "the instance cannot confirm its configuration; announce elsewhere";
        return Err(Refusal::not_run(ResultCode::StaleConfiguration, message));
    }
    let name = announcement.name.to_string();
    let leaving = announcement.leaving;
    if shared.directory.announce(announcement, shared.cx.clock.now()) {
        let number = match leaving {
            true => EventNumber::EndpointLeaving,
            false => EventNumber::EndpointAnnounced,
        };
        let subject = Subject { peer: Some(name), ..Subject::default() };
        shared.cx.events.record(number, subject, "announcement changed");
    }
    Ok(Json(json!({"renew_after_ms": RENEWAL_INTERVAL.as_millis() as u64})))
}
