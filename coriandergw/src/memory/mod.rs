//! Bounds what clients outside our control make this process hold.
//!
//! [`budget`] is the pure account, [`shared`] the handle that all tasks use, [`body`] reads bodies
//! under it, [`connections`] decides which
//! connections of a server are closed, and [`open_connections`] is the handle of a server.

use std::net::IpAddr;

use crate::memory::budget::SMALL_MAX_BYTES;

pub mod body;
pub mod budget;
pub mod connections;
pub mod open_connections;
pub mod shared;

/// The memory of a process whose settings do not state it, in megabytes: what an instance may use
/// for control by the plan.
pub const DEFAULT_MEMORY_MB: u64 = 256;

/// The descriptors of a process whose settings do not state them: those of the smallest machine.
pub const DEFAULT_MAX_FDS: u64 = 4_100;

/// The least memory that the settings may state, in megabytes: the program itself needs some 20 MB.
pub const MIN_MEMORY_MB: u64 = 32;

/// The bytes of a megabyte in the settings.
const BYTES_PER_MB: u64 = 1_000_000;

/// The divisor of the memory for bodies, answers and documents. A quarter is for them and one for
/// connections; the rest is for the program, its view of the system and the allocator.
const BUDGET_DIVISOR: u64 = 4;

/// The divisor of the memory for the buffers of connections.
const CONNECTIONS_DIVISOR: u64 = 4;

/// The memory of one connection, in bytes. Idle ones took 18 KB and ones with a half-open head of 8 KiB
/// 29 KB in a debug build; with the latter alone, the connections of the smallest machine take 39 MB of
/// its 88 MB.
const CONNECTION_BYTES: u64 = 16 * 1024;

/// The descriptors that are left for files.
const FILE_DESCRIPTORS: u64 = 200;

/// The divisor of the other descriptors for connections of callers; the other half is for endpoints
/// and other instances.
const CALLERS_DIVISOR: u64 = 2;

/// The divisor of the other descriptors for each port of endpoints and operators.
const SERVICE_PORT_DIVISOR: u64 = 4;

/// The least connections of a port, whatever the settings state.
const MIN_CONNECTIONS: u64 = 16;

/// What the machine gives to this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MachineLimits {
    /// The memory, in megabytes.
    pub memory_mb: u64,
    /// The file descriptors.
    pub max_fds: u64,
}

impl Default for MachineLimits {
    fn default() -> Self {
        Self { memory_mb: DEFAULT_MEMORY_MB, max_fds: DEFAULT_MAX_FDS }
    }
}

impl MachineLimits {
    /// Returns the bytes for bodies, answers and documents.
    pub fn budget_bytes(&self) -> u64 {
        (self.memory_mb * BYTES_PER_MB / BUDGET_DIVISOR).max(SMALL_MAX_BYTES)
    }

    /// Returns the connections of callers that may be open.
    pub fn caller_connections(&self) -> usize {
        self.connections(CALLERS_DIVISOR)
    }

    /// Returns the connections that may be open at one port for endpoints or operators.
    pub fn service_connections(&self) -> usize {
        self.connections(SERVICE_PORT_DIVISOR)
    }

    fn connections(&self, descriptors_divisor: u64) -> usize {
        let by_descriptors = self.max_fds.saturating_sub(FILE_DESCRIPTORS) / descriptors_divisor;
        let by_memory = self.memory_mb * BYTES_PER_MB / CONNECTIONS_DIVISOR / CONNECTION_BYTES;
        by_descriptors.min(by_memory).max(MIN_CONNECTIONS) as usize
    }
}

/// Returns the network of a client, for logs: 24 bits of an IPv4 address, 48 of an IPv6 address.
pub fn network_of(ip: IpAddr) -> String {
    match ip {
        IpAddr::V4(ip) => {
            let [a, b, c, _] = ip.octets();
            format!("{a}.{b}.{c}.0/24")
        }
        IpAddr::V6(ip) => {
            let [a, b, c, ..] = ip.segments();
            format!("{a:x}:{b:x}:{c:x}::/48")
        }
    }
}

#[cfg(test)]
mod tests;
