//! Tests of complete entry-path processes over loopback, with scripted endpoints, some of them
//! faulty.

mod account_limits;
mod budgets;
mod crashes;
mod cut_off;
mod directory;
mod dishonest;
mod endless;
mod endpoint;
mod foreign;
mod groups;
mod heads;
mod kept;
mod kept_turns;
mod leaving;
mod limits;
mod links;
mod nearly_full;
mod paths;
mod routing;
mod stopping;
mod streams;
mod versions;
pub(super) mod world;
