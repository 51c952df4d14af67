use super::*;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

/// Guards against a crowd of new connections that displaces callers which reuse theirs, and against
/// the loss of a request that is being served.
#[test]
fn connections_that_never_served_are_displaced_first_and_busy_ones_never() {
    let mut table = ConnectionTable::default();
    let ids: Vec<ConnectionId> = (0..4).map(|millis| table.open(at(millis))).collect();
    table.start_request(ids[0], true, at(10));
    table.note_received(ids[0]);
    table.start_request(ids[1], false, at(10));
    table.end_request(ids[1], at(11));
    table.note_read(ids[2], at(12));
    assert_eq!(table.displace(at(500)), Some(ids[3]));
    assert_eq!(table.displace(at(500)), Some(ids[2]));
    assert_eq!(table.displace(at(500)), Some(ids[1]));
    assert_eq!(table.displace(at(500)), None);
    ids.iter().for_each(|id| table.close(*id));
    assert!(table.is_empty());
}

/// Guards against heads that never end, and against a limit that cuts off idle connections or bodies.
#[test]
fn only_heads_that_do_not_end_are_late() {
    let mut table = ConnectionTable::default();
    let limit = Duration::from_secs(3);
    let [idle, half, busy, again] = [0, 1, 2, 3].map(|millis| table.open(at(millis)));
    table.note_read(half, at(10));
    table.note_read(busy, at(10));
    table.start_request(busy, true, at(20));
    table.note_read(busy, at(30));
    table.start_request(again, false, at(20));
    table.end_request(again, at(30));
    assert!(table.take_late_heads(limit, at(3_009)).is_empty());
    assert_eq!(table.take_late_heads(limit, at(60_000)), vec![half]);
    assert!(table.take_late_heads(limit, at(60_000)).is_empty());
    assert_eq!(table.displace(at(60_000)), Some(idle));
}

/// Guards against a crowd whose bodies stop short and keep all connections from being accepted.
#[test]
fn bodies_without_progress_are_displaced() {
    let mut table = ConnectionTable::default();
    let id = table.open(at(0));
    table.start_request(id, true, at(10));
    table.note_read(id, at(900));
    assert_eq!(table.displace(at(1_800)), None);
    assert_eq!(table.displace(at(900) + STALLED_AFTER), Some(id));
}

/// Guards against a connection that is closed as half-open because the rest of a refused request's body
/// was taken for a head.
#[test]
fn the_rest_of_a_refused_body_is_no_head() {
    let mut table = ConnectionTable::default();
    let id = table.open(at(0));
    table.start_request(id, true, at(10));
    table.end_request(id, at(20));
    table.note_read(id, at(30));
    assert!(table.take_late_heads(Duration::from_secs(3), at(60_000)).is_empty());
    assert_eq!(table.displace(at(60_000)), Some(id));
}
