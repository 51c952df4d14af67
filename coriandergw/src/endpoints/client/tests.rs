//! Tests of reading the answers of engines.

use super::*;

/// Feeds `piece` again and again; returns how many bytes were taken before it was refused.
fn taken(parser: &mut CompletionParser, piece: &[u8]) -> usize {
    let pieces = (0..2 * ANSWER_MAX_BYTES / piece.len()).take_while(|_| parser.feed(piece).is_ok());
    pieces.count() * piece.len()
}

// Guards against an engine whose bytes without end fill the memory of the instance that called it.
#[test]
fn an_answer_without_end_is_cut_off() {
    let event = b"data: {\"choices\":[{\"delta\":{\"content\":\"more\"}}]}\n";
    for piece in [&b"no event "[..], b"\n", event, b": comment\n", b"\x16\x03\x01"] {
        let mut parser = CompletionParser::default();
        let bytes = taken(&mut parser, &piece.repeat(1_024));
        let text = String::from_utf8_lossy(piece);
        assert!(bytes <= ANSWER_MAX_BYTES, "{text:?}: {bytes} bytes were taken");
        assert!(parser.pending.len() + parser.text.len() <= ANSWER_MAX_BYTES, "{text:?}");
    }
}

#[test]
fn an_answer_within_the_limit_is_read_whole() {
    let mut parser = CompletionParser::default();
    let texts =
        parser.feed(b"data: {\"choices\":[{\"delta\":{\"content\":\"all\"}}]}\ndata: [DONE]\n");
    assert_eq!(texts, Ok(vec!["all".to_owned()]));
    assert_eq!(parser.finish().map(|answer| answer.output), Ok(Value::String("all".to_owned())));
}
