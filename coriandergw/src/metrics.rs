//! Counters and histograms for Prometheus.

use prometheus::Encoder;
use prometheus::HistogramOpts;
use prometheus::HistogramVec;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGaugeVec;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;

/// The bounds of the latency histograms, in seconds.
const LATENCY_BOUNDS_SECONDS: &[f64] =
    &[0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 0.36, 1.0, 3.0, 10.0, 30.0, 100.0, 300.0];

/// The metrics of one instance.
pub struct Metrics {
    registry: Registry,
    /// Seconds from a program's creation to its end, by entry and class.
    pub program_seconds: HistogramVec,
    /// Seconds a call waited for a place, by class.
    pub queue_seconds: HistogramVec,
    /// Prompt tokens that engines found in their cache.
    pub prefix_tokens_reused: IntCounter,
    /// Prompt tokens that were computed before and had to be computed again.
    pub prefix_tokens_recomputed: IntCounter,
    /// Refusals by result code.
    pub refusals: IntCounterVec,
    /// Retries by kind of call.
    pub retries: IntCounterVec,
    /// Orders to engines by kind and result.
    pub orders: IntCounterVec,
    /// Trees of programs read back from the journal.
    pub trees_read_back: IntCounter,
    /// Seconds from a forwarded request's arrival to its end, by kind of route and outcome.
    pub request_seconds: HistogramVec,
    /// Seconds from a forwarded request's arrival to a step of it.
    pub step_seconds: HistogramVec,
    /// Connections to endpoints, opened or used again.
    pub endpoint_connections: IntCounterVec,
    /// Connections to endpoints that were to be opened, by path and outcome.
    pub endpoint_connects: IntCounterVec,
    /// Turns that were refused since engines were nearly full, by kind of turn and reason.
    pub turns_shed: IntCounterVec,
    /// Permits for requests to limited endpoints, by source and outcome.
    pub permits: IntCounterVec,
    /// What happened to kept turns on this journal instance: writes by outcome, syncs, damaged records and
    /// copies sent to other instances.
    pub kept_turns: IntCounterVec,
    /// Seconds of look-ups and writes of kept turns, by operation and result.
    pub kept_turn_seconds: HistogramVec,
    /// Requests for permits of client accounts with a limit, by account and outcome.
    pub account_permits: IntCounterVec,
    /// Background tasks that ended before the process was asked to stop, by task.
    pub tasks_failed: IntCounterVec,
    /// Partitions held and similar states, by name.
    pub states: IntGaugeVec,
    /// Bytes that clients make the process hold, by kind.
    pub memory_held: IntGaugeVec,
    /// Bodies, answers, documents and connections that were evicted or refused for want of room, by
    /// kind and reason.
    pub memory_denied: IntCounterVec,
    /// Messages of control traffic by kind and direction.
    pub control_messages: IntCounterVec,
    /// Bytes of control traffic by kind and direction.
    pub control_bytes: IntCounterVec,
}

impl Metrics {
    /// Creates and registers all metrics.
    ///
    /// # Errors
    /// Fails if a metric is registered twice, which is a fault of this module.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let histogram = |name: &str, help: &str, labels: &[&str]| {
            let opts = HistogramOpts::new(name, help).buckets(LATENCY_BOUNDS_SECONDS.to_vec());
            let metric = HistogramVec::new(opts, labels)?;
            registry.register(Box::new(metric.clone()))?;
            Ok::<_, prometheus::Error>(metric)
        };
        let counters = |name: &str, help: &str, labels: &[&str]| {
            let metric = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(metric.clone()))?;
            Ok::<_, prometheus::Error>(metric)
        };
        let counter = |name: &str, help: &str| {
            let metric = IntCounter::new(name, help)?;
            registry.register(Box::new(metric.clone()))?;
            Ok::<_, prometheus::Error>(metric)
        };
        let states = IntGaugeVec::new(Opts::new("cgw_state", "States by name"), &["name"])?;
        registry.register(Box::new(states.clone()))?;
        let memory_held = IntGaugeVec::new(
            Opts::new("cgw_memory_held_bytes", "Bytes that clients make the process hold"),
            &["kind"],
        )?;
        registry.register(Box::new(memory_held.clone()))?;
        Ok(Self {
            memory_held,
            memory_denied: counters(
                "cgw_memory_denied_total",
                "What was evicted or refused for want of room",
                &["kind", "reason"],
            )?,
            program_seconds: histogram(
                "cgw_program_seconds",
                "Seconds from a program's creation to its end",
                &["entry", "class"],
            )?,
            queue_seconds: histogram(
                "cgw_queue_seconds",
                "Seconds that a call waited for a place",
                &["class"],
            )?,
            trees_read_back: counter(
                "cgw_trees_read_back_total",
                "Trees of programs read back from the journal",
            )?,
            prefix_tokens_reused: counter(
                "cgw_prefix_tokens_reused_total",
                "Prompt tokens found in an engine's cache",
            )?,
            prefix_tokens_recomputed: counter(
                "cgw_prefix_tokens_recomputed_total",
                "Prompt tokens that had to be computed again",
            )?,
            request_seconds: histogram(
                "cgw_request_seconds",
                "Seconds from a forwarded request's arrival to its end",
                &["kind", "outcome"],
            )?,
            step_seconds: histogram(
                "cgw_request_step_seconds",
                "Seconds from a forwarded request's arrival to a step of it",
                &["step"],
            )?,
            kept_turn_seconds: histogram(
                "cgw_kept_turn_seconds",
                "Seconds of look-ups and writes of kept turns",
                &["operation", "result"],
            )?,
            endpoint_connections: counters(
                "cgw_endpoint_connections_total",
                "Connections to endpoints, opened or used again",
                &["use"],
            )?,
            endpoint_connects: counters(
                "cgw_endpoint_connects_total",
                "Connections to endpoints that were to be opened",
                &["path", "outcome"],
            )?,
            turns_shed: counters(
                "cgw_turns_shed_total",
                "Turns that were refused since engines were nearly full",
                &["kind", "reason"],
            )?,
            permits: counters(
                "cgw_permits_total",
                "Permits for requests to limited endpoints",
                &["source", "outcome"],
            )?,
            kept_turns: counters(
                "cgw_kept_turns_total",
                "Kept turns on a journal instance by what happened",
                &["what"],
            )?,
            account_permits: counters(
                "cgw_account_permits_total",
                "Requests for permits of client accounts with a limit",
                &["account", "outcome"],
            )?,
            refusals: counters("cgw_refusals_total", "Refusals by result code", &["code"])?,
            retries: counters("cgw_retries_total", "Retries by kind of call", &["kind"])?,
            orders: counters("cgw_orders_total", "Orders to engines", &["kind", "result"])?,
            control_messages: counters(
                "cgw_control_messages_total",
                "Messages between instances",
                &["kind", "direction"],
            )?,
            control_bytes: counters(
                "cgw_control_bytes_total",
                "Payload bytes between instances",
                &["kind", "direction"],
            )?,
            tasks_failed: counters(
                "cgw_tasks_failed_total",
                "Background tasks that ended before the process was asked to stop",
                &["task"],
            )?,
            states,
            registry,
        })
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        let mut buf = Vec::new();
        // Writing to a Vec cannot fail; an encoding fault leaves the text short.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut buf);
        String::from_utf8_lossy(&buf).into_owned()
    }
}
