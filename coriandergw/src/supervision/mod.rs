//! Supervision of background tasks: a task that ends unexpectedly ends the process.
//!
//! A process that goes on without one of its tasks looks healthy and does a part of its work only.
//! It is therefore ended, and whatever runs it starts it anew. Tasks of one connection or request
//! are isolated instead: their panic is logged and ends nothing else.

use std::any::Any;
use std::future::Future;
use std::panic::AssertUnwindSafe;

use derive_more::Display;
use derive_more::Error;
use futures_util::FutureExt;
use tokio::sync::watch;

use crate::context::Context;
use crate::events::EventNumber;
use crate::events::Subject;

/// Exit code of a process that ended because one of its tasks did.
pub const EXIT_TASK_ENDED: u8 = 4;

/// A background task that ended before the process was asked to stop.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
#[display("task \"{task}\" ended: {reason}")]
pub struct TaskFailure {
    /// What the task does.
    pub task: &'static str,
    /// The message of its panic, or that it returned.
    pub reason: String,
}

/// Keeps the first failure of a background task of this process.
#[derive(Debug, Default)]
pub struct Supervisor {
    state: watch::Sender<State>,
}

#[derive(Debug, Default)]
struct State {
    is_stopping: bool,
    failure: Option<TaskFailure>,
}

impl Supervisor {
    /// Notes that the process was asked to stop. Tasks may end from now on.
    pub fn start_stop(&self) {
        self.state.send_modify(|state| state.is_stopping = true);
    }

    /// Waits until a supervised task has failed.
    pub async fn failed(&self) -> TaskFailure {
        let mut state = self.state.subscribe();
        // `self` owns the sender, so `wait_for` cannot fail.
        let failure = match state.wait_for(|state| state.failure.is_some()).await {
            Ok(state) => state.failure.clone(),
            Err(_) => None,
        };
        match failure {
            Some(failure) => failure,
            None => std::future::pending().await,
        }
    }

    fn is_stopping(&self) -> bool {
        self.state.borrow().is_stopping
    }

    fn note_failure(&self, failure: TaskFailure) {
        self.state.send_modify(|state| {
            state.failure.get_or_insert(failure);
        });
    }
}

/// Runs a task that has to run until the process stops. Its end before that is a failure, whether
/// it returned or panicked; aborting it is none.
pub async fn essential<F>(cx: Context, task: &'static str, future: F)
where
    F: Future,
{
    let reason = match AssertUnwindSafe(future).catch_unwind().await {
        Ok(_) => "it returned".to_owned(),
        Err(panic) => describe(&*panic),
    };
    report(&cx, TaskFailure { task, reason });
}

/// Runs a task that returns when its work is done or its owner is gone. Only a panic is a failure.
pub async fn finite<F>(cx: Context, task: &'static str, future: F)
where
    F: Future,
{
    if let Err(panic) = AssertUnwindSafe(future).catch_unwind().await {
        report(&cx, TaskFailure { task, reason: describe(&*panic) });
    }
}

/// Runs a task that returns whether it was stopped by its owner. Any other end is a failure.
pub async fn until_stopped<F>(cx: Context, task: &'static str, future: F)
where
    F: Future<Output = bool>,
{
    let reason = match AssertUnwindSafe(future).catch_unwind().await {
        Ok(true) => return,
        Ok(false) => "it cannot go on".to_owned(),
        Err(panic) => describe(&*panic),
    };
    report(&cx, TaskFailure { task, reason });
}

/// Runs the task of one connection or request. A panic is logged and ends nothing else.
pub async fn isolated<F>(task: &'static str, future: F)
where
    F: Future,
{
    if let Err(panic) = AssertUnwindSafe(future).catch_unwind().await {
        log::error!("task \"{task}\" ended: {}", describe(&*panic));
    }
}

fn report(cx: &Context, failure: TaskFailure) {
    if cx.supervisor.is_stopping() {
        return;
    }
    cx.metrics.tasks_failed.with_label_values(&[failure.task]).inc();
    cx.events.record(EventNumber::TaskEnded, Subject::default(), failure.to_string());
    cx.supervisor.note_failure(failure);
}

fn describe(panic: &(dyn Any + Send)) -> String {
    let message = panic.downcast_ref::<&str>().copied();
    let message = message.or_else(|| panic.downcast_ref::<String>().map(String::as_str));
    format!("panicked: {}", message.unwrap_or("no message"))
}

#[cfg(test)]
mod tests;
