//! Checks that each sample settings file is valid.

use std::path::Path;

use coriandergw::settings::Settings;

fn check_sample(file: &Path) -> datatest_stable::Result<()> {
    Settings::load(file)?;
    Ok(())
}

datatest_stable::harness! {
    { test = check_sample, root = "../samples", pattern = r"\.ini$" },
}
