use super::*;

fn names(count: usize) -> Vec<InstanceName> {
    (0..count).map(|n| InstanceName::try_from(format!("i{n}")).unwrap()).collect()
}

#[test]
fn the_order_of_the_names_does_not_matter() {
    let mut reversed = names(8);
    reversed.reverse();
    assert_eq!(heaviest("key", &names(8), 3), heaviest("key", &reversed, 3));
}

#[test]
fn a_lost_name_changes_nothing_but_its_own_place() {
    let all = names(8);
    let before = heaviest("key", &all, 3);
    let rest: Vec<InstanceName> = all.into_iter().filter(|name| *name != before[1]).collect();
    let after = heaviest("key", &rest, 3);
    assert_eq!(after[..2], [before[0].clone(), before[2].clone()]);
}

#[test]
fn keys_spread_over_all_names() {
    let all = names(8);
    let mut chosen = vec![0; 8];
    for key in 0..800 {
        let first = &heaviest(&key.to_string(), &all, 1)[0];
        chosen[all.iter().position(|name| name == first).unwrap()] += 1;
    }
    assert!(chosen.iter().all(|count| (60..140).contains(count)), "{chosen:?}");
}
