//! Reads back what engines report and sends the orders that are due.

use std::sync::Arc;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::context::Context;
use crate::dispatch::CallKind;
use crate::endpoints::Announcement;
use crate::endpoints::client::EndpointClient;
use crate::endpoints::directory::Directory;
use crate::events::EventNumber;
use crate::events::Subject;
use crate::orders::EngineState;
use crate::orders::Order;
use crate::orders::OrderSender;
use crate::orders::TenureSource;
use crate::orders::TokenBucket;
use crate::orders::WantedState;
use crate::orders::plan;

/// How often engines are compared with what is wanted.
const INTERVAL: Duration = Duration::from_millis(500);

/// How long an engine may take to report its state.
const STATE_TIMEOUT: Duration = Duration::from_secs(1);

/// Tells what engines should be like.
pub trait Wishes: Send + Sync {
    /// Returns what an engine should be like, or `None` to leave its models and role alone.
    fn wanted(&self, engine: &Announcement) -> Option<WantedState>;
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
    tenure: Arc<dyn TenureSource>,
    wishes: Arc<dyn Wishes>,
    client: EndpointClient,
    loads: TokenBucket,
}

impl OrderDriver {
    /// Starts the driver in a task of its own; it acts only while this instance leads.
    pub fn start(
        cx: Context,
        directory: Arc<Directory>,
        tenure: Arc<dyn TenureSource>,
        wishes: Arc<dyn Wishes>,
        settings: OrderSettings,
    ) -> tokio::task::JoinHandle<()> {
        let now = cx.clock.now();
        let mut driver = Self {
            loads: TokenBucket::new(settings.loads_at_once, settings.loads_per_second, now),
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

    async fn round(&mut self) {
        for known in self.directory.all(self.cx.clock.now()) {
            if self.tenure.tenure().is_none() {
                return;
            }
            if known.announcement.kind == CallKind::Model {
                self.mend(&known.announcement).await;
            }
        }
    }

    /// Brings one engine nearer to what is wanted.
    async fn mend(&mut self, engine: &Announcement) {
        let asked = self.client.get_json(engine, "/state");
        let Ok(Ok(raw)) = tokio::time::timeout(STATE_TIMEOUT, asked).await else {
            return;
        };
        let Ok(state) = EngineState::try_from(raw) else {
            return;
        };
        for order in self.orders_for(engine, &state) {
            if !self.give(engine, &order).await {
                return;
            }
        }
    }

    fn orders_for(&mut self, engine: &Announcement, state: &EngineState) -> Vec<Order> {
        let wanted = self.wishes.wanted(engine);
        let mut orders = wanted.map(|wanted| plan(&wanted, state)).unwrap_or_default();
        let now = self.cx.clock.now();
        orders.retain(|order| !matches!(order, Order::LoadModel { .. }) || self.loads.take(now));
        orders
    }

    /// Sends one order. Returns whether further ones may be sent to the engine in this round.
    async fn give(&self, engine: &Announcement, order: &Order) -> bool {
        let now: Timestamp = self.cx.clock.now();
        let Some(tenure) = self.tenure.tenure() else {
            return false;
        };
        let Some(time) = tenure.time_for_order(engine.checks_fencing, now) else {
            return false;
        };
        let sent = OrderSender.send(engine, tenure.fencing, order, time).await;
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
