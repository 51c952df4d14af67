//! Measures the control traffic and its cost in idle clusters of several sizes.

use std::collections::BTreeMap;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use tokio::time::Instant;

use crate::bench::fit;
use crate::bench::resources;
use crate::cluster::Cluster;
use crate::cluster::ClusterOptions;
use crate::cluster::OPERATOR_KEY;
use crate::http::Call;
use crate::http::Client;
use crate::wait;

/// The metric that counts the messages between instances.
const MESSAGES: &str = "cgw_control_messages_total";

/// The metric that counts the payload bytes between instances.
const BYTES: &str = "cgw_control_bytes_total";

/// What is measured in which clusters.
#[derive(Debug, Clone)]
pub struct ControlOptions {
    /// The numbers of instances.
    pub sizes: Vec<usize>,
    /// The store instances of each cluster.
    pub stores: usize,
    /// The data centres of each cluster.
    pub data_centres: usize,
    /// The groups of program journals.
    pub journal_groups: u32,
    /// How long a cluster is left alone after all its instances have homes' partitions.
    pub settle: Duration,
    /// How long is counted.
    pub quiet: Duration,
    /// The seed of the proxies.
    pub seed: u64,
}

impl ControlOptions {
    fn cluster(&self, instances: usize) -> ClusterOptions {
        let groups = format!("journal_groups = {}", self.journal_groups);
        ClusterOptions {
            instances,
            stores: self.stores,
            data_centres: self.data_centres,
            extra: vec![("cluster".to_owned(), groups)],
            seed: self.seed,
            ..ClusterOptions::default()
        }
    }
}

/// Measures every size and fits a line for each role and quantity.
pub async fn control(options: &ControlOptions) -> Value {
    let mut rows = Vec::new();
    for instances in &options.sizes {
        rows.extend(measure(options, *instances).await);
    }
    json!({"rows": rows, "lines": lines(&rows)})
}

async fn measure(options: &ControlOptions, instances: usize) -> Vec<Value> {
    let cluster = Cluster::start(options.cluster(instances)).await;
    let status = wait::find("the partitions are spread", || spread(&cluster)).await;
    tokio::time::sleep(options.settle).await;
    let started = Instant::now();
    let before = snapshot(&cluster).await;
    tokio::time::sleep(options.quiet).await;
    let seconds = started.elapsed().as_secs_f64();
    let after = snapshot(&cluster).await;
    let roles = Roles::of(&status, options.stores);
    let load = load_average();
    let row = |(before, after): (&Snapshot, &Snapshot)| {
        let mut row = after.since(before, seconds);
        row["instances"] = json!(instances);
        row["role"] = json!(roles.role(&after.name));
        row["load_average"] = json!(load);
        row
    };
    before.iter().zip(&after).map(row).collect()
}

/// Returns the status once every instance has partitions.
async fn spread(cluster: &Cluster) -> Option<Value> {
    let names = cluster.names();
    let url = format!("http://{}/v1/status", cluster.direct_address(&names[0]));
    let call = Call::new(hyper::Method::GET, &url).bearer(OPERATOR_KEY);
    let status = Client::default().send(call).await.ok()?.json();
    let listed = status["instances"].as_array()?;
    let with_partitions =
        listed.iter().filter(|instance| instance["partitions"].as_u64().unwrap_or(0) > 0);
    (with_partitions.count() == names.len() && status["leader"].is_string()).then_some(status)
}

/// Which instance has which duty.
pub(super) struct Roles {
    leader: String,
    relays: Vec<String>,
    stores: Vec<String>,
}

impl Roles {
    /// Reads the roles from the status of a cluster whose first instances are the stores.
    pub(super) fn of(status: &Value, stores: usize) -> Self {
        let mut relays = BTreeMap::<String, String>::new();
        let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
        for instance in status["instances"].as_array().into_iter().flatten() {
            let name = text(&instance["name"]);
            let relay = relays.entry(text(&instance["data_centre"])).or_insert(name.clone());
            if name < *relay {
                *relay = name;
            }
        }
        Self {
            leader: text(&status["leader"]),
            relays: relays.into_values().collect(),
            stores: (1..=stores).map(|number| format!("e{number}")).collect(),
        }
    }

    /// Returns the heaviest duty of an instance.
    pub(super) fn role(&self, name: &str) -> &'static str {
        let is_in = |names: &[String]| names.iter().any(|listed| listed == name);
        match () {
            () if name == self.leader => "leader",
            () if is_in(&self.stores) => "store",
            () if is_in(&self.relays) => "relay",
            () => "entry",
        }
    }
}

struct Snapshot {
    name: String,
    metrics: String,
    usage: resources::Usage,
    wake_ups: u64,
}

impl Snapshot {
    fn since(&self, before: &Snapshot, seconds: f64) -> Value {
        let rate = |metric: &str| {
            (sum_of(&self.metrics, metric) - sum_of(&before.metrics, metric)) / seconds
        };
        let (later, earlier) = (by_kind(&self.metrics, BYTES), by_kind(&before.metrics, BYTES));
        let kinds: BTreeMap<String, f64> = later
            .into_iter()
            .map(|(kind, bytes)| {
                let rate = (bytes - earlier.get(&kind).unwrap_or(&0.0)) / seconds;
                (kind, rate)
            })
            .collect();
        json!({
            "instance": self.name,
            "sent_bytes_per_second": rate(BYTES),
            "sent_bytes_per_second_by_kind": kinds,
            "sent_messages_per_second": rate(MESSAGES),
            "core_share": (self.usage.cpu_seconds - before.usage.cpu_seconds) / seconds,
            "wake_ups_per_second": self.wake_ups.saturating_sub(before.wake_ups) as f64 / seconds,
            "resident_kib": self.usage.resident_kib,
        })
    }
}

async fn snapshot(cluster: &Cluster) -> Vec<Snapshot> {
    let mut all = Vec::new();
    for name in cluster.names() {
        let url = format!("http://{}/metrics", cluster.direct_address(&name));
        let answer = crate::http::get(&url).await.expect("an answer");
        let process = cluster.process_id(&name);
        all.push(Snapshot {
            metrics: String::from_utf8_lossy(&answer.body).into_owned(),
            usage: resources::usage(process),
            wake_ups: resources::wake_ups(process),
            name,
        });
    }
    all
}

/// Adds up what was sent, over all kinds of message.
pub(super) fn sum_of(metrics: &str, name: &str) -> f64 {
    by_kind(metrics, name).values().sum()
}

/// Returns what was sent of each kind of message.
fn by_kind(metrics: &str, name: &str) -> BTreeMap<String, f64> {
    let sent = metrics.lines().filter(|line| line.starts_with(name) && line.contains("\"sent\""));
    let parsed = sent.filter_map(|line| {
        let kind = line.split_once("kind=\"")?.1.split_once('"')?.0;
        Some((kind.to_owned(), line.rsplit_once(' ')?.1.parse::<f64>().ok()?))
    });
    parsed.collect()
}

/// Fits a line over the number of instances for each role and quantity.
fn lines(rows: &[Value]) -> Value {
    let quantities =
        ["core_share", "sent_bytes_per_second", "sent_messages_per_second", "resident_kib"];
    let mut lines = json!({});
    for role in ["entry", "relay", "store", "leader"] {
        for quantity in quantities {
            let of_role = rows.iter().filter(|row| row["role"] == role);
            let point = |row: &Value| Some((row["instances"].as_f64()?, row[quantity].as_f64()?));
            let points: Vec<(f64, f64)> = of_role.filter_map(point).collect();
            lines[role][quantity] = json!(fit::line(&points));
        }
    }
    lines
}

fn load_average() -> f64 {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split_whitespace().next().and_then(|number| number.parse().ok()).unwrap_or(0.0)
}
