//! Works out which orders bring an engine from what it reports to what is wanted.

use crate::ids::TargetName;
use crate::orders::DesiredState;
use crate::orders::EngineState;
use crate::orders::ModelVersion;
use crate::orders::Order;

/// Returns the orders that are due now.
///
/// A version that is no longer wanted is kept until all wanted versions of the same model serve.
pub fn plan(wanted: &DesiredState, reported: &EngineState) -> Vec<Order> {
    let mut orders = Vec::new();
    if wanted.role != reported.role {
        orders.push(Order::SetRole { role: wanted.role });
    }
    for ModelVersion { model, version } in &wanted.models {
        if !holds(reported, model, version) {
            orders.push(Order::LoadModel { model: model.clone(), version: version.clone() });
        }
    }
    for loaded in &reported.models {
        let ModelVersion { model, version } = &loaded.version;
        if !wanted.models.contains(&loaded.version) && is_replaced(wanted, reported, model) {
            orders.push(Order::UnloadModel { model: model.clone(), version: version.clone() });
        }
    }
    orders
}

fn holds(reported: &EngineState, model: &TargetName, version: &str) -> bool {
    let held = |one: &ModelVersion| one.model == *model && one.version == version;
    reported.models.iter().any(|loaded| held(&loaded.version))
}

fn is_replaced(wanted: &DesiredState, reported: &EngineState, model: &TargetName) -> bool {
    let serves = |version: &ModelVersion| {
        reported.models.iter().any(|loaded| loaded.version == *version && !loaded.loading)
    };
    wanted.models.iter().filter(|version| version.model == *model).all(serves)
}
