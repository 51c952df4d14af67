//! Fetches each new configuration on an entry instance.

use std::sync::Arc;
use std::time::Duration;

use prost::Message as _;

use crate::config_fetch::generated as raw;
use crate::config_fetch::transfer::Received;
use crate::config_fetch::transfer::Transfer;
use crate::context::Context;
use crate::ids::InstanceName;
use crate::roster::poller::Roster;
use crate::transport::Kind;
use crate::transport::Transport;

/// How long a piece may take. The smallest one passes a link of 50 kbit/s in that time.
const PIECE_TIMEOUT: Duration = Duration::from_millis(400);

/// The pause after each core instance that has the document was asked in vain: they may all be busy.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// How often it is checked whether a core instance with a newer configuration is reachable again.
const UNREACHABLE_RECHECK: Duration = Duration::from_millis(100);

/// Fetches the configurations that core instances name.
pub struct ConfigClient {
    /// The context of the instance.
    pub cx: Context,
    /// Tells which core instances have a newer configuration, and receives the document.
    pub roster: Arc<Roster>,
    /// Asks them.
    pub transport: Arc<dyn Transport>,
}

impl ConfigClient {
    /// Fetches each newer configuration until the process ends.
    pub async fn run(self) {
        let mut changes = self.roster.changes();
        let mut transfer = Transfer::default();
        let mut failures = 0;
        loop {
            let now = self.cx.clock.now();
            let (sources, is_behind) = self.roster.with_view(|view| {
                let sources = view.config_sources(&self.cx.instance, &self.cx.data_centre, now);
                (sources, view.config_named() > view.config().0)
            });
            if sources.is_empty() {
                // A core instance that is reachable again does not count as a change of the roster.
                let wait = if is_behind { UNREACHABLE_RECHECK } else { Duration::MAX };
                if let Ok(Err(_)) = tokio::time::timeout(wait, changes.changed()).await {
                    return;
                }
                continue;
            }
            let source = &sources[failures % sources.len()];
            match self.fetch_piece(source, &mut transfer).await {
                // The next piece is asked for at the core instance that answered.
                Ok(None) => {}
                Ok(Some(Received { version, document })) => {
                    failures = 0;
                    self.roster.receive_config(source, version, document);
                }
                Err(reason) => {
                    log::debug!("a piece of the configuration from {source} is missing: {reason}");
                    failures += 1;
                    if failures % sources.len() == 0 {
                        tokio::time::sleep(RETRY_DELAY).await;
                    }
                }
            }
        }
    }

    async fn fetch_piece(
        &self,
        source: &InstanceName,
        transfer: &mut Transfer,
    ) -> Result<Option<Received>, String> {
        let req = transfer.next_request().encode_to_vec().into();
        let answer = self.transport.call(source, Kind::ConfigFetch, req, PIECE_TIMEOUT).await;
        let answer = answer.inspect_err(|_| {
            transfer.note_failure();
            self.transport.reconnect(source);
        });
        let bytes = answer.map_err(|cause| cause.to_string())?;
        let piece = raw::Piece::decode(bytes).map_err(|cause| cause.to_string())?;
        let held = self.roster.with_view(|view| view.config().0);
        transfer.add(piece, held).map_err(|cause| cause.to_string())
    }
}
