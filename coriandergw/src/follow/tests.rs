use crate::follow::line::LineError;
use crate::follow::line::LogLine;
use crate::follow::report::FollowReport;
use crate::follow::report::FollowTarget;

fn line(second: u32, event: u16, name: &str, instance: &str, peer: &str, message: &str) -> LogLine {
    let text = format!(
        "timestamp=2026-07-09T20:42:{second:02}.500000+00:00 level=INFO module=coriandergw position=:0 \
         message=\"{message}\" event={event} name={name} instance={instance} sequence=7 peer={peer}"
    );
    LogLine::try_from(text.as_str()).expect("a line")
}

fn request(id: &str, program: &str, more: &str) -> String {
    format!("request={id} program={program} route=r service=s config=3 sends=1 {more}")
}

#[test]
fn a_line_is_parsed_with_quotes_and_whatever_stands_before_it() {
    let text = "  46.3 machine timestamp=2026-07-09T20:42:02.008506+00:00 level=INFO module=x position=:0 \
                message=\"a \\\"b\\\" c=4 late_ms=12\" event=109 name=ProcessStalled instance=10.0.0.1:2/3 sequence=0";
    let line = LogLine::try_from(text).expect("a line");
    assert_eq!(&*line.message, "a \"b\" c=4 late_ms=12");
    assert_eq!((line.event, &*line.instance, line.peer.clone()), (109, "10.0.0.1:2/3", None));
    assert_eq!(line.word("c"), Some("4"));
    assert_eq!(line.millis("late_ms").map(|late| late.as_millis()), Some(12));
    assert_eq!(LogLine::try_from("an error of the runtime"), Err(LineError { field: "timestamp" }));
    assert!(LogLine::try_from("timestamp=2026-07-09T20:42:02+00:00 event=many").is_err());
}

#[test]
fn a_refused_request_is_told_with_the_election_before_it() {
    let refused =
        request("q", "p", "total_ms=900 code=CG-2008 not_run=true the journal did not answer");
    let lines = [
        line(30, 501, "RequestRefused", "entry-1", "-", &refused),
        line(29, 200, "LogLeaderElected", "journal-1", "-", "group 1"),
        line(29, 226, "InstanceSilent", "core-1", "entry-9", "not heard in time"),
        line(10, 200, "LogLeaderElected", "journal-2", "-", "group 1"),
        line(
            30,
            500,
            "RequestEnded",
            "entry-1",
            "e",
            &request("other", "p", "total_ms=1 status=200"),
        ),
    ];
    let story = FollowReport::tell(&lines, &FollowTarget::Request("q".into()));
    assert_eq!(story.own.len(), 1);
    assert_eq!(story.beliefs.len(), 1, "not the old election, nor another instance");
    assert_eq!(
        story.conclusion,
        "refused by entry-1 with CG-2008, not run: true; route r, configuration 3, 1 sends"
    );
    assert!(story.text().starts_with("  2026-07-09T20:42:29.5Z journal-1 LogLeaderElected"));
}

#[test]
fn a_program_is_told_over_all_instances_and_its_last_request_concludes() {
    let answered = "reserved_ms=8 first_event_ms=300 total_ms=420 status=200 events=11";
    let lost = request("b", "p", "total_ms=9 events=4 reset");
    let lines = [
        line(31, 503, "StreamBrokenOff", "entry-2", "-", &lost),
        line(30, 500, "RequestEnded", "entry-1", "engine-4", &request("a", "p", answered)),
        line(32, 500, "RequestEnded", "entry-3", "engine-5", &request("c", "p", answered)),
    ];
    let story = FollowReport::tell(&lines, &FollowTarget::Program("p".into()));
    let instances: Vec<&str> = story.own.iter().map(|line| &*line.instance).collect();
    assert_eq!(instances, ["entry-1", "entry-2", "entry-3"]);
    assert_eq!(
        story.conclusion,
        "answered by engine-5 with status 200; route r, configuration 3, 1 sends; \
         of 420 ms the first event took 292 ms"
    );
    let broken = FollowReport::tell(&lines, &FollowTarget::Request("b".into()));
    assert!(broken.conclusion.starts_with("broken off by entry-2 after 4 events"));
}

#[test]
fn what_no_process_logged_is_said_so() {
    let story = FollowReport::tell(&[], &FollowTarget::Request("q".into()));
    assert!(story.conclusion.starts_with("no process logged it"));
    let only_a_send =
        [line(3, 502, "SendFailed", "entry-1", "e", &request("q", "p", "total_ms=1"))];
    let story = FollowReport::tell(&only_a_send, &FollowTarget::Request("q".into()));
    assert_eq!(story.conclusion, "no end was logged; entry-1 was the last to log it");
}
