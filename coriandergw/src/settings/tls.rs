//! The section `[tls]`.

use std::path::Path;
use std::path::PathBuf;

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
