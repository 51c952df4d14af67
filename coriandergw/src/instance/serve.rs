//! Serves HTTP until a signal asks the instance to stop.

use std::sync::Arc;

use tokio::sync::watch;

use crate::events::EventNumber;
use crate::events::Subject;
use crate::http_server::HttpServer;
use crate::http_server::load_caller_tls;
use crate::instance::HandlerState;
use crate::instance::RunError;
use crate::instance::drain::drain;
use crate::instance::drain::stop_signal;
use crate::instance::router;
use crate::settings::Settings;
use crate::supervision;

/// Binds the address towards callers.
pub(super) async fn bind(settings: &Settings) -> Result<HttpServer, RunError> {
    let address = settings.instance.listen;
    let tls = settings.caller_keys.as_ref().map(load_caller_tls).transpose();
    let tls = tls.map_err(|cause| RunError::CallerKeys { cause })?;
    let bound = HttpServer::bind(address, tls).await;
    bound.map_err(|cause| RunError::Bind { address, cause })
}

/// Serves until a stop signal, then drains and returns.
///
/// # Errors
/// Fails if a background task ends before the signal.
pub(super) async fn serve<L>(
    server: HttpServer,
    shared: Arc<HandlerState>,
    leave: L,
) -> Result<(), RunError>
where
    L: FnOnce(),
{
    let (stop, stopped) = watch::channel(false);
    println!("coriandergw {} listens on http://{}", shared.cx.instance, server.local_address());
    shared.cx.events.record(EventNumber::InstanceReady, Subject::default(), "serves callers");
    let serving = server.serve(router(shared.clone()), stopped);
    let serving = supervision::essential(shared.cx.clone(), "serve callers", serving);
    let serving = tokio::spawn(serving);
    tokio::select! {
        () = stop_signal() => {}
        cause = shared.cx.supervisor.failed() => return Err(RunError::Task { cause }),
    }
    shared.cx.supervisor.start_stop();
    shared.cx.events.record(EventNumber::DrainStarted, Subject::default(), "asked to stop");
    shared.stage.start_draining();
    leave();
    drain(&shared, stop, serving).await;
    Ok(())
}
