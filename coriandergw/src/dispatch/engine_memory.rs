//! Asks engines what they hold and orders the release of it over HTTP.

use std::time::Duration;

use async_trait::async_trait;
use serde::Deserialize;
use serde_json::json;

use crate::dispatch::EngineMemory;
use crate::dispatch::HeldMemory;
use crate::endpoints::Announcement;
use crate::endpoints::client::EndpointClient;
use crate::endpoints::client::SendError;
use crate::ids::FencingNumber;
use crate::ids::ProgramId;

/// How long one exchange with an engine may take.
const TIMEOUT: Duration = Duration::from_secs(2);

/// The status of an engine that knows a higher fencing number.
const CONFLICT: u16 = 409;

#[derive(Deserialize)]
struct RawState {
    #[serde(default)]
    fencing: u64,
    #[serde(default)]
    held: Vec<RawHeld>,
}

#[derive(Deserialize)]
struct RawHeld {
    program: String,
}

impl From<RawState> for HeldMemory {
    fn from(raw: RawState) -> Self {
        // What is not a name cannot be a program of this system.
        let programs = raw.held.into_iter().filter_map(|held| held.program.try_into().ok());
        Self { fencing: FencingNumber(raw.fencing), programs: programs.collect() }
    }
}

/// The memory of engines that are met over HTTP.
#[derive(Clone, Default)]
pub struct HttpEngineMemory {
    client: EndpointClient,
}

impl HttpEngineMemory {
    /// Creates the border over a client.
    pub fn new(client: EndpointClient) -> Self {
        Self { client }
    }

    async fn order(
        &self,
        engine: &Announcement,
        program: &ProgramId,
        fencing: FencingNumber,
    ) -> Result<(), SendError> {
        let order = json!({"fencing": fencing, "order": "release", "program": program});
        self.client.post_json(engine, "/orders", &order).await
    }

    async fn release_once(
        &self,
        engine: &Announcement,
        program: &ProgramId,
        fencing: FencingNumber,
    ) -> bool {
        match self.order(engine, program, fencing).await {
            Err(SendError::Status { status: CONFLICT, .. }) => {}
            sent => return sent.is_ok(),
        }
        // Any number will do: a program that has ended stays ended under every leader.
        let Some(held) = self.held(engine).await else {
            return false;
        };
        self.order(engine, program, held.fencing).await.is_ok()
    }
}

#[async_trait]
impl EngineMemory for HttpEngineMemory {
    async fn held(&self, engine: &Announcement) -> Option<HeldMemory> {
        let asked = self.client.get_json(engine, "/state");
        let answer = tokio::time::timeout(TIMEOUT, asked).await.ok()?.ok()?;
        serde_json::from_value::<RawState>(answer).ok().map(HeldMemory::from)
    }

    async fn release(
        &self,
        engine: &Announcement,
        program: &ProgramId,
        fencing: FencingNumber,
    ) -> bool {
        let work = self.release_once(engine, program, fencing);
        tokio::time::timeout(TIMEOUT, work).await.unwrap_or(false)
    }
}
