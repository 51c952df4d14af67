use std::sync::Arc;

use super::*;
use crate::clock::SystemClock;
use crate::ids::InstanceName;
use crate::test_support;

fn context() -> Context {
    let name = InstanceName::try_from("a").expect("a name");
    test_support::context(name, "dc", Arc::new(SystemClock::default()))
}

fn reports(cx: &Context) -> Vec<String> {
    let number = EventNumber::TaskEnded.number();
    let events = cx.events.select(|event| event.number == number);
    events.into_iter().map(|event| event.message).collect()
}

/// Guards against a panic that ends a background task while its process stays up without it.
#[tokio::test]
async fn a_panic_of_an_essential_task_is_reported_with_its_name_and_reason() {
    let cx = context();
    tokio::spawn(essential(cx.clone(), "poll the roster", async { panic!("{} cores", 7) }));
    let failure = cx.supervisor.failed().await;
    assert_eq!(failure.to_string(), "task \"poll the roster\" ended: panicked: 7 cores");
    assert_eq!(reports(&cx), [failure.to_string()]);
    let counted = "cgw_tasks_failed_total{task=\"poll the roster\"} 1";
    assert!(cx.metrics.render().contains(counted), "the failure is not counted");
}

/// Guards against an early return that ends a background task as silently as a panic.
#[tokio::test]
async fn an_early_return_of_an_essential_task_is_reported() {
    let cx = context();
    tokio::spawn(essential(cx.clone(), "poll the roster", async {}));
    let failure = cx.supervisor.failed().await;
    assert_eq!(failure.to_string(), "task \"poll the roster\" ended: it returned");
}

/// Guards against an orderly stop that is reported as a failure and ends with an error.
#[tokio::test]
async fn the_end_of_a_task_during_a_stop_is_no_failure() {
    let cx = context();
    let (stop, stopped) = tokio::sync::oneshot::channel::<()>();
    let task = tokio::spawn(essential(cx.clone(), "wait", stopped));
    cx.supervisor.start_stop();
    stop.send(()).expect("the task waits");
    task.await.expect("the task ends");
    assert!(cx.supervisor.failed().now_or_never().is_none());
    assert!(reports(&cx).is_empty());
}

/// Guards against a failure for a task that is aborted with its owner, as in each replaced poll.
#[tokio::test]
async fn an_aborted_task_is_no_failure() {
    let cx = context();
    let task = tokio::spawn(essential(cx.clone(), "wait", std::future::pending::<()>()));
    tokio::task::yield_now().await;
    task.abort();
    assert!(task.await.is_err_and(|cause| cause.is_cancelled()));
    assert!(cx.supervisor.failed().now_or_never().is_none());
    assert!(reports(&cx).is_empty());
}

/// Guards against a process that ends because a task has done its work.
#[tokio::test]
async fn a_finite_task_may_return_but_not_panic() {
    let cx = context();
    finite(cx.clone(), "found", async {}).await;
    assert!(cx.supervisor.failed().now_or_never().is_none());
    finite(cx.clone(), "found", async { panic!("no voters") }).await;
    let failure = cx.supervisor.failed().await;
    assert_eq!(failure, TaskFailure { task: "found", reason: "panicked: no voters".to_owned() });
}

/// Guards against a later failure, often a consequence, that hides the first.
#[tokio::test]
async fn the_first_failure_is_kept() {
    let cx = context();
    essential(cx.clone(), "first", async { panic!("cause") }).await;
    essential(cx.clone(), "second", async { panic!("consequence") }).await;
    assert_eq!(cx.supervisor.failed().await.task, "first");
    assert_eq!(reports(&cx).len(), 2);
}

/// Guards against a panic in one request that ends the process for all others.
#[tokio::test]
async fn the_panic_of_an_isolated_task_ends_no_other() {
    let task = tokio::spawn(isolated("serve a request", async { panic!("one request") }));
    task.await.expect("the panic is caught");
}
