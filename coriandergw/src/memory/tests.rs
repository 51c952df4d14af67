use super::*;
use crate::memory::budget::Budget;

/// Guards against shares with which the smallest machine refuses a request within the limits, or
/// fewer than some thousand ordinary ones at once.
#[test]
fn the_smallest_machine_takes_a_largest_body_and_many_ordinary_ones() {
    let limits = MachineLimits { memory_mb: 88, max_fds: DEFAULT_MAX_FDS };
    let budget = Budget::new(limits.budget_bytes());
    assert!(budget.largest() >= 4 << 20);
    assert!(limits.budget_bytes() / (6 << 10) >= 3_000);
    assert!(limits.caller_connections() >= 1_000);
}

/// Guards against logs that name a client instead of its network.
#[test]
fn the_network_leaves_out_the_host() {
    assert_eq!(network_of(IpAddr::from([192, 0, 2, 7])), "192.0.2.0/24");
    let ip: IpAddr = "2001:db8:1:2::3".parse().expect("an address");
    assert_eq!(network_of(ip), "2001:db8:1::/48");
}
