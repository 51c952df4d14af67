//! Ends programs and releases their resources.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use crate::events::EventNumber;
use crate::events::Subject;
use crate::ids::ProgramId;
use crate::programs::append::AppendRetry;
use crate::programs::home::ProgramHandle;
use crate::programs::home::Programs;
use crate::programs::home::program_of;
use crate::programs::limits::check_running;
use crate::programs::record::EndReason;
use crate::programs::record::RecordBody;
use crate::programs::state::Tree;
use crate::result_code::Refusal;

impl Programs {
    /// Ends a program and its sub-agents. Ending a program again has no effect.
    ///
    /// # Errors
    /// Refuses an unknown program, a wrong secret and a program that is not served here.
    pub async fn end(self: &Arc<Self>, id: &ProgramId, secret: &str) -> Result<(), Refusal> {
        let handle = self.open(id, secret).await?;
        self.end_for(&handle, EndReason::Caller).await
    }

    pub(super) async fn end_for(
        self: &Arc<Self>,
        handle: &ProgramHandle,
        reason: EndReason,
    ) -> Result<(), Refusal> {
        if handle.read(|program| Ok(program.ended.is_some()))? {
            return Ok(());
        }
        let programs = self.clone();
        let handle = handle.clone();
        let task = tokio::spawn(async move {
            let id = handle.program.clone();
            let build = move |tree: &Tree| {
                check_running(program_of(tree, &id)?)?;
                Ok((RecordBody::Ended { reason }, ()))
            };
            let ended = programs.append(&handle, AppendRetry::Bounded, build).await;
            // Another request may have ended the program meanwhile.
            if ended.is_err() && !handle.read(|program| Ok(program.ended.is_some()))? {
                return ended;
            }
            programs.after_end(&handle, reason);
            Ok(())
        });
        task.await.unwrap_or_else(|_| Err(crate::programs::home::home_lost()))
    }

    fn after_end(&self, handle: &ProgramHandle, reason: EndReason) {
        let subtree = handle.tree.state.lock().expect("not poisoned").subtree(&handle.program);
        for program in subtree {
            let handle = ProgramHandle { program, ..handle.clone() };
            let subject = self.subject(&handle, None);
            self.cx.events.record(EventNumber::ProgramEnded, subject, reason.to_string());
            self.observe_latency(&handle);
            self.cancel_calls(&handle);
            self.release_if_idle(&handle);
        }
    }

    fn cancel_calls(&self, handle: &ProgramHandle) {
        let live = handle.tree.live.lock().expect("not poisoned");
        for ((program, _), call) in live.iter() {
            if *program == handle.program {
                call.cancel.cancel();
            }
        }
    }

    /// Releases the engine memory of a program that has ended and has no running call.
    pub(super) fn release_if_idle(&self, handle: &ProgramHandle) {
        let live = handle.tree.live.lock().expect("not poisoned");
        let is_busy = live.keys().any(|(program, _)| *program == handle.program);
        drop(live);
        let has_ended = handle.read(|program| Ok(program.ended.is_some())).unwrap_or(false);
        if has_ended && !is_busy && !handle.home.lost.is_cancelled() {
            self.report_former_homes(handle);
            self.dispatcher.program_ended(&handle.program);
        }
    }

    /// Reports to the dispatcher the models whose engines former homes may have used.
    fn report_former_homes(&self, handle: &ProgramHandle) {
        let epoch = handle.home.epoch;
        let models = handle.read(|program| match program.created_under < epoch {
            true => Ok(program.models()),
            false => Ok(BTreeSet::new()),
        });
        for model in models.unwrap_or_default() {
            self.dispatcher.sent_elsewhere(&handle.program, &model);
        }
    }

    fn observe_latency(&self, handle: &ProgramHandle) {
        let wall = self.cx.clock.wall();
        let found = handle.read(|program| Ok((self.entry_of(program)?, program.created_at)));
        let Ok((entry, created_at)) = found else {
            return;
        };
        let labels = [entry.name.as_str(), &entry.class.to_string()];
        let latency = Duration::from_millis(wall.0.saturating_sub(created_at.0));
        self.cx.metrics.program_seconds.with_label_values(&labels).observe(latency.as_secs_f64());
    }

    /// Removes a tree from the journal and from memory. All its programs must have ended.
    pub(super) async fn forget(&self, handle: &ProgramHandle) {
        let _writer = handle.tree.writer.lock().await;
        let root = handle.program.root();
        // If this fails, the next sweep retries.
        if handle.home.journal.forget(&root).await.is_ok() {
            handle.home.trees.lock().expect("not poisoned").live.remove(&root);
            self.record_forgotten(&root);
        }
    }

    pub(super) fn record_forgotten(&self, root: &ProgramId) {
        let subject = Subject { program: Some(root.clone()), ..Subject::default() };
        self.cx.events.record(EventNumber::ProgramForgotten, subject, "program forgotten");
    }
}
