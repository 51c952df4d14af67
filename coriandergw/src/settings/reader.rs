//! Reads an INI text and collects every fault instead of stopping at the first.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use ini::Ini;

use crate::settings::fault::Fault;
use crate::settings::options::OPTIONS;
use crate::settings::options::find_option;
use crate::settings::options::nearest;
use crate::settings::options::section_options;

/// A settings text while it is checked.
pub struct Reader {
    ini: Ini,
    lines: BTreeMap<(String, String), usize>,
    faults: Vec<Fault>,
}

impl Reader {
    /// Parses the text and notes unknown, repeated and misplaced keys.
    pub fn new(text: &str) -> Self {
        let (ini, syntax) = match Ini::load_from_str_noescape(text) {
            Ok(ini) => (ini, None),
            Err(cause) => (Ini::new(), Some(cause)),
        };
        let mut reader = Self { ini, lines: find_lines(text), faults: Vec::new() };
        if let Some(cause) = syntax {
            reader.faults.push(Fault {
                line: cause.line.max(1),
                section: String::new(),
                key: String::new(),
                value: String::new(),
                problem: cause.msg.to_string(),
                allowed: "sections in brackets and lines with key = value".to_owned(),
            });
            return reader;
        }
        reader.note_unknown();
        reader
    }

    /// Returns the value of an option that may be absent, or its default.
    pub fn optional(&self, section: &str, key: &str) -> Option<String> {
        let written = self.ini.get_from(Some(section), key).map(str::to_owned);
        let default = find_option(section, key).map(|option| option.default);
        written.or_else(|| default.filter(|value| !value.is_empty()).map(str::to_owned))
    }

    /// Returns the parsed value of an option that may be absent.
    pub fn parse_optional<T, F, E>(&mut self, section: &str, key: &str, parse: F) -> Option<T>
    where
        F: FnOnce(&str) -> Result<T, E>,
        E: std::fmt::Display,
    {
        let value = self.optional(section, key)?;
        match parse(&value) {
            Ok(parsed) => Some(parsed),
            Err(cause) => {
                self.fault(section, key, cause.to_string());
                None
            }
        }
    }

    /// Returns the parsed value of an option; notes a fault if it is absent.
    pub fn parse_required<T, F, E>(&mut self, section: &str, key: &str, parse: F) -> Option<T>
    where
        F: FnOnce(&str) -> Result<T, E>,
        E: std::fmt::Display,
    {
        if self.optional(section, key).is_none() {
            self.fault(section, key, "is missing");
            return None;
        }
        self.parse_optional(section, key, parse)
    }

    /// Notes a fault of an option.
    pub fn fault<P>(&mut self, section: &str, key: &str, problem: P)
    where
        P: Into<String>,
    {
        let allowed = find_option(section, key).map_or("see docs/SETTINGS.md", |o| o.allowed);
        self.fault_at(section, key, problem.into(), allowed.to_owned());
    }

    fn fault_at(&mut self, section: &str, key: &str, problem: String, allowed: String) {
        let value = self.ini.get_from(Some(section), key).unwrap_or("").to_owned();
        let line = self.line(section, key);
        let (section, key) = (section.to_owned(), key.to_owned());
        self.faults.push(Fault { line, section, key, value, problem, allowed });
    }

    /// Returns all faults, in the order of their lines.
    pub fn into_faults(mut self) -> Vec<Fault> {
        self.faults.sort();
        self.faults
    }

    fn line(&self, section: &str, key: &str) -> usize {
        let find = |key: &str| self.lines.get(&(section.to_owned(), key.to_owned())).copied();
        find(key).or_else(|| find("")).unwrap_or(1)
    }

    fn note_unknown(&mut self) {
        let ini = self.ini.clone();
        let known: BTreeSet<&str> = OPTIONS.iter().map(|option| option.section).collect();
        for (section, properties) in ini.iter() {
            let Some(section) = section else {
                for (key, _) in properties.iter() {
                    self.fault_at("", key, "stands before any section".to_owned(), list(&known));
                }
                continue;
            };
            if known.contains(section) {
                self.note_unknown_keys(section, properties);
            } else {
                let problem = suggestion("unknown section", nearest(section, known.clone()));
                self.fault_at(section, "", problem, list(&known));
            }
        }
    }

    fn note_unknown_keys(&mut self, section: &str, properties: &ini::Properties) {
        let known: BTreeSet<&str> = section_options(section).iter().map(|o| o.key).collect();
        let mut seen = BTreeSet::new();
        for (key, _) in properties.iter() {
            if !known.contains(key) {
                let problem = suggestion("unknown key", nearest(key, known.clone()));
                self.fault_at(section, key, problem, list(&known));
            } else if !seen.insert(key) {
                self.fault(section, key, "is given twice");
            }
        }
    }
}

fn suggestion(problem: &str, nearest: Option<&str>) -> String {
    match nearest {
        Some(nearest) => format!("{problem}, did you mean {nearest}?"),
        None => problem.to_owned(),
    }
}

fn list(names: &BTreeSet<&str>) -> String {
    names.iter().copied().collect::<Vec<_>>().join(", ")
}

/// Finds the line of each key (the last one, if repeated) and of each section (under key "").
fn find_lines(text: &str) -> BTreeMap<(String, String), usize> {
    let mut lines = BTreeMap::new();
    let mut section = String::new();
    for (index, line) in text.lines().enumerate() {
        let line = line.trim();
        if let Some(name) = line.strip_prefix('[').and_then(|rest| rest.split(']').next()) {
            section = name.trim().to_owned();
            lines.insert((section.clone(), String::new()), index + 1);
        } else if let Some((key, _)) = line.split_once(['=', ':'])
            && !line.starts_with([';', '#'])
        {
            lines.insert((section.clone(), key.trim().to_owned()), index + 1);
        }
    }
    lines
}
