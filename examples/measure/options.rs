//! The command line of the measurements.

use getopts::Options as Parser;

/// Which case to measure, and with which seeds.
pub struct Options {
    /// The case.
    pub case: String,
    /// Seed of the first run.
    pub seed: u64,
    /// Count of runs, each with the next seed.
    pub runs: u64,
}

/// Parses the command line without the program's name.
pub fn parse(args: impl Iterator<Item = String>) -> Result<Options, String> {
    let mut parser = Parser::new();
    parser.optopt("", "seed", "seed of the first run", "N");
    parser.optopt("", "runs", "count of runs", "M");
    let usage = parser.usage("Usage: measure CASE [--seed N] [--runs M]");
    let args: Vec<String> = args.collect();
    let matches = parser
        .parse(&args)
        .map_err(|error| format!("{error}\n{usage}"))?;
    let [case] = matches.free.as_slice() else {
        return Err(usage);
    };
    let number = |name: &str, default: u64| match matches.opt_get_default(name, default) {
        Ok(value) => Ok(value),
        Err(error) => Err(format!("--{name}: {error}\n{usage}")),
    };
    Ok(Options {
        case: case.clone(),
        seed: number("seed", 1)?,
        runs: number("runs", 1)?,
    })
}
