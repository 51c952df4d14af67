//! What every feature is given first.

use std::sync::Arc;

use crate::clock::Clock;
use crate::events::Recorder;
use crate::ids::DataCentre;
use crate::ids::InstanceName;
use crate::memory::shared::MemoryBudget;
use crate::supervision::Supervisor;

/// Shared by all features of one instance.
#[derive(Clone)]
pub struct Context {
    /// This instance's name.
    pub instance: InstanceName,
    /// This instance's data centre.
    pub data_centre: DataCentre,
    /// The source of time for drivers.
    pub clock: Arc<dyn Clock>,
    /// Records numbered events.
    pub events: Arc<Recorder>,
    /// Counts and times what happens.
    pub metrics: Arc<crate::metrics::Metrics>,
    /// Bounds the bytes that clients make the process hold.
    pub memory: Arc<MemoryBudget>,
    /// Keeps the first failure of a background task.
    pub supervisor: Arc<Supervisor>,
}
