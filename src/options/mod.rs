//! Options: command line and settings, merged into one struct.

pub mod args;
pub mod config;
pub mod gateway;

use std::path::PathBuf;

use args::Args;
use config::{
    Config,
    LogLevel, //
};

/// What a daemon runs with.
#[derive(Clone)]
pub struct Options {
    /// The settings, with what the command line overrides.
    pub config: Config,
    /// The secret that all hosts of the cluster share.
    pub secret: Vec<u8>,
    /// Whether the daemon leaves on SIGTERM and SIGINT.
    pub handle_signals: bool,
}

/// Why no options could be made.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The settings file can't be read.
    #[error("{path}: {error}")]
    Read {
        /// The file.
        path: PathBuf,
        /// Why.
        error: std::io::Error,
    },
    /// The settings are wrong.
    #[error("{path}: {error}")]
    Config {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        error: config::Error,
    },
}

impl Options {
    /// Makes options from settings alone.
    ///
    /// # Errors
    ///
    /// [`config::Error`] where a value can't be used.
    pub fn new(config: Config) -> Result<Self, config::Error> {
        config.check()?;
        let secret = config.secret()?;
        Ok(Self {
            config,
            secret,
            handle_signals: false,
        })
    }

    /// Reads the settings and lays the command line over them.
    ///
    /// # Errors
    ///
    /// [`Error`] with the file, and the field and line where it is wrong.
    pub fn load(path: PathBuf, log_level: Option<LogLevel>) -> Result<Self, Error> {
        let text = std::fs::read_to_string(&path).map_err(|error| Error::Read {
            path: path.clone(),
            error,
        })?;
        let made = config::read_config(&text).and_then(|mut config| {
            config.log_level = log_level.unwrap_or(config.log_level);
            Self::new(config)
        });
        made.map_err(|error| Error::Config { path, error })
    }
}

impl Args {
    /// Returns the options for running a daemon.
    ///
    /// # Errors
    ///
    /// As [`Options::load`].
    pub fn options(&self, path: PathBuf) -> Result<Options, Error> {
        let mut options = Options::load(path, self.log_level)?;
        options.handle_signals = true;
        Ok(options)
    }
}
