//! Hop-by-hop headers, which apply to a single connection.

use hyper::HeaderMap;
use hyper::header;
use hyper::header::HeaderName;

/// Hop-by-hop headers, which are never forwarded; [`strip_hop_by_hop`] also removes `Keep-Alive`
/// and `Proxy-Connection`.
const HOP_BY_HOP: [HeaderName; 7] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Removes the hop-by-hop headers, including those listed in `Connection`.
pub(super) fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| HeaderName::try_from(name.trim()).ok())
        .collect();
    for name in HOP_BY_HOP.iter().chain(&listed) {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
}

/// Returns the `timeout` of the `Keep-Alive` header in seconds, if the peer sent one.
pub(super) fn keep_alive_seconds(headers: &HeaderMap) -> Option<u64> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let timeout = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    timeout.trim().parse().ok()
}

/// Returns whether the `Connection` header contains `close`.
pub(super) fn has_connection_close(headers: &HeaderMap) -> bool {
    let values = headers.get_all(header::CONNECTION);
    let texts = values.iter().filter_map(|value| value.to_str().ok());
    texts.flat_map(|text| text.split(',')).any(|token| token.trim().eq_ignore_ascii_case("close"))
}
