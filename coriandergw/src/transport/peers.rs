//! The addresses and handlers that every transport keeps.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::RwLock;

use crate::ids::InstanceName;
use crate::transport::Handler;
use crate::transport::Kind;

/// Finds the address of a peer: from the settings first, else as learned.
#[derive(Debug, Default)]
pub struct PeerAddresses {
    fixed: BTreeMap<InstanceName, SocketAddr>,
    learned: RwLock<BTreeMap<InstanceName, SocketAddr>>,
}

impl PeerAddresses {
    /// Creates a book with the addresses of the settings.
    pub fn new(fixed: BTreeMap<InstanceName, SocketAddr>) -> Self {
        Self { fixed, learned: RwLock::default() }
    }

    /// Returns the address of `peer`, if one is known.
    pub fn find(&self, peer: &InstanceName) -> Option<SocketAddr> {
        let fixed = self.fixed.get(peer).copied();
        fixed.or_else(|| self.learned.read().expect("not poisoned").get(peer).copied())
    }

    /// Records an address told by another instance.
    pub fn learn(&self, peer: &InstanceName, address: SocketAddr) {
        self.learned.write().expect("not poisoned").insert(peer.clone(), address);
    }
}

/// Keeps one handler a kind.
#[derive(Default)]
pub struct Handlers {
    by_kind: RwLock<BTreeMap<Kind, Arc<dyn Handler>>>,
}

impl Handlers {
    /// Sets the handler of a kind.
    pub fn register(&self, kind: Kind, handler: Arc<dyn Handler>) {
        self.by_kind.write().expect("not poisoned").insert(kind, handler);
    }

    /// Returns the handler of a kind.
    pub fn find(&self, kind: Kind) -> Option<Arc<dyn Handler>> {
        self.by_kind.read().expect("not poisoned").get(&kind).cloned()
    }
}
