//! Load and measurements; `cgw-bench` is their command line.

pub mod capacity;
pub mod control;
pub mod fit;
pub mod latency;
pub mod load;
pub mod resources;
pub mod shapes;

#[cfg(test)]
mod tests;
