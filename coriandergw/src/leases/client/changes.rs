//! Reading, changing and reporting the configuration through this instance.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;

use crate::catalogue::CatalogueView;
use crate::catalogue::CatalogueWriter;
use crate::catalogue::Change;
use crate::catalogue::ChangeAnswer;
use crate::catalogue::Entry;
use crate::control::HistoryRecord;
use crate::control::Instance;
use crate::control::change_command;
use crate::control::decode_change_answer;
use crate::ids::CONTROL_GROUP;
use crate::ids::EntryName;
use crate::ids::Revision;
use crate::leases::client::ControlClient;
use crate::leases::generated::HistoryAnswer;
use crate::leases::generated::HistoryQuery;
use crate::leases::generated::StatusAnswer;
use crate::leases::generated::StatusQuery;
use crate::leases::generated::request::Kind;
use crate::leases::messages::decode_answer;
use crate::leases::status::ClusterStatus;
use crate::leases::status::HistoryItem;
use crate::leases::status::StatusReport;
use crate::leases::status::leader_unreachable;
use crate::leases::status::outcome_unknown;
use crate::leases::status::report;
use crate::log_groups::ProposeError;

/// How long a change is retried before the operator gets an error.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(10);

/// The interval between two attempts to propose a change.
const CHANGE_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// The maximum time by which the answer to an accepted change is delayed so that this instance can
/// apply the change first.
const APPLY_WAIT: Duration = Duration::from_secs(2);

impl ControlClient {
    async fn await_applied(&self, revision: Revision) {
        let wait = async {
            loop {
                let applied = self.applied.notified();
                tokio::pin!(applied);
                applied.as_mut().enable();
                if self.revision() >= revision {
                    return;
                }
                self.wake();
                applied.await;
            }
        };
        // On a timeout the answer is still correct: the change is accepted.
        let _ = tokio::time::timeout(APPLY_WAIT, wait).await;
    }

    async fn propose_change(&self, change: &Change) -> ChangeAnswer {
        let command = change_command(change, self.cx.clock.wall()).encode_command();
        let started_at = self.cx.clock.now();
        let mut may_have_run = false;
        loop {
            match self.log.propose(CONTROL_GROUP, command.clone()).await {
                Ok(answer) => return decode_change_answer(&answer),
                Err(ProposeError::Unknown { .. }) => may_have_run = true,
                Err(ProposeError::NotProposed { .. }) => {}
            }
            if self.cx.clock.now().since(started_at) >= CHANGE_TIMEOUT {
                return Err(match may_have_run {
                    true => outcome_unknown(&change.id),
                    false => leader_unreachable(),
                });
            }
            tokio::time::sleep(CHANGE_RETRY_INTERVAL).await;
        }
    }
}

impl CatalogueView for ControlClient {
    fn entry(&self, name: &EntryName) -> Option<Arc<Entry>> {
        self.with_published(|published| published.entries().get(name).cloned())
    }

    fn entries(&self) -> Vec<Arc<Entry>> {
        self.with_published(|published| published.entries().values().cloned().collect())
    }

    fn revision(&self) -> Revision {
        self.holder.lock().expect("not poisoned").revision()
    }
}

#[async_trait]
impl CatalogueWriter for ControlClient {
    async fn change(&self, change: Change) -> ChangeAnswer {
        let answer = self.propose_change(&change).await;
        if let Ok(revision) = &answer {
            self.await_applied(*revision).await;
        }
        answer
    }
}

#[async_trait]
impl ClusterStatus for ControlClient {
    async fn status(&self) -> StatusReport {
        let answer = self.ask_leader(Kind::Status(StatusQuery {})).await;
        let answer = answer.and_then(|(_, answer)| decode_answer::<StatusAnswer>(answer).ok());
        self.with_published(|published| report(published, answer))
    }

    async fn history(
        &self,
        entry: &EntryName,
    ) -> Result<Vec<HistoryItem>, crate::result_code::Refusal> {
        let query = Kind::History(HistoryQuery { entry: entry.to_string() });
        let (_, answer) = self.ask_leader(query).await.ok_or_else(leader_unreachable)?;
        let answer: HistoryAnswer = decode_answer(answer).map_err(|_| leader_unreachable())?;
        let records = answer.records.into_iter();
        let parsed = records.filter_map(|record| decode_answer::<HistoryRecord>(record).ok());
        Ok(parsed.map(|record| HistoryItem::from(&record)).collect())
    }

    fn instances(&self) -> Vec<Arc<Instance>> {
        self.with_published(|published| published.instances().values().cloned().collect())
    }
}
