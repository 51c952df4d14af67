//! `coriandergw check`

use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use gumdrop::Options;

use crate::cli::EXIT_INVALID;
use crate::cli::fail;
use crate::result_code::ResultCode;
use crate::settings::Settings;
use crate::settings::SettingsError;

/// The arguments of `check`.
#[derive(Debug, Options)]
pub(super) struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "print the result as JSON")]
    json: bool,
    #[options(free, required, help = "the settings file")]
    settings: PathBuf,
}

/// Checks a settings file and reports all its faults.
pub(super) fn check(arguments: &Arguments) -> ExitCode {
    let file = &arguments.settings;
    if arguments.json {
        return check_json(file);
    }
    match load(file) {
        Ok(settings) => {
            println!("{}: instance {} is valid", file.display(), settings.instance.name);
            ExitCode::SUCCESS
        }
        Err(message) => fail(EXIT_INVALID, message),
    }
}

fn check_json(file: &Path) -> ExitCode {
    let faults = match Settings::load(file) {
        Ok(_) => Vec::new(),
        Err(SettingsError::Faults { faults }) => faults,
        Err(cause) => return fail(EXIT_INVALID, format!("{}: {cause}", file.display())),
    };
    let rows: Vec<serde_json::Value> = faults
        .iter()
        .map(|fault| {
            serde_json::json!({
                "line": fault.line,
                "section": fault.section,
                "key": fault.key,
                "value": fault.value,
                "problem": fault.problem,
                "allowed": fault.allowed,
            })
        })
        .collect();
    println!("{}", serde_json::json!({"valid": rows.is_empty(), "faults": rows}));
    if rows.is_empty() { ExitCode::SUCCESS } else { ExitCode::from(EXIT_INVALID) }
}

/// Loads a settings file, or returns all its faults as text, one a line.
pub(super) fn load(file: &Path) -> Result<Settings, String> {
    let code = ResultCode::InvalidSettings;
    Settings::load(file).map_err(|cause| match cause {
        SettingsError::Faults { faults } => {
            let lines = faults.iter().map(|fault| format!("{}:{fault}", file.display()));
            lines.collect::<Vec<_>>().join("\n")
        }
        other => format!("{code} {}: {other}", file.display()),
    })
}
