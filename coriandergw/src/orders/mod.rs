//! Orders to engines: load a model, change a role, release memory.
//!
//! The control leader compares the wanted models and role with what each engine reports and orders
//! what differs. The instance that an engine renews at sweeps what it holds for programs that are
//! gone. Orders state the wanted end, so a repeated order changes nothing.

mod copies;
mod driver;
mod leader_term;
mod liveness;
mod plan;
mod sender;
mod state;
mod sweep;
mod sweeper;
mod token_bucket;

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
pub use token_bucket::TokenBucket;

#[cfg(test)]
mod tests;
