//! Tests of digests of requests.

use bytes::Bytes;
use hyper::Method;

use crate::crashes::RequestDigest;

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
