//! Reconciles engines: reads their reported state and sends the orders that are due.

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
use crate::orders::plan;
use crate::supervision;
use crate::token_bucket::TokenBucket;

/// The pause between two reconciliation rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(500);

/// The time limit for reading the state of one engine.
const STATE_TIMEOUT: Duration = Duration::from_secs(1);

/// The most engines that are reconciled concurrently.
pub(super) const MAX_CONCURRENT_ENGINES: usize = 32;

/// Provides the desired state of engines.
pub trait DesiredStateSource: Send + Sync {
    /// Returns the desired state of an engine, or `None` to leave its models and role unchanged.
    fn desired_state(&self, engine: &Announcement) -> Option<DesiredState>;
}

/// The rate limit of load orders.
#[derive(Debug, Clone)]
pub struct OrderSettings {
    /// The burst size: the load orders that may be sent at once.
    pub loads_at_once: u32,
    /// The load orders per second that the weight store can sustain.
    pub loads_per_second: f64,
}

impl Default for OrderSettings {
    fn default() -> Self {
        Self { loads_at_once: 4, loads_per_second: 0.5 }
    }
}

/// Sends orders to engines while this instance is the control leader.
pub struct OrderDriver {
    cx: Context,
    directory: Arc<Directory>,
    term_source: Arc<dyn LeaderTermSource>,
    desired: Arc<dyn DesiredStateSource>,
    client: EndpointClient,
    load_limiter: Mutex<TokenBucket>,
}

impl OrderDriver {
    /// Spawns the driver as a task; it sends orders only while this instance leads.
    pub fn start(
        cx: Context,
        directory: Arc<Directory>,
        term_source: Arc<dyn LeaderTermSource>,
        desired: Arc<dyn DesiredStateSource>,
        settings: OrderSettings,
    ) -> tokio::task::JoinHandle<()> {
        let now = cx.clock.now();
        let driver = Self {
            load_limiter: Mutex::new(TokenBucket::new(
                f64::from(settings.loads_at_once),
                settings.loads_per_second,
                now,
            )),
            cx,
            directory,
            term_source,
            desired,
            client: EndpointClient::default(),
        };
        let cx = driver.cx.clone();
        let sending = async move {
            loop {
                driver.round().await;
                tokio::time::sleep(ROUND_INTERVAL).await;
            }
        };
        tokio::spawn(supervision::essential(cx, "send orders to engines", sending))
    }

    async fn round(&self) {
        if self.term_source.leader_term().is_none() {
            return;
        }
        let engines = self.directory.all(self.cx.clock.now()).into_iter();
        let engines = engines.filter(|known| known.announcement.kind == CallKind::Model);
        // Engines without a desired state are skipped without reading their state.
        let due = engines.filter_map(|known| {
            let desired = self.desired.desired_state(&known.announcement)?;
            Some(self.reconcile(known.announcement, desired))
        });
        let due: Vec<_> = due.collect();
        let mut due = futures_util::stream::iter(due).buffer_unordered(MAX_CONCURRENT_ENGINES);
        while due.next().await.is_some() {}
    }

    /// Reads the state of one engine and sends the orders that are due.
    ///
    /// An engine whose state cannot be read is retried in the next round.
    async fn reconcile(&self, engine: Arc<Announcement>, desired: DesiredState) {
        let request = self.client.get_json(&engine, "/state");
        let Ok(Ok(raw)) = tokio::time::timeout(STATE_TIMEOUT, request).await else {
            return;
        };
        let Ok(state) = EngineState::try_from(raw) else {
            return;
        };
        for order in self.due_orders(&desired, &state) {
            if !self.send_order(&engine, &order).await {
                return;
            }
        }
    }

    fn due_orders(&self, desired: &DesiredState, state: &EngineState) -> Vec<Order> {
        let now = self.cx.clock.now();
        let mut load_limiter = self.load_limiter.lock().expect("not poisoned");
        let mut orders = plan(desired, state);
        orders.retain(|order| !matches!(order, Order::LoadModel { .. }) || load_limiter.take(now));
        orders
    }

    /// Sends one order and records the result.
    ///
    /// Returns `false` if no more orders may be sent to the engine in this round.
    async fn send_order(&self, engine: &Announcement, order: &Order) -> bool {
        // Taken before `now`, which is compared with the lease, so that the deadline is never after
        // the end of the lease.
        let started = Instant::now();
        let now = self.cx.clock.now();
        let Some(term) = self.term_source.leader_term() else {
            return false;
        };
        let Some(timeout) = term.time_for_order(engine.checks_fencing, now) else {
            return false;
        };
        let sent = OrderSender.send(engine, term.fencing, order, started + timeout).await;
        let result = if sent.is_ok() { "confirmed" } else { "failed" };
        self.cx.metrics.orders.with_label_values(&[order.kind(), result]).inc();
        let subject = Subject {
            peer: Some(engine.name.to_string()),
            epoch: Some(term.fencing.0),
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
