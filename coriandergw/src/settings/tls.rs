//! The sections `[tls]` and `[caller_tls]`.

use std::path::Path;
use std::path::PathBuf;

use crate::http_server::CallerKeyFiles;
use crate::settings::reader::Reader;
use crate::transport::tls::KeyFiles;

/// Reads where the keys are. Every instance needs them, because others may join it at any time.
pub(super) fn read(reader: &mut Reader, folder: &Path) -> Option<KeyFiles> {
    let mut file = |key| {
        reader.parse_required("tls", key, |raw| Ok::<PathBuf, std::fmt::Error>(folder.join(raw)))
    };
    let authority = file("authority");
    let certificate = file("certificate");
    let key = file("key");
    Some(KeyFiles { authority: authority?, certificate: certificate?, key: key? })
}

/// Reads where the keys towards callers are; both or neither must be given.
pub(super) fn read_caller(reader: &mut Reader, folder: &Path) -> Option<CallerKeyFiles> {
    const SECTION: &str = "caller_tls";
    let certificate = reader.optional(SECTION, "certificate").map(|file| folder.join(file));
    let key = reader.optional(SECTION, "key").map(|file| folder.join(file));
    match (&certificate, &key) {
        (Some(_), None) => reader.fault(SECTION, "key", "is missing beside the certificate"),
        (None, Some(_)) => reader.fault(SECTION, "certificate", "is missing beside the key"),
        _ => {}
    }
    Some(CallerKeyFiles { certificate: certificate?, key: key? })
}
