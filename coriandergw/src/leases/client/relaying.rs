//! Renewal through the relay of the data centre. If this instance is the relay, it also renews the
//! leases of the data centre's other instances, which are called its members.

use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::context::Context;
use crate::control::Instance;
use crate::control::InstanceState;
use crate::control::Published;
use crate::ids::InstanceName;
use crate::ids::Revision;
use crate::leases::client::ControlClient;
use crate::leases::generated::Grant;
use crate::leases::generated::RelayRenewal;
use crate::leases::generated::Renewal;
use crate::leases::generated::request::Kind;
use crate::leases::messages::decode_answer;
use crate::leases::relay::PendingRenewal;
use crate::result_code::ResultCode;

/// The timeout of a renewal that is sent to the relay.
const RELAY_TIMEOUT: Duration = Duration::from_millis(700);

/// The number of consecutive renewals without an answer from the relay after which the leader is
/// asked directly.
const RELAY_MISSES_MAX: u32 = 2;

/// How many renewals are sent to the leader directly before the relay is tried again.
const RELAY_RETRY_RENEWALS: u32 = 20;

impl ControlClient {
    pub(super) async fn send_renewal(
        &self,
        own: Renewal,
        pending: &[PendingRenewal],
    ) -> Option<(InstanceName, Grant)> {
        if pending.is_empty()
            && let Some(relay) = self.usable_relay()
        {
            let answer = self.ask_within(&relay, Kind::Renewal(own), RELAY_TIMEOUT).await;
            if let Some(grant) = answer.ok().and_then(|answer| decode_answer(answer).ok()) {
                self.relay_misses.store(0, Ordering::Relaxed);
                return Some((relay, grant));
            }
            if self.relay_misses.fetch_add(1, Ordering::Relaxed) + 1 < RELAY_MISSES_MAX {
                self.wake();
                return None;
            }
        }
        let request = match pending.is_empty() {
            true => Kind::Renewal(own),
            false => {
                let members = pending.iter().map(|pending| pending.member).collect();
                Kind::RelayRenewal(RelayRenewal { own: Some(own), members })
            }
        };
        let (leader, answer) = self.ask_leader(request).await?;
        Some((leader, decode_answer(answer).ok()?))
    }

    /// Returns the relay to send the next renewal to, or `None` if this instance is the relay or
    /// the relay has not answered the last [`RELAY_MISSES_MAX`] renewals. Such a relay is returned
    /// again for about one in [`RELAY_RETRY_RENEWALS`] renewals.
    fn usable_relay(&self) -> Option<InstanceName> {
        let holder = self.holder.lock().expect("not poisoned");
        holder.own_record()?;
        let relay = self.relay_of(holder.published())?;
        drop(holder);
        if relay == self.cx.instance {
            return None;
        }
        let misses = self.relay_misses.load(Ordering::Relaxed);
        if misses < RELAY_MISSES_MAX {
            return Some(relay);
        }
        let misses = self.relay_misses.fetch_add(1, Ordering::Relaxed);
        misses.is_multiple_of(RELAY_RETRY_RENEWALS).then_some(relay)
    }

    pub(super) fn answer_members(&self, pending: Vec<PendingRenewal>, upstream: &Grant) {
        let holder = self.holder.lock().expect("not poisoned");
        for pending in pending {
            let refused = upstream.refused_members.contains(&pending.member.index);
            let applied = pending.member.renewal.map_or(0, |renewal| renewal.revision);
            let mut grant = holder.grant_from(upstream, Revision(applied));
            if refused {
                grant.refused = ResultCode::StaleIncarnation.number().into();
            }
            // A member that has stopped waiting sends another renewal.
            let _ = pending.answer.send(grant);
        }
    }

    /// Renews the lease of another instance as part of this instance's next renewal. Returns `None`
    /// if this instance is not registered, does not know the other one, has too many queued
    /// renewals or gets no grant.
    pub(in crate::leases) async fn relay_renewal(
        &self,
        from: &InstanceName,
        renewal: Renewal,
    ) -> Option<Grant> {
        if *from == self.cx.instance {
            return None;
        }
        let index = {
            let holder = self.holder.lock().expect("not poisoned");
            holder.own_record()?;
            holder.published().instances().get(from)?.index
        };
        self.renewal_queue.add(index, renewal)?.await.ok()
    }

    /// Returns the relay of this data centre: the live instance with the lowest name, except those
    /// that the liveness source says to avoid.
    ///
    /// Instances need not agree on the relay, because any instance that receives renewals relays
    /// them.
    pub(in crate::leases) fn relay_of(&self, published: &Published) -> Option<InstanceName> {
        let liveness = self.liveness.get();
        let is_avoided =
            |name: &InstanceName| liveness.is_some_and(|liveness| liveness.is_avoided(name));
        let found = published.instances().values().find(|instance| {
            is_alive_in_same_data_centre(instance, &self.cx) && !is_avoided(&instance.name)
        });
        found.map(|instance| instance.name.clone())
    }
}

/// Returns whether an instance is alive and in the data centre of this instance, so that it can be
/// the relay of this data centre or one of the relay's members.
pub(super) fn is_alive_in_same_data_centre(instance: &Instance, cx: &Context) -> bool {
    instance.state == InstanceState::Alive && instance.data_centre == cx.data_centre
}
