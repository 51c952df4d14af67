//! Reports to other instances which of the programs served here are live.

use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;
use prost::Message;

use crate::ids::InstanceName;
use crate::ids::ProgramId;
use crate::orders::ProgramLiveness;
use crate::programs::Programs;
use crate::programs::generated::LivesAnswer;
use crate::programs::generated::LivesQuery;
use crate::programs::generated::lives_answer::Life as WireLife;
use crate::transport::Handler;

impl Programs {
    /// Returns whether a program is live, or `None` unless this instance is its home and has loaded
    /// the partition.
    pub fn liveness(&self, id: &ProgramId) -> Option<ProgramLiveness> {
        let partition = id.partition();
        let home = self.homes.lock().expect("not poisoned").get(&partition).cloned()?;
        let held = self.partitions.held(partition, self.cx.clock.now());
        if held != Some(home.epoch) || home.lost.is_cancelled() || !home.loaded.initialized() {
            return None;
        }
        let is_live = home.trees.lock().expect("not poisoned").is_live(id);
        Some(if is_live { ProgramLiveness::Live } else { ProgramLiveness::Gone })
    }
}

impl From<Option<ProgramLiveness>> for WireLife {
    fn from(liveness: Option<ProgramLiveness>) -> Self {
        match liveness {
            None => WireLife::NotKnown,
            Some(ProgramLiveness::Live) => WireLife::Live,
            Some(ProgramLiveness::Gone) => WireLife::Gone,
        }
    }
}

impl From<WireLife> for Option<ProgramLiveness> {
    fn from(liveness: WireLife) -> Self {
        match liveness {
            WireLife::NotKnown => None,
            WireLife::Live => Some(ProgramLiveness::Live),
            WireLife::Gone => Some(ProgramLiveness::Gone),
        }
    }
}

/// Handles the liveness queries of other instances.
pub struct ProgramLivenessHandler(pub Arc<Programs>);

#[async_trait]
impl Handler for ProgramLivenessHandler {
    async fn handle(&self, _from: &InstanceName, payload: Bytes) -> Result<Bytes, String> {
        let query = LivesQuery::decode(payload).map_err(|cause| cause.to_string())?;
        let mut answer = LivesAnswer::default();
        for program in query.programs {
            let program = ProgramId::try_from(program).map_err(|cause| cause.to_string())?;
            answer.push_lives(self.0.liveness(&program).into());
        }
        Ok(answer.encode_to_vec().into())
    }
}
