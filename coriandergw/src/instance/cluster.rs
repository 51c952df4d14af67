//! An instance of a cluster.

use crate::instance::RunError;
use crate::settings::Settings;

/// Runs one instance until a signal asks it to stop.
///
/// # Errors
/// Fails if keys cannot be used or an address cannot be bound.
pub async fn run(_settings: Settings) -> Result<(), RunError> {
    Err(RunError::NoKeys)
}
