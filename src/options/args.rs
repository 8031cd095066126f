//! The daemon's command line.

use std::path::PathBuf;

use getopts::Options as Parser;

use super::config::LogLevel;

/// Action that the command line requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Print the help text.
    Help(String),
    /// Print the version.
    Version,
    /// Check the settings and exit.
    CheckSettings(PathBuf),
    /// Run the daemon with these settings.
    Run(PathBuf),
}

/// The parsed command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Args {
    /// Requested action.
    pub command: Command,
    /// Log level that overrides that of the settings.
    pub log_level: Option<LogLevel>,
}

/// Invalid command line. Its text includes the usage.
#[derive(Debug, thiserror::Error)]
#[error("{message}\n\n{usage}")]
pub struct Error {
    message: String,
    usage: String,
}

const BRIEF: &str = "\
Usage: teaselchuted --settings FILE [--log-level LEVEL]
       teaselchuted --check-settings FILE

Runs an entry host: it takes requests from callers and routes their stages to
backend servers. SIGTERM or SIGINT makes it leave gracefully, a second one at once.

Exit codes: 0 all went well, 1 the daemon failed, 2 the command line or the
settings are wrong, 3 it left with requests unfinished.";

fn parser() -> Parser {
    let mut parser = Parser::new();
    parser.optopt("s", "settings", "run with the settings in FILE", "FILE");
    parser.optopt(
        "",
        "check-settings",
        "check the settings in FILE and stop",
        "FILE",
    );
    parser.optopt(
        "",
        "log-level",
        "error, warning, info, debug or trace, in place of the settings' level",
        "LEVEL",
    );
    parser.optflag("h", "help", "print this help");
    parser.optflag("V", "version", "print the version");
    parser
}

/// Parses a command line without the program's name.
///
/// # Errors
///
/// [`Error`] if it is invalid, with the usage to print.
pub fn parse(args: &[String]) -> Result<Args, Error> {
    let parser = parser();
    let usage = parser.usage(BRIEF);
    let error = |message: String| Error {
        message,
        usage: usage.clone(),
    };
    let matches = parser
        .parse(args)
        .map_err(|failed| error(failed.to_string()))?;
    if let Some(extra) = matches.free.first() {
        return Err(error(format!("unexpected argument {extra:?}")));
    }
    let log_level = match matches.opt_str("log-level") {
        Some(text) => Some(text.parse::<LogLevel>().map_err(error)?),
        None => None,
    };
    let command = if matches.opt_present("help") {
        Command::Help(usage)
    } else if matches.opt_present("version") {
        Command::Version
    } else if let Some(path) = matches.opt_str("check-settings") {
        Command::CheckSettings(path.into())
    } else if let Some(path) = matches.opt_str("settings") {
        Command::Run(path.into())
    } else {
        return Err(error(
            "--settings or --check-settings is needed".to_string(),
        ));
    };
    Ok(Args { command, log_level })
}
