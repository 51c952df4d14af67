//! Which instances are alive: probes, suspicion and leaving.
