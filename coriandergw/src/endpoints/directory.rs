//! The endpoints known to this instance.
//!
//! An endpoint renews its announcement at one instance, its sponsor. Other instances learn of the
//! endpoint from the sponsor and use it as a candidate only while the sponsor's lease is valid.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::RwLock;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::dispatch::CallKind;
use crate::endpoints::Announcement;
use crate::ids::EndpointName;
use crate::ids::InstanceName;
use crate::ids::TargetName;

/// How long an announcement is valid without a renewal.
pub const ANNOUNCEMENT_LEASE: Duration = Duration::from_millis(1_500);

/// How often an endpoint should renew its announcement.
pub const RENEWAL_INTERVAL: Duration = Duration::from_millis(500);

/// How long the lease of a sponsor in the same data centre is valid without a heartbeat.
pub const NEAR_SPONSOR_LEASE: Duration = Duration::from_millis(1_900);

/// How long the lease of a sponsor in another data centre is valid without a heartbeat.
pub const FAR_SPONSOR_LEASE: Duration = Duration::from_millis(3_600);

/// The instance at which an endpoint renews its announcement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Source {
    /// The endpoint renews at this instance.
    Local,
    /// The endpoint renews at another instance.
    Sponsor(InstanceName),
}

/// An endpoint with the origin and arrival time of its last announcement.
#[derive(Debug, Clone)]
pub struct KnownEndpoint {
    /// Its last announcement.
    pub announcement: Arc<Announcement>,
    /// When the announcement arrived.
    pub heard_at: Timestamp,
    /// Where the endpoint renews.
    pub source: Source,
}

/// A change to the endpoints that renew at this instance, to be sent to the others.
#[derive(Debug, Clone, PartialEq)]
pub enum LocalChange {
    /// The endpoint is new, has changed or is leaving.
    Upsert(Arc<Announcement>),
    /// The endpoint's announcement expired.
    Gone(EndpointName),
}

/// The endpoints of one kind and target that take new calls.
pub type Group = Arc<[EndpointName]>;

type GroupKey = (CallKind, TargetName);

#[derive(Debug, Clone, Copy)]
struct SponsorLease {
    renewed_at: Timestamp,
    lease: Duration,
}

#[derive(Debug, Default)]
struct State {
    endpoints: HashMap<EndpointName, KnownEndpoint>,
    /// What sponsors announced of endpoints whose current source is another one. A sponsor sends an
    /// announcement only once, so it is kept until the sponsor withdraws it or its lease ends.
    other_sources: HashMap<EndpointName, BTreeMap<InstanceName, KnownEndpoint>>,
    groups: HashMap<GroupKey, Group>,
    sponsors: BTreeMap<InstanceName, SponsorLease>,
    changes: Vec<LocalChange>,
}

/// Stores current announcements, indexed by kind and target.
#[derive(Debug, Default)]
pub struct Directory {
    state: RwLock<State>,
}

impl Directory {
    /// Records an announcement or a renewal. Returns whether the endpoint is new or has changed.
    pub fn announce(&self, announcement: Announcement, now: Timestamp) -> bool {
        let mut state = self.state.write().expect("not poisoned");
        let known = state.endpoints.get(&announcement.name);
        let moved = known.is_none_or(|known| known.source != Source::Local);
        let changed =
            known.is_none_or(|known| differs_beyond_load(&known.announcement, &announcement));
        let announcement = Arc::new(announcement);
        if moved || changed {
            state.changes.push(LocalChange::Upsert(announcement.clone()));
        }
        state.insert(KnownEndpoint { announcement, heard_at: now, source: Source::Local });
        changed
    }

    /// Records an announcement from a sponsor. While the endpoint has renewed at this instance
    /// within the last 2 renewal intervals, the announcement is only kept for later.
    pub fn upsert_sponsored(
        &self,
        sponsor: &InstanceName,
        announcement: Announcement,
        now: Timestamp,
    ) {
        let mut state = self.state.write().expect("not poisoned");
        let renews_here = state.endpoints.get(&announcement.name).is_some_and(|known| {
            known.source == Source::Local && now.since(known.heard_at) <= RENEWAL_INTERVAL * 2
        });
        let sponsored = KnownEndpoint {
            announcement: Arc::new(announcement),
            heard_at: now,
            source: Source::Sponsor(sponsor.clone()),
        };
        match renews_here {
            true => state.keep_other_source(sponsored),
            false => state.insert(sponsored),
        }
    }

    /// Removes an endpoint that `sponsor` reports as gone, unless it now renews elsewhere.
    pub fn remove_sponsored(&self, sponsor: &InstanceName, name: &EndpointName, now: Timestamp) {
        let mut state = self.state.write().expect("not poisoned");
        state.drop_other_source(sponsor, name);
        let is_sponsor =
            state.endpoints.get(name).is_some_and(|known| known.is_sponsored_by(sponsor));
        if is_sponsor {
            state.replace_by_other_source(name, now);
        }
    }

    /// Replaces all endpoints of `sponsor` with `all`, the endpoints of its snapshot.
    pub fn replace_sponsored(
        &self,
        sponsor: &InstanceName,
        all: Vec<Announcement>,
        now: Timestamp,
    ) {
        let kept: Vec<EndpointName> = all.iter().map(|one| one.name.clone()).collect();
        for name in self.sponsored_names(sponsor) {
            if !kept.contains(&name) {
                self.remove_sponsored(sponsor, &name, now);
            }
        }
        for announcement in all {
            self.upsert_sponsored(sponsor, announcement, now);
        }
    }

    /// Renews the lease of a sponsor.
    pub fn renew_sponsor(&self, sponsor: &InstanceName, lease: Duration, now: Timestamp) {
        let renewed = SponsorLease { renewed_at: now, lease };
        let mut state = self.state.write().expect("not poisoned");
        state.sponsors.insert(sponsor.clone(), renewed);
    }

    /// Removes endpoints whose announcement or sponsor lease has expired and that no other sponsor
    /// announces, and returns their names.
    pub fn expire(&self, now: Timestamp) -> Vec<EndpointName> {
        let mut state = self.state.write().expect("not poisoned");
        state.expire_other_sources(now);
        let mut removed = Vec::new();
        let expired: Vec<KnownEndpoint> =
            state.endpoints.values().filter(|known| !state.is_valid(known, now)).cloned().collect();
        for known in &expired {
            let name = known.announcement.name.clone();
            if !state.replace_by_other_source(&name, now) {
                removed.push(name.clone());
            }
            if known.source == Source::Local {
                state.changes.push(LocalChange::Gone(name));
            }
        }
        removed
    }

    /// Takes the changes to the local endpoints since the last call.
    pub fn take_changes(&self) -> Vec<LocalChange> {
        std::mem::take(&mut self.state.write().expect("not poisoned").changes)
    }

    /// Returns the announcements of the endpoints that renew at this instance.
    pub fn local(&self) -> Vec<Arc<Announcement>> {
        let state = self.state.read().expect("not poisoned");
        let local = state.endpoints.values().filter(|known| known.source == Source::Local);
        local.map(|known| known.announcement.clone()).collect()
    }

    /// Returns the announcements received from a sponsor.
    pub fn sponsored(&self, sponsor: &InstanceName) -> Vec<Arc<Announcement>> {
        let state = self.state.read().expect("not poisoned");
        let sponsored = state.endpoints.values().filter(|known| known.is_sponsored_by(sponsor));
        sponsored.map(|known| known.announcement.clone()).collect()
    }

    /// Returns the names of the endpoints that take new calls for a target.
    ///
    /// The group is shared, not copied; a member may have expired in the meantime, which
    /// [`Directory::find`] checks.
    pub fn group(&self, kind: CallKind, target: &TargetName) -> Group {
        let state = self.state.read().expect("not poisoned");
        state.groups.get(&(kind, target.clone())).cloned().unwrap_or_default()
    }

    /// Returns an endpoint if it takes new calls at `now`.
    pub fn find(&self, name: &EndpointName, now: Timestamp) -> Option<KnownEndpoint> {
        let state = self.state.read().expect("not poisoned");
        let known = state.endpoints.get(name)?;
        (!known.announcement.leaving && state.is_valid(known, now)).then(|| known.clone())
    }

    /// Returns an endpoint as last announced, also if it is leaving or expired.
    pub fn last_known(&self, name: &EndpointName) -> Option<KnownEndpoint> {
        self.state.read().expect("not poisoned").endpoints.get(name).cloned()
    }

    /// Returns all endpoints that are valid at `now`, including those that are leaving.
    pub fn all(&self, now: Timestamp) -> Vec<KnownEndpoint> {
        let state = self.state.read().expect("not poisoned");
        let valid = state.endpoints.values().filter(|known| state.is_valid(known, now));
        valid.cloned().collect()
    }

    /// Returns the endpoints that take new calls for `target` at `now`.
    pub fn candidates(
        &self,
        kind: CallKind,
        target: &TargetName,
        now: Timestamp,
    ) -> Vec<KnownEndpoint> {
        self.group(kind, target).iter().filter_map(|name| self.find(name, now)).collect()
    }

    fn sponsored_names(&self, sponsor: &InstanceName) -> Vec<EndpointName> {
        let state = self.state.read().expect("not poisoned");
        let current = state.endpoints.iter().filter(|(_, known)| known.is_sponsored_by(sponsor));
        let other = state.other_sources.iter().filter(|(_, kept)| kept.contains_key(sponsor));
        current.map(|(name, _)| name).chain(other.map(|(name, _)| name)).cloned().collect()
    }
}

impl KnownEndpoint {
    fn is_sponsored_by(&self, sponsor: &InstanceName) -> bool {
        matches!(&self.source, Source::Sponsor(name) if name == sponsor)
    }
}

impl State {
    fn is_valid(&self, known: &KnownEndpoint, now: Timestamp) -> bool {
        match &known.source {
            Source::Local => now.since(known.heard_at) <= ANNOUNCEMENT_LEASE,
            Source::Sponsor(sponsor) => self
                .sponsors
                .get(sponsor)
                .is_some_and(|held| now.since(held.renewed_at) <= held.lease),
        }
    }

    fn keep_other_source(&mut self, known: KnownEndpoint) {
        if let Source::Sponsor(sponsor) = &known.source {
            let kept = self.other_sources.entry(known.announcement.name.clone()).or_default();
            kept.insert(sponsor.clone(), known);
        }
    }

    fn drop_other_source(&mut self, sponsor: &InstanceName, name: &EndpointName) {
        let Some(kept) = self.other_sources.get_mut(name) else {
            return;
        };
        kept.remove(sponsor);
        if kept.is_empty() {
            self.other_sources.remove(name);
        }
    }

    fn expire_other_sources(&mut self, now: Timestamp) {
        let mut others = std::mem::take(&mut self.other_sources);
        others.retain(|_, kept| {
            kept.retain(|_, known| self.is_valid(known, now));
            !kept.is_empty()
        });
        self.other_sources = others;
    }

    /// Replaces the current source of an endpoint by the sponsor that announced it last; without
    /// any valid one the endpoint is removed. Returns whether the endpoint is still known.
    fn replace_by_other_source(&mut self, name: &EndpointName, now: Timestamp) -> bool {
        let kept = self.other_sources.get(name).into_iter().flat_map(BTreeMap::values);
        let valid = kept.filter(|known| self.is_valid(known, now));
        let latest = valid.max_by_key(|known| known.heard_at).cloned();
        self.remove(name);
        let Some(latest) = latest else {
            return false;
        };
        self.insert(latest);
        true
    }

    fn insert(&mut self, known: KnownEndpoint) {
        let name = known.announcement.name.clone();
        if let Source::Sponsor(sponsor) = &known.source {
            self.drop_other_source(sponsor, &name);
        }
        if let Some(before) =
            self.endpoints.get(&name).filter(|before| before.source != known.source)
        {
            self.keep_other_source(before.clone());
        }
        let before = self.endpoints.insert(name.clone(), known.clone());
        let before_keys = before.as_ref().map(group_keys).unwrap_or_default();
        let after_keys = group_keys(&known);
        if before_keys == after_keys {
            return;
        }
        self.remove_from_groups(&name, &before_keys);
        for key in after_keys {
            let group = self.groups.entry(key).or_default();
            *group = group.iter().cloned().chain([name.clone()]).collect();
        }
    }

    fn remove(&mut self, name: &EndpointName) {
        if let Some(known) = self.endpoints.remove(name) {
            self.remove_from_groups(name, &group_keys(&known));
        }
    }

    fn remove_from_groups(&mut self, name: &EndpointName, keys: &[GroupKey]) {
        for key in keys {
            let Some(group) = self.groups.get_mut(key) else {
                continue;
            };
            *group = group.iter().filter(|member| *member != name).cloned().collect();
            if group.is_empty() {
                self.groups.remove(key);
            }
        }
    }
}

fn group_keys(known: &KnownEndpoint) -> Vec<GroupKey> {
    let announcement = &known.announcement;
    if announcement.leaving {
        return Vec::new();
    }
    announcement.targets.iter().map(|target| (announcement.kind, target.clone())).collect()
}

fn differs_beyond_load(known: &Announcement, new: &Announcement) -> bool {
    // The load changes with each renewal. A change of the load alone is not sent to other
    // instances.
    let without_load = Announcement { load: known.load, ..new.clone() };
    *known != without_load
}

#[cfg(test)]
mod tests;
