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

/// The seeds that once failed, with 5 processes, 6 callers and 12 s of faults.
const FAILED_SEEDS: [u64; 1] = [
    // A connection was cut within the body of a call, and the call was refused as malformed.
    122,
];

#[tokio::test(flavor = "multi_thread")]
async fn promises_hold_with_the_seeds_that_once_failed() {
    for seed in FAILED_SEEDS {
        let length = Duration::from_secs(12);
        let options = SoakOptions { seed, length, processes: 5, callers: 6 };
        soak::run(options, |fault| println!("{fault}")).await;
    }
}
