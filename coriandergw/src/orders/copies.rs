//! How many copies of each model to keep loaded within a memory budget.

use crate::ids::TargetName;

/// What is known of the demand for a model.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelDemand {
    /// The model.
    pub model: TargetName,
    /// The calls that were in flight on average.
    pub mean_concurrency: f64,
    /// The most calls that were in flight at once lately.
    pub peak_concurrency: f64,
    /// The calls that one copy works on at once.
    pub capacity: u32,
    /// The memory that one copy takes, in any unit.
    pub memory: u64,
}

impl ModelDemand {
    fn needed_copies(&self, concurrency: f64) -> u32 {
        (concurrency / f64::from(self.capacity.max(1))).ceil().max(1.0) as u32
    }
}

/// Gives each model copies for its peak concurrency, the most crowded model first.
///
/// Each step adds a copy to the model with the most calls a copy at its peak, as long as the
/// budget lasts and the peak needs it (Scarlett, EuroSys 2011, sections 3.1 and 3.2).
pub fn copies_by_peak(demands: &[ModelDemand], memory_budget: u64) -> Vec<u32> {
    grow(demands, memory_budget, |demand| demand.peak_concurrency)
}

/// Adds copies to the most crowded model until each carries its `concurrency` or the budget ends.
pub(super) fn grow<F>(demands: &[ModelDemand], memory_budget: u64, concurrency: F) -> Vec<u32>
where
    F: Fn(&ModelDemand) -> f64,
{
    let mut copies = vec![1; demands.len()];
    let first: u64 = demands.iter().map(|demand| demand.memory).sum();
    let mut left = memory_budget.saturating_sub(first);
    loop {
        let crowding = |index: usize| {
            let demand = &demands[index];
            concurrency(demand) / (f64::from(copies[index]) * f64::from(demand.capacity.max(1)))
        };
        let next = (0..demands.len())
            .filter(|index| demands[*index].memory <= left)
            .filter(|index| {
                let demand = &demands[*index];
                copies[*index] < demand.needed_copies(concurrency(demand))
            })
            .max_by(|a, b| crowding(*a).total_cmp(&crowding(*b)));
        let Some(index) = next else {
            return copies;
        };
        copies[index] += 1;
        left -= demands[index].memory;
    }
}
