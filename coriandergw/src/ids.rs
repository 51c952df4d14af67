//! Names and numbers that identify what the system handles.
//!
//! Every name is a shared immutable string behind a checked type. Raw input becomes a name through
//! `TryFrom`, which refuses what could not be printed in a log line or put into a URL path.

use std::sync::Arc;

use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Serialize;

/// The longest name accepted, in bytes.
pub const NAME_MAX_BYTES: usize = 128;

/// The number of partitions that programs are hashed to.
pub const PARTITION_COUNT: u16 = 4096;

/// Says why raw input is not a name.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum NameError {
    /// The input was empty.
    #[display("a name must not be empty")]
    Empty,
    /// The input was longer than [`NAME_MAX_BYTES`].
    #[display("a name has at most {NAME_MAX_BYTES} bytes, this one has {bytes}")]
    TooLong {
        /// The length of the input in bytes.
        bytes: usize,
    },
    /// The input held a character that is not allowed.
    #[display("a name may hold letters, digits and . _ - : @ /, not {character:?}")]
    BadCharacter {
        /// The first character that is not allowed.
        character: char,
    },
}

fn check_name(raw: &str) -> Result<(), NameError> {
    if raw.is_empty() {
        return Err(NameError::Empty);
    }
    if raw.len() > NAME_MAX_BYTES {
        return Err(NameError::TooLong { bytes: raw.len() });
    }
    match raw.chars().find(|c| !c.is_ascii_alphanumeric() && !"._-:@/".contains(*c)) {
        Some(character) => Err(NameError::BadCharacter { character }),
        None => Ok(()),
    }
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(Display, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<&str> for $name {
            type Error = NameError;

            fn try_from(raw: &str) -> Result<Self, NameError> {
                check_name(raw)?;
                Ok(Self(raw.into()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(raw: String) -> Result<Self, NameError> {
                Self::try_from(raw.as_str())
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> String {
                name.0.as_ref().to_owned()
            }
        }
    };
}

name_type! {
    /// Names one instance of the system, unique in its cluster.
    InstanceName
}
name_type! {
    /// Names a data centre.
    DataCentre
}
name_type! {
    /// Names a catalogue entry.
    EntryName
}
name_type! {
    /// Names the owner of catalogue entries and programs.
    OwnerName
}
name_type! {
    /// Identifies a call within its program; chosen by the caller.
    CallId
}
name_type! {
    /// Identifies a configuration change; chosen by the operator's client and kept for resending.
    ChangeId
}
name_type! {
    /// Names an endpoint, unique among all endpoints.
    EndpointName
}
name_type! {
    /// Names what a call is addressed to: a model, a tool or a plain service.
    TargetName
}
name_type! {
    /// Identifies a program.
    ProgramId
}

impl ProgramId {
    /// Builds the identifier from 16 random bytes.
    pub fn from_random(bytes: [u8; 16]) -> Self {
        Self(format!("p-{}", hex::encode(bytes)).into())
    }

    /// Builds the identifier of a sub-agent from its tree's root and 8 random bytes.
    pub fn child_from_random(root: &ProgramId, bytes: [u8; 8]) -> Self {
        Self(format!("{root}.{}", hex::encode(bytes)).into())
    }

    /// Returns the root of the program's tree: the part before the first full stop.
    pub fn root(&self) -> ProgramId {
        match self.0.split_once('.') {
            Some((root, _)) => Self(root.into()),
            None => self.clone(),
        }
    }

    /// Returns the partition that the program's tree belongs to.
    pub fn partition(&self) -> PartitionId {
        let root = self.0.split('.').next().unwrap_or_default();
        let hash = crc32fast::hash(root.as_bytes());
        PartitionId((hash % u32::from(PARTITION_COUNT)) as u16)
    }
}

/// Numbers a partition of the programs, below [`PARTITION_COUNT`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Display)]
pub struct PartitionId(pub u16);

/// Numbers the assignment of a partition's home; a higher epoch supersedes a lower one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Display)]
pub struct Epoch(pub u64);

/// Numbers the accepted configuration changes; never decreases on any instance.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Display, Serialize, Deserialize)]
pub struct Revision(pub u64);

/// Numbers the term of the control leader towards engines; never reused.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Display, Serialize, Deserialize)]
pub struct FencingNumber(pub u64);

/// Numbers a group of the replicated log; group 0 holds the control state.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Display)]
pub struct GroupId(pub u32);

/// The group that holds the catalogue, the voters, the leases and the fencing numbers.
pub const CONTROL_GROUP: GroupId = GroupId(0);
