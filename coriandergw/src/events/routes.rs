//! Lets operators read the events of this instance.

use std::sync::Arc;

use axum::Json;
use axum::Router;
use axum::extract::Query;
use axum::extract::State;
use axum::http::HeaderMap;
use axum::routing::get;
use serde_json::Value;
use serde_json::json;

use crate::events::EventQuery;
use crate::instance::HandlerState;
use crate::operators::check_operator;
use crate::result_code::Refusal;

/// Builds the route.
pub fn routes() -> Router<Arc<HandlerState>> {
    Router::new().route("/v1/events", get(read_events))
}

async fn read_events(
    State(shared): State<Arc<HandlerState>>,
    headers: HeaderMap,
    Query(query): Query<EventQuery>,
) -> Result<Json<Value>, Refusal> {
    check_operator(&shared, &headers)?;
    let events = shared.cx.events.select(|event| query.selects(event));
    Ok(Json(json!({"instance": shared.cx.instance, "events": events})))
}
