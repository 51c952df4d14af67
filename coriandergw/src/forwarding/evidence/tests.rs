//! What responses prove.

use hyper::StatusCode;

use crate::forwarding::ResponseHeaders;
use crate::forwarding::evidence::Evidence;

const PROMISES: [u16; 4] = [408, 421, 429, 503];

fn judge(status: u16, not_run: bool, is_signed: bool, has_budget: bool) -> Evidence {
    let status = StatusCode::from_u16(status).expect("a status");
    let head = ResponseHeaders { not_run, is_signed, ..ResponseHeaders::default() };
    Evidence::of(status, &head, has_budget)
}

// Guards against a status that is passed on as a promise which the endpoint did not make.
#[test]
fn a_status_that_promises_proves_nothing_without_a_statement() {
    for (status, is_signed) in PROMISES.into_iter().flat_map(|one| [(one, false), (one, true)]) {
        assert_eq!(judge(status, false, is_signed, false), Evidence::UnprovenPromise, "{status}");
        assert_eq!(judge(status, true, is_signed, false), Evidence::NotRun, "{status}");
    }
}

// Guards against a turn that is told that its budget is spent by an endpoint, which does not know it,
// and against another request that loses an answer which means something else.
#[test]
fn a_spent_budget_is_a_promise_to_turns_only() {
    assert_eq!(judge(402, false, true, true), Evidence::UnprovenPromise);
    assert_eq!(judge(402, true, true, true), Evidence::NotRun);
    assert_eq!(judge(402, false, true, false), Evidence::Answered);
}

// Guards against failures of endpoints that callers do not get as the endpoint sent them.
#[test]
fn other_statuses_are_answers() {
    for status in [200, 204, 301, 400, 404, 409, 413, 425, 500, 501, 502, 504] {
        assert_eq!(judge(status, false, true, true), Evidence::Answered, "{status}");
        assert_eq!(judge(status, true, true, true), Evidence::NotRun, "{status}");
    }
    assert_eq!(judge(500, false, false, false), Evidence::Answered);
    assert_eq!(judge(200, false, false, false), Evidence::Unsigned);
}
