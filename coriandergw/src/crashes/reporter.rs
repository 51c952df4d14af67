//! Reports crashes to the core instances, and answers whether a request may be sent.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use crate::context::Context;
use crate::crashes::Crash;
use crate::crashes::Incarnation;
use crate::crashes::RequestDigest;
use crate::crashes::isolation;
use crate::crashes::table::CrashTable;
use crate::crashes::table::Standing;
use crate::crashes::wire;
use crate::events::EventNumber;
use crate::events::Subject;
use crate::ids::EndpointName;
use crate::roster::Role;
use crate::roster::poller::Roster;
use crate::supervision;
use crate::transport::Kind;
use crate::transport::Transport;

/// How long reports are collected into one message: the requests of a crashed endpoint are lost
/// within a few milliseconds of each other.
const BATCH_DELAY: Duration = Duration::from_millis(5);

/// How long a core instance may take to answer a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);

/// The delay before reports that no core instance received are sent again.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// The crashes as this entry instance knows them. They are kept in its view of the roster, which
/// merges what core instances publish.
pub struct CrashReporter {
    cx: Context,
    roster: Arc<Roster>,
    tx: mpsc::UnboundedSender<Crash>,
}

impl CrashReporter {
    /// Creates the reporter and starts the background task that sends its reports.
    pub fn start(cx: Context, roster: Arc<Roster>, transport: Arc<dyn Transport>) -> Self {
        let (tx, rx) = mpsc::unbounded_channel();
        let sender =
            ReportSender { cx: cx.clone(), roster: roster.clone(), transport, tx: tx.downgrade() };
        let sending = sender.run(rx);
        tokio::spawn(supervision::finite(cx.clone(), "send reports of crashes", sending));
        Self { cx, roster, tx }
    }

    /// Returns whether no crash is known, so that no request needs to be looked up.
    pub fn is_empty(&self) -> bool {
        self.roster.with_view(|view| view.crashes().is_empty())
    }

    /// Returns whether an incarnation of an endpoint is known to have crashed.
    pub fn has_crashed(&self, incarnation: &Incarnation) -> bool {
        self.roster.with_view(|view| view.crashes().has_crashed(incarnation))
    }

    /// Returns whether a request may be sent. Keeps a blocked request blocked for longer, here and
    /// at core instances that have restarted since.
    pub fn admit(&self, request: &RequestDigest) -> Standing {
        let now = self.cx.clock.now();
        let standing = self.roster.with_view(|view| view.crashes().standing(request, now));
        if matches!(standing, Standing::Blocked { .. }) {
            self.send(self.roster.with_crashes(|table| table.renew(request, now)));
        }
        standing
    }

    /// Returns the endpoint that a suspect is to be sent to, apart from other suspects.
    pub fn isolated_endpoint(
        &self,
        request: &RequestDigest,
        endpoints: &[EndpointName],
    ) -> Option<EndpointName> {
        let now = self.cx.clock.now();
        let suspects = self.roster.with_view(|view| view.crashes().isolated(now));
        isolation::endpoint_for(request, &suspects, endpoints)
    }

    /// Records that an endpoint crashed while it had a request; returns the number of crashes that
    /// the request is now a suspect of.
    pub fn report(&self, incarnation: Incarnation, request: RequestDigest) -> usize {
        let now = self.cx.clock.now();
        let crash = Crash::with_suspect(incarnation, request);
        let count = self.roster.with_crashes(|table: &mut CrashTable| {
            table.merge(crash.clone(), now);
            table.count(&request)
        });
        self.send(vec![crash]);
        count
    }

    /// Records that a request was answered completely.
    pub fn clear(&self, request: &RequestDigest) {
        self.send(self.roster.with_crashes(|table| table.clear(request)));
    }

    fn send(&self, reports: Vec<Crash>) {
        for report in reports {
            // Sending fails only while the process stops.
            let _ = self.tx.send(report);
        }
    }
}

#[derive(Clone)]
struct ReportSender {
    cx: Context,
    roster: Arc<Roster>,
    transport: Arc<dyn Transport>,
    /// Takes back the reports that no core instance received.
    tx: mpsc::WeakUnboundedSender<Crash>,
}

impl ReportSender {
    async fn run(self, mut rx: mpsc::UnboundedReceiver<Crash>) {
        while let Some(first) = rx.recv().await {
            tokio::time::sleep(BATCH_DELAY).await;
            let mut batch: BTreeMap<Incarnation, Crash> = BTreeMap::new();
            let mut next = Some(first);
            while let Some(mut report) = next {
                let merged = batch.entry(report.incarnation.clone()).or_insert(report.clone());
                merged.suspects.append(&mut report.suspects);
                merged.cleared.append(&mut report.cleared);
                next = rx.try_recv().ok();
            }
            // A core instance that does not answer must not delay later reports.
            let sending = self.clone().send(batch.into_values().collect());
            tokio::spawn(supervision::isolated("send a report of crashes", sending));
        }
    }

    /// Sends reports to all core instances, and again later if none received them.
    async fn send(self, reports: Vec<Crash>) {
        let message = wire::encode_report(&reports);
        let Err(cause) = self.send_to_all(message).await else {
            return;
        };
        let count = reports.len();
        let detail = format!("no core instance received {count} reports of crashes: {cause}");
        self.cx.events.record(EventNumber::CrashReportLost, Subject::default(), detail);
        tokio::time::sleep(RETRY_DELAY).await;
        if let Some(tx) = self.tx.upgrade() {
            for report in reports {
                // Sending fails only while the process stops.
                let _ = tx.send(report);
            }
        }
    }

    /// Sends a message to all core instances. One that receives it is enough, since they publish the
    /// crashes to each other.
    ///
    /// # Errors
    /// Returns the last failure if none received it.
    async fn send_to_all(&self, message: Bytes) -> Result<(), String> {
        let now = self.cx.clock.now();
        let mut calls = JoinSet::new();
        for core in self.roster.with_view(|view| view.living(Role::Core, now)) {
            let (transport, message) = (self.transport.clone(), message.clone());
            calls.spawn(async move {
                transport.call(&core.name, Kind::Crash, message, REPORT_TIMEOUT).await
            });
        }
        let mut sent = Err("none is reachable".to_owned());
        while let Some(joined) = calls.join_next().await {
            match joined {
                Ok(Ok(_)) => sent = Ok(()),
                Ok(Err(cause)) => sent = sent.map_err(|_| cause.to_string()),
                Err(cause) => sent = sent.map_err(|_| cause.to_string()),
            }
        }
        sent
    }
}
