//! Anti-entropy repair after lost messages: requests and serves summaries of sponsors and snapshots
//! of endpoints.

use crate::endpoints::generated::Endpoint;
use crate::endpoints::generated::Heartbeat;
use crate::endpoints::generated::Snapshot;
use crate::endpoints::generated::SnapshotRequest;
use crate::endpoints::generated::Summary;
use crate::endpoints::generated::SummaryRequest;
use crate::endpoints::generated::envelope::Body;
use crate::endpoints::gossip::Gossip;
use crate::endpoints::gossip::announcements;
use crate::endpoints::gossip::sponsors::SponsorState;
use crate::endpoints::gossip::sponsors::digest;
use crate::ids::DataCentre;
use crate::ids::InstanceName;
use crate::ids::NameError;

impl Gossip {
    pub(super) async fn pull_snapshot(&self, sponsor: &InstanceName) {
        let answer = self.request(sponsor, Body::SnapshotRequest(SnapshotRequest {})).await;
        let Some(Body::Snapshot(snapshot)) = answer else {
            return;
        };
        let Some(Ok(state)) = snapshot.heartbeat.map(SponsorState::try_from) else {
            return;
        };
        let now = self.cx.clock.now();
        self.record_heartbeat(&state, now);
        if self.sponsors.lock().expect("not poisoned").install(&state) {
            self.directory.replace_sponsored(
                &state.sponsor,
                announcements(snapshot.endpoints),
                now,
            );
        }
    }

    pub(super) async fn pull_summary(&self, from: &InstanceName, data_centre: &DataCentre) {
        let request = SummaryRequest { data_centre: data_centre.to_string() };
        let answer = self.request(from, Body::SummaryRequest(request)).await;
        let Some(Body::Summary(full)) = answer else {
            return;
        };
        let listed: Vec<SponsorState> =
            full.sponsors.into_iter().filter_map(|state| state.try_into().ok()).collect();
        let now = self.cx.clock.now();
        let dropped =
            self.sponsors.lock().expect("not poisoned").retain_listed(data_centre, &listed, now);
        for sponsor in dropped {
            self.directory.replace_sponsored(&sponsor, Vec::new(), now);
        }
        for state in listed {
            self.handle_heartbeat(state).await;
        }
    }

    pub(super) fn answer_summary(&self, request: SummaryRequest) -> Result<Body, NameError> {
        let data_centre = DataCentre::try_from(request.data_centre)?;
        let states = match data_centre == self.cx.data_centre {
            true => self.live_local_sponsors(self.cx.clock.now()),
            // A relay answers from its own records; the next summary corrects outdated ones.
            false => self.sponsors.lock().expect("not poisoned").held(&data_centre),
        };
        Ok(Body::Summary(Summary {
            data_centre: data_centre.to_string(),
            digest: digest(&states),
            sponsors: states.iter().map(Heartbeat::from).collect(),
            relay: false,
        }))
    }

    pub(super) fn answer_snapshot(&self) -> Body {
        // The version is read before the endpoints, so a change in between is sent twice, not
        // missed.
        let heartbeat = Some(Heartbeat::from(&self.own_state()));
        let local = self.directory.local();
        let endpoints = local.iter().map(|one| Endpoint::from(one.as_ref())).collect();
        Body::Snapshot(Snapshot { heartbeat, endpoints })
    }
}
