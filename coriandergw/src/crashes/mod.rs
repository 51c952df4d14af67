//! Requests that crash the endpoints that run them.
//!
//! An entry instance that loses a response checks whether the endpoint still accepts connections. An
//! endpoint that refuses them has crashed, and every request that it was running is a suspect. The
//! instance reports the crash to the core instances, which publish it with the roster, so that all
//! instances count the crashes of a request together, see [`table`].
//!
//! A suspect of two crashes is sent to an endpoint apart from other such suspects, so that a third
//! crash tells which of them is to blame, see [`isolation`]. A suspect of three is not sent any
//! more. A complete answer clears a request.
//!
//! Requests are counted one by one and by class. One complete answer clears the class, so a class
//! that many callers send requests of is not blocked because of one of them.

use std::collections::BTreeSet;

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use hyper::Method;
use sha2::Digest as _;
use sha2::Sha256;

use crate::ids::EndpointName;

#[allow(missing_docs, clippy::all)]
pub(crate) mod generated;
pub mod isolation;
pub mod reporter;
pub mod server;
pub mod table;
mod wire;

/// The length of each part of a request digest, in bytes.
const DIGEST_BYTES: usize = 16;

/// How much of a body identifies the class of a request, in bytes.
const CLASS_BODY_BYTES: usize = 512;

/// Identifies a request by its content, so that a repetition has the same digest wherever it
/// arrives. Headers, which differ between attempts, are not part of it.
///
/// Requests of one class have the same method, host and path, and bodies that begin alike. What
/// crashes endpoints may be at the beginning of a conversation that grows with each request.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Display)]
#[display("{}-{}", hex::encode(class), hex::encode(content))]
pub struct RequestDigest {
    class: [u8; DIGEST_BYTES],
    content: [u8; DIGEST_BYTES],
}

impl std::fmt::Debug for RequestDigest {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{self}")
    }
}

impl RequestDigest {
    /// Computes the digest of a request; `path` includes the query.
    pub fn of(method: &Method, host: &str, path: &str, body: &Bytes) -> Self {
        let (beginning, rest) = body.split_at(body.len().min(CLASS_BODY_BYTES));
        let mut hash = Sha256::new();
        for part in [method.as_str().as_bytes(), host.as_bytes(), path.as_bytes(), beginning] {
            // The lengths keep parts apart that are equal when joined.
            hash.update((part.len() as u64).to_be_bytes());
            hash.update(part);
        }
        let class = truncated(hash.clone());
        hash.update(rest);
        Self { class, content: truncated(hash) }
    }

    /// Returns the digest of the same request sent by a client account. Requests of two accounts are
    /// never the same one, so that what one of them sends is not held against the other.
    pub fn sent_by(self, account: &str) -> Self {
        let keyed = |part: &[u8]| {
            let mut hash = Sha256::new();
            hash.update(part);
            hash.update(account);
            truncated(hash)
        };
        Self { class: keyed(&self.class), content: keyed(&self.content) }
    }

    /// Returns the digest that stands for all requests of the same class.
    pub fn of_class(self) -> Self {
        Self { content: [0; DIGEST_BYTES], ..self }
    }

    /// Returns whether two requests are of the same class.
    pub fn has_class_of(&self, other: &Self) -> bool {
        self.class == other.class
    }
}

fn truncated(hash: Sha256) -> [u8; DIGEST_BYTES] {
    let mut digest = [0; DIGEST_BYTES];
    digest.copy_from_slice(&hash.finalize()[..DIGEST_BYTES]);
    digest
}

/// One start of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation {
    /// The name of the endpoint, which a later incarnation may reuse.
    pub endpoint: EndpointName,
    /// The start time, in milliseconds since the Unix epoch.
    pub started_ms: u64,
}

/// What is known of one crash. Reports of several instances are merged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Crash {
    /// The endpoint that crashed.
    pub incarnation: Incarnation,
    /// The requests that the endpoint had.
    pub suspects: BTreeSet<RequestDigest>,
    /// The requests that were answered completely since, and their classes.
    pub cleared: BTreeSet<RequestDigest>,
}

impl Crash {
    /// Creates the report of a request that an endpoint had when it crashed.
    pub fn with_suspect(incarnation: Incarnation, suspect: RequestDigest) -> Self {
        Self { incarnation, suspects: BTreeSet::from([suspect]), cleared: BTreeSet::new() }
    }

    /// Returns whether a request is a suspect of this crash.
    pub fn accuses(&self, request: &RequestDigest) -> bool {
        self.suspects.contains(request) && !self.cleared.contains(request)
    }

    /// Returns whether any request of a class is a suspect, and none was answered completely.
    pub fn accuses_class_of(&self, request: &RequestDigest) -> bool {
        let class = request.of_class();
        // The digest of a class sorts before those of its requests.
        let first = self.suspects.range(class..).next();
        first.is_some_and(|suspect| suspect.has_class_of(&class)) && !self.cleared.contains(&class)
    }
}

/// A message on crashes has an invalid field.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
#[display("invalid {field} in a message on crashes")]
pub struct CrashMessageError {
    /// The description of the invalid field.
    #[error(not(source))]
    pub field: &'static str,
}

#[cfg(test)]
mod tests;
