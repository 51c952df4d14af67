//! `coriandergw keys`

use std::fs::OpenOptions;
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use gumdrop::Options;

use crate::cli::EXIT_FAILED;
use crate::cli::EXIT_INVALID;
use crate::cli::fail;
use crate::clock::Clock;
use crate::clock::SystemClock;
use crate::clock::WallTime;
use crate::ids::InstanceName;
use crate::keys::KeyPem;
use crate::keys::make_authority;
use crate::keys::make_certificate;

const PRIVATE_MODE: u32 = 0o600;
const PUBLIC_MODE: u32 = 0o644;

/// The arguments of `keys`.
#[derive(Debug, Options)]
pub(super) struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "the cluster's name", required)]
    cluster: String,
    #[options(help = "the folder for the keys", required)]
    out: PathBuf,
    #[options(free, help = "the instances that need a certificate")]
    instances: Vec<String>,
}

/// Makes the authority, unless it is there, and a certificate for each instance.
pub(super) fn keys(arguments: &Arguments) -> ExitCode {
    let mut instances = Vec::new();
    for raw in &arguments.instances {
        match InstanceName::try_from(raw.as_str()) {
            Ok(name) => instances.push(name),
            Err(cause) => return fail(EXIT_INVALID, format!("{raw}: {cause}")),
        }
    }
    match write_keys(arguments, &instances) {
        Ok(()) => ExitCode::SUCCESS,
        Err(cause) => fail(EXIT_FAILED, cause),
    }
}

fn write_keys(arguments: &Arguments, instances: &[InstanceName]) -> Result<(), String> {
    let out = &arguments.out;
    let now = SystemClock::default().wall();
    std::fs::create_dir_all(out).map_err(|cause| format!("{}: {cause}", out.display()))?;
    let authority_key = authority_key(&arguments.cluster, out, now)?;
    for instance in instances {
        let pem = make_certificate(&arguments.cluster, &authority_key, instance, now)
            .map_err(|cause| format!("{instance}: {cause}"))?;
        write_pair(out, instance.as_str(), &pem)?;
        println!("{}", out.join(format!("{instance}.pem")).display());
    }
    Ok(())
}

/// Returns the authority's private key; an authority that exists is kept.
fn authority_key(cluster: &str, out: &Path, now: WallTime) -> Result<String, String> {
    let file = out.join("authority.key");
    if file.exists() {
        return std::fs::read_to_string(&file)
            .map_err(|cause| format!("{}: {cause}", file.display()));
    }
    let pem = make_authority(cluster, now).map_err(|cause| cause.to_string())?;
    write_pair(out, "authority", &pem)?;
    Ok(pem.key)
}

fn write_pair(out: &Path, name: &str, pem: &KeyPem) -> Result<(), String> {
    write_file(&out.join(format!("{name}.pem")), &pem.certificate, PUBLIC_MODE)?;
    write_file(&out.join(format!("{name}.key")), &pem.key, PRIVATE_MODE)
}

fn write_file(file: &Path, text: &str, mode: u32) -> Result<(), String> {
    let mut options = OpenOptions::new();
    options.write(true).create(true).truncate(true).mode(mode);
    let mut f = options.open(file).map_err(|cause| format!("{}: {cause}", file.display()))?;
    f.write_all(text.as_bytes()).map_err(|cause| format!("{}: {cause}", file.display()))
}
