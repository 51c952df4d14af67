//! A short soak with a fixed seed, and the seeds that once failed.

use std::time::Duration;

use testkit::soak;
use testkit::soak::SoakOptions;

/// The seed of the short run.
const SEED: u64 = 1;

/// How long faults strike in the short run.
const LENGTH: Duration = Duration::from_secs(20);

#[tokio::test(flavor = "multi_thread")]
async fn promises_hold_while_faults_strike_real_processes() {
    let options = SoakOptions { seed: SEED, length: LENGTH, processes: 5, callers: 8 };
    let report = soak::run(options, |fault| println!("{fault}")).await;
    assert!(report.programs > 0 && !report.faults.is_empty(), "{report:?}");
}
