//! The options that a settings file may hold; `docs/SETTINGS.md` shows the same table.

/// Describes one option.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OptionSpec {
    /// The section.
    pub section: &'static str,
    /// The key.
    pub key: &'static str,
    /// The default; empty where the option must be given or may be absent.
    pub default: &'static str,
    /// The unit; empty where there is none.
    pub unit: &'static str,
    /// What is allowed.
    pub allowed: &'static str,
    /// What it does.
    pub description: &'static str,
}

const ADDRESS: &str = "IP:PORT, for example 10.0.0.5:7400";
const NAME: &str = "1 to 64 letters, digits and . _ - : @ /";
const FILE: &str = "a path, relative to the settings file";

macro_rules! options {
    ($($section:literal, $key:literal, $default:literal, $unit:literal, $allowed:expr, $description:literal;)*) => {
        /// All options, in the order of the page.
        pub const OPTIONS: &[OptionSpec] = &[$(OptionSpec {
            section: $section,
            key: $key,
            default: $default,
            unit: $unit,
            allowed: $allowed,
            description: $description,
        },)*];
    };
}

options! {
    "instance", "name", "", "", NAME, "The instance's name, unique in the cluster.";
    "instance", "data_centre", "", "", NAME, "The data centre that the instance is in.";
    "instance", "listen", "", "", ADDRESS, "Where callers, endpoints and operators connect. Port 0 takes a free port.";
    "instance", "advertise", "", "", ADDRESS, "The address that callers are told. Left out: `listen`.";
    "instance", "peer_listen", "", "", ADDRESS, "Where other instances connect (UDP). Port 0 takes a free port.";
    "instance", "drain_limit_ms", "60000", "milliseconds", "1 to 86400000", "How long a shutdown waits for running requests.";
    "instance", "addresses_ttl_ms", "10000", "milliseconds", "100 to 3600000", "How long callers may keep an answer with addresses.";
    "cluster", "name", "", "", NAME, "The cluster's name; keys and data folders belong to one cluster.";
    "cluster", "peers", "", "", "NAME@IP:PORT, separated by commas", "The instances to join through, voters among them, with their `peer_listen` addresses.";
    "cluster", "voters", "", "", "names, separated by commas", "The store instances that vote at first; the same on every instance.";
    "cluster", "journal_groups", "1", "", "1 to 64", "The log groups that program journals are spread over; the same on every instance.";
    "cluster", "freshness_limit_ms", "5000", "milliseconds", "1000 to 3600000", "After how long without a confirmed configuration new programs are refused.";
    "programs", "memory_mib", "128", "mebibytes", "1 to 1048576", "The memory for programs whose home is here; beyond it, those not asked for the longest are kept by the journal alone.";
    "membership", "probe_interval_ms", "500", "milliseconds", "100 to 60000", "The time between two probes of other instances.";
    "membership", "probe_timeout_ms", "600", "milliseconds", "100 to 60000", "How long a probe waits; helpers are asked after half of it. More than the longest round trip between data centres.";
    "membership", "suspicion_ms", "3000", "milliseconds", "100 to 600000", "How long a suspected instance can refute before it is held for dead.";
    "storage", "data", "", "", FILE, "The data folder. Store instances only.";
    "tls", "authority", "", "", FILE, "The certificate of the cluster's authority, PEM.";
    "tls", "certificate", "", "", FILE, "The instance's certificate, PEM.";
    "tls", "key", "", "", FILE, "The instance's private key, PEM.";
    "caller_tls", "certificate", "", "", FILE, "The certificate chain towards callers, PEM. Left out: plain HTTP.";
    "caller_tls", "key", "", "", FILE, "The private key towards callers, PEM.";
    "access", "operator_key_digest", "", "", "64 hexadecimal digits", "The SHA-256 digest of the operator key. Left out: no key is asked for, on loopback only.";
    "access", "require_account_key", "false", "", "true or false", "Whether a new program needs an account key of its entry.";
    "log", "format", "logfmt", "", "logfmt or json", "The form of a log line.";
    "log", "level", "info", "", "debug, info, warn or error", "The least severity that is logged.";
}

/// Returns the options of a section, or none if there is no such section.
pub fn section_options(section: &str) -> Vec<&'static OptionSpec> {
    OPTIONS.iter().filter(|option| option.section == section).collect()
}

/// Returns the option.
pub fn find_option(section: &str, key: &str) -> Option<&'static OptionSpec> {
    OPTIONS.iter().find(|option| option.section == section && option.key == key)
}

/// Returns the name among `known` that is nearest to `name`, if one is near.
pub fn nearest<'a, I>(name: &str, known: I) -> Option<&'a str>
where
    I: IntoIterator<Item = &'a str>,
{
    const LEAST_SIMILARITY: f64 = 0.6;
    known
        .into_iter()
        .map(|candidate| (strsim::normalized_damerau_levenshtein(name, candidate), candidate))
        .filter(|(similarity, _)| *similarity >= LEAST_SIMILARITY)
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, candidate)| candidate)
}
