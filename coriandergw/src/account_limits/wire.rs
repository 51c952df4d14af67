//! Conversions between the types of this module and their Protocol Buffers messages.

use std::time::Duration;

use crate::account_limits::AccountMessageError;
use crate::account_limits::Ask;
use crate::account_limits::Verdict;
use crate::account_limits::generated as raw;
use crate::accounts::AccountLimit;

impl From<&Ask> for raw::Ask {
    fn from(ask: &Ask) -> Self {
        Self {
            account: ask.account.to_string(),
            version: ask.version,
            per_second: ask.limit.per_second,
            burst: ask.limit.burst,
            program: ask.program.as_deref().unwrap_or_default().to_owned(),
            continues: ask.continues,
        }
    }
}

impl TryFrom<raw::Ask> for Ask {
    type Error = AccountMessageError;

    fn try_from(raw: raw::Ask) -> Result<Self, AccountMessageError> {
        let (per_second, burst) = (raw.per_second, raw.burst);
        if !(per_second.is_finite() && per_second > 0.0) {
            return Err(AccountMessageError { field: "rate" });
        }
        if !(burst.is_finite() && burst >= 0.0) {
            return Err(AccountMessageError { field: "burst" });
        }
        Ok(Self {
            account: raw.account.into(),
            version: raw.version,
            limit: AccountLimit { per_second, burst },
            program: (!raw.program.is_empty()).then(|| raw.program.into()),
            continues: raw.continues,
        })
    }
}

impl From<Verdict> for raw::Decision {
    fn from(verdict: Verdict) -> Self {
        match verdict {
            Verdict::Granted => Self { granted: true, retry_after_ms: 0 },
            // Rounded up, so that there is room by then.
            Verdict::Denied(delay) => {
                Self { granted: false, retry_after_ms: delay.as_millis() as u64 + 1 }
            }
        }
    }
}

impl From<raw::Decision> for Verdict {
    fn from(raw: raw::Decision) -> Self {
        match raw.granted {
            true => Self::Granted,
            false => Self::Denied(Duration::from_millis(raw.retry_after_ms)),
        }
    }
}
