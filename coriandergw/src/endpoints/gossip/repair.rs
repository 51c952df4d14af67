//! Repairs what lost messages left out: answers and asks for lists of sponsors and endpoints.

use crate::endpoints::generated::Endpoint;
use crate::endpoints::generated::Heartbeat;
use crate::endpoints::generated::Snapshot;
use crate::endpoints::generated::SnapshotRequest;
use crate::endpoints::generated::Summary;
use crate::endpoints::generated::SummaryRequest;
use crate::endpoints::generated::envelope::Body;
use crate::endpoints::gossip::Gossip;
use crate::endpoints::gossip::announcements;
use crate::endpoints::gossip::sponsors::Beat;
use crate::endpoints::gossip::sponsors::digest;
use crate::ids::DataCentre;
use crate::ids::InstanceName;
use crate::ids::NameError;

impl Gossip {
    pub(super) async fn pull_snapshot(&self, sponsor: &InstanceName) {
        let answer = self.ask(sponsor, Body::SnapshotRequest(SnapshotRequest {})).await;
        let Some(Body::Snapshot(snapshot)) = answer else {
            return;
        };
        let Some(Ok(beat)) = snapshot.heartbeat.map(Beat::try_from) else {
            return;
        };
        let now = self.cx.clock.now();
        self.hear(&beat, now);
        if self.sponsors.lock().expect("not poisoned").install(&beat) {
            self.directory.replace(&beat.sponsor, announcements(snapshot.endpoints), now);
        }
    }

    pub(super) async fn pull_summary(&self, from: &InstanceName, data_centre: &DataCentre) {
        let request = SummaryRequest { data_centre: data_centre.to_string() };
        let answer = self.ask(from, Body::SummaryRequest(request)).await;
        let Some(Body::Summary(full)) = answer else {
            return;
        };
        let listed: Vec<Beat> =
            full.sponsors.into_iter().filter_map(|beat| beat.try_into().ok()).collect();
        let now = self.cx.clock.now();
        let dropped =
            self.sponsors.lock().expect("not poisoned").keep_only(data_centre, &listed, now);
        for sponsor in dropped {
            self.directory.replace(&sponsor, Vec::new(), now);
        }
        for beat in listed {
            self.take_beat(beat).await;
        }
    }

    pub(super) fn answer_summary(&self, request: SummaryRequest) -> Result<Body, NameError> {
        let data_centre = DataCentre::try_from(request.data_centre)?;
        let beats = match data_centre == self.cx.data_centre {
            true => self.live_here(self.cx.clock.now()),
            // A relay answers from what it holds; the next summary corrects it.
            false => self.sponsors.lock().expect("not poisoned").held(&data_centre),
        };
        Ok(Body::Summary(Summary {
            data_centre: data_centre.to_string(),
            digest: digest(&beats),
            sponsors: beats.iter().map(Heartbeat::from).collect(),
            relay: false,
        }))
    }

    pub(super) fn answer_snapshot(&self) -> Body {
        // The version is read first: a change in between is then sent once more, never left out.
        let heartbeat = Some(Heartbeat::from(&self.own_beat()));
        let local = self.directory.local();
        let endpoints = local.iter().map(|one| Endpoint::from(one.as_ref())).collect();
        Body::Snapshot(Snapshot { heartbeat, endpoints })
    }
}
