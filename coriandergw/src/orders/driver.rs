//! Reads back what engines report and sends the orders that are due.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use futures_util::StreamExt;
use tokio::time::Instant;

use crate::context::Context;
use crate::dispatch::CallKind;
use crate::endpoints::Announcement;
use crate::endpoints::client::EndpointClient;
use crate::endpoints::directory::Directory;
use crate::events::EventNumber;
use crate::events::Subject;
use crate::orders::DesiredState;
use crate::orders::EngineState;
use crate::orders::LeaderTermSource;
use crate::orders::Order;
use crate::orders::OrderSender;
use crate::orders::TokenBucket;
use crate::orders::plan;

/// How often engines are compared with what is wanted.
const INTERVAL: Duration = Duration::from_millis(500);

/// How long an engine may take to report its state.
const STATE_TIMEOUT: Duration = Duration::from_secs(1);

/// The engines that are looked at and given orders at the same time.
pub(super) const MAX_CONCURRENT_ENGINES: usize = 32;

/// Tells what engines should be like.
pub trait DesiredStateSource: Send + Sync {
    /// Returns what an engine should be like, or `None` to leave its models and role alone.
    fn desired_state(&self, engine: &Announcement) -> Option<DesiredState>;
}

/// How orders are paced.
#[derive(Debug, Clone)]
pub struct OrderSettings {
    /// The loads that may begin at once.
    pub loads_at_once: u32,
    /// The loads a second that the weight store allows.
    pub loads_per_second: f64,
}

impl Default for OrderSettings {
    fn default() -> Self {
        Self { loads_at_once: 4, loads_per_second: 0.5 }
    }
}

/// Gives the orders of this instance while it leads.
pub struct OrderDriver {
    cx: Context,
    directory: Arc<Directory>,
    tenure: Arc<dyn LeaderTermSource>,
    wishes: Arc<dyn DesiredStateSource>,
    client: EndpointClient,
    loads: Mutex<TokenBucket>,
}

impl OrderDriver {
    /// Starts the driver in a task of its own; it acts only while this instance leads.
    pub fn start(
        cx: Context,
        directory: Arc<Directory>,
        tenure: Arc<dyn LeaderTermSource>,
        wishes: Arc<dyn DesiredStateSource>,
        settings: OrderSettings,
    ) -> tokio::task::JoinHandle<()> {
        let now = cx.clock.now();
        let driver = Self {
            loads: Mutex::new(TokenBucket::new(
                settings.loads_at_once,
                settings.loads_per_second,
                now,
            )),
            cx,
            directory,
            tenure,
            wishes,
            client: EndpointClient::default(),
        };
        tokio::spawn(async move {
            loop {
                driver.round().await;
                tokio::time::sleep(INTERVAL).await;
            }
        })
    }

    async fn round(&self) {
        if self.tenure.leader_term().is_none() {
            return;
        }
        let engines = self.directory.all(self.cx.clock.now()).into_iter();
        let engines = engines.filter(|known| known.announcement.kind == CallKind::Model);
        // Engines that nothing is wanted of are not read.
        let due = engines.filter_map(|known| {
            let wanted = self.wishes.desired_state(&known.announcement)?;
            Some(self.mend(known.announcement, wanted))
        });
        let due: Vec<_> = due.collect();
        let mut due = futures_util::stream::iter(due).buffer_unordered(MAX_CONCURRENT_ENGINES);
        while due.next().await.is_some() {}
    }

    /// Brings one engine nearer to what is wanted.
    async fn mend(&self, engine: Arc<Announcement>, wanted: DesiredState) {
        let asked = self.client.get_json(&engine, "/state");
        let Ok(Ok(raw)) = tokio::time::timeout(STATE_TIMEOUT, asked).await else {
            return;
        };
        let Ok(state) = EngineState::try_from(raw) else {
            return;
        };
        for order in self.due_orders(&wanted, &state) {
            if !self.give(&engine, &order).await {
                return;
            }
        }
    }

    fn due_orders(&self, wanted: &DesiredState, state: &EngineState) -> Vec<Order> {
        let now = self.cx.clock.now();
        let mut loads = self.loads.lock().expect("not poisoned");
        let mut orders = plan(wanted, state);
        orders.retain(|order| !matches!(order, Order::LoadModel { .. }) || loads.take(now));
        orders
    }

    /// Sends one order. Returns whether further ones may be sent to the engine in this round.
    async fn give(&self, engine: &Announcement, order: &Order) -> bool {
        // Read before the time that the lease is compared with, so that the deadline is not late.
        let started = Instant::now();
        let now = self.cx.clock.now();
        let Some(tenure) = self.tenure.leader_term() else {
            return false;
        };
        let Some(time) = tenure.time_for_order(engine.checks_fencing, now) else {
            return false;
        };
        let sent = OrderSender.send(engine, tenure.fencing, order, started + time).await;
        let result = if sent.is_ok() { "confirmed" } else { "failed" };
        self.cx.metrics.orders.with_label_values(&[order.kind(), result]).inc();
        let subject = Subject {
            peer: Some(engine.name.to_string()),
            epoch: Some(tenure.fencing.0),
            ..Subject::default()
        };
        match &sent {
            Ok(()) => self.cx.events.record(EventNumber::OrderConfirmed, subject, order.kind()),
            Err(cause) => {
                let message = format!("{}: {cause}", order.kind());
                self.cx.events.record(EventNumber::OrderFailed, subject, message);
            }
        }
        sent.is_ok()
    }
}
