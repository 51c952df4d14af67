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
