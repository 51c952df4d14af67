//! Tests of reading the answers of engines.

use super::*;

/// An event that adds `content` to the text.
fn event(content: &str) -> String {
    format!("data: {{\"choices\":[{{\"delta\":{{\"content\":\"{content}\"}}}}]}}\n")
}

/// Feeds `piece` until it is refused or `bytes_max` bytes were taken; returns how many were taken.
fn taken(parser: &mut CompletionParser, piece: &str, bytes_max: usize) -> usize {
    let pieces = (0..bytes_max / piece.len()).take_while(|_| parser.feed(piece.as_bytes()).is_ok());
    pieces.count() * piece.len()
}

// Guards against an engine whose bytes without end fill the memory of the instance that called it.
#[test]
fn an_answer_without_end_is_cut_off() {
    for piece in ["no event ", "\n", ": comment\n", "data: {}\n", &event("")] {
        let mut parser = CompletionParser::default();
        let bytes = taken(&mut parser, &piece.repeat(1_024), 2 * ANSWER_MAX_BYTES);
        assert!(bytes <= ANSWER_MAX_BYTES, "{piece:?}: {bytes} bytes were taken");
        assert!(parser.pending.len() <= ANSWER_MAX_BYTES, "{piece:?}");
    }
    let mut parser = CompletionParser::default();
    let bytes = taken(&mut parser, &event(&"x".repeat(64 * 1024)), 4 * ANSWER_MAX_BYTES);
    assert!(bytes < 2 * ANSWER_MAX_BYTES, "{bytes} bytes of text were taken");
}

// Guards against a long answer that is cut off for the length of its events: each token has one.
#[test]
fn a_long_answer_is_read_whole() {
    let mut parser = CompletionParser::default();
    let events = event("word").repeat(1_024);
    let pieces = 4 * ANSWER_MAX_BYTES / events.len();
    let bytes = taken(&mut parser, &events, pieces * events.len());
    assert_eq!(bytes, pieces * events.len());
    parser.feed(b"data: [DONE]\n").expect("within the limit");
    let words = pieces * 1_024;
    let output = parser.finish().map(|answer| answer.output);
    assert_eq!(output, Ok(Value::String("word".repeat(words))));
}
