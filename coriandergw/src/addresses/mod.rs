//! The instance addresses that callers are told to use.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;

use crate::ids::DataCentre;

mod choice;
mod cluster;

pub use choice::ADDRESSES_MAX;
pub use choice::caller_seed;
pub use choice::choose_addresses;
pub use cluster::ClusterAddresses;

/// The address of one instance.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Address {
    /// The socket address at which the instance serves callers.
    pub address: SocketAddr,
    /// The data centre of the instance.
    pub data_centre: DataCentre,
}

/// The answer to a caller that asks which addresses to use.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct AddressAnswer {
    /// The addresses in the order in which the caller should try them.
    pub addresses: Vec<Address>,
    /// How long the caller may cache the answer, in milliseconds.
    pub ttl_ms: u64,
}

/// A source of the instance addresses that callers may use.
pub trait AddressProvider: Send + Sync {
    /// Returns the addresses for the caller with this IP address.
    fn answer(&self, caller: IpAddr) -> AddressAnswer;

    /// Returns whether other instances accept requests.
    fn has_others(&self) -> bool;
}

/// The provider of an instance that runs alone: its answer is always its own address.
#[derive(Debug)]
pub struct StaticAddress {
    address: Address,
    ttl: Duration,
}

impl StaticAddress {
    /// Creates a provider of the instance's own address, which callers may cache for `ttl`.
    pub fn new(address: SocketAddr, data_centre: DataCentre, ttl: Duration) -> Self {
        Self { address: Address { address, data_centre }, ttl }
    }
}

impl AddressProvider for StaticAddress {
    fn answer(&self, _caller: IpAddr) -> AddressAnswer {
        let ttl_ms = self.ttl.as_millis() as u64;
        AddressAnswer { addresses: vec![self.address.clone()], ttl_ms }
    }

    fn has_others(&self) -> bool {
        false
    }
}

#[cfg(test)]
mod tests;
