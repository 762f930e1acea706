//! Entry point of the `beamgap` program: parses the command line and runs the command. The `run` command, which
//! serves requests, is implemented in `run.rs`.

mod cli;
mod commands;
mod log;
mod run;

use beamgap::node::config::{read_operator_file, Config};
use beamgap_xds::client::watch;
use beamgap_xds::core::stream::Variant;
use clap::Parser;
use cli::{Check, Cli, Command, Watch, Xds};
use std::process::ExitCode;

fn main() -> ExitCode {
    let cli = Cli::parse();
    let result = match cli.command {
        Some(Command::Policy(policy)) => return commands::exit_code(commands::policy::run(policy)),
        Some(Command::Task(task)) => return commands::exit_code(commands::task::run(task)),
        Some(Command::Fleet(fleet)) => return commands::exit_code(commands::fleet::run(fleet)),
        None => run::run(cli.run),
        Some(Command::Run(run)) => run::run(run),
        Some(Command::Check(check)) => self::check(&check),
        Some(Command::Xds(Xds::Watch(watch))) => self::watch(watch),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(text) => {
            eprintln!("beamgap: {text}");
            ExitCode::FAILURE
        }
    }
}

/// Reads and validates the same files as the `run` command, without serving requests.
fn check(check: &Check) -> Result<(), String> {
    let read_file = |path: &std::path::Path| {
        std::fs::read_to_string(path).map_err(|e| format!("config: {}: {e}", path.display()))
    };
    let env = |name: &str| std::env::var(name).ok();
    let name = check.file.display().to_string();
    let hcl = check.file.extension().is_some_and(|e| e == "hcl");
    let checked = match (hcl, &check.config) {
        (true, None) => read_operator_file(&name, &read_file(&check.file)?).map(|_| ()),
        (true, Some(config)) => {
            let (config, operator) = (read_file(config)?, read_file(&check.file)?);
            Config::read_both(config.into_bytes(), Some((&name, &operator)), &env).map(|_| ())
        }
        (false, _) => Config::read(read_file(&check.file)?.into_bytes(), &env).map(|_| ()),
    };
    checked.map_err(|e| e.to_string())?;
    println!("{name}: good");
    Ok(())
}

fn watch(watch: Watch) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("start: {e}"))?;
    let watch = watch::Watch {
        address: watch.address,
        node: watch.node,
        variant: if watch.delta { Variant::Delta } else { Variant::World },
        json: watch.json,
        refuse: (!watch.nack.is_empty()).then_some((watch.nack, watch.nack_text)),
        responses: watch.responses,
    };
    runtime.block_on(watch::run(watch, &mut std::io::stdout()))
}
