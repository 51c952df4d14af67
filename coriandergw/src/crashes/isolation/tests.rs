//! Tests of the choice of endpoints for suspects.

use std::collections::BTreeSet;

use bytes::Bytes;
use hyper::Method;

use crate::crashes::RequestDigest;
use crate::crashes::isolation::endpoint_for;
use crate::ids::EndpointName;

fn suspects(count: usize) -> Vec<RequestDigest> {
    let digest =
        |number| RequestDigest::of(&Method::GET, "h", &format!("/{number}"), &Bytes::new());
    let mut suspects: Vec<RequestDigest> = (0..count).map(digest).collect();
    suspects.sort_unstable();
    suspects
}

fn endpoints(count: usize) -> Vec<EndpointName> {
    (0..count).map(|number| EndpointName::try_from(format!("e{number}")).expect("a name")).collect()
}

// Guards against a third crash with two suspects, which does not tell which of them is to blame.
#[test]
fn suspects_are_sent_to_different_endpoints_at_all_instances() {
    let (suspects, mut endpoints) = (suspects(8), endpoints(8));
    let choose = |endpoints: &[EndpointName]| -> Vec<Option<EndpointName>> {
        suspects.iter().map(|one| endpoint_for(one, &suspects, endpoints)).collect()
    };
    let chosen = choose(&endpoints);
    assert_eq!(chosen.iter().flatten().collect::<BTreeSet<_>>().len(), suspects.len());
    // Each instance has its own order of preference.
    endpoints.reverse();
    assert_eq!(choose(&endpoints), chosen);
}

#[test]
fn more_suspects_than_endpoints_share_them() {
    let (suspects, endpoints) = (suspects(5), endpoints(2));
    assert!(suspects.iter().all(|one| endpoint_for(one, &suspects, &endpoints).is_some()));
    assert_eq!(endpoint_for(&suspects[0], &suspects[1..], &endpoints), None);
    assert_eq!(endpoint_for(&suspects[0], &suspects, &[]), None);
}
