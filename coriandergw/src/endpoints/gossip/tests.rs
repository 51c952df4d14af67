use super::*;
use crate::clock::SystemClock;
use crate::dispatch::CallKind;
use crate::endpoints::directory::RENEWAL_INTERVAL;
use crate::ids::TargetName;
use crate::test_support;
use crate::transport::memory::MemoryNetwork;

struct FixedPeers(Vec<Peer>);

impl Peers for FixedPeers {
    fn live(&self) -> Vec<Peer> {
        self.0.clone()
    }
}

struct Member {
    cx: Context,
    directory: Arc<Directory>,
    gossip: Arc<Gossip>,
}

fn peer(name: &str) -> Peer {
    let data_centre = format!("dc-{}", &name[..1]).try_into().unwrap();
    Peer { data_centre, name: name.try_into().unwrap() }
}

/// Starts instances named by their data centre's letter and a number.
fn start(network: &Arc<MemoryNetwork>, names: &[&str]) -> Vec<Member> {
    let member = |own: &&str| {
        let Peer { data_centre, name } = peer(own);
        let clock = Arc::new(SystemClock::default());
        let cx = test_support::context(name.clone(), &data_centre.to_string(), clock);
        let directory = Arc::new(Directory::default());
        let others = names.iter().filter(|other| *other != own).map(|other| peer(other)).collect();
        let peers = Arc::new(FixedPeers(others));
        let transport = network.join(name);
        let gossip = Gossip::start(cx.clone(), directory.clone(), transport, peers);
        Member { cx, directory, gossip }
    };
    names.iter().map(member).collect()
}

fn engine(leaving: bool) -> Announcement {
    serde_json::from_value(serde_json::json!({
        "name": "e", "kind": "model", "address": "127.0.0.1:9", "targets": ["m"],
        "data_centre": "dc-a", "leaving": leaving,
    }))
    .unwrap()
}

impl Member {
    fn sees(&self) -> bool {
        let target = TargetName::try_from("m").unwrap();
        !self.directory.candidates(CallKind::Model, &target, self.cx.clock.now()).is_empty()
    }

    /// Renews the endpoint here until the task is aborted.
    fn renew(&self) -> tokio::task::JoinHandle<()> {
        let (cx, directory) = (self.cx.clone(), self.directory.clone());
        tokio::spawn(async move {
            loop {
                directory.announce(engine(false), cx.clock.now());
                tokio::time::sleep(RENEWAL_INTERVAL).await;
            }
        })
    }
}

/// Waits until all `members` see the endpoint, or until none does if `sees` is false, and returns
/// how long it took.
async fn wait_until(members: &[Member], sees: bool) -> Duration {
    let started_at = std::time::Instant::now();
    let wait = async {
        while members.iter().any(|member| member.sees() != sees) {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(20), wait).await.expect("the members agree");
    started_at.elapsed()
}

#[tokio::test]
async fn announcements_and_leaving_reach_all_data_centres() {
    let network = Arc::<MemoryNetwork>::default();
    let members = start(&network, &["a1", "a2", "b1", "b2", "c1"]);
    let renewing = members[0].renew();
    wait_until(&members, true).await;
    renewing.abort();
    members[0].directory.announce(engine(true), members[0].cx.clock.now());
    wait_until(&members, false).await;
}

#[tokio::test]
async fn a_lost_delta_is_repaired_by_the_digest() {
    let network = Arc::<MemoryNetwork>::default();
    let members = start(&network, &["a1", "b1", "b2"]);
    for lost in ["b1", "b2"] {
        network.cut(&"a1".try_into().unwrap(), &lost.try_into().unwrap());
    }
    let _renewing = members[0].renew();
    wait_until(&members[..1], true).await;
    tokio::time::timeout(Duration::from_secs(5), async {
        while members[0].gossip.version.load(Ordering::Relaxed) == 0 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    })
    .await
    .expect("the change was sent");
    assert!(!members[1].sees());
    network.heal();
    wait_until(&members, true).await;
}

#[tokio::test]
async fn endpoints_of_a_silent_sponsor_leave_until_they_renew_elsewhere() {
    let network = Arc::<MemoryNetwork>::default();
    let members = start(&network, &["a1", "a2", "b1"]);
    let renewing = members[0].renew();
    wait_until(&members, true).await;
    for other in ["a2", "b1"] {
        network.cut(&"a1".try_into().unwrap(), &other.try_into().unwrap());
    }
    wait_until(&members[1..], false).await;
    renewing.abort();
    let _renewing = members[1].renew();
    wait_until(&members[1..], true).await;
}

#[tokio::test]
async fn endpoints_elsewhere_come_back_after_a_long_cut() {
    let network = Arc::<MemoryNetwork>::default();
    let members = start(&network, &["a1", "b1"]);
    let _renewing = members[0].renew();
    wait_until(&members, true).await;
    network.cut(&"a1".try_into().unwrap(), &"b1".try_into().unwrap());
    wait_until(&members[1..], false).await;
    // The sponsor's version has not changed meanwhile, so its digest equals the stored one. The
    // expired endpoints must be fetched all the same.
    network.heal();
    wait_until(&members, true).await;
}

#[tokio::test]
async fn the_relays_of_summaries_change_in_data_centres_of_all_sizes() {
    let network = Arc::<MemoryNetwork>::default();
    for others in [&["b1", "b2"][..], &["b1", "b2", "b3"], &["b1", "b2", "b3", "b4", "b5", "b6"]] {
        let names = [&["a1"], others].concat();
        let member = start(&network, &names).remove(0);
        let ticks = (0..others.len() as u64).map(|summary| summary * TICKS_PER_HEARTBEAT);
        let relays: std::collections::BTreeSet<_> =
            ticks.flat_map(|tick| member.gossip.summary_relays(tick)).collect();
        assert_eq!(relays.len(), others.len());
    }
}
