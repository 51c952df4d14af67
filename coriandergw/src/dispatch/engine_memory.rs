//! Reads the memory that engines hold, and orders its release, over HTTP.

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

/// The time limit for reading the state of an engine, and for one release order with its retry.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// The HTTP status with which an engine rejects an order because it has seen a higher fencing
/// number.
const STATUS_CONFLICT: u16 = 409;

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
        // Text that is not a valid name cannot be a program of this system, so it is skipped.
        let programs = raw.held.into_iter().filter_map(|held| held.program.try_into().ok());
        Self { fencing: FencingNumber(raw.fencing), programs: programs.collect() }
    }
}

/// Accesses the memory of engines over HTTP.
#[derive(Clone, Default)]
pub struct HttpEngineMemory {
    client: EndpointClient,
}

impl HttpEngineMemory {
    /// Sends all requests through `client`.
    pub fn new(client: EndpointClient) -> Self {
        Self { client }
    }

    async fn send_order(
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
        match self.send_order(engine, program, fencing).await {
            Err(SendError::Status { status: STATUS_CONFLICT, .. }) => {}
            result => return result.is_ok(),
        }
        // Any fencing number may be used: a program that has ended stays ended under every leader.
        let Some(held) = self.held(engine).await else {
            return false;
        };
        self.send_order(engine, program, held.fencing).await.is_ok()
    }
}

#[async_trait]
impl EngineMemory for HttpEngineMemory {
    async fn held(&self, engine: &Announcement) -> Option<HeldMemory> {
        let request = self.client.get_json(engine, "/state");
        let answer = tokio::time::timeout(REQUEST_TIMEOUT, request).await.ok()?.ok()?;
        serde_json::from_value::<RawState>(answer).ok().map(HeldMemory::from)
    }

    async fn release(
        &self,
        engine: &Announcement,
        program: &ProgramId,
        fencing: FencingNumber,
    ) -> bool {
        let release = self.release_once(engine, program, fencing);
        tokio::time::timeout(REQUEST_TIMEOUT, release).await.unwrap_or(false)
    }
}
