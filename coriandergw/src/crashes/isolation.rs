//! Chooses endpoints for suspects, so that no two of them run on the same one.

use crate::crashes::RequestDigest;
use crate::ids::EndpointName;
use crate::rendezvous::hash_of;

/// Returns the endpoint that a request is to be sent to if its class is among `suspects`. All instances that know the same suspects
/// and endpoints choose the same one, and different ones for different suspects while there are
/// enough endpoints.
pub fn endpoint_for(
    request: &RequestDigest,
    suspects: &[RequestDigest],
    endpoints: &[EndpointName],
) -> Option<EndpointName> {
    let mut free: Vec<&EndpointName> = endpoints.iter().collect();
    for suspect in suspects {
        if free.is_empty() {
            free = endpoints.iter().collect();
        }
        let key = suspect.to_string();
        let heaviest = (0..free.len()).max_by_key(|at| hash_of(&key, free[*at].as_str()))?;
        let chosen = free.swap_remove(heaviest);
        if suspect.has_class_of(request) {
            return Some(chosen.clone());
        }
    }
    None
}

#[cfg(test)]
mod tests;
