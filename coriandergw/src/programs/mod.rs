//! Programs: chains of dependent calls with one history and one budget.

mod home;
mod request;
mod state;

pub use home::CallAnswer;
pub use home::Programs;
pub use request::Budget;
pub use request::CallRequest;
pub use request::ChildRequest;
pub use request::ProgramRequest;
pub use state::Turn;
