//! One line of a log.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use time::OffsetDateTime;
use time::format_description::well_known::Rfc3339;

/// Says why a line is no event; programs also write other lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Display, Error)]
#[display("the line has no valid {field}")]
pub struct LineError {
    /// The field at fault.
    #[error(not(source))]
    pub field: &'static str,
}

/// One event as a process wrote it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogLine {
    /// The time of day at the process.
    pub at: OffsetDateTime,
    /// The number of the event.
    pub event: u16,
    /// The name of the event.
    pub name: Arc<str>,
    /// The process.
    pub instance: Arc<str>,
    /// The other instance or the endpoint that it concerns.
    pub peer: Option<Arc<str>>,
    /// What happened.
    pub message: Arc<str>,
}

impl LogLine {
    /// Returns the value of a `key=value` word of the message.
    pub fn word(&self, key: &str) -> Option<&str> {
        let mut words = self.message.split_whitespace();
        words.find_map(|word| word.strip_prefix(key)?.strip_prefix('='))
    }

    /// Returns a duration that the message gives in milliseconds.
    pub fn millis(&self, key: &str) -> Option<Duration> {
        self.word(key)?.parse().ok().map(Duration::from_millis)
    }
}

impl TryFrom<&str> for LogLine {
    type Error = LineError;

    /// Parses a line; whatever stands before its time is left out.
    fn try_from(text: &str) -> Result<Self, LineError> {
        let start = text.find("timestamp=").ok_or(LineError { field: "timestamp" })?;
        let fields = fields(&text[start..]);
        let field = |key: &'static str| fields.get(key).ok_or(LineError { field: key });
        let at = OffsetDateTime::parse(field("timestamp")?, &Rfc3339);
        Ok(Self {
            at: at.map_err(|_| LineError { field: "timestamp" })?,
            event: field("event")?.parse().map_err(|_| LineError { field: "event" })?,
            name: field("name")?.as_str().into(),
            instance: field("instance")?.as_str().into(),
            peer: fields.get("peer").map(|peer| peer.as_str().into()),
            message: field("message")?.as_str().into(),
        })
    }
}

/// Splits `key=value` fields of which a value may be quoted.
fn fields(text: &str) -> BTreeMap<&str, String> {
    let mut found = BTreeMap::new();
    let mut rest = text;
    while let Some((key, after)) = rest.split_once('=') {
        let (value, next) = match after.strip_prefix('"') {
            Some(quoted) => unquote(quoted),
            None => {
                let end = after.find(' ').unwrap_or(after.len());
                (after[..end].to_owned(), &after[end..])
            }
        };
        found.insert(key.trim(), value);
        rest = next;
    }
    found
}

/// Returns the value up to its closing quote and what follows.
fn unquote(text: &str) -> (String, &str) {
    let mut value = String::new();
    let mut chars = text.char_indices();
    while let Some((at, c)) = chars.next() {
        match c {
            '"' => return (value, &text[at + 1..]),
            '\\' => value.extend(chars.next().map(|(_, escaped)| escaped)),
            _ => value.push(c),
        }
    }
    (value, "")
}
