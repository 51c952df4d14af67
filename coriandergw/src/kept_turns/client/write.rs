//! Writes a turn to as many disks as it has to be on.

use std::collections::BTreeSet;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::time::Instant;

use crate::ids::InstanceName;
use crate::kept_turns::Chain;
use crate::kept_turns::KeepError;
use crate::kept_turns::TurnRecord;
use crate::kept_turns::client::KeptTurnsClient;
use crate::kept_turns::client::messages::call;
use crate::kept_turns::generated as raw;
use crate::kept_turns::wire::encode_request;

/// How long an instance may take before the next one is written to as well; a sync takes 5 ms, and
/// a busy disk some tens of milliseconds.
const HEDGE_DELAY: Duration = Duration::from_millis(100);

/// The pause before instances that did not write a turn are tried again.
const ROUND_PAUSE: Duration = Duration::from_millis(50);

/// The most bytes of inputs and outputs in a message of several records: small enough that a chain
/// delays other messages on the connection little.
const MESSAGE_BYTES: usize = 1 << 20;

/// The progress of one write.
#[derive(Default)]
struct Write {
    written: BTreeSet<InstanceName>,
    /// The last failure.
    reason: Option<String>,
}

impl KeptTurnsClient {
    /// Writes a turn; tries all instances again and again until the deadline.
    pub(super) async fn write(
        &self,
        record: TurnRecord,
        chain: &Chain,
        deadline: Instant,
    ) -> Result<(), KeepError> {
        let mut write = Write::default();
        loop {
            self.write_round(&mut write, &record, chain, deadline).await;
            if write.written.len() >= self.replicas {
                return Ok(());
            }
            if Instant::now() + ROUND_PAUSE >= deadline {
                let reason = write.reason.unwrap_or_else(|| "no answer in time".to_owned());
                let (written, wanted) = (write.written.len(), self.replicas);
                return Err(KeepError { written, wanted, reason });
            }
            tokio::time::sleep(ROUND_PAUSE).await;
        }
    }

    /// Writes to the first instances in the order of preference, and to the next ones for those that
    /// fail or are slow, until enough have written or none is left.
    async fn write_round(
        &self,
        write: &mut Write,
        record: &TurnRecord,
        chain: &Chain,
        deadline: Instant,
    ) {
        let TurnRecord { key, root, .. } = record;
        let ordered = self.directory.holders(Duration::ZERO).writable(&key.account, root);
        if ordered.len() < self.replicas {
            write.reason = Some(format!("{} instances that take turns are heard", ordered.len()));
        }
        let request = keep_request(std::slice::from_ref(record));
        let write_to = |holder: InstanceName| {
            let request = request.clone();
            async move {
                let written = self.write_to(&holder, request, record, chain, deadline).await;
                (holder, written)
            }
        };
        let is_left = |holder: &InstanceName| !write.written.contains(holder);
        let left: Vec<InstanceName> = ordered.into_iter().filter(is_left).collect();
        let mut left = left.into_iter();
        let missing = self.replicas.saturating_sub(write.written.len());
        let mut pending: FuturesUnordered<_> = left.by_ref().take(missing).map(write_to).collect();
        let mut hedge_at = Instant::now() + HEDGE_DELAY;
        while write.written.len() < self.replicas {
            tokio::select! {
                result = pending.next() => match result {
                    None => return,
                    Some((holder, Ok(()))) => {
                        write.written.insert(holder);
                    }
                    Some((holder, Err(cause))) => {
                        log::debug!("turn {} not written by {holder}: {cause}", key.turn);
                        write.reason = Some(cause);
                        pending.extend(left.next().map(write_to));
                    }
                },
                () = tokio::time::sleep_until(hedge_at), if left.len() > 0 => {
                    let missing = self.replicas - write.written.len();
                    pending.extend(left.by_ref().take(missing).map(write_to));
                    hedge_at = Instant::now() + HEDGE_DELAY;
                }
                () = tokio::time::sleep_until(deadline) => return,
            }
        }
    }

    /// Writes a turn to one instance, with the whole chain if the instance lacks it.
    async fn write_to(
        &self,
        holder: &InstanceName,
        request: Bytes,
        record: &TurnRecord,
        chain: &Chain,
        deadline: Instant,
    ) -> Result<(), String> {
        let answer = self.send_records(holder, request, deadline).await?;
        if !answer.previous_missing {
            return check_written(holder, answer);
        }
        let mut records = chain.records.clone();
        // Writing a turn renews the expiry of those before it.
        records.iter_mut().for_each(|one| one.expires_ms = one.expires_ms.max(record.expires_ms));
        records.push(record.clone());
        for part in split_by_size(&records) {
            let answer = self.send_records(holder, keep_request(part), deadline).await?;
            check_written(holder, answer)?;
        }
        Ok(())
    }

    async fn send_records(
        &self,
        holder: &InstanceName,
        request: Bytes,
        deadline: Instant,
    ) -> Result<raw::KeepAnswer, String> {
        let timeout = deadline.saturating_duration_since(Instant::now());
        match call(&*self.transport, holder, request, timeout).await? {
            raw::answer::Body::Keep(answer) => Ok(answer),
            _ => Err(format!("instance {holder} answered a write with something else")),
        }
    }
}

fn keep_request(records: &[TurnRecord]) -> Bytes {
    let records = records.iter().map(raw::Record::from).collect();
    encode_request(raw::request::Body::Keep(raw::Keep { records }))
}

fn check_written(holder: &InstanceName, answer: raw::KeepAnswer) -> Result<(), String> {
    match answer {
        raw::KeepAnswer { written: true, previous_missing: false } => Ok(()),
        raw::KeepAnswer { previous_missing: true, .. } => {
            Err(format!("instance {holder} lacks the turn before"))
        }
        _ => Err(format!("instance {holder} refused to write the turn")),
    }
}

/// Splits records into consecutive parts that fit into one message each.
fn split_by_size(records: &[TurnRecord]) -> Vec<&[TurnRecord]> {
    let mut parts = Vec::new();
    let (mut start, mut bytes) = (0, 0);
    for (position, record) in records.iter().enumerate() {
        let size = record.input.len() + record.output.len();
        if position > start && bytes + size > MESSAGE_BYTES {
            parts.push(&records[start..position]);
            (start, bytes) = (position, 0);
        }
        bytes += size;
    }
    parts.push(&records[start..]);
    parts
}
