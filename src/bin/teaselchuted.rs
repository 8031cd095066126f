//! Daemon of an entry host.

use std::process::ExitCode;

use anyhow::Context;
use teaselchute::{
    options::args::{
        self,
        Args,
        Command, //
    },
    shell::daemon, //
};

/// Exit code for a wrong command line or wrong settings.
const EXIT_USAGE: u8 = 2;

/// Exit code if the daemon left with unfinished requests.
const EXIT_UNFINISHED: u8 = 3;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let args = match args::parse(&args) {
        Ok(args) => args,
        Err(error) => {
            eprintln!("teaselchuted: {error}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    match run(&args) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("teaselchuted: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(args: &Args) -> anyhow::Result<ExitCode> {
    let path = match &args.command {
        Command::Help(usage) => {
            println!("{usage}");
            return Ok(ExitCode::SUCCESS);
        }
        Command::Version => {
            println!("teaselchuted {}", env!("CARGO_PKG_VERSION"));
            return Ok(ExitCode::SUCCESS);
        }
        Command::CheckSettings(path) | Command::Run(path) => path,
    };
    let options = match args.options(path.clone()) {
        Ok(options) => options,
        Err(error) => {
            eprintln!("teaselchuted: {error}");
            return Ok(ExitCode::from(EXIT_USAGE));
        }
    };
    if matches!(args.command, Command::CheckSettings(_)) {
        println!("{}: the settings are right", path.display());
        return Ok(ExitCode::SUCCESS);
    }
    let daemon = daemon::spawn(options).context("can't start")?;
    let left = daemon.run_until_signal().context("can't run")?;
    if left.unfinished > 0 {
        eprintln!("teaselchuted: left {} requests unfinished", left.unfinished);
        return Ok(ExitCode::from(EXIT_UNFINISHED));
    }
    Ok(ExitCode::SUCCESS)
}
