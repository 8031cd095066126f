//! Command-line tool for operators.

mod args;
mod client;
mod commands;
mod report;

use std::process::ExitCode;

use ntex::rt::{
    DefaultRuntime,
    System, //
};

use args::Parsed;

/// Exit codes, the same for all subcommands.
pub mod exit {
    /// No host answered, no host knows the subject, or a file can't be read.
    pub const FAILED: u8 = 1;
    /// The command line is invalid.
    pub const USAGE: u8 = 2;
    /// The document has problems, or the change was refused.
    pub const REFUSED: u8 = 3;
    /// The change was sent, but its verdict isn't known yet.
    pub const UNKNOWN: u8 = 4;
}

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let command = match args::parse(&words) {
        Ok(Parsed::Command(command)) => command,
        Ok(Parsed::Text(text)) => {
            println!("{text}");
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            eprintln!("teaselchute: {error}");
            return ExitCode::from(exit::USAGE);
        }
    };
    let result = System::new("teaselchute", DefaultRuntime).block_on(commands::run(command));
    match result {
        Ok(code) => ExitCode::from(code),
        Err(error) => {
            eprintln!("teaselchute: {error:#}");
            ExitCode::from(exit::FAILED)
        }
    }
}
