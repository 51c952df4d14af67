//! Tests of the server while terms begin and end.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use super::*;
use crate::accounts::AccountLimit;
use crate::clock::Clock;
use crate::clock::SystemClock;
use crate::test_support;

/// Leads in the stored term; 0 stands for none.
struct TestKeepership(AtomicU64);

impl Keepership for TestKeepership {
    fn term(&self, _now: Timestamp) -> Option<u64> {
        Some(self.0.load(Ordering::Relaxed)).filter(|term| *term > 0)
    }
}

struct World {
    keepership: Arc<TestKeepership>,
    server: Arc<AccountPermitServer>,
    cx: Context,
    name: InstanceName,
}

impl World {
    fn new() -> Self {
        let clock: Arc<dyn Clock> = Arc::new(SystemClock::default());
        let name = InstanceName::try_from("core").expect("a name");
        let cx = test_support::context(name.clone(), "dc", clock);
        let keepership = Arc::new(TestKeepership(AtomicU64::new(0)));
        let tolerance = LimitTolerance::default();
        let server = AccountPermitServer::new(cx.clone(), keepership.clone(), tolerance);
        Self { keepership, server, cx, name }
    }

    /// Returns how many of `count` asks are granted; `None` without a keeper. A token takes 1,000 s.
    async fn ask(&self, count: usize, returned: u32, returns_term: u64) -> Option<usize> {
        let ask = Ask {
            account: "a".into(),
            version: 1,
            limit: AccountLimit { per_second: 0.001, burst: 1_000.0 },
            program: None,
            continues: false,
        };
        let returns = vec![raw::Return { account: "a".to_owned(), permits: returned }];
        let asks = vec![raw::Ask::from(&ask); count];
        let request = raw::PermitRequest { asks, returns, returns_term };
        let answer = self.server.handle(&self.name, request.encode_to_vec().into()).await;
        let answer = raw::PermitAnswer::decode(answer.expect("an answer")).expect("valid");
        let granted = answer.decisions.iter().filter(|decision| decision.granted).count();
        (answer.term > 0).then_some(granted)
    }

    fn events(&self, number: EventNumber) -> Vec<String> {
        let events = self.cx.events.select(|event| event.number == number.number());
        events.into_iter().map(|event| event.message).collect()
    }
}

// Guards against a former leader that still grants, and against a term that goes on with the bucket
// of an earlier one.
#[tokio::test]
async fn permits_are_granted_only_by_the_leader_and_each_term_starts_with_empty_buckets() {
    let world = World::new();
    assert_eq!(world.ask(1, 0, 0).await, None);
    world.keepership.0.store(3, Ordering::Relaxed);
    // Returned permits of this term can be granted, those of another one cannot.
    assert_eq!(world.ask(2, 0, 0).await, Some(0));
    assert_eq!(world.ask(2, 5, 2).await, Some(0));
    assert_eq!(world.ask(7, 5, 3).await, Some(5));
    assert_eq!(world.ask(0, 5, 3).await, Some(0));
    world.keepership.0.store(4, Ordering::Relaxed);
    assert_eq!(world.ask(7, 5, 3).await, Some(0));
    world.keepership.0.store(0, Ordering::Relaxed);
    assert_eq!(world.ask(7, 5, 4).await, None);
    assert_eq!(world.events(EventNumber::LimitKeeperStarted).len(), 2);
}

// Guards against a log line for each refused request of a hot account.
#[tokio::test]
async fn an_account_at_its_limit_is_reported_once_a_second() {
    let world = World::new();
    world.keepership.0.store(1, Ordering::Relaxed);
    world.ask(400, 0, 0).await;
    world.ask(400, 0, 0).await;
    let events = world.events(EventNumber::AccountLimited);
    assert_eq!(events, ["account=a config=1 per_second=0.001 burst=1000 refused=1"]);
}

#[tokio::test]
async fn an_invalid_message_is_refused() {
    let world = World::new();
    world.keepership.0.store(1, Ordering::Relaxed);
    let ask = raw::Ask { account: "a".to_owned(), per_second: -1.0, ..raw::Ask::default() };
    let request = raw::PermitRequest { asks: vec![ask], ..raw::PermitRequest::default() };
    let answer = world.server.handle(&world.name, request.encode_to_vec().into()).await;
    assert!(answer.is_err_and(|cause| cause.contains("rate")));
}
