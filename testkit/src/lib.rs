//! Fakes at the interfaces, a fault-injecting proxy and measurements. Not shipped.

pub mod generate;
