//! What responses prove.

use hyper::StatusCode;

use crate::forwarding::ResponseHeaders;
use crate::forwarding::evidence::Evidence;
use crate::ids::EndpointName;

const PROMISES: [u16; 4] = [408, 421, 429, 503];

fn judge(status: u16, not_run: bool, is_signed: bool, has_budget: bool) -> Evidence {
    let status = StatusCode::from_u16(status).expect("a status");
    let head = ResponseHeaders { not_run, is_signed, ..ResponseHeaders::default() };
    Evidence::of(status, &head, &endpoint(), has_budget)
}

fn endpoint() -> EndpointName {
    EndpointName::try_from("i-1").expect("a name")
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

// Guards against a request that the endpoint ran and then answered with 421, which is sent again, and
// against one that the next endpoint at the same address refused, which is not.
#[test]
fn a_misdirected_request_has_not_run_if_another_endpoint_says_so() {
    let judge = |status: u16, answered_by: Option<&str>| {
        let status = StatusCode::from_u16(status).expect("a status");
        let answered_by = answered_by.map(Into::into);
        let head = ResponseHeaders { answered_by, is_signed: true, ..ResponseHeaders::default() };
        Evidence::of(status, &head, &endpoint(), false)
    };
    assert_eq!(judge(421, Some("i-2")), Evidence::NotRun);
    for answered_by in [None, Some("i-1")] {
        assert_eq!(judge(421, answered_by), Evidence::UnprovenPromise, "{answered_by:?}");
    }
    assert_eq!(judge(503, Some("i-2")), Evidence::UnprovenPromise);
}
