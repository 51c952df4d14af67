//! Tests of the report of instances that have not received a configuration.

use std::time::Duration;

use crate::clock::Timestamp;
use crate::ids::InstanceName;
use crate::roster::config_lag::ConfigLag;
use crate::roster::config_lag::LagChange;
use crate::roster::config_lag::REPORTED_AFTER;

fn name() -> InstanceName {
    InstanceName::try_from("10.0.0.9:7401/0").expect("a name")
}

// Guards against an instance that serves by an old configuration without any trace of it.
#[test]
fn an_instance_without_a_published_configuration_is_reported_once() {
    let (mut lag, start) = (ConfigLag::default(), Timestamp::from_millis(10));
    lag.note_published(4, start);
    assert_eq!(lag.note_held(&name(), 3, start + REPORTED_AFTER), None, "there is still time");
    let late = REPORTED_AFTER + Duration::from_millis(1);
    let behind = Some(LagChange::Behind { published: 4, lag: late });
    assert_eq!(lag.note_held(&name(), 3, start + late), behind);
    assert_eq!(lag.note_held(&name(), 3, start + 2 * late), None, "it is known");
    assert_eq!(lag.instances_behind(), 1);
    let caught_up = Some(LagChange::CaughtUp { published: 4 });
    assert_eq!(lag.note_held(&name(), 4, start + 3 * late), caught_up);
    assert_eq!(lag.instances_behind(), 0);
}

// Guards against a series of changes that hides an instance which receives none of them.
#[test]
fn a_lag_counts_from_the_first_version_that_is_missing() {
    let (mut lag, start) = (ConfigLag::default(), Timestamp::from_millis(10));
    let step = REPORTED_AFTER / 4;
    for version in 1..=8 {
        lag.note_published(version, start + step * version as u32);
    }
    let now = start + step * 9;
    let behind = Some(LagChange::Behind { published: 8, lag: step * 7 });
    assert_eq!(lag.note_held(&name(), 1, now), behind);
    let other = InstanceName::try_from("10.0.0.8:7401/0").expect("a name");
    assert_eq!(lag.note_held(&other, 7, now), None, "it lags by one version for a moment");
    lag.retain(|instance| *instance == other);
    assert_eq!(lag.instances_behind(), 0);
}
