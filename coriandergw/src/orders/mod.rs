//! Orders to engines: load or unload a model, change the role, release memory.
//!
//! The control leader reconciles each engine: it compares the desired models and role with the
//! reported state and sends an order for each difference. The instance where an engine renews its
//! announcement releases the memory that the engine holds for programs that are gone. Orders are
//! idempotent: each states the desired end state.

mod copies;
mod driver;
mod leader_term;
mod liveness;
mod plan;
mod sender;
mod state;
mod sweep;
mod sweeper;

pub use copies::ModelDemand;
pub use copies::copies_by_peak;
pub use driver::DesiredStateSource;
pub use driver::OrderDriver;
pub use driver::OrderSettings;
pub use leader_term::LeaderTerm;
pub use leader_term::LeaderTermSource;
pub use liveness::ProgramLiveness;
pub use liveness::ProgramLivenessSource;
pub use plan::plan;
pub use sender::OrderSender;
pub use sender::SendOrderError;
pub use state::DesiredState;
pub use state::EngineState;
pub use state::LoadedModel;
pub use state::ModelVersion;
pub use state::Order;
pub use state::Role;
pub use state::StateError;
pub use sweep::MemorySweep;
pub use sweep::pause_after;
pub use sweeper::MemorySweeper;

#[cfg(test)]
mod tests;
