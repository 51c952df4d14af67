use super::*;
use crate::roles::tests::world::Site;
use crate::supervision::TaskFailure;

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
