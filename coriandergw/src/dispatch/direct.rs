//! Runs calls on the first endpoint with room, without queueing between programs.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_trait::async_trait;

use crate::context::Context;
use crate::dispatch::CallKind;
use crate::dispatch::DispatchObserver;
use crate::dispatch::DispatchOutcome;
use crate::dispatch::Dispatcher;
use crate::dispatch::ReadyCall;
use crate::dispatch::TokenSink;
use crate::endpoints::client::EndpointAnswer;
use crate::endpoints::client::EndpointClient;
use crate::endpoints::client::ModelOptions;
use crate::endpoints::client::Progress;
use crate::endpoints::client::SendError;
use crate::endpoints::directory::Directory;
use crate::endpoints::directory::KnownEndpoint;
use crate::ids::ProgramId;
use crate::result_code::Refusal;
use crate::result_code::ResultCode;

/// When a caller should come back if no endpoint serves its target.
const NO_ENDPOINT_RETRY: Duration = Duration::from_millis(500);

/// Takes the endpoints of a target in turn; the baseline of the measurements.
pub struct DirectDispatcher {
    cx: Context,
    directory: Arc<Directory>,
    client: EndpointClient,
    next: AtomicUsize,
}

impl DirectDispatcher {
    /// Creates a dispatcher over the endpoints of `directory`.
    pub fn new(cx: Context, directory: Arc<Directory>) -> Self {
        Self { cx, directory, client: EndpointClient::default(), next: AtomicUsize::new(0) }
    }

    fn choose(&self, call: &ReadyCall) -> Result<KnownEndpoint, Refusal> {
        let now = self.cx.clock.now();
        let mut candidates = self.directory.candidates(call.kind, &call.target, now);
        if candidates.is_empty() {
            let message = format!("no endpoint serves {} {}", call.kind, call.target);
            return Err(
                Refusal::not_run(ResultCode::NoEndpoint, message).retry_after(NO_ENDPOINT_RETRY)
            );
        }
        let turn = self.next.fetch_add(1, Ordering::Relaxed) % candidates.len();
        Ok(candidates.swap_remove(turn))
    }

    async fn send(
        &self,
        endpoint: &KnownEndpoint,
        call: &ReadyCall,
        sink: Option<&TokenSink>,
    ) -> Result<EndpointAnswer, SendError> {
        if call.kind == CallKind::Model {
            let options = ModelOptions::new(0, call.root.to_string());
            let progress = Progress::default();
            let client = &self.client;
            return client.complete(&endpoint.announcement, call, &options, sink, &progress).await;
        }
        let invoked = self.client.invoke(&endpoint.announcement, call);
        let timed_out = |_| SendError::Lost { reason: "timed out".to_owned() };
        tokio::time::timeout(call.entry.limits.tool(), invoked).await.map_err(timed_out)?
    }
}

#[async_trait]
impl Dispatcher for DirectDispatcher {
    async fn run(
        &self,
        call: ReadyCall,
        observer: &dyn DispatchObserver,
        sink: Option<TokenSink>,
    ) -> DispatchOutcome {
        let endpoint = match self.choose(&call) {
            Ok(endpoint) => endpoint,
            Err(refusal) => return DispatchOutcome::NotRun(refusal),
        };
        let name = endpoint.announcement.name.clone();
        if let Err(refusal) = observer.before_send(&name).await {
            return DispatchOutcome::NotRun(refusal);
        }
        match self.send(&endpoint, &call, sink.as_ref()).await {
            Ok(answer) => {
                let EndpointAnswer { output, usage } = answer;
                DispatchOutcome::Done { output, usage, endpoint: name }
            }
            Err(cause) => outcome_of(&call, cause),
        }
    }

    fn program_ended(&self, _program: &ProgramId) {}
}

/// Maps a failed sending to what may be said of the call.
pub fn outcome_of(call: &ReadyCall, cause: SendError) -> DispatchOutcome {
    let message = cause.to_string();
    match cause {
        SendError::NotSent { .. } => {
            DispatchOutcome::NotRun(Refusal::not_run(ResultCode::NoEndpoint, message))
        }
        SendError::Status { .. } => {
            DispatchOutcome::Failed(Refusal::may_have_run(ResultCode::EndpointFailed, message))
        }
        SendError::Lost { .. } | SendError::Stalled { .. } if call.idempotent => {
            DispatchOutcome::Failed(Refusal::may_have_run(ResultCode::EndpointFailed, message))
        }
        SendError::Lost { .. } | SendError::Stalled { .. } => {
            DispatchOutcome::Unknown(Refusal::may_have_run(ResultCode::OutcomeUnknown, message))
        }
    }
}
