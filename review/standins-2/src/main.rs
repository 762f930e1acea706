//! Drives one case of the review: `review-2 NAME FOLDER`. Exits with 1 if the rule was broken, 0 if it held, and 2 if
//! the case could not run.

mod case_frames;
mod case_idle;
mod case_lease;
mod case_mysql;
mod case_transaction;
mod engine;
mod fleet;
mod http;
mod mysql;
mod relay;
mod rpc;
mod world;

use std::path::PathBuf;
use std::time::Duration;
use world::{Outcome, World};

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (name, folder) = match &arguments[..] {
        [_, name, folder] => (name.clone(), PathBuf::from(folder)),
        _ => {
            eprintln!("usage: review-2 NAME FOLDER");
            std::process::exit(2);
        }
    };
    let mut world = match World::new(&folder) {
        Ok(world) => world,
        Err(why) => {
            eprintln!("could not run: {why}");
            std::process::exit(2);
        }
    };
    let case: fn(&mut World) -> Outcome = match name.as_str() {
        "idle" => case_idle::run,
        "frames" => case_frames::run,
        "lease" => case_lease::run,
        "mysql" => case_mysql::run,
        "transaction" => case_transaction::run,
        _ => |_| Err("no such case".into()),
    };
    world.end_after(Duration::from_secs(110));
    let outcome = case(&mut world);
    let (code, text) = match outcome {
        Ok(verdict) if verdict.held => (0, format!("held: {}", verdict.text)),
        Ok(verdict) => (1, format!("broken: {}", verdict.text)),
        Err(why) => (2, format!("could not run: {why}")),
    };
    world.record.line(&text);
    world.close();
    println!("{text}");
    std::process::exit(code);
}
