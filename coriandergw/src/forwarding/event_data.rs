//! Extracts the data of server-sent events.

use bytes::Bytes;
use bytes::BytesMut;

const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";

/// Returns the data of each event of a stream, each followed by a line feed.
///
/// Follows the rules of event streams: the `data` lines of an event are joined by line feeds, a line
/// ends with CR LF, LF or CR, and an event without `data` lines or without the empty line at its end
/// contributes nothing.
pub(super) fn event_data(stream: &[u8]) -> Bytes {
    let mut rest = stream.strip_prefix(BYTE_ORDER_MARK).unwrap_or(stream);
    let mut output = BytesMut::new();
    // Where the data of the current event begins.
    let mut start = 0;
    while let Some((line, after)) = split_line(rest) {
        rest = after;
        if line.is_empty() {
            start = output.len();
        } else if let Some(value) = data_value(line) {
            output.extend_from_slice(value);
            output.extend_from_slice(b"\n");
        }
    }
    output.truncate(start);
    output.freeze()
}

/// Returns the first line without its end, and what follows; `None` if no line ends.
fn split_line(bytes: &[u8]) -> Option<(&[u8], &[u8])> {
    let end = bytes.iter().position(|byte| matches!(byte, b'\r' | b'\n'))?;
    let is_pair = bytes[end..].starts_with(b"\r\n");
    Some((&bytes[..end], &bytes[end + 1 + usize::from(is_pair)..]))
}

/// Returns the value of a `data` line; `None` for other lines.
fn data_value(line: &[u8]) -> Option<&[u8]> {
    match line.strip_prefix(b"data")? {
        [] => Some(&[]),
        [b':', b' ', value @ ..] | [b':', value @ ..] => Some(value),
        _ => None,
    }
}

#[cfg(test)]
mod tests;
