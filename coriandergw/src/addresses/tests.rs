use std::collections::BTreeMap;

use super::*;
use crate::control::Instance;
use crate::control::InstanceState;
use crate::ids::Epoch;
use crate::ids::InstanceName;
use crate::membership::Liveness;

const TTL: Duration = Duration::from_secs(10);

fn data_centre(number: u32) -> DataCentre {
    DataCentre::try_from(format!("dc{number}")).unwrap()
}

/// Builds instances 1 to `count`, spread over three data centres.
fn instances(count: u32) -> Vec<Instance> {
    let instance = |index: u32| Instance {
        index,
        name: InstanceName::try_from(format!("i{index:03}")).unwrap(),
        data_centre: data_centre(index % 3),
        caller_address: ([10, 0, 0, index as u8], 80).into(),
        peer_address: ([10, 0, 1, index as u8], 80).into(),
        state: InstanceState::Alive,
        incarnation: 1,
        registered_epoch: Epoch(0),
        session: 0,
        since_wall_ms: 0,
    };
    (1..=count).map(instance).collect()
}

/// A liveness that avoids the instances with these names.
struct Avoided(&'static [&'static str]);

impl Liveness for Avoided {
    fn is_avoided(&self, name: &InstanceName) -> bool {
        self.0.contains(&name.as_str())
    }
}

fn choose(instances: &[Instance], seed: u64) -> Vec<Address> {
    choose_avoiding(instances, seed, &[])
}

fn choose_avoiding(
    instances: &[Instance],
    seed: u64,
    avoided: &'static [&'static str],
) -> Vec<Address> {
    let avoided = Avoided(avoided);
    choose_addresses(instances, &data_centre(1), seed, TTL, &avoided).addresses
}

#[test]
fn avoided_instances_are_excluded() {
    let all = instances(9);
    for seed in 0..50 {
        let chosen = choose_avoiding(&all, seed, &["i001", "i002"]);
        let is_chosen = |at: usize| chosen.iter().any(|one| one.address == all[at].caller_address);
        assert!(!is_chosen(0) && !is_chosen(1), "{chosen:?}");
        assert_eq!(chosen.len(), ADDRESSES_MAX);
    }
}

#[test]
fn callers_get_addresses_even_if_all_other_instances_are_avoided() {
    let chosen = choose_avoiding(&instances(4), 3, &["i002", "i003", "i004"]);
    let mut centres: Vec<_> = chosen.iter().map(|one| one.data_centre.as_str()).collect();
    assert_eq!(centres[0], "dc1");
    centres.sort_unstable();
    assert_eq!(centres, ["dc0", "dc1", "dc2"], "i001 and both instances of other data centres");
    let chosen = choose_avoiding(&instances(2), 3, &["i001", "i002"]);
    assert_eq!(chosen.len(), 2);
}

#[test]
fn the_nearest_data_centre_comes_first_and_another_one_last() {
    let chosen = choose(&instances(30), 7);
    let centres: Vec<_> = chosen.iter().map(|address| address.data_centre.as_str()).collect();
    assert_eq!(centres[..4], ["dc1"; 4]);
    assert_ne!(centres[4], "dc1");
    assert_eq!(chosen.len(), ADDRESSES_MAX);
}

#[test]
fn leaving_and_dead_instances_are_excluded() {
    let mut all = instances(4);
    all[0].state = InstanceState::Leaving;
    all[1].state = InstanceState::Dead;
    let chosen = choose(&all, 0);
    let addresses: Vec<_> = chosen.iter().map(|address| address.address).collect();
    assert_eq!(addresses, [all[3].caller_address, all[2].caller_address]);
    assert!(choose(&[], 3).is_empty());
}

#[test]
fn callers_are_spread_evenly_over_their_first_and_second_address() {
    let all = instances(30);
    let mut first = BTreeMap::<SocketAddr, usize>::new();
    let mut second = BTreeMap::<(SocketAddr, SocketAddr), usize>::new();
    for caller in 0..6_000_u32 {
        let seed = caller_seed(IpAddr::from(caller.to_be_bytes()));
        let chosen = choose(&all, seed);
        *first.entry(chosen[0].address).or_default() += 1;
        *second.entry((chosen[0].address, chosen[1].address)).or_default() += 1;
    }
    assert_eq!((first.len(), second.len()), (10, 90));
    assert!(first.values().all(|count| (500..700).contains(count)), "{first:?}");
    assert!(second.values().all(|count| (35..110).contains(count)), "{second:?}");
}

#[test]
fn an_answer_is_serialised_as_callers_expect() {
    let answer = choose_addresses(&instances(1), &data_centre(1), 0, TTL, &Avoided(&[]));
    let json = serde_json::to_value(&answer).unwrap();
    let expected = serde_json::json!({
        "addresses": [{"address": "10.0.0.1:80", "data_centre": "dc1"}],
        "ttl_ms": 10_000,
    });
    assert_eq!(json, expected);
}
