use std::path::Path;

use super::*;
use crate::roles::tests::world::Site;
use crate::supervision::TaskFailure;
use crate::test_support::wait_for;
use crate::versions::machine;

/// Guards against a core instance that stays up after one of its tasks has ended.
#[tokio::test(flavor = "multi_thread")]
async fn the_end_of_a_task_of_a_core_instance_is_noticed() {
    let mut site = Site::new(1, 0).await;
    let core = CoreProcess::start(&site.machine(true).settings).await.expect("starts");
    // The states to store come from the log node.
    core.node.stop().await;
    let task = "store the configuration";
    let failure = TaskFailure { task, reason: "it returned".to_owned() };
    assert_eq!(core.cx.supervisor.failed().await, failure);
}

/// Guards against an orderly stop that ends as a failure.
#[tokio::test(flavor = "multi_thread")]
async fn the_stop_of_a_core_instance_is_no_failure() {
    let mut site = Site::new(1, 0).await;
    let core = CoreProcess::start(&site.machine(true).settings).await.expect("starts");
    core.stop().await;
    let ended = EventNumber::TaskEnded.number();
    assert!(core.cx.events.select(|event| event.number == ended).is_empty());
}

/// Guards against a restarted core instance whose new roster counts as complete, so that turns whose
/// holders start late are answered 404.
#[tokio::test(flavor = "multi_thread")]
async fn only_the_first_run_of_a_core_instance_founds_the_system() {
    let mut site = Site::new(1, 0).await;
    let machine = site.machine(true);
    let first = CoreProcess::start(&machine.settings).await.expect("starts");
    assert!(first.roster.presence().is_founder);
    first.stop().await;
    // The stopped instance's address stays bound in this test process, so it restarts at another.
    let settings =
        ProcessSettings { ip: site.machine(true).settings.ip, ..machine.settings.clone() };
    let restarted = CoreProcess::start(&settings).await.expect("starts");
    assert!(!restarted.roster.presence().is_founder);
}

fn state(config_version: u64) -> ConfigState {
    ConfigState { config_version, config: "routes".into(), ..ConfigState::default() }
}

fn stored_state(folder: &Path) -> Option<ConfigState> {
    let bytes = std::fs::read(folder.join("last-config.bin")).ok()?;
    machine::decode_state(bytes.into())
}

// Guards against a core instance that starts with a configuration older than the one it acknowledged:
// the acknowledgement publishes the version before the log of this instance has applied it.
#[tokio::test(flavor = "multi_thread")]
async fn a_version_that_was_published_before_the_log_applied_it_is_stored() {
    let mut site = Site::new(1, 0).await;
    let settings = site.machine(true).settings;
    let core = CoreProcess::start(&settings).await.expect("starts");
    core.roster_server.apply_config_state(state(3));
    core.versions.put(3, "routes".into()).await.expect("committed");
    let folder = settings.data_folder.expect("a folder");
    wait_for("the stored configuration", || stored_state(&folder) == Some(state(3))).await;
}

// Guards against a core instance that names an old version for as long as its disk hangs.
#[tokio::test(flavor = "multi_thread")]
async fn a_disk_that_hangs_does_not_hold_back_later_versions() {
    let mut site = Site::new(1, 0).await;
    let settings = site.machine(true).settings;
    let core = CoreProcess::start(&settings).await.expect("starts");
    let folder = settings.data_folder.expect("a folder");
    // To open a pipe for writing blocks until somebody reads it.
    let pipe = folder.join("last-config.bin.new");
    let made = std::process::Command::new("mkfifo").arg(&pipe).status();
    assert!(made.expect("runs").success());
    core.versions.put(1, "routes".into()).await.expect("committed");
    wait_for("the first version", || core.roster_server.config_version() == 1).await;
    core.versions.put(2, "routes".into()).await.expect("committed");
    let server = core.roster_server.clone();
    let is_published = move || server.config_version() == 2;
    let waited = tokio::spawn(wait_for("the second version", is_published)).await;
    let stored = stored_state(&folder);
    std::fs::File::open(&pipe).expect("the write goes on");
    waited.expect("the second version is published");
    assert_eq!(stored, None, "the first write still hung");
}
