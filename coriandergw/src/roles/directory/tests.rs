//! Tests of the choice of a core instance for redirects.

use std::net::IpAddr;

use crate::ids::DataCentre;
use crate::roles::directory::choose_core;
use crate::roster::Presence;
use crate::roster::Role;
use crate::test_support::presence;

fn data_centre(name: &str) -> DataCentre {
    DataCentre::try_from(name).expect("a name")
}

fn core(last: u8, in_data_centre: &str) -> Presence {
    let name = format!("10.0.0.{last}:7000/0");
    Presence { role: Role::Core, data_centre: data_centre(in_data_centre), ..presence(&name) }
}

fn ip(last: u8) -> Option<IpAddr> {
    Some(IpAddr::from([10, 0, 0, last]))
}

#[test]
fn the_core_instance_of_the_own_data_centre_comes_first() {
    let living = [core(1, "a"), core(2, "b"), core(3, "c")];
    assert_eq!(choose_core(&living, "10.0.1.1:7000/x", &data_centre("b")), ip(2));
}

#[test]
fn a_leaving_core_instance_is_not_chosen() {
    let leaving = Presence { leaving: true, ..core(2, "b") };
    let living = [core(1, "a"), leaving];
    assert_eq!(choose_core(&living, "10.0.1.1:7000/x", &data_centre("b")), ip(1));
    assert_eq!(choose_core(&[], "10.0.1.1:7000/x", &data_centre("b")), None);
}

#[test]
fn instances_of_a_data_centre_without_a_core_instance_spread_their_redirects() {
    let living = [core(1, "a"), core(2, "b"), core(3, "c")];
    let chosen =
        |number: u8| choose_core(&living, &format!("10.0.1.{number}:7000/x"), &data_centre("d"));
    let mut targets: Vec<_> = (0..40).filter_map(chosen).collect();
    targets.sort_unstable();
    targets.dedup();
    assert_eq!(targets.len(), 3);
}
