//! Writes log lines to standard error, one an event.

use logforth::append::Stderr;
use logforth::append::Stdout;
use logforth::layout::JsonLayout;
use logforth::layout::LogfmtLayout;

use crate::settings::LogFormat;
use crate::settings::LogSettings;

/// Sets up the log of this process on standard output, one line an event in logfmt.
pub fn start_on_stdout(level: log::LevelFilter) {
    let appender = Stdout::default().with_layout(LogfmtLayout::default());
    // Fails only where another logger is in place, which then is the one to use.
    let _ = logforth::starter_log::builder().dispatch(|d| d.append(appender)).try_apply();
    log::set_max_level(level);
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
