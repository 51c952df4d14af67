//! Which instance addresses callers are told to use.

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

/// One address of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Address {
    /// Where the instance answers callers.
    pub address: SocketAddr,
    /// The instance's data centre.
    pub data_centre: DataCentre,
}

/// The answer to a caller that asks which addresses to use.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct AddressAnswer {
    /// The addresses, the one to try first in front.
    pub addresses: Vec<Address>,
    /// How long the caller may keep the answer, in milliseconds.
    pub ttl_ms: u64,
}

/// Knows the instances that callers may use.
pub trait AddressProvider: Send + Sync {
    /// Returns the answer for a caller.
    fn answer(&self, caller: IpAddr) -> AddressAnswer;

    /// Returns whether other instances take work.
    fn has_others(&self) -> bool;
}

/// The addresses of an instance that is alone.
#[derive(Debug)]
pub struct StaticAddress {
    address: Address,
    ttl: Duration,
}

impl StaticAddress {
    /// Creates the book with the instance's own address.
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
