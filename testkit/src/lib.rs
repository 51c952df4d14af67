//! Fakes at the interfaces, a fault-injecting proxy and measurements. Not shipped.

pub mod auditor;
pub mod bench;
pub mod bench_log;
pub mod bench_memory;
pub mod bench_programs;
pub mod caller;
pub mod cluster;
pub mod experiment;
pub mod fakes;
pub mod generate;
pub mod http;
pub mod operator;
pub mod proxy;
pub mod report;
pub mod schema;
pub mod sequence;
pub mod soak;
pub mod testbed;
pub mod wait;
