//! The command line of the randomised runs.

use getopts::Options as Parser;
use teaselchute::core::mutation::{
    self,
    Mutation, //
};

/// What to run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Seed of the first run.
    pub seed: u64,
    /// Count of runs, each with the next seed.
    pub runs: u64,
    /// Count of entry hosts.
    pub hosts: usize,
    /// Virtual minutes under load of each run.
    pub minutes: u64,
    /// A fault in the core.
    pub mutation: Mutation,
    /// Whether to print the names of the mutations.
    pub list_mutations: bool,
    /// Whether to print the whole trace of the first run.
    pub trace: bool,
}

/// Parses the command line without the program's name.
pub fn parse(args: impl Iterator<Item = String>) -> Result<Options, String> {
    let mut parser = Parser::new();
    parser.optopt("", "seed", "seed of the first run (1)", "N");
    parser.optopt("", "runs", "count of runs (10)", "M");
    parser.optopt("", "hosts", "count of entry hosts (9)", "H");
    parser.optopt("", "minutes", "virtual minutes of each run (2)", "V");
    parser.optopt("", "mutate", "put a fault into the core", "NAME");
    parser.optflag("", "list-mutations", "print the names of such faults");
    parser.optflag("", "trace", "print the whole trace of the first run");
    let usage = parser.usage("Usage: soak [options]");
    let args: Vec<String> = args.collect();
    let matches = parser
        .parse(&args)
        .map_err(|error| format!("{error}\n{usage}"))?;
    let number = |name: &str, default: u64| {
        let value = matches.opt_get_default(name, default);
        value.map_err(|error| format!("--{name}: {error}\n{usage}"))
    };
    Ok(Options {
        seed: number("seed", 1)?,
        runs: number("runs", 10)?,
        hosts: number("hosts", 9)?.max(3) as usize,
        minutes: number("minutes", 2)?,
        mutation: find_mutation(matches.opt_str("mutate"))?,
        list_mutations: matches.opt_present("list-mutations"),
        trace: matches.opt_present("trace"),
    })
}

fn find_mutation(name: Option<String>) -> Result<Mutation, String> {
    let Some(name) = name else {
        return Ok(Mutation::None);
    };
    let found = mutation::ALL.iter().find(|(known, _)| *known == name);
    found
        .map(|(_, mutation)| *mutation)
        .ok_or_else(|| format!("no mutation {name:?}, see --list-mutations"))
}
