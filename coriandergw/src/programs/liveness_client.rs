//! Asks the homes of programs which programs are live.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use futures_util::StreamExt;
use prost::Message;

use crate::context::Context;
use crate::ids::Epoch;
use crate::ids::InstanceName;
use crate::ids::ProgramId;
use crate::leases::Partitions;
use crate::orders::ProgramLiveness;
use crate::orders::ProgramLivenessSource;
use crate::programs::Programs;
use crate::programs::generated::LivesAnswer;
use crate::programs::generated::LivesQuery;
use crate::transport::Kind;
use crate::transport::Transport;

/// The most programs in one query.
const MAX_PROGRAMS_PER_QUERY: usize = 1_000;

/// The most queries in flight.
const MAX_CONCURRENT_QUERIES: usize = 16;

/// The time-out of a query.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Queries the homes of programs, which may include this instance.
pub struct ProgramLivenessClient {
    cx: Context,
    programs: Arc<Programs>,
    partitions: Arc<dyn Partitions>,
    transport: Option<Arc<dyn Transport>>,
}

impl ProgramLivenessClient {
    /// Creates the client. Without a transport it queries only this instance.
    pub fn new(
        cx: Context,
        programs: Arc<Programs>,
        partitions: Arc<dyn Partitions>,
        transport: Option<Arc<dyn Transport>>,
    ) -> Self {
        Self { cx, programs, partitions, transport }
    }

    fn by_home(&self, programs: &[ProgramId]) -> BTreeMap<InstanceName, Vec<ProgramId>> {
        let mut by_home = BTreeMap::<InstanceName, Vec<ProgramId>>::new();
        for program in programs {
            if let Some(home) = self.partitions.home(program.partition()) {
                by_home.entry(home.instance).or_default().push(program.clone());
            }
        }
        by_home
    }

    fn query_local(&self, programs: Vec<ProgramId>) -> Vec<(ProgramId, Option<ProgramLiveness>)> {
        let liveness = |program: ProgramId| {
            let liveness = self.programs.liveness(&program);
            (program, liveness)
        };
        programs.into_iter().map(liveness).collect()
    }

    async fn query(&self, home: &InstanceName, programs: &[ProgramId]) -> Option<LivesAnswer> {
        let names = programs.iter().map(ProgramId::to_string).collect();
        let payload = LivesQuery { programs: names }.encode_to_vec();
        let transport = self.transport.as_ref()?;
        let answer = transport.call(home, Kind::Programs, payload.into(), ANSWER_TIMEOUT);
        LivesAnswer::decode(answer.await.ok()?).ok()
    }

    async fn query_remote(
        &self,
        home: InstanceName,
        programs: Vec<ProgramId>,
    ) -> Vec<(ProgramId, Option<ProgramLiveness>)> {
        match self.query(&home, &programs).await {
            Some(answer) => {
                let liveness: Vec<Option<ProgramLiveness>> =
                    answer.lives().map(Option::from).collect();
                programs.into_iter().zip(liveness).collect()
            }
            None => Vec::new(),
        }
    }
}

#[async_trait]
impl ProgramLivenessSource for ProgramLivenessClient {
    fn epoch(&self, program: &ProgramId) -> Option<Epoch> {
        self.partitions.home(program.partition()).map(|home| home.epoch)
    }

    async fn liveness(&self, programs: &[ProgramId]) -> BTreeMap<ProgramId, ProgramLiveness> {
        let mut known = Vec::new();
        let mut by_home = self.by_home(programs);
        if let Some(own) = by_home.remove(&self.cx.instance) {
            known.extend(self.query_local(own));
        }
        let batches = by_home.into_iter().flat_map(|(home, programs)| {
            let batches: Vec<Vec<ProgramId>> =
                programs.chunks(MAX_PROGRAMS_PER_QUERY).map(<[ProgramId]>::to_vec).collect();
            batches.into_iter().map(move |batch| (home.clone(), batch))
        });
        let queries = batches.map(|(home, batch)| self.query_remote(home, batch));
        let queries: Vec<_> = queries.collect();
        let mut answers =
            futures_util::stream::iter(queries).buffer_unordered(MAX_CONCURRENT_QUERIES);
        while let Some(answer) = answers.next().await {
            known.extend(answer);
        }
        known.into_iter().filter_map(|(program, liveness)| Some((program, liveness?))).collect()
    }
}
