use std::path::Path;

use crate::settings::Fault;
use crate::settings::LogFormat;
use crate::settings::Settings;

const VALID: &str = "[instance]
name = e1
data_centre = a
listen = 127.0.0.1:7400
peer_listen = 127.0.0.1:7500
[cluster]
name = test
peers = e2@127.0.0.1:7502, e3@127.0.0.1:7503
voters = e1, e2, e3
[storage]
data = data
[tls]
authority = keys/authority.pem
certificate = keys/e1.pem
key = keys/e1.key
[log]
format = json
";

fn faults(text: &str) -> Vec<Fault> {
    Settings::parse(text, Path::new("/etc/cgw")).expect_err("the text has faults")
}

fn with(from: &str, to: &str) -> String {
    assert!(VALID.contains(from));
    VALID.replace(from, to)
}

#[test]
fn valid_text_is_read_with_defaults() {
    let settings = Settings::parse(VALID, Path::new("/etc/cgw")).expect("valid");
    assert_eq!(settings.instance.name.as_str(), "e1");
    assert_eq!(settings.cluster.voters.len(), 3);
    assert_eq!(settings.instance.drain_limit.as_millis(), 60_000);
    assert_eq!(settings.data.as_deref(), Some(Path::new("/etc/cgw/data")));
    assert_eq!(settings.log.format, LogFormat::Json);
}

#[test]
fn all_faults_are_reported_with_their_lines() {
    let text = with("listen = 127.0.0.1:7400", "listen = nowhere")
        .replace("format = json", "format = xml");
    let found = faults(&text);
    let places: Vec<(usize, &str)> = found.iter().map(|f| (f.line, f.key.as_str())).collect();
    assert_eq!(places, [(4, "listen"), (17, "format")]);
    assert_eq!(found[0].value, "nowhere");
    assert!(found[0].allowed.contains("IP:PORT"));
}

#[test]
fn unknown_keys_and_sections_name_the_nearest() {
    let found = faults(&with("data_centre = a", "data_center = a"));
    assert!(found.iter().any(|f| f.line == 3 && f.problem.contains("did you mean data_centre?")));
    let found = faults(&with("[storage]", "[strage]"));
    assert!(found.iter().any(|f| f.problem.contains("did you mean storage?")));
}

#[test]
fn a_voter_needs_a_data_folder_and_known_peers() {
    let found = faults(&with("data = data\n", ""));
    assert_eq!((found[0].section.as_str(), found[0].key.as_str()), ("storage", "data"));
    let found = faults(&with("voters = e1, e2, e3", "voters = e1, e2, e9"));
    assert!(found[0].problem.contains("e9"));
}

#[test]
fn repeated_keys_and_bad_syntax_are_faults() {
    let found = faults(&with("name = e1", "name = e1\nname = e2"));
    assert!(found.iter().any(|f| f.line == 3 && f.problem == "is given twice"));
    assert!(!faults("[instance\nname").is_empty());
}

#[test]
fn an_open_operators_interface_needs_a_key() {
    let found = faults(&with("127.0.0.1:7400", "10.0.0.5:7400"));
    assert_eq!(found[0].key, "operator_key_digest");
}

#[test]
fn half_of_the_caller_keys_is_a_fault() {
    let found = faults(&format!("{VALID}[caller_tls]\nkey = caller.key\n"));
    assert_eq!((found[0].section.as_str(), found[0].key.as_str()), ("caller_tls", "certificate"));
}
