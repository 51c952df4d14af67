//! The endpoints known to this instance.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::RwLock;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::dispatch::CallKind;
use crate::endpoints::Announcement;
use crate::ids::EndpointName;
use crate::ids::TargetName;

/// How long an announcement holds without a renewal.
pub const ANNOUNCEMENT_LEASE: Duration = Duration::from_millis(1_500);

/// How often an endpoint should renew its announcement.
pub const RENEWAL_INTERVAL: Duration = Duration::from_millis(500);

/// An endpoint and when it was last heard of.
#[derive(Debug, Clone)]
pub struct KnownEndpoint {
    /// What it announced.
    pub announcement: Arc<Announcement>,
    /// When the announcement arrived.
    pub heard_at: Timestamp,
}

/// Keeps the announcements that still hold.
#[derive(Debug, Default)]
pub struct Directory {
    endpoints: RwLock<BTreeMap<EndpointName, KnownEndpoint>>,
}

impl Directory {
    /// Records an announcement or a renewal. Returns whether the endpoint is new or has changed.
    pub fn announce(&self, announcement: Announcement, now: Timestamp) -> bool {
        let mut endpoints = self.endpoints.write().expect("not poisoned");
        let known = endpoints.get(&announcement.name);
        let changed = known.is_none_or(|known| {
            known.announcement.leaving != announcement.leaving
                || known.announcement.targets != announcement.targets
                || known.announcement.address != announcement.address
        });
        let name = announcement.name.clone();
        let known = KnownEndpoint { announcement: Arc::new(announcement), heard_at: now };
        endpoints.insert(name, known);
        changed
    }

    /// Returns the endpoints that take new calls for `target` at `now`.
    pub fn candidates(
        &self,
        kind: CallKind,
        target: &TargetName,
        now: Timestamp,
    ) -> Vec<KnownEndpoint> {
        let endpoints = self.endpoints.read().expect("not poisoned");
        let serves = |known: &&KnownEndpoint| {
            let announcement = &known.announcement;
            announcement.kind == kind
                && !announcement.leaving
                && now.since(known.heard_at) <= ANNOUNCEMENT_LEASE
                && announcement.targets.contains(target)
        };
        endpoints.values().filter(serves).cloned().collect()
    }
}
