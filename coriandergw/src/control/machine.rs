//! The adapter between the control state and the replicated log.

use std::sync::Arc;
use std::sync::RwLock;

use bytes::Bytes;

use crate::control::ControlState;
use crate::log_groups::RestoreError;
use crate::log_groups::StateMachine;

/// The control state of a store instance, shared between the log, which changes it, and its
/// readers.
pub type SharedControlState = Arc<RwLock<ControlState>>;

/// Applies the committed commands of group 0 to a shared control state.
pub struct ControlMachine {
    state: SharedControlState,
}

impl ControlMachine {
    /// Creates a state machine that applies commands to `state`.
    pub fn new(state: SharedControlState) -> Self {
        Self { state }
    }
}

impl StateMachine for ControlMachine {
    fn apply(&mut self, _index: u64, command: &[u8]) -> Bytes {
        self.state.write().expect("not poisoned").apply(command)
    }

    fn snapshot(&self) -> Bytes {
        self.state.read().expect("not poisoned").snapshot()
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<(), RestoreError> {
        let restored = ControlState::restore(snapshot)?;
        *self.state.write().expect("not poisoned") = restored;
        Ok(())
    }
}
