//! Computes how many copies of each model to keep loaded within a memory budget.

use crate::ids::TargetName;

/// The observed demand for a model and the cost of one copy.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelDemand {
    /// The model.
    pub model: TargetName,
    /// The mean number of calls in flight.
    pub mean_concurrency: f64,
    /// The recent peak of calls in flight.
    pub peak_concurrency: f64,
    /// The calls that one copy can serve concurrently.
    pub capacity: u32,
    /// The memory of one copy, in the unit of the budget.
    pub memory: u64,
}

impl ModelDemand {
    fn needed_copies(&self, concurrency: f64) -> u32 {
        (concurrency / f64::from(self.capacity.max(1))).ceil().max(1.0) as u32
    }
}

/// Allocates copies for the peak concurrency of each model, the most loaded model first.
///
/// Each model gets one copy, even if these exceed the budget. Each further step adds a copy to the
/// model with the highest peak load per slot, until all peaks are covered or no needed copy fits
/// into the budget (Scarlett, EuroSys 2011, sections 3.1 and 3.2).
pub fn copies_by_peak(demands: &[ModelDemand], memory_budget: u64) -> Vec<u32> {
    allocate(demands, memory_budget, |demand| demand.peak_concurrency)
}

/// Adds copies to the most loaded model until each covers its `concurrency` or no needed copy fits.
pub(super) fn allocate<F>(demands: &[ModelDemand], memory_budget: u64, concurrency: F) -> Vec<u32>
where
    F: Fn(&ModelDemand) -> f64,
{
    let mut copies = vec![1; demands.len()];
    let base_memory: u64 = demands.iter().map(|demand| demand.memory).sum();
    let mut remaining = memory_budget.saturating_sub(base_memory);
    loop {
        let load_per_slot = |index: usize| {
            let demand = &demands[index];
            concurrency(demand) / (f64::from(copies[index]) * f64::from(demand.capacity.max(1)))
        };
        let next = (0..demands.len())
            .filter(|index| demands[*index].memory <= remaining)
            .filter(|index| {
                let demand = &demands[*index];
                copies[*index] < demand.needed_copies(concurrency(demand))
            })
            .max_by(|a, b| load_per_slot(*a).total_cmp(&load_per_slot(*b)));
        let Some(index) = next else {
            return copies;
        };
        copies[index] += 1;
        remaining -= demands[index].memory;
    }
}
