//! Checks the account keys of callers.

use sha2::Digest;
use sha2::Sha256;

use crate::catalogue::CatalogueView;
use crate::ids::EntryName;
use crate::result_code::Refusal;
use crate::result_code::ResultCode;

/// Refuses a key that does not open the entry.
pub(super) fn check_account(
    catalogue: &dyn CatalogueView,
    name: &EntryName,
    key: &str,
) -> Result<(), Refusal> {
    if key.is_empty() {
        return Err(Refusal::not_run(ResultCode::Unauthorised, "an account key is needed"));
    }
    let digest = hex::encode(Sha256::digest(key.as_bytes()));
    let opens =
        |digests: &[String]| digests.iter().any(|known| known.eq_ignore_ascii_case(&digest));
    let entries = catalogue.entries();
    let Some(entry) = entries.iter().find(|entry| entry.name == *name) else {
        // Creating the program names the missing entry.
        return Ok(());
    };
    if opens(&entry.account_key_digests) {
        return Ok(());
    }
    if entries.iter().any(|other| opens(&other.account_key_digests)) {
        let message = format!("the account does not own entry {name}");
        return Err(Refusal::not_run(ResultCode::WrongOwner, message));
    }
    Err(Refusal::not_run(ResultCode::Unauthorised, "the account key is unknown"))
}
