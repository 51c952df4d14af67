//! An operator's client: catalogue entries and their changes.

use std::net::SocketAddr;

use hyper::Method;
use serde_json::Value;

use crate::cluster::OPERATOR_KEY;
use crate::http::Answer;
use crate::http::Call;
use crate::http::Client;
use crate::http::HttpError;

/// A change of one entry.
#[derive(Debug, Clone, PartialEq)]
pub struct EntryChange {
    /// The entry.
    pub entry: String,
    /// What it shall be.
    pub body: Value,
    /// The revision that the change is made against; 0 for a new entry.
    pub against: u64,
    /// The change id.
    pub id: String,
}

/// An operator.
#[derive(Debug, Clone, Default)]
pub struct Operator {
    client: Client,
}

impl Operator {
    /// Sends a change once.
    ///
    /// # Errors
    /// Fails if no whole answer arrives.
    pub async fn put(&self, to: SocketAddr, change: &EntryChange) -> Result<Answer, HttpError> {
        let url = format!("http://{to}/v1/catalogue/entries/{}", change.entry);
        let call = Call::new(Method::PUT, &url)
            .bearer(OPERATOR_KEY)
            .header("if-match", &format!("\"{}\"", change.against))
            .header("change-id", &change.id)
            .json(&change.body);
        self.client.send(call).await
    }

    /// Reads an entry.
    ///
    /// # Errors
    /// Fails if no whole answer arrives.
    pub async fn read(&self, from: SocketAddr, entry: &str) -> Result<Answer, HttpError> {
        let url = format!("http://{from}/v1/catalogue/entries/{entry}");
        self.client.send(Call::new(Method::GET, &url).bearer(OPERATOR_KEY)).await
    }

    /// Returns the revision of an entry at an instance; nothing if it has none or does not answer.
    pub async fn revision(&self, from: SocketAddr, entry: &str) -> Option<u64> {
        let answer = self.read(from, entry).await.ok()?;
        answer.json()["revision"].as_u64().filter(|_| answer.status == 200)
    }

    /// Changes an entry against the revision that the instance shows, and returns the new one.
    ///
    /// An attempt against another revision is another change, so it has an id of its own; a repeat
    /// against the same revision is a resend.
    pub async fn try_change(
        &self,
        to: SocketAddr,
        entry: &str,
        body: &Value,
        id: &str,
    ) -> Option<u64> {
        let against = self.revision(to, entry).await.unwrap_or(0);
        let change = EntryChange {
            entry: entry.to_owned(),
            body: body.clone(),
            against,
            id: format!("{id}-{against}"),
        };
        accepted_revision(&self.put(to, &change).await.ok()?)
    }
}

/// Returns the revision that an answer to a change names.
pub fn accepted_revision(answer: &Answer) -> Option<u64> {
    (answer.status == 200).then(|| answer.json()["revision"].as_u64()).flatten()
}
