//! Measurements in virtual time: `measure CASE [--seed N] [--runs M]`, one JSON line a variant.

#[path = "../driver/mod.rs"]
mod driver;

mod cold;
mod config;
mod drain;
mod fleet;
mod ledgers;
mod membership;
mod options;
mod orders;
mod outcome;
mod overload;
mod placement;
mod shutdown;
mod slopes;

use std::process::ExitCode;

/// A case: prints its lines and returns whether its bounds hold.
type Case = fn(&options::Options) -> bool;

/// All cases by name. Each stands in a module of its own.
const CASES: &[(&str, Case)] = &[
    ("cold", cold::run),
    ("config", config::run),
    ("drain", drain::measure),
    ("membership", membership::measure),
    ("orders", orders::measure),
    ("outcome", outcome::measure),
    ("overload", overload::run),
    ("placement", placement::measure),
    ("shutdown", shutdown::measure),
    ("slopes", slopes::run),
];

fn main() -> ExitCode {
    let options = match options::parse(std::env::args().skip(1)) {
        Ok(options) => options,
        Err(message) => {
            eprintln!("{message}");
            return ExitCode::from(2);
        }
    };
    let Some((_, case)) = CASES.iter().find(|(name, _)| *name == options.case) else {
        let names: Vec<&str> = CASES.iter().map(|(name, _)| *name).collect();
        eprintln!("no case {:?}, only {}", options.case, names.join(", "));
        return ExitCode::from(2);
    };
    eprintln!(
        "{}: {} runs from seed {}",
        options.case, options.runs, options.seed
    );
    if case(&options) {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
