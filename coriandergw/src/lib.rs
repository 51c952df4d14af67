//! A scheduler for agent programs that runs as many cooperating instances.
//!
//! A caller creates a program under a catalogue entry and adds calls to it. The program's home
//! instance keeps its history and budget, runs its calls in dependent order and journals each step
//! in a replicated log. `docs/DESIGN.md` gives the design.

pub mod account_limits;
pub mod accounts;
pub mod addresses;
pub mod admission;
pub mod callers;
pub mod catalogue;
pub mod cli;
pub mod clock;
#[cfg(test)]
mod compatibility;
pub mod config_fetch;
pub mod context;
pub mod control;
pub mod crashes;
pub mod dev;
pub mod dialer;
pub mod dispatch;
pub mod endpoint_limits;
pub mod endpoints;
pub mod events;
pub mod follow;
pub mod forwarding;
pub mod http_server;
pub mod ids;
pub mod instance;
pub mod kept_turns;
pub mod keys;
pub mod leases;
pub mod log_groups;
pub mod membership;
pub mod memory;
pub mod metrics;
pub mod operators;
pub mod orders;
pub mod placement;
pub mod programs;
pub mod queueing;
pub mod relays;
pub mod rendezvous;
pub mod result_code;
pub mod roles;
pub mod roster;
pub mod routes;
pub mod settings;
pub mod storage;
pub mod supervision;
#[cfg(test)]
mod test_support;
pub mod token_bucket;
pub mod token_budgets;
pub mod transport;
pub mod versions;
pub mod voter_set;
