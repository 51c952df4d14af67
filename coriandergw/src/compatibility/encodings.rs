//! The encodings made by the released build.

use std::collections::BTreeMap;

use prost::Message;

/// Fields that no message has yet, as a newer build may add them.
#[derive(Clone, PartialEq, Message)]
struct NewerFields {
    #[prost(uint64, tag = "15000")]
    number: u64,
    #[prost(string, tag = "15001")]
    text: String,
    #[prost(double, tag = "15002")]
    fraction: f64,
}

/// Returns an encoded message with fields that this build does not know.
pub fn with_newer_fields(encoded: &[u8]) -> Vec<u8> {
    let newer = NewerFields { number: 7, text: "new".to_owned(), fraction: 0.5 };
    [encoded, &newer.encode_to_vec()].concat()
}

/// Returns the encodings made by the released build, by name; `present` has those of this build.
///
/// # Panics
/// Panics with the missing lines if any name in `present` has no encoding.
pub fn released(present: &BTreeMap<String, Vec<u8>>) -> BTreeMap<String, Vec<u8>> {
    let lines = include_str!("released.txt").lines();
    let parsed = lines.filter_map(|line| line.split_once(' '));
    let released: BTreeMap<String, Vec<u8>> =
        parsed.map(|(name, hex)| (name.to_owned(), hex::decode(hex).expect("hex"))).collect();
    let missing = present.iter().filter(|(name, _)| !released.contains_key(*name));
    let missing: Vec<String> =
        missing.map(|(name, bytes)| format!("{name} {}", hex::encode(bytes))).collect();
    assert!(missing.is_empty(), "released.txt lacks\n{}", missing.join("\n"));
    released
}

/// Returns the encoding of one name made by the released build.
///
/// # Panics
/// Panics with the missing line if there is none.
pub fn released_one(name: &str, present: &[u8]) -> Vec<u8> {
    let present = BTreeMap::from([(name.to_owned(), present.to_vec())]);
    released(&present).remove(name).expect("checked")
}
