//! Catalogue entries and their validation.

use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Serialize;

use crate::ids::EntryName;
use crate::ids::NameError;
use crate::ids::OwnerName;
use crate::ids::Revision;

/// The service class of an entry: how urgently its programs should finish.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Display, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// A person waits for each step.
    #[display("interactive")]
    Interactive,
    /// A person waits for the final result.
    #[default]
    #[display("standard")]
    Standard,
    /// Nobody waits for the result.
    #[display("background")]
    Background,
}

impl Class {
    /// All classes, the most urgent first.
    pub const ALL: &[Class] = &[Class::Interactive, Class::Standard, Class::Background];

    /// Returns the weight of the class in weighted sharing of service.
    pub fn weight(self) -> u32 {
        match self {
            Class::Interactive => 16,
            Class::Standard => 4,
            Class::Background => 1,
        }
    }
}

/// The limits of an entry. Every limit applies to the whole system, not to each instance.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// The most programs of this entry that may run at once.
    pub programs: u64,
    /// The most calls of this entry that may be in flight at once.
    pub calls_in_flight: u64,
    /// The most programs that may be created per second.
    pub programs_per_second: u64,
    /// The largest token budget of a program.
    pub tokens: u64,
    /// The largest call budget of a program.
    pub calls: u64,
    /// The most turns that a program may take.
    pub turns: u64,
    /// The time without a call after which a program is ended, in milliseconds.
    pub idle_ms: u64,
    /// The time after which a program is ended in any case, in milliseconds.
    pub wall_ms: u64,
    /// The time that one tool or service call may take, in milliseconds.
    pub tool_ms: u64,
    /// The time that a call may wait in a queue, in milliseconds.
    pub queue_ms: u64,
    /// Whether cached prefixes may be shared with other programs of the same owner.
    pub share_prefixes: bool,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            programs: 100_000,
            calls_in_flight: 10_000,
            programs_per_second: 10_000,
            tokens: 1_000_000,
            calls: 1_000,
            turns: 260,
            idle_ms: 30 * 60 * 1_000,
            wall_ms: 24 * 60 * 60 * 1_000,
            tool_ms: 60 * 1_000,
            queue_ms: 30 * 1_000,
            share_prefixes: false,
        }
    }
}

impl Limits {
    /// Returns `idle_ms` as a duration.
    pub fn idle(&self) -> Duration {
        Duration::from_millis(self.idle_ms)
    }

    /// Returns `wall_ms` as a duration.
    pub fn wall(&self) -> Duration {
        Duration::from_millis(self.wall_ms)
    }

    /// Returns `tool_ms` as a duration.
    pub fn tool(&self) -> Duration {
        Duration::from_millis(self.tool_ms)
    }

    /// Returns `queue_ms` as a duration.
    pub fn queue(&self) -> Duration {
        Duration::from_millis(self.queue_ms)
    }
}

/// An entry as written by operators, not yet validated.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawEntry {
    /// The name; may be omitted if the path contains it.
    #[serde(default)]
    pub name: String,
    /// The name of the owner.
    pub owner: String,
    /// How urgently the programs of the entry should finish.
    #[serde(default)]
    pub class: Class,
    /// The limits; omitted ones take their defaults.
    #[serde(default)]
    pub limits: Limits,
    /// The SHA-256 digests, in hexadecimal, of the bearer keys of the accounts that may use the
    /// entry.
    #[serde(default)]
    pub account_key_digests: Vec<String>,
    /// The revision of the last change; a value that an operator sends is ignored.
    #[serde(default)]
    pub revision: u64,
}

/// A validated entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The name, unique in the catalogue.
    pub name: EntryName,
    /// The owner; histories and prefixes are never shared between owners.
    pub owner: OwnerName,
    /// How urgently the programs of the entry should finish.
    pub class: Class,
    /// The limits of the entry and of each of its programs.
    pub limits: Limits,
    /// The SHA-256 digests, in hexadecimal, of the bearer keys that may use the entry.
    pub account_key_digests: Vec<String>,
    /// The revision of the last change.
    pub revision: Revision,
}

/// Why an entry is not valid.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum EntryError {
    /// The name of the entry is not valid.
    #[display("name: {cause}")]
    Name {
        /// Why the name is not valid.
        cause: NameError,
    },
    /// The name of the owner is not valid.
    #[display("owner: {cause}")]
    Owner {
        /// Why the name is not valid.
        cause: NameError,
    },
    /// A limit is zero.
    #[display("limits.{limit}: must be at least 1")]
    ZeroLimit {
        /// The name of the limit.
        limit: &'static str,
    },
    /// A key digest is not 64 hexadecimal digits.
    #[display("account_key_digests: {digest:?} is not 64 hexadecimal digits")]
    BadDigest {
        /// The digest as given.
        digest: String,
    },
}

impl TryFrom<RawEntry> for Entry {
    type Error = EntryError;

    fn try_from(raw: RawEntry) -> Result<Self, EntryError> {
        let name = EntryName::try_from(raw.name).map_err(|cause| EntryError::Name { cause })?;
        let owner = OwnerName::try_from(raw.owner).map_err(|cause| EntryError::Owner { cause })?;
        check_limits(&raw.limits)?;
        check_digests(&raw.account_key_digests)?;
        Ok(Self {
            name,
            owner,
            class: raw.class,
            limits: raw.limits,
            account_key_digests: raw.account_key_digests,
            revision: Revision(raw.revision),
        })
    }
}

impl From<&Entry> for RawEntry {
    fn from(entry: &Entry) -> Self {
        Self {
            name: entry.name.to_string(),
            owner: entry.owner.to_string(),
            class: entry.class,
            limits: entry.limits.clone(),
            account_key_digests: entry.account_key_digests.clone(),
            revision: entry.revision.0,
        }
    }
}

fn check_limits(limits: &Limits) -> Result<(), EntryError> {
    let checked = [
        ("programs", limits.programs),
        ("calls_in_flight", limits.calls_in_flight),
        ("programs_per_second", limits.programs_per_second),
        ("tokens", limits.tokens),
        ("calls", limits.calls),
        ("turns", limits.turns),
        ("idle_ms", limits.idle_ms),
        ("wall_ms", limits.wall_ms),
        ("tool_ms", limits.tool_ms),
        ("queue_ms", limits.queue_ms),
    ];
    match checked.iter().find(|(_, value)| *value == 0) {
        Some((limit, _)) => Err(EntryError::ZeroLimit { limit }),
        None => Ok(()),
    }
}

fn check_digests(digests: &[String]) -> Result<(), EntryError> {
    let is_digest =
        |digest: &&String| digest.len() == 64 && digest.bytes().all(|b| b.is_ascii_hexdigit());
    match digests.iter().find(|digest| !is_digest(digest)) {
        Some(digest) => Err(EntryError::BadDigest { digest: digest.clone() }),
        None => Ok(()),
    }
}
