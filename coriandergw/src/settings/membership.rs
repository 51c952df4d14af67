//! The section `[membership]`.

use crate::membership::Timing;
use crate::settings::instance::parse_millis;
use crate::settings::reader::Reader;

/// Reads the intervals of probes; faults leave the defaults.
pub(super) fn read(reader: &mut Reader) -> Timing {
    const SECTION: &str = "membership";
    let default = Timing::default();
    let mut millis = |key, least, most| {
        reader.parse_optional(SECTION, key, |raw| parse_millis(raw, least, most))
    };
    Timing {
        probe_interval: millis("probe_interval_ms", 100, 60_000).unwrap_or(default.probe_interval),
        probe_timeout: millis("probe_timeout_ms", 100, 60_000).unwrap_or(default.probe_timeout),
        suspicion_limit: millis("suspicion_ms", 100, 600_000).unwrap_or(default.suspicion_limit),
    }
}
