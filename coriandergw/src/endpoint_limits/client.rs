//! Asks for permits on an entry instance.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use prost::Message as _;

use crate::clock::Timestamp;
use crate::context::Context;
use crate::endpoint_limits::RateLimit;
use crate::endpoint_limits::StatedLimit;
use crate::endpoint_limits::generated as raw;
use crate::endpoint_limits::known_limits::KnownLimits;
use crate::endpoint_limits::limiter::Verdict;
use crate::endpoint_limits::own_share::OwnShares;
use crate::endpoint_limits::wire;
use crate::events::EventNumber;
use crate::events::Subject;
use crate::ids::EndpointName;
use crate::ids::InstanceName;
use crate::rendezvous;
use crate::roster::EndpointRecord;
use crate::roster::Presence;
use crate::roster::Role;
use crate::roster::poller::Roster;
use crate::transport::Kind;
use crate::transport::Transport;

/// How long a request waits for a permit; several round trips between data centres.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(100);

/// How long a core instance that did not answer is not asked again.
const SUSPICION: Duration = Duration::from_millis(500);

/// When a request that exceeds this instance's own share should come back.
const OWN_SHARE_RETRY_AFTER: Duration = Duration::from_millis(500);

/// A time in which a core instance does not answer.
struct Outage {
    /// The core instance is not asked again before this time.
    ask_again_at: Timestamp,
    shares: OwnShares,
}

/// The limits known to an entry instance, and the way to the core instances that grant permits.
pub struct PermitClient {
    cx: Context,
    roster: Arc<Roster>,
    transport: Arc<dyn Transport>,
    limits: KnownLimits,
    /// By the core instance that does not answer; `None` while no core instance is reachable.
    outages: Mutex<HashMap<Option<InstanceName>, Outage>>,
}

impl PermitClient {
    /// Creates a client that knows no limits yet.
    pub fn new(cx: Context, roster: Arc<Roster>, transport: Arc<dyn Transport>) -> Self {
        let (limits, outages) = (KnownLimits::default(), Mutex::default());
        Self { cx, roster, transport, limits, outages }
    }

    /// Records what an answer of an endpoint says of its limit; `None` if it names none.
    pub fn note_answer(&self, endpoint: &EndpointRecord, limit: Option<RateLimit>) {
        if self.limits.note(endpoint, limit, self.cx.clock.now()) {
            let named = limit.map_or("none".to_owned(), |limit| limit.to_string());
            let detail = format!("limit={named} started_ms={}", endpoint.started_ms);
            let subject = Subject { peer: Some(endpoint.id.to_string()), ..Subject::default() };
            self.cx.events.record(EventNumber::EndpointLimited, subject, detail);
        }
    }

    /// Records the limits that endpoints named to other instances.
    pub fn learn(&self, published: &[StatedLimit]) {
        published.iter().for_each(|stated| self.limits.learn(stated));
    }

    /// Returns the limit that this incarnation of an endpoint named, if it still does.
    pub fn limit_of(&self, endpoint: &EndpointRecord) -> Option<StatedLimit> {
        self.limits.get(endpoint)
    }

    /// Returns whether an endpoint names no limit or has had room within it for some time, so that it
    /// can take one more program.
    pub fn has_spare(&self, endpoint: &EndpointRecord) -> bool {
        self.limits.has_spare(endpoint, self.cx.clock.now())
    }

    /// Forgets the limits of endpoints for which `is_listed` does not hold.
    pub fn retain<F>(&self, is_listed: F)
    where
        F: Fn(&EndpointName) -> bool,
    {
        self.limits.retain(is_listed);
    }

    /// Acquires a permit for one request to one of the candidates, which are in the order of
    /// preference. `has_alternative` says whether the request goes to an endpoint without a limit if
    /// none of them has room; `entry_instances` is the number of instances that share each limit.
    pub async fn acquire(
        &self,
        service: &Arc<str>,
        candidates: &[StatedLimit],
        has_alternative: bool,
        entry_instances: usize,
    ) -> Verdict {
        let now = self.cx.clock.now();
        let living = self.roster.with_view(|view| view.living(Role::Core, now));
        let core = responsible_core(service, &living);
        let asked = match &core {
            Some(core) if !self.is_suspected(core, now) => {
                self.ask(core, service, candidates, has_alternative).await
            }
            _ => None,
        };
        let (source, verdict) = match asked {
            Some(verdict) => ("core", verdict),
            None => ("own share", self.take_own_share(core, candidates, entry_instances)),
        };
        let outcome = match verdict {
            Verdict::Granted(_) => "granted",
            Verdict::Denied(time) => {
                self.limits.note_full(candidates, self.cx.clock.now() + time);
                "denied"
            }
        };
        self.cx.metrics.permits.with_label_values(&[source, outcome]).inc();
        verdict
    }

    /// Asks a core instance; returns `None` if it does not answer.
    async fn ask(
        &self,
        core: &InstanceName,
        service: &Arc<str>,
        candidates: &[StatedLimit],
        has_alternative: bool,
    ) -> Option<Verdict> {
        let now = self.cx.clock.now();
        let request = raw::PermitRequest {
            service: service.to_string(),
            candidates: candidates.iter().map(|one| wire::encode_limit(one, now)).collect(),
            has_alternative,
        };
        let payload = Bytes::from(request.encode_to_vec());
        let called = self.transport.call(core, Kind::Permit, payload, PERMIT_TIMEOUT).await;
        let answer = called
            .map_err(|cause| cause.to_string())
            .and_then(|bytes| raw::PermitAnswer::decode(bytes).map_err(|cause| cause.to_string()));
        match answer.map(Verdict::from) {
            Ok(Verdict::Granted(position)) if position >= candidates.len() => {
                self.suspect(core, "the permit is for an endpoint that was not asked for");
                None
            }
            Ok(verdict) => {
                let mut outages = self.outages.lock().expect("not poisoned");
                outages
                    .retain(|unreachable, _| unreachable.as_ref().is_some_and(|one| one != core));
                Some(verdict)
            }
            Err(cause) => {
                self.suspect(core, &cause);
                None
            }
        }
    }

    fn take_own_share(
        &self,
        core: Option<InstanceName>,
        candidates: &[StatedLimit],
        entry_instances: usize,
    ) -> Verdict {
        let now = self.cx.clock.now();
        let own = self.cx.instance.as_str();
        let mut outages = self.outages.lock().expect("not poisoned");
        let outage = outages.entry(core).or_insert_with(|| Outage::new(now));
        let has_room = |one: &StatedLimit| outage.shares.take(own, one, entry_instances, now);
        match candidates.iter().position(has_room) {
            Some(position) => Verdict::Granted(position),
            None => Verdict::Denied(OWN_SHARE_RETRY_AFTER),
        }
    }

    fn is_suspected(&self, core: &InstanceName, now: Timestamp) -> bool {
        let outages = self.outages.lock().expect("not poisoned");
        outages.get(&Some(core.clone())).is_some_and(|outage| now < outage.ask_again_at)
    }

    fn suspect(&self, core: &InstanceName, cause: &str) {
        let subject = Subject { peer: Some(core.to_string()), ..Subject::default() };
        self.cx.events.record(EventNumber::PermitsLost, subject, cause);
        let now = self.cx.clock.now();
        let mut outages = self.outages.lock().expect("not poisoned");
        let outage = outages.entry(Some(core.clone())).or_insert_with(|| Outage::new(now));
        outage.ask_again_at = now + SUSPICION;
    }
}

impl Outage {
    fn new(now: Timestamp) -> Self {
        Self { ask_again_at: now, shares: OwnShares::new(now) }
    }
}

/// Returns the core instance that grants the permits for a service; all instances that hear the
/// same core instances choose the same one.
fn responsible_core(service: &str, living: &[Presence]) -> Option<InstanceName> {
    let usable = living.iter().filter(|core| core.ready && !core.leaving);
    let names: Vec<InstanceName> = usable.map(|core| core.name.clone()).collect();
    rendezvous::heaviest(service, &names, 1).pop()
}
