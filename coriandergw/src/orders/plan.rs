//! Computes the orders that bring an engine from its reported to its desired state.

use crate::ids::TargetName;
use crate::orders::DesiredState;
use crate::orders::EngineState;
use crate::orders::ModelVersion;
use crate::orders::Order;

/// Returns the orders that are due now.
///
/// A version that is no longer desired is unloaded only once all desired versions of the same
/// model are served.
pub fn plan(desired: &DesiredState, reported: &EngineState) -> Vec<Order> {
    let mut orders = Vec::new();
    if desired.role != reported.role {
        orders.push(Order::SetRole { role: desired.role });
    }
    for ModelVersion { model, version } in &desired.models {
        if !holds(reported, model, version) {
            orders.push(Order::LoadModel { model: model.clone(), version: version.clone() });
        }
    }
    for loaded in &reported.models {
        let ModelVersion { model, version } = &loaded.version;
        if !desired.models.contains(&loaded.version) && is_replaced(desired, reported, model) {
            orders.push(Order::UnloadModel { model: model.clone(), version: version.clone() });
        }
    }
    orders
}

fn holds(reported: &EngineState, model: &TargetName, version: &str) -> bool {
    let held = |one: &ModelVersion| one.model == *model && one.version == version;
    reported.models.iter().any(|loaded| held(&loaded.version))
}

fn is_replaced(desired: &DesiredState, reported: &EngineState, model: &TargetName) -> bool {
    let serves = |version: &ModelVersion| {
        reported.models.iter().any(|loaded| loaded.version == *version && !loaded.loading)
    };
    desired.models.iter().filter(|version| version.model == *model).all(serves)
}
