//! Requests that crash the endpoints that run them.
//!
//! An entry instance that loses a response checks whether the endpoint still accepts connections. An
//! endpoint that refuses them has crashed, and every request that it was running is a suspect.

use bytes::Bytes;
use derive_more::Display;
use hyper::Method;
use sha2::Digest as _;
use sha2::Sha256;

/// The length of a request digest, in bytes.
const DIGEST_BYTES: usize = 16;

/// Identifies a request by its content, so that a repetition has the same digest wherever it
/// arrives. Headers, which differ between attempts, are not part of it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Display)]
#[display("{}", hex::encode(_0))]
pub struct RequestDigest([u8; DIGEST_BYTES]);

impl std::fmt::Debug for RequestDigest {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{self}")
    }
}

impl RequestDigest {
    /// Computes the digest of a request; `path` includes the query.
    pub fn of(method: &Method, host: &str, path: &str, body: &Bytes) -> Self {
        let mut hash = Sha256::new();
        for part in [method.as_str().as_bytes(), host.as_bytes(), path.as_bytes(), body] {
            // The lengths keep parts apart that are equal when joined.
            hash.update((part.len() as u64).to_be_bytes());
            hash.update(part);
        }
        let mut digest = [0; DIGEST_BYTES];
        digest.copy_from_slice(&hash.finalize()[..DIGEST_BYTES]);
        Self(digest)
    }
}

#[cfg(test)]
mod tests;
