//! The bound on log lines.

use std::time::Duration;

use crate::clock::Timestamp;
use crate::events::limit::LINE_BURST;
use crate::events::limit::LINES_PER_SECOND;
use crate::events::limit::LineLimit;

const NOW: Timestamp = Timestamp(5_000_000);

#[test]
fn a_flood_is_cut_and_counted_and_other_numbers_are_not_touched() {
    let mut limit = LineLimit::default();
    let admitted = (0..1_000).filter(|_| limit.admit(500, NOW).is_some()).count() as u64;
    assert_eq!(admitted, LINE_BURST);
    assert_eq!(limit.admit(501, NOW), Some(0));
    let later = NOW + Duration::from_secs(1);
    assert_eq!(limit.admit(500, later), Some(1_000 - LINE_BURST));
    let admitted = (0..1_000).filter(|_| limit.admit(500, later).is_some()).count() as u64;
    assert!(admitted <= LINES_PER_SECOND, "{admitted}");
}
