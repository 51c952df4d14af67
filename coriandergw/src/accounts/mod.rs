//! Client accounts: who sends a request, and the limit and priority of that account.
//!
//! A configuration that lists accounts makes callers identify themselves by a key. The table keeps
//! digests of the keys only, so that no key can reach a log line, a metric or an error.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

use derive_more::Display;
use derive_more::Error;
use ring::hmac;
use ring::rand::SystemRandom;

/// A key that a caller sent or a configuration holds. Its text is never formatted.
#[derive(Clone, PartialEq, Eq)]
pub struct AccountKey(Arc<str>);

impl From<&str> for AccountKey {
    fn from(text: &str) -> Self {
        Self(text.into())
    }
}

impl fmt::Debug for AccountKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("AccountKey(..)")
    }
}

/// What a request says of the account that sends it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum Credential {
    /// The request has no key.
    #[default]
    Missing,
    /// The request has more than one key, or one in another form.
    Malformed,
    /// The request has one key.
    Key(AccountKey),
}

/// The rate limit of an account, over all instances.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AccountLimit {
    /// The requests a second; positive and finite.
    pub per_second: f64,
    /// The requests beyond the rate that may come at once; not negative and finite.
    pub burst: f64,
}

/// A client account.
#[derive(Debug, Clone, PartialEq)]
pub struct Account {
    /// The name of the account in the configuration, metrics and logs.
    pub name: Arc<str>,
    /// The limit on its requests; `None` if there is none.
    pub limit: Option<AccountLimit>,
    /// The priority of its requests, which takes precedence over that of their route.
    pub priority: Option<u8>,
}

/// Why a request is refused before its account is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum CredentialError {
    /// The route requires a key and the request has none.
    #[display("the request has no key of an account")]
    Missing,
    /// The request has several keys, or one in another form.
    #[display("the key of the account is malformed")]
    Malformed,
    /// No account has this key.
    #[display("no account has this key")]
    Unknown,
}

/// Two accounts have the same key.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
#[display("accounts {first} and {second} have a key in common")]
pub struct SharedKeyError {
    /// The name of one account.
    pub first: Arc<str>,
    /// The name of the other account.
    pub second: Arc<str>,
}

type KeyDigest = [u8; 32];

/// The accounts of one configuration.
#[derive(Clone)]
pub struct AccountTable {
    digest_key: hmac::Key,
    by_key: HashMap<KeyDigest, Arc<Account>>,
}

impl AccountTable {
    /// Builds the table of the accounts and their keys.
    ///
    /// # Errors
    /// Fails if two accounts have the same key.
    pub fn new(accounts: Vec<(Account, Vec<AccountKey>)>) -> Result<Self, SharedKeyError> {
        // The digest key is random for each table, so the digests are of no use outside it.
        let digest_key = hmac::Key::generate(hmac::HMAC_SHA256, &SystemRandom::new())
            .expect("the operating system provides random numbers");
        let mut table = Self { digest_key, by_key: HashMap::new() };
        for (account, keys) in accounts {
            let account = Arc::new(account);
            for key in keys {
                let known = table.by_key.insert(table.digest(&key), account.clone());
                if let Some(known) = known.filter(|known| known.name != account.name) {
                    let (first, second) = (known.name.clone(), account.name.clone());
                    return Err(SharedKeyError { first, second });
                }
            }
        }
        Ok(table)
    }

    /// Returns the account that a request belongs to; `None` if it has no key and may be anonymous.
    ///
    /// # Errors
    /// Fails if the key is malformed or unknown, or is missing and required.
    pub fn identify(
        &self,
        credential: &Credential,
        allows_anonymous: bool,
    ) -> Result<Option<Arc<Account>>, CredentialError> {
        match credential {
            Credential::Missing if allows_anonymous => Ok(None),
            Credential::Missing => Err(CredentialError::Missing),
            Credential::Malformed => Err(CredentialError::Malformed),
            Credential::Key(key) => match self.by_key.get(&self.digest(key)) {
                Some(account) => Ok(Some(account.clone())),
                None => Err(CredentialError::Unknown),
            },
        }
    }

    fn digest(&self, key: &AccountKey) -> KeyDigest {
        let tag = hmac::sign(&self.digest_key, key.0.as_bytes());
        tag.as_ref().try_into().expect("HMAC-SHA-256 tags have 32 bytes")
    }
}

impl fmt::Debug for AccountTable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("AccountTable").field("keys", &self.by_key.len()).finish()
    }
}

#[cfg(test)]
mod tests;
