//! A transport inside one process, for `coriandergw dev` and for tests.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::RwLock;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;

use crate::ids::InstanceName;
use crate::transport::Handler;
use crate::transport::Kind;
use crate::transport::Transport;
use crate::transport::TransportError;
use crate::transport::peers::Handlers;

/// Connects the memory transports of one process and can cut and slow down links between them.
#[derive(Default)]
pub struct MemoryNetwork {
    members: RwLock<BTreeMap<InstanceName, Arc<Handlers>>>,
    cut_links: RwLock<BTreeSet<(InstanceName, InstanceName)>>,
    delays: RwLock<BTreeMap<(InstanceName, InstanceName), Duration>>,
}

impl MemoryNetwork {
    /// Adds an instance and returns its transport.
    pub fn join(self: &Arc<Self>, name: InstanceName) -> Arc<MemoryTransport> {
        let handlers = Arc::<Handlers>::default();
        self.members.write().expect("not poisoned").insert(name.clone(), handlers.clone());
        Arc::new(MemoryTransport { network: self.clone(), name, handlers })
    }

    /// Loses all messages from `from` to `to` until [`MemoryNetwork::heal`].
    pub fn cut(&self, from: &InstanceName, to: &InstanceName) {
        self.cut_links.write().expect("not poisoned").insert((from.clone(), to.clone()));
    }

    /// Holds up all messages from `from` to `to` until [`MemoryNetwork::heal`].
    pub fn slow_down(&self, from: &InstanceName, to: &InstanceName, delay: Duration) {
        self.delays.write().expect("not poisoned").insert((from.clone(), to.clone()), delay);
    }

    /// Restores all links.
    pub fn heal(&self) {
        self.delays.write().expect("not poisoned").clear();
        self.cut_links.write().expect("not poisoned").clear();
    }

    fn is_cut(&self, from: &InstanceName, to: &InstanceName) -> bool {
        self.cut_links.read().expect("not poisoned").contains(&(from.clone(), to.clone()))
    }

    /// Lets a message travel; one on a link that is cut never arrives.
    async fn travel(&self, from: &InstanceName, to: &InstanceName) {
        if self.is_cut(from, to) {
            std::future::pending::<()>().await;
        }
        let link = (from.clone(), to.clone());
        let delay = self.delays.read().expect("not poisoned").get(&link).copied();
        if let Some(delay) = delay {
            tokio::time::sleep(delay).await;
        }
    }

    fn find(&self, name: &InstanceName) -> Option<Arc<Handlers>> {
        self.members.read().expect("not poisoned").get(name).cloned()
    }
}

/// One instance's end of a [`MemoryNetwork`].
pub struct MemoryTransport {
    network: Arc<MemoryNetwork>,
    name: InstanceName,
    handlers: Arc<Handlers>,
}

impl MemoryTransport {
    async fn deliver(
        network: Arc<MemoryNetwork>,
        from: InstanceName,
        to: InstanceName,
        kind: Kind,
        payload: Bytes,
    ) -> Result<Bytes, TransportError> {
        network.travel(&from, &to).await;
        let handlers = network.find(&to).ok_or(TransportError::UnknownPeer { peer: to.clone() })?;
        let handler = handlers.find(kind).ok_or_else(|| TransportError::Refused {
            peer: to.clone(),
            reason: "no handler for this kind".to_owned(),
        })?;
        let answer = handler.handle(&from, payload).await;
        network.travel(&to, &from).await;
        answer.map_err(|reason| TransportError::Refused { peer: to, reason })
    }
}

#[async_trait]
impl Transport for MemoryTransport {
    fn send(&self, to: &InstanceName, kind: Kind, payload: Bytes) {
        if self.network.is_cut(&self.name, to) {
            return;
        }
        let delivery =
            Self::deliver(self.network.clone(), self.name.clone(), to.clone(), kind, payload);
        tokio::spawn(delivery);
    }

    async fn call(
        &self,
        to: &InstanceName,
        kind: Kind,
        payload: Bytes,
        timeout: Duration,
    ) -> Result<Bytes, TransportError> {
        let delivery =
            Self::deliver(self.network.clone(), self.name.clone(), to.clone(), kind, payload);
        let no_answer =
            |_| TransportError::NoAnswer { peer: to.clone(), reason: "timed out".to_owned() };
        tokio::time::timeout(timeout, delivery).await.map_err(no_answer)?
    }

    fn register(&self, kind: Kind, handler: Arc<dyn Handler>) {
        self.handlers.register(kind, handler);
    }

    fn learn(&self, _peer: &InstanceName, _address: SocketAddr) {}
}
