//! Fakes at the interfaces, a fault-injecting proxy and measurements. Not shipped.

pub mod fakes;
pub mod generate;
pub mod http;
pub mod proxy;
