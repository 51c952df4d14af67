//! Generates the message types of each slice from its `messages.proto`.

use std::path::Path;
use std::path::PathBuf;

use derive_more::Display;
use derive_more::Error;

/// The file in a slice's folder that defines its messages.
pub(crate) const PROTO_FILE: &str = "messages.proto";

/// The file that the generated types are written to.
const GENERATED_FILE: &str = "generated.rs";

/// Says why the types could not be generated.
#[derive(Debug)]
#[derive(Display, Error)]
#[display("{}: {reason}", file.display())]
pub struct GenerateError {
    /// The file at fault.
    pub file: PathBuf,
    /// What is wrong.
    pub reason: String,
}

pub(crate) fn fault<E>(file: &Path, cause: E) -> GenerateError
where
    E: std::fmt::Display,
{
    GenerateError { file: file.to_owned(), reason: cause.to_string() }
}

/// Generates the types of every slice below `source` and returns the written files.
///
/// # Errors
/// Fails on the first definition that is not valid.
pub fn generate_all(source: &Path) -> Result<Vec<PathBuf>, GenerateError> {
    let mut written = Vec::new();
    let folders = std::fs::read_dir(source).map_err(|cause| fault(source, cause))?;
    for folder in folders.filter_map(Result::ok) {
        if folder.path().join(PROTO_FILE).exists() {
            written.push(generate_slice(&folder.path())?);
        }
    }
    written.sort();
    Ok(written)
}

fn generate_slice(slice: &Path) -> Result<PathBuf, GenerateError> {
    let proto = slice.join(PROTO_FILE);
    let descriptors = protox::compile([&proto], [slice]).map_err(|cause| fault(&proto, cause))?;
    let out = tempfile::tempdir().map_err(|cause| fault(&proto, cause))?;
    let mut config = prost_build::Config::new();
    config.bytes(["."]);
    config.btree_map(["."]);
    config.out_dir(out.path());
    config.compile_fds(descriptors).map_err(|cause| fault(&proto, cause))?;
    let made = std::fs::read_dir(out.path()).map_err(|cause| fault(&proto, cause))?;
    let made = made.filter_map(Result::ok).next();
    let made = made.ok_or_else(|| fault(&proto, "nothing was generated"))?;
    let text = std::fs::read_to_string(made.path()).map_err(|cause| fault(&proto, cause))?;
    let target = slice.join(GENERATED_FILE);
    std::fs::write(&target, text).map_err(|cause| fault(&target, cause))?;
    Ok(target)
}
