//! The section `[log]`.

use crate::settings::reader::Reader;

/// The form of a log line.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// `key=value` pairs.
    #[default]
    Logfmt,
    /// One JSON object a line.
    Json,
}

/// How events are logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogSettings {
    /// The form of a line.
    pub format: LogFormat,
    /// The least severity that is logged.
    pub level: log::LevelFilter,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { format: LogFormat::Logfmt, level: log::LevelFilter::Info }
    }
}

impl LogSettings {
    pub(super) fn read(reader: &mut Reader) -> Self {
        let default = Self::default();
        let format = reader.parse_optional("log", "format", parse_format);
        let level = reader.parse_optional("log", "level", parse_level);
        Self { format: format.unwrap_or(default.format), level: level.unwrap_or(default.level) }
    }
}

fn parse_format(raw: &str) -> Result<LogFormat, &'static str> {
    match raw {
        "logfmt" => Ok(LogFormat::Logfmt),
        "json" => Ok(LogFormat::Json),
        _ => Err("is not a form of log lines"),
    }
}

fn parse_level(raw: &str) -> Result<log::LevelFilter, &'static str> {
    match raw {
        "debug" => Ok(log::LevelFilter::Debug),
        "info" => Ok(log::LevelFilter::Info),
        "warn" => Ok(log::LevelFilter::Warn),
        "error" => Ok(log::LevelFilter::Error),
        _ => Err("is not a level"),
    }
}
