//! Watches open connections to endpoints, and finds out why an endpoint is silent.

use std::pin::pin;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::forwarding::connecting::Connector;
use crate::forwarding::connecting::RELAY_AFTER;
use crate::forwarding::paths::Fault;
use crate::forwarding::pool::ConnectionPath;
use crate::relays::RelayError;
use crate::relays::client;
use crate::roster::EndpointRecord;
use crate::roster::Relay;

/// How long an endpoint on an open connection may be silent before its path is checked.
const SILENCE_BEFORE_CHECK: Duration = Duration::from_millis(300);

/// How long an endpoint that no instance reaches may be silent before a request that may be repeated
/// is sent elsewhere. An endpoint may be silent for a second and go on.
const ENDPOINT_SILENCE_LIMIT: Duration = Duration::from_millis(1_200);

/// How long a path must be lost before the outcome of a request that must not be repeated is given
/// up.
const NON_REPEATABLE_LOSS_LIMIT: Duration = Duration::from_secs(1);

impl Connector {
    /// Waits for what an endpoint sends on an open connection, and checks the path while the endpoint
    /// is silent. `is_sign` says whether the output comes from the endpoint, and not from a failure of
    /// the connection.
    ///
    /// # Errors
    /// Says why nothing more is to be expected: the path is lost, or the endpoint answers no instance
    /// and the request may be sent elsewhere.
    pub(super) async fn watch<F, S>(
        &self,
        endpoint: &EndpointRecord,
        path: &ConnectionPath,
        is_repeatable: bool,
        output: F,
        is_sign: S,
    ) -> Result<F::Output, String>
    where
        F: Future,
        S: Fn(&F::Output) -> bool,
    {
        let mut output = pin!(output);
        let since = self.now();
        let silence = async {
            loop {
                tokio::time::sleep(SILENCE_BEFORE_CHECK).await;
                if let Some(reason) =
                    self.silence_verdict(endpoint, path, is_repeatable, since).await
                {
                    return reason;
                }
            }
        };
        tokio::select! {
            biased;
            output = &mut output => {
                if matches!(path, ConnectionPath::Direct) && is_sign(&output) {
                    let change =
                        self.with_paths(|paths| paths.note_heard(&endpoint.id, self.now()));
                    self.record(endpoint, change, "heard on an open connection");
                }
                Ok(output)
            }
            reason = silence => Err(reason),
        }
    }

    /// Returns why a request whose endpoint has been silent since `since` is to be given up, if it
    /// is.
    async fn silence_verdict(
        &self,
        endpoint: &EndpointRecord,
        path: &ConnectionPath,
        is_repeatable: bool,
        since: Timestamp,
    ) -> Option<String> {
        let now = self.now();
        if matches!(path, ConnectionPath::Direct) {
            let heard_after = now.before(SILENCE_BEFORE_CHECK);
            if self.with_paths(|paths| paths.has_heard(&endpoint.id, heard_after)) {
                return None;
            }
            if let Some(lost_at) = self.with_paths(|paths| paths.held_up_since(&endpoint.id)) {
                let is_certain = now.since(lost_at) >= NON_REPEATABLE_LOSS_LIMIT;
                return (is_repeatable || is_certain)
                    .then(|| "this instance has lost its path to the endpoint".to_owned());
            }
        }
        let is_checked = self.with_paths(|paths| paths.start_check(&endpoint.id, now));
        if is_checked {
            match path {
                ConnectionPath::Direct => self.check_direct(endpoint).await,
                ConnectionPath::Relayed { relay, .. } => {
                    if let Some(reason) = self.check_relay(endpoint, relay).await
                        && is_repeatable
                    {
                        return Some(reason);
                    }
                }
            }
        }
        let is_silent = self.now().since(since) >= ENDPOINT_SILENCE_LIMIT;
        let answers_none = self.with_paths(|paths| paths.is_silent_to_all(&endpoint.id));
        (is_repeatable && is_silent && answers_none)
            .then(|| "the endpoint answers no instance".to_owned())
    }

    /// Finds out whether the silence of an endpoint is its own or that of the direct path.
    async fn check_direct(&self, endpoint: &EndpointRecord) {
        match self.connect(endpoint, RELAY_AFTER).await {
            Ok(connection) => {
                self.pool.put(&endpoint.id, endpoint.address, connection, self.now());
            }
            Err(fault) => match self.open_relayed(endpoint).await {
                Ok(connection) => {
                    self.note_lost(endpoint, fault);
                    self.pool.put(&endpoint.id, endpoint.address, connection, self.now());
                }
                Err(error) => {
                    self.direct_failure(endpoint, fault, error);
                    if fault == Fault::Silent {
                        let now = self.now();
                        self.with_paths(|paths| paths.note_silent_to_all(&endpoint.id, now));
                    }
                }
            },
        }
    }

    /// Returns why a relayed connection is given up: its relay does not answer or has lost its links.
    async fn check_relay(&self, endpoint: &EndpointRecord, relay: &Relay) -> Option<String> {
        match client::open(relay, endpoint, &self.cx.instance).await {
            Err(RelayError::Silent) => {
                let now = self.now();
                self.with_paths(|paths| paths.note_silent_to_all(&endpoint.id, now));
                None
            }
            Err(fault @ (RelayError::Unreachable | RelayError::NoLinks)) => {
                self.note_relay_failed(&relay.name);
                Some(format!("relay {} failed: {fault}", relay.name))
            }
            Ok(_) | Err(RelayError::Refused | RelayError::Unlisted | RelayError::Busy) => None,
        }
    }
}
