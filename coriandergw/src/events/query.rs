//! Which events a reader of the time line asks for.

use serde::Deserialize;
use serde::Serialize;

use crate::events::Event;
use crate::ids::EntryName;
use crate::ids::ProgramId;

/// Selects events; parts left out select all.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EventQuery {
    /// The program.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub program: Option<ProgramId>,
    /// The catalogue entry.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub entry: Option<EntryName>,
    /// The earliest wall time in milliseconds since the Unix epoch.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub since_ms: Option<u64>,
}

impl EventQuery {
    /// Returns whether the event is asked for.
    pub fn selects(&self, event: &Event) -> bool {
        let subject = &event.subject;
        let program = self.program.is_none() || self.program == subject.program;
        let entry = self.entry.is_none() || self.entry == subject.entry;
        let since = self.since_ms.is_none_or(|since| event.wall_ms >= since);
        program && entry && since
    }
}
