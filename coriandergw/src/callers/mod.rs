//! The HTTP interface of callers and of endpoints that announce themselves.

use std::sync::Arc;

use axum::Router;
use axum::extract::DefaultBodyLimit;
use axum::http::Uri;
use axum::middleware;
use axum::routing::delete;
use axum::routing::get;
use axum::routing::post;

use crate::instance::HandlerState;
use crate::result_code::Refusal;
use crate::result_code::ResultCode;

mod accounts;
mod body;
mod calls;
mod endpoints;
mod forward;
mod programs;

pub use body::Body;
pub use body::bearer;
pub use forward::FORWARDED;

/// The largest request body accepted, in bytes.
pub const BODY_MAX_BYTES: usize = 2 * 1024 * 1024;

/// Builds the routes of callers and endpoints.
pub fn routes(shared: Arc<HandlerState>) -> Router<Arc<HandlerState>> {
    let state = (shared, forward::Forwarder::default());
    let programs = Router::new()
        .route("/v1/programs", post(programs::create))
        .route("/v1/programs/{id}", delete(programs::end))
        .route("/v1/programs/{id}/calls", post(calls::add))
        .route("/v1/programs/{id}/history", get(programs::read_history))
        .route("/v1/programs/{id}/programs", post(programs::create_child))
        .route_layer(middleware::from_fn_with_state(state, forward::serve_or_forward));
    Router::new()
        .route("/v1/addresses", get(endpoints::addresses))
        .route("/v1/endpoints", post(endpoints::announce))
        .merge(programs)
        .method_not_allowed_fallback(wrong_method)
        .layer(DefaultBodyLimit::max(BODY_MAX_BYTES))
}

async fn wrong_method(uri: Uri) -> Refusal {
    Refusal::not_run(ResultCode::NotFound, format!("{} does not take this method", uri.path()))
}

#[cfg(test)]
mod tests;
