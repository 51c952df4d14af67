//! Tests of the placement of chains.

use crate::ids::DataCentre;
use crate::ids::InstanceName;
use crate::kept_turns::placement::Holder;
use crate::kept_turns::placement::order_holders;

fn holders() -> Vec<Holder> {
    let holder = |number: usize| Holder {
        name: InstanceName::try_from(format!("10.0.0.{number}:1/a")).expect("a name"),
        data_centre: DataCentre::try_from(format!("dc-{}", number % 3).as_str()).expect("a name"),
    };
    (0..8).map(holder).collect()
}

// Guards against copies of a chain that are lost together with one data centre.
#[test]
fn the_first_holders_are_in_different_data_centres() {
    for chain in 0..100 {
        let ordered = order_holders("a", &chain.to_string(), &holders());
        assert_eq!(ordered.len(), 8);
        let mut centres: Vec<&str> =
            ordered[..3].iter().map(|holder| holder.data_centre.as_str()).collect();
        centres.sort_unstable();
        assert_eq!(centres, ["dc-0", "dc-1", "dc-2"]);
    }
}

// Guards against copies that move when another instance than their holder is lost.
#[test]
fn the_loss_of_an_instance_moves_only_what_it_held() {
    for chain in 0..100 {
        let root = chain.to_string();
        let before = order_holders("a", &root, &holders());
        for lost in holders() {
            let left: Vec<Holder> = holders().into_iter().filter(|one| *one != lost).collect();
            let after = order_holders("a", &root, &left);
            let moved = after[..3].iter().filter(|one| !before[..3].contains(one)).count();
            assert_eq!(moved, usize::from(before[..3].contains(&lost)));
        }
    }
}
