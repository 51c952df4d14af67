//! Tests of routing and of the validation of a configuration.

use std::sync::Arc;
use std::time::Duration;

use crate::routes::CallerLimits;
use crate::routes::RetryPolicy;
use crate::routes::Route;
use crate::routes::RouteError;
use crate::routes::RouteTable;
use crate::routes::Service;

fn route(name: &str, prefix: &str, services: &[(&str, u32)]) -> Route {
    Route {
        name: name.into(),
        host: "host".into(),
        prefix: prefix.into(),
        retry_policy: RetryPolicy::Idempotent,
        timeout: Duration::from_secs(1),
        target: Duration::from_millis(100),
        target_gap: None,
        priority: 0,
        services: services.iter().map(|(service, weight)| ((*service).into(), *weight)).collect(),
        endpoints_max: 1,
        sticky: false,
        allows_anonymous: false,
        retention: None,
    }
}

fn table(routes: Vec<Route>) -> Result<RouteTable, RouteError> {
    let service = |name: &str| Service { name: name.into(), connections_max: 1, engine: None };
    let services = vec![service("x"), service("y")];
    RouteTable::new(1, routes, services, CallerLimits::default())
}

fn name_of(table: &RouteTable, host: &str, path: &str) -> Option<Arc<str>> {
    table.find(host, path).map(|route| route.name.clone())
}

#[test]
fn a_request_is_routed_by_the_longest_prefix_of_its_host() {
    let routes = vec![route("short", "/a/", &[("x", 1)]), route("long", "/a/b/", &[("x", 1)])];
    let table = table(routes).expect("valid");
    assert_eq!(name_of(&table, "host", "/a/b/c").as_deref(), Some("long"));
    assert_eq!(name_of(&table, "host", "/a/bc").as_deref(), Some("short"));
    assert_eq!(name_of(&table, "host", "/ab/"), None);
    assert_eq!(name_of(&table, "other", "/a/b/c"), None);
}

#[test]
fn keys_are_divided_between_services_by_weight() {
    let split = route("r", "/a/", &[("x", 3), ("y", 0), ("z", 1)]);
    let counts = (0..400).filter(|key| split.service_for(*key).map(|s| &**s) == Some("x")).count();
    assert_eq!(counts, 300);
    assert!((0..400).all(|key| split.service_for(key).is_some_and(|s| &**s != "y")));
}

#[test]
fn invalid_configurations_are_rejected() {
    let unknown = table(vec![route("r", "/a/", &[("nowhere", 1)])]);
    assert!(matches!(unknown, Err(RouteError::UnknownService { .. })));
    let same = table(vec![route("r", "/a/", &[("x", 1)]), route("s", "/a/", &[("y", 1)])]);
    assert!(matches!(same, Err(RouteError::DuplicatePrefix { .. })));
    let no_weight = table(vec![route("r", "/a/", &[("x", 0), ("y", 0)])]);
    assert!(matches!(no_weight, Err(RouteError::ZeroWeights { .. })));
    let no_timeout =
        table(vec![Route { timeout: Duration::ZERO, ..route("r", "/a/", &[("x", 1)]) }]);
    assert!(matches!(no_timeout, Err(RouteError::ZeroTimeout { .. })));
    let prefix = table(vec![route("r", "/a", &[("x", 1)])]);
    assert!(matches!(prefix, Err(RouteError::InvalidPrefix { .. })));
}
