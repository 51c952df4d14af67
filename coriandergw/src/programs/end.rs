//! Ends programs and releases their resources.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use crate::events::EventNumber;
use crate::events::Subject;
use crate::ids::ProgramId;
use crate::programs::append::Persistence;
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
        let place = self.open(id, secret).await?;
        self.end_for(&place, EndReason::Caller).await
    }

    pub(super) async fn end_for(
        self: &Arc<Self>,
        place: &ProgramHandle,
        reason: EndReason,
    ) -> Result<(), Refusal> {
        if place.read(|program| Ok(program.ended.is_some()))? {
            return Ok(());
        }
        let programs = self.clone();
        let place = place.clone();
        let task = tokio::spawn(async move {
            let id = place.program.clone();
            let build = move |tree: &Tree| {
                check_running(program_of(tree, &id)?)?;
                Ok((RecordBody::Ended { reason }, ()))
            };
            let ended = programs.append(&place, Persistence::GiveUp, build).await;
            // Another request may have ended the program meanwhile.
            if ended.is_err() && !place.read(|program| Ok(program.ended.is_some()))? {
                return ended;
            }
            programs.after_end(&place, reason);
            Ok(())
        });
        task.await.unwrap_or_else(|_| Err(crate::programs::home::home_lost()))
    }

    fn after_end(&self, place: &ProgramHandle, reason: EndReason) {
        let family = place.tree.state.lock().expect("not poisoned").subtree(&place.program);
        for program in family {
            let place = ProgramHandle { program, ..place.clone() };
            let subject = self.subject(&place, None);
            self.cx.events.record(EventNumber::ProgramEnded, subject, reason.to_string());
            self.observe_latency(&place);
            self.cancel_calls(&place);
            self.release_if_quiet(&place);
        }
    }

    fn cancel_calls(&self, place: &ProgramHandle) {
        let live = place.tree.live.lock().expect("not poisoned");
        for ((program, _), call) in live.iter() {
            if *program == place.program {
                call.cancel.cancel();
            }
        }
    }

    /// Releases the engine memory of a program that has ended and has no running call.
    pub(super) fn release_if_quiet(&self, place: &ProgramHandle) {
        let live = place.tree.live.lock().expect("not poisoned");
        let is_busy = live.keys().any(|(program, _)| *program == place.program);
        drop(live);
        let has_ended = place.read(|program| Ok(program.ended.is_some())).unwrap_or(false);
        if has_ended && !is_busy && !place.home.lost.is_cancelled() {
            self.note_former_homes(place);
            self.dispatcher.program_ended(&place.program);
        }
    }

    /// Reports to the dispatcher the models whose engines former homes may have used.
    fn note_former_homes(&self, place: &ProgramHandle) {
        let epoch = place.home.epoch;
        let models = place.read(|program| match program.created_under < epoch {
            true => Ok(program.models()),
            false => Ok(BTreeSet::new()),
        });
        for model in models.unwrap_or_default() {
            self.dispatcher.sent_elsewhere(&place.program, &model);
        }
    }

    fn observe_latency(&self, place: &ProgramHandle) {
        let wall = self.cx.clock.wall();
        let found = place.read(|program| Ok((self.entry_of(program)?, program.created_at)));
        let Ok((entry, created_at)) = found else {
            return;
        };
        let labels = [entry.name.as_str(), &entry.class.to_string()];
        let latency = Duration::from_millis(wall.0.saturating_sub(created_at.0));
        self.cx.metrics.program_seconds.with_label_values(&labels).observe(latency.as_secs_f64());
    }

    /// Removes a tree whose programs have all ended from the journal and from memory.
    pub(super) async fn forget(&self, place: &ProgramHandle) {
        let _writer = place.tree.writer.lock().await;
        let root = place.program.root();
        // The next sweep retries.
        if place.home.journal.forget(&root).await.is_ok() {
            place.home.trees.lock().expect("not poisoned").live.remove(&root);
            self.record_forgotten(&root);
        }
    }

    pub(super) fn record_forgotten(&self, root: &ProgramId) {
        let subject = Subject { program: Some(root.clone()), ..Subject::default() };
        self.cx.events.record(EventNumber::ProgramForgotten, subject, "program forgotten");
    }
}
