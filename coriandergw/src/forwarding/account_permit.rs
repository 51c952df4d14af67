//! Acquires a permit for each request of a client account with a limit.

use std::time::Duration;

use tokio::time::Instant;

use crate::account_limits::Ask;
use crate::account_limits::client::AccountPermit;
use crate::account_limits::client::PermitRefusal;
use crate::accounts::Account;
use crate::forwarding::RequestHeaders;
use crate::forwarding::forwarder::Forwarder;
use crate::result_code::Refusal;
use crate::result_code::ResultCode;

/// Returns what to ask the limit keeper; `None` if the account has no limit.
pub(super) fn ask(account: Option<&Account>, version: u64, head: &RequestHeaders) -> Option<Ask> {
    let account = account?;
    Some(Ask {
        account: account.name.clone(),
        version,
        limit: account.limit?,
        program: head.program.as_ref().map(|program| program.program.clone()),
        continues: head.previous_turn.is_some() || head.last_event.is_some(),
    })
}

/// Uses a permit up if an endpoint may have run the request, and returns it otherwise.
pub(super) fn settle(permit: Option<AccountPermit>, may_have_run: bool) {
    if let Some(permit) = permit.filter(|_| may_have_run) {
        permit.mark_used();
    }
}

impl Forwarder {
    /// Acquires a permit for a request of an account with a limit.
    ///
    /// # Errors
    /// Fails if the account has reached its limit, or nobody can tell whether it has.
    pub(super) async fn acquire_account_permit(
        &self,
        ask: &Ask,
        deadline: Instant,
    ) -> Result<AccountPermit, Refusal> {
        let time_left = deadline.saturating_duration_since(Instant::now());
        let acquired = self.account_permits.acquire(ask, time_left).await;
        acquired.map_err(|refusal| to_refusal(ask, refusal))
    }
}

fn to_refusal(ask: &Ask, refusal: PermitRefusal) -> Refusal {
    let account = &ask.account;
    let (code, message, delay): (_, _, Duration) = match refusal {
        PermitRefusal::LimitReached(delay) => {
            let message = format!("account {account} has reached its limit");
            (ResultCode::LimitReached, message, delay)
        }
        PermitRefusal::Unknown(delay) => {
            let message =
                format!("no instance that counts the requests of account {account} answers");
            (ResultCode::LimitUnknown, message, delay)
        }
    };
    Refusal::not_run(code, message).retry_after(delay)
}
