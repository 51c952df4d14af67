//! Tests of permits of accounts as they are sent and counted.

use std::time::Duration;

use crate::account_limits::Ask;
use crate::account_limits::Verdict;
use crate::account_limits::generated as raw;
use crate::account_limits::metrics::AccountLabels;
use crate::accounts::AccountLimit;

fn ask(account: &str, per_second: f64) -> Ask {
    let limit = AccountLimit { per_second, burst: 3.0 };
    Ask { account: account.into(), version: 7, limit, program: Some("p".into()), continues: true }
}

#[test]
fn asks_and_verdicts_survive_the_wire_and_waits_are_rounded_up() {
    for asked in [ask("a", 2.5), Ask { program: None, continues: false, ..ask("b", 1.0) }] {
        assert_eq!(Ask::try_from(raw::Ask::from(&asked)), Ok(asked));
    }
    for per_second in [0.0, -1.0, f64::NAN, f64::INFINITY] {
        assert!(Ask::try_from(raw::Ask::from(&ask("a", per_second))).is_err(), "{per_second}");
    }
    let sent = |verdict| Verdict::from(raw::Decision::from(verdict));
    let millis = Duration::from_millis;
    assert_eq!(sent(Verdict::Granted), Verdict::Granted);
    assert_eq!(sent(Verdict::Denied(millis(70))), Verdict::Denied(millis(71)));
}

// Guards against metrics that grow with the number of accounts.
#[test]
fn the_100_accounts_with_the_highest_limits_have_a_label_of_their_own() {
    let mut labels = AccountLabels::default();
    for number in 0..300 {
        labels.label(&ask(&format!("a{number}"), f64::from(number % 150) + 1.0));
    }
    assert_eq!(&*labels.label(&ask("a149", 150.0)).0, "a149");
    assert_eq!(&*labels.label(&ask("a3", 4.0)).0, "(other)");
    let (own, dropped) = labels.label(&ask("new", 500.0));
    assert_eq!(&*own, "new");
    assert!(dropped.is_some());
}
