//! Tests of the extraction of event data.

use proptest::prelude::*;

use crate::forwarding::event_data::event_data;
use crate::test_support::random_cases;

fn extracted(stream: &str) -> String {
    String::from_utf8(event_data(stream.as_bytes()).to_vec()).expect("text")
}

// Guards against a later turn whose prompt differs from what its caller read.
#[test]
fn the_data_is_what_a_reader_of_event_streams_gets() {
    let cases = [
        ("data: a\n\n", "a\n"),
        ("id: 1\nevent: token\ndata: a\n\nid: 2\ndata: b\n\n", "a\nb\n"),
        ("data: a\ndata: b\ndata\ndata:\n\n", "a\nb\n\n\n"),
        ("data:a\n\ndata:  b \n\n", "a\n b \n"),
        ("data: a\r\ndata: b\r\n\r\n", "a\nb\n"),
        ("data: a\rdata: b\r\rdata: c\r\n\n", "a\nb\nc\n"),
        (": comment\n\nid: 3\nretry: 5\n\n", ""),
        (": comment\ndata: a\n: comment\n\n", "a\n"),
        ("data:\n\n", "\n"),
        ("database: a\n data: b\nDATA: c\n\n", ""),
        ("\u{feff}data: a\n\n", "a\n"),
        ("data: {\"text\": \"\\n\"}\n\n", "{\"text\": \"\\n\"}\n"),
        ("data: a\n\ndata: not ended\n", "a\n"),
        ("data: a\n\ndata: not end", "a\n"),
        ("", ""),
    ];
    for (stream, data) in cases {
        assert_eq!(extracted(stream), data, "{stream:?}");
    }
}

proptest! {
    #![proptest_config(random_cases())]

    // Guards against data that gets lost or changed between the encoding and the extraction.
    #[test]
    fn the_data_of_each_event_comes_back(
        events in prop::collection::vec("[a-z: \n]{0,12}", 0..6),
        end in prop::sample::select(vec!["\n", "\r\n", "\r"]),
    ) {
        let encode = |data: &String| {
            let lines: String = data.split('\n').map(|line| format!("data: {line}{end}")).collect();
            format!("id: 7{end}{lines}{end}")
        };
        let stream: String = events.iter().map(encode).collect();
        let expected: String = events.iter().map(|data| format!("{data}\n")).collect();
        prop_assert_eq!(extracted(&stream), expected);
    }
}
