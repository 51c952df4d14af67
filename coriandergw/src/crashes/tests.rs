//! Tests of digests of requests.

use bytes::Bytes;
use hyper::Method;

use crate::crashes::Crash;
use crate::crashes::Incarnation;
use crate::crashes::RequestDigest;
use crate::crashes::wire;
use crate::ids::EndpointName;

fn digest(host: &str, path: &str, body: &'static str) -> RequestDigest {
    RequestDigest::of(&Method::POST, host, path, &Bytes::from_static(body.as_bytes()))
}

// Guards against a request that is blocked because another one has nearly the same content.
#[test]
fn requests_that_differ_in_one_byte_have_different_digests() {
    let first = digest("host", "/a/b?c", "body");
    assert_eq!(first, digest("host", "/a/b?c", "body"));
    for other in [
        digest("host", "/a/b?c", "bodz"),
        digest("host", "/a/b?", "cbody"),
        digest("hos", "t/a/b?c", "body"),
        RequestDigest::of(&Method::GET, "host", "/a/b?c", &Bytes::from_static(b"body")),
    ] {
        assert_ne!(first, other);
    }
}

// Guards against a request that is blocked because another account sent the same one.
#[test]
fn equal_requests_of_two_accounts_have_different_digests_and_classes() {
    let request = digest("host", "/a", "body");
    let (first, second) = (request.sent_by("a"), request.sent_by("b"));
    assert_eq!(first, request.sent_by("a"));
    assert!(first != second && first != request && !first.has_class_of(&second));
    assert!(first.has_class_of(&first.of_class()));
}

// Guards against a conversation that crashes endpoints and is another request each time since it
// grows.
#[test]
fn requests_whose_bodies_begin_alike_on_one_path_are_of_one_class() {
    const LONG: &str = include_str!("../crashes/mod.rs");
    let (whole, part) = (digest("host", "/a", LONG), digest("host", "/a", &LONG[..1_000]));
    assert_ne!(whole, part);
    assert!(whole.has_class_of(&part));
    assert!(!whole.has_class_of(&digest("host", "/b", LONG)));
    assert!(!whole.has_class_of(&digest("host", "/a", &LONG[1..])));
}

#[test]
fn crashes_survive_the_wire() {
    let endpoint = EndpointName::try_from("e1").expect("a name");
    let suspect = digest("host", "/a", "body");
    let mut crash = Crash::with_suspect(Incarnation { endpoint, started_ms: 5 }, suspect);
    crash.cleared.insert(digest("host", "/b", "body"));
    assert_eq!(Crash::decode(crash.encode()), Ok(crash.clone()));
    assert_eq!(wire::decode_report(wire::encode_report([&crash])), Ok(vec![crash]));
    assert!(wire::decode_report("no message".into()).is_err());
}
