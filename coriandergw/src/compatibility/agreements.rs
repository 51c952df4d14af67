//! What processes work out for themselves and must agree on.

use bytes::Bytes;
use hyper::Method;

use crate::compatibility::messages::endpoint;
use crate::compatibility::messages::presence;
use crate::crashes::RequestDigest;
use crate::log_groups::core::CLOCK_DRIFT_PERCENT;
use crate::log_groups::core::LEASE;
use crate::log_groups::core::VOTE_PROMISE;
use crate::rendezvous::hash_of;
use crate::roster::EndpointRecord;
use crate::roster::EndpointState;
use crate::roster::Presence;
use crate::roster::Role;
use crate::roster::generated as raw;
use crate::transport::Kind;

/// How long a voter of the released build keeps its promise, in milliseconds.
const RELEASED_VOTE_PROMISE_MS: u128 = 500;

/// How long a leader of the released build acts without answers, in milliseconds.
const RELEASED_LEASE_MS: u128 = 475;

// Guards against builds that choose different permit keepers, relays or watchers.
#[test]
fn rendezvous_hashes_are_those_of_the_released_build() {
    assert_eq!(hash_of("models", "10.0.0.1:7380/0"), 15_832_841_215_374_300_074);
}

// Guards against crashes of one request that builds count apart.
#[test]
fn request_digests_are_those_of_the_released_build() {
    let body = Bytes::from(vec![b'x'; 600]);
    let digest = RequestDigest::of(&Method::POST, "a.example", "/p?q=1", &body);
    let expected = "0d60c14ff3198d0b02c1ab009b924a0f-d98a9f10646f3a979b8f92d5b02bd3e3";
    assert_eq!(digest.to_string(), expected);
}

// Guards against two leaders at once, one of each build, in a group that relies on leases.
#[test]
fn leases_end_before_the_promises_of_the_other_build() {
    let percent = u128::from(100 - CLOCK_DRIFT_PERCENT);
    assert!(LEASE.as_millis() * 100 <= RELEASED_VOTE_PROMISE_MS * percent);
    assert!(RELEASED_LEASE_MS * 100 <= VOTE_PROMISE.as_millis() * percent);
}

// Guards against a number of a role, a state or a kind of message that is given another meaning.
#[test]
fn numbers_mean_what_they_mean_in_the_released_build() {
    let roles = [(Role::Entry, 1), (Role::Core, 2), (Role::Journal, 3), (Role::Directory, 4)];
    for (role, number) in roles {
        let raw = raw::Presence { role: number, ..presence() };
        assert_eq!(Presence::try_from(raw).expect("a valid presence").role, role);
    }
    let states = [
        (EndpointState::Ready, 1),
        (EndpointState::Draining, 2),
        (EndpointState::Gone, 3),
        (EndpointState::Silent, 4),
    ];
    for (state, number) in states {
        let raw = raw::Endpoint { state: number, ..endpoint() };
        assert_eq!(EndpointRecord::try_from(raw).expect("a valid endpoint").state, state);
    }
    let kinds = [
        Kind::Log,
        Kind::Propose,
        Kind::Control,
        Kind::Membership,
        Kind::Endpoints,
        Kind::Events,
        Kind::Programs,
        Kind::Roster,
        Kind::Pulse,
        Kind::Permit,
        Kind::Crash,
    ];
    for (kind, number) in kinds.into_iter().zip(1..) {
        assert_eq!(Kind::from_number(number), Some(kind));
    }
}
