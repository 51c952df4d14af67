//! Checks that the catalogues in `docs/` and the source agree.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::path::Path;
use std::path::PathBuf;

use coriandergw::events::EventNumber;
use coriandergw::result_code::ResultCode;

fn repository() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}

fn page(name: &str) -> String {
    std::fs::read_to_string(repository().join("docs").join(name)).expect("the page is there")
}

/// Reads the rows `| number | name | … |` of a page.
fn listed(text: &str, prefix: &str) -> BTreeMap<u16, String> {
    let mut rows = BTreeMap::new();
    for line in text.lines().filter(|line| line.starts_with('|')) {
        let cells: Vec<&str> = line.split('|').map(str::trim).collect();
        let number = cells[1].strip_prefix(prefix).and_then(|cell| cell.parse().ok());
        if let Some(number) = number {
            let twice = rows.insert(number, cells[2].to_owned());
            assert!(twice.is_none(), "{number} is listed twice");
        }
    }
    rows
}

fn sources(folder: &Path, found: &mut String) {
    for entry in std::fs::read_dir(folder).expect("a folder").filter_map(Result::ok) {
        let path = entry.path();
        if path.is_dir() {
            sources(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push_str(&std::fs::read_to_string(path).expect("a source file"));
        }
    }
}

fn all_sources() -> String {
    let mut found = String::new();
    sources(&repository().join("coriandergw/src"), &mut found);
    sources(&repository().join("platform/src"), &mut found);
    found
}

fn assert_unique<I>(numbers: I)
where
    I: IntoIterator<Item = u16>,
{
    let mut seen = BTreeSet::new();
    for number in numbers {
        assert!(seen.insert(number), "number {number} is used twice");
    }
}

#[test]
fn result_codes_match_their_page() {
    let in_code: BTreeMap<u16, String> =
        ResultCode::ALL.iter().map(|code| (code.number(), code.name().to_owned())).collect();
    assert_unique(ResultCode::ALL.iter().map(|code| code.number()));
    assert_eq!(listed(&page("RESULT-CODES.md"), "CG-"), in_code);
}

#[test]
fn events_match_their_page() {
    let in_code: BTreeMap<u16, String> =
        EventNumber::ALL.iter().map(|event| (event.number(), event.name().to_owned())).collect();
    assert_unique(EventNumber::ALL.iter().map(|event| event.number()));
    assert_eq!(listed(&page("EVENTS.md"), ""), in_code);
}

#[test]
fn settings_match_their_page() {
    let text = page("SETTINGS.md");
    let rows = text.lines().filter(|line| line.starts_with("| ") && !line.starts_with("| section"));
    let listed: Vec<Vec<&str>> =
        rows.map(|row| row.trim_matches('|').split(" | ").map(str::trim).collect()).collect();
    let in_code: Vec<Vec<&str>> = coriandergw::settings::OPTIONS
        .iter()
        .map(|o| vec![o.section, o.key, o.default, o.unit, o.allowed, o.description])
        .collect();
    assert_eq!(listed, in_code);
}

#[test]
fn every_number_is_used() {
    let text = all_sources();
    for code in ResultCode::ALL {
        let used = format!("ResultCode::{}", code.name());
        assert!(text.contains(&used), "{used} is listed and not used");
    }
    for event in EventNumber::ALL {
        let used = format!("EventNumber::{}", event.name());
        assert!(text.contains(&used), "{used} is listed and not used");
    }
}
