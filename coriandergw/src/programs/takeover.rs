//! Takes over a partition: fences it, rebuilds its programs and resumes their calls.

use std::sync::Arc;

use crate::events::EventNumber;
use crate::events::Subject;
use crate::ids::CallId;
use crate::ids::ProgramId;
use crate::programs::accept::CallStart;
use crate::programs::home::Home;
use crate::programs::home::LiveTree;
use crate::programs::home::ProgramHandle;
use crate::programs::home::Programs;
use crate::programs::journal::JournalError;
use crate::programs::state::Tree;

impl Programs {
    /// Fences a partition, rebuilds its programs from the journal and resumes their calls.
    pub(super) async fn load(self: &Arc<Self>, home: &Arc<Home>) -> Result<(), JournalError> {
        home.journal.fence().await?;
        let states = home.journal.read().await?;
        let count = states.len();
        let mut handles = Vec::new();
        let mut trees = home.trees.lock().expect("not poisoned");
        for (root, state) in states {
            let tree = Arc::new(LiveTree::from_state(state));
            handles.push(ProgramHandle {
                home: home.clone(),
                tree: tree.clone(),
                program: root.clone(),
            });
            trees.live.insert(root, tree);
        }
        drop(trees);
        for handle in handles {
            self.resume(&handle);
        }
        if count > 0 {
            let subject = Subject { epoch: Some(home.epoch.0), ..Subject::default() };
            let message = format!("partition {} taken over, {count} trees", home.partition);
            self.cx.events.record(EventNumber::PartitionTaken, subject, message);
        }
        Ok(())
    }

    fn resume(self: &Arc<Self>, handle: &ProgramHandle) {
        let (open, ended) = unfinished(&handle.tree.state.lock().expect("not poisoned"));
        for (program, call) in open {
            let handle = ProgramHandle { program, ..handle.clone() };
            // Fails if the call was answered meanwhile, and then nothing remains to be done.
            let _ = self.join_or_start(&handle, &call, CallStart::default());
        }
        // The former home may not have released the engine memory. Releasing again is harmless.
        for program in ended {
            self.release_if_idle(&ProgramHandle { program, ..handle.clone() });
        }
    }
}

/// Returns the calls without a result and the programs that have ended.
fn unfinished(tree: &Tree) -> (Vec<(ProgramId, CallId)>, Vec<ProgramId>) {
    let mut open = Vec::new();
    let mut ended = Vec::new();
    for program in tree.programs.values() {
        let calls = program.calls.iter().filter(|(_, call)| call.result.is_none());
        open.extend(calls.map(|(id, _)| (program.id.clone(), id.clone())));
        if program.ended.is_some() {
            ended.push(program.id.clone());
        }
    }
    (open, ended)
}
