//! Writes log lines to standard error or standard output, one an event.

use std::time::Duration;

use logforth::append::Stderr;
use logforth::append::Stdout;
use logforth::append::asynchronous::AsyncBuilder;
use logforth::layout::JsonLayout;
use logforth::layout::LogfmtLayout;

use crate::settings::LogFormat;
use crate::settings::LogSettings;

/// The lines that wait to be written at most; more are dropped.
const LINES_WAITING: usize = 2_048;

/// Sets up the log of this process on standard output, one line an event in logfmt.
pub fn start_on_stdout(level: log::LevelFilter) {
    let appender = Stdout::default().with_layout(LogfmtLayout::default());
    // A reader that stalls costs lines, never the work of the process.
    let appender = AsyncBuilder::new("log")
        .buffered_lines_limit(Some(LINES_WAITING))
        .overflow_drop_incoming()
        .append(appender)
        .build();
    // Fails only where another logger is in place, which then is the one to use.
    let _ = logforth::starter_log::builder().dispatch(|d| d.append(appender)).try_apply();
    log::set_max_level(level);
}

/// Writes the lines that wait; to be called before the process ends.
pub fn flush() {
    log::logger().flush();
}

/// Writes the lines that wait, but gives up after `limit` if their reader stalls.
pub fn flush_within(limit: Duration) {
    let (tx, rx) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        flush();
        // The receiver is gone once the limit has passed.
        let _ = tx.send(());
    });
    if rx.recv_timeout(limit).is_err() {
        eprintln!("the log was not written within {} ms", limit.as_millis());
    }
}

/// Sets up the log of this process; later calls change the level only.
pub fn start(settings: LogSettings) {
    let appender = match settings.format {
        LogFormat::Logfmt => Stderr::default().with_layout(LogfmtLayout::default()),
        LogFormat::Json => Stderr::default().with_layout(JsonLayout::default()),
    };
    // Fails only where another logger is in place, which then is the one to use.
    let _ = logforth::starter_log::builder().dispatch(|d| d.append(appender)).try_apply();
    log::set_max_level(settings.level);
}
