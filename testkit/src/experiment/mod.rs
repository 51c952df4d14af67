//! Compares policies: real dispatchers before fake engines in scaled real time.

pub mod policy;
mod programs;
mod rows;
mod site;
mod workload;

use serde_json::Value;
use serde_json::json;

use crate::experiment::policy::Policy;
use crate::experiment::rows::Row;
use crate::experiment::site::Site;
pub use crate::experiment::workload::Deployment;

/// What to compare.
#[derive(Debug, Clone)]
pub struct Options {
    /// The deployment to take the load of.
    pub deployment: Deployment,
    /// The policies.
    pub policies: Vec<Policy>,
    /// How many seeds each policy runs with; the same for all.
    pub seeds: u64,
    /// The part of the engines' capacity that the programs ask for if every prefix is cached.
    pub load: f64,
    /// The engines' seconds in which programs arrive.
    pub seconds: f64,
    /// The real seconds that one second of the engines takes.
    pub time_scale: f64,
}

impl Options {
    /// Returns the usual options of a deployment; `quick` ones take less time.
    pub fn new(deployment: Deployment, quick: bool) -> Self {
        Self {
            deployment,
            policies: Policy::ALL.to_vec(),
            seeds: if quick { 2 } else { 10 },
            load: 0.8,
            seconds: if quick { 20.0 } else { 40.0 },
            time_scale: 0.2,
        }
    }
}

/// Runs all policies with paired seeds and returns one row a policy and class.
///
/// # Errors
/// Fails if no port can be bound.
pub async fn run(options: Options) -> std::io::Result<Value> {
    let mut finished = vec![Vec::new(); options.policies.len()];
    // One seed after the other, so that other load on the machine meets all policies alike.
    for seed in 1..=options.seeds {
        for (policy, finished) in options.policies.iter().zip(&mut finished) {
            let programs = workload::generate(&options, seed);
            let site = Site::start(&options, *policy, seed).await?;
            finished.push(programs::run_all(&site, programs, options.time_scale).await);
        }
    }
    let of_policies = options.policies.iter().zip(&finished);
    let rows: Vec<Row> = of_policies
        .flat_map(|(policy, finished)| rows::summarise(policy.name(), finished))
        .collect();
    Ok(json!({"deployment": options.deployment.name(), "load": options.load, "rows": rows}))
}
