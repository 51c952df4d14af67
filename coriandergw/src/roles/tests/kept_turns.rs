//! Tests of journal instances that keep turns.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Clock;
use crate::clock::SystemClock;
use crate::ids::DataCentre;
use crate::ids::InstanceName;
use crate::kept_turns::TurnKey;
use crate::kept_turns::TurnRecord;
use crate::kept_turns::generated as raw;
use crate::kept_turns::generated::answer;
use crate::kept_turns::generated::request;
use crate::kept_turns::store::FOLDER;
use crate::kept_turns::wire;
use crate::roles::core::CoreProcess;
use crate::roles::journal::JournalProcess;
use crate::roles::tests::world::Machine;
use crate::roles::tests::world::Site;
use crate::storage::file_disk::FileDisk;
use crate::test_support;
use crate::test_support::wait_for;
use crate::transport::Kind;
use crate::transport::Transport;
use crate::transport::tcp::TcpTransport;

/// How long a turn is kept, which is longer than the test takes.
const RETENTION_MS: u64 = 600_000;

/// How long an instance may take to answer.
const TIMEOUT: Duration = Duration::from_secs(5);

struct Client {
    transport: Arc<TcpTransport>,
    chain: Vec<TurnRecord>,
}

impl Client {
    async fn start(site: &mut Site) -> Self {
        let settings = site.machine(false).settings;
        let address = SocketAddr::new(settings.ip, settings.first_port);
        let name = InstanceName::try_from(format!("{address}/client")).expect("a name");
        let clock = Arc::new(SystemClock::default());
        let expires_ms = clock.wall().0 + RETENTION_MS;
        let cx = test_support::context(name, "dc", clock);
        let record = |turn: &str, previous: Option<&str>| TurnRecord {
            key: TurnKey { account: "a".into(), turn: turn.into() },
            previous: previous.map(Into::into),
            root: "1".into(),
            input: "in".into(),
            output: "out\n".into(),
            expires_ms,
            is_partial: false,
        };
        let transport = TcpTransport::start(&cx, address).await.expect("bound");
        Self { transport, chain: vec![record("1", None), record("2", Some("1"))] }
    }

    async fn call(&self, to: &JournalProcess, body: request::Body) -> answer::Body {
        let payload = wire::encode_request(body);
        let answer = self.transport.call(&to.cx.instance, Kind::KeptTurns, payload, TIMEOUT).await;
        wire::decode_answer(answer.expect("an answer")).expect("a known answer")
    }

    async fn keep(&self, to: &JournalProcess) -> bool {
        let records = wire::encode_records(&self.chain);
        let answer = self.call(to, request::Body::Keep(raw::Keep { records })).await;
        matches!(answer, answer::Body::Keep(answer) if answer.written)
    }

    async fn has_chain(&self, at: &JournalProcess) -> bool {
        let body = request::Body::Find(raw::Find::from(&self.chain[1].key));
        let answer::Body::Find(answer) = self.call(at, body).await else {
            panic!("another kind of answer");
        };
        wire::parse_chain(answer.records).as_deref() == Ok(&self.chain[..])
    }

    async fn wait_for_chain(&self, at: &JournalProcess) {
        let found = async {
            while !self.has_chain(at).await {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        tokio::time::timeout(test_support::WAIT_LIMIT, found).await.expect("the chain is copied");
    }
}

async fn start_journal(site: &mut Site, is_first: bool, centre: &str) -> (Machine, JournalProcess) {
    let mut machine = site.machine(is_first);
    machine.settings.tolerated_losses = 1;
    machine.settings.data_centre = DataCentre::try_from(centre).expect("a name");
    let journal = JournalProcess::start(&machine.settings).await.expect("the journal starts");
    (machine, journal)
}

// Guards against turns that are lost with a machine that was emptied, and against a machine that is said to
// be emptied while only its disk has them.
#[tokio::test(flavor = "multi_thread")]
async fn a_retiring_instance_holds_turns_until_two_others_have_them() {
    let mut site = Site::new(1, 0).await;
    let seed = site.machine(true);
    let core = CoreProcess::start(&seed.settings).await.expect("the core starts");
    let (machine, retiring) = start_journal(&mut site, true, "a").await;
    let client = Client::start(&mut site).await;
    assert!(client.keep(&retiring).await);
    let node = machine.settings.node.clone();
    let now = || core.cx.clock.now();
    let holds_turns = || core.roster.with_view(|view| view.holds_turns(&node, now()));
    wait_for("the report of turns", holds_turns).await;
    let committed = core.versions.retire(&node).await.expect("committed");
    core.roster_server.apply_config_state(committed);
    let (_second_machine, second) = start_journal(&mut site, false, "b").await;
    client.wait_for_chain(&second).await;
    assert!(holds_turns(), "one other instance is not enough");
    let (_third_machine, third) = start_journal(&mut site, false, "c").await;
    wait_for("the end of the report", || !holds_turns()).await;
    assert!(client.has_chain(&second).await && client.has_chain(&third).await);
    assert!(client.has_chain(&retiring).await, "copies are not deleted");
    assert!(!client.keep(&retiring).await, "a retiring instance takes no turns");
    retiring.stop().await;
    let folder = machine.settings.data_folder.as_ref().expect("a folder");
    FileDisk::open_inside(folder, FOLDER).expect("a stopped instance has released its folder");
}
