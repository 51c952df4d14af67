//! The section `[access]`.

use std::net::SocketAddr;

use crate::settings::reader::Reader;

const SECTION: &str = "access";

/// What callers and operators must show.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AccessSettings {
    /// The SHA-256 digest of the operator key in hexadecimal; none asks for no key.
    pub operator_key_digest: Option<String>,
    /// Whether callers must show an account key of the entry.
    pub require_account_key: bool,
}

impl AccessSettings {
    pub(super) fn read(reader: &mut Reader) -> Self {
        let operator_key_digest =
            reader.parse_optional(SECTION, "operator_key_digest", parse_digest);
        let require_account_key =
            reader.parse_optional(SECTION, "require_account_key", str::parse::<bool>);
        Self { operator_key_digest, require_account_key: require_account_key.unwrap_or(false) }
    }
}

/// Refuses an operators' interface without a key on an address that others can reach.
pub(super) fn check_exposure(reader: &mut Reader, access: &AccessSettings, listen: SocketAddr) {
    let is_asked = reader.optional(SECTION, "operator_key_digest").is_some();
    if access.operator_key_digest.is_none() && !is_asked && !listen.ip().is_loopback() {
        let problem = format!("is missing, and {listen} is not a loopback address");
        reader.fault(SECTION, "operator_key_digest", problem);
    }
}

fn parse_digest(raw: &str) -> Result<String, String> {
    let digest = raw.to_ascii_lowercase();
    match digest.len() == 64 && digest.bytes().all(|b| b.is_ascii_hexdigit()) {
        true => Ok(digest),
        false => Err("is not a SHA-256 digest".to_owned()),
    }
}
