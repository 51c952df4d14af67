//! Small fakes of the systems that coriandergw talks to, as `docs/ENDPOINTS.md` describes them.
//!
//! Each fake runs inside the process of its test on a port of the system's choice, keeps a record
//! of what it did, and stops when its handle is dropped.

pub mod announcer;
pub mod batch;
pub mod engine;
pub mod engine_core;
pub mod prefix_cache;
pub mod server;
pub mod service;
pub mod tool;
pub mod weight_store;

#[cfg(test)]
mod tests;
