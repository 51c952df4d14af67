//! Compares dispatching policies and prints one row a policy and class.

use std::process::ExitCode;

use gumdrop::Options as _;
use testkit::experiment;
use testkit::experiment::Deployment;
use testkit::experiment::policy::Policy;

#[derive(Debug, gumdrop::Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "association or consortium", default = "association")]
    deployment: String,
    #[options(help = "policies, separated by commas; all without it")]
    policies: Option<String>,
    #[options(help = "how many seeds each policy runs with")]
    seeds: Option<u64>,
    #[options(help = "the part of the capacity that is asked for")]
    load: Option<f64>,
    #[options(help = "fewer seeds and shorter runs")]
    quick: bool,
}

fn options(arguments: &Arguments) -> Result<experiment::Options, String> {
    let deployment = Deployment::find(&arguments.deployment)
        .ok_or_else(|| format!("no deployment is called {}", arguments.deployment))?;
    let mut options = experiment::Options::new(deployment, arguments.quick);
    if let Some(names) = &arguments.policies {
        let find = |name| Policy::find(name).ok_or_else(|| format!("no policy is called {name}"));
        options.policies = names.split(',').map(find).collect::<Result<_, _>>()?;
    }
    options.seeds = arguments.seeds.unwrap_or(options.seeds);
    options.load = arguments.load.unwrap_or(options.load);
    Ok(options)
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    let options = match options(&arguments) {
        Ok(options) => options,
        Err(message) => {
            eprintln!("{message}");
            return ExitCode::from(2);
        }
    };
    match experiment::run(options).await {
        Ok(result) => {
            println!("{result}");
            ExitCode::SUCCESS
        }
        Err(cause) => {
            eprintln!("{cause}");
            ExitCode::FAILURE
        }
    }
}
