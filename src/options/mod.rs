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

/// Options of a daemon.
#[derive(Clone)]
pub struct Options {
    /// The settings, after overrides by the command line.
    pub config: Config,
    /// Secret that all hosts of the cluster share.
    pub secret: Vec<u8>,
    /// Whether the daemon leaves the cluster on SIGTERM and SIGINT.
    pub handle_signals: bool,
}

/// Failure to load the options.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The settings file can't be read.
    #[error("{path}: {error}")]
    Read {
        /// Path of the settings file.
        path: PathBuf,
        /// Cause of the failure.
        error: std::io::Error,
    },
    /// The settings are invalid.
    #[error("{path}: {error}")]
    Config {
        /// Path of the settings file.
        path: PathBuf,
        /// Invalid field or syntax.
        error: config::Error,
    },
}

impl Options {
    /// Creates options from settings, without a command line.
    ///
    /// # Errors
    ///
    /// [`config::Error`] if a value is invalid.
    pub fn new(config: Config) -> Result<Self, config::Error> {
        config.check()?;
        let secret = config.secret()?;
        Ok(Self {
            config,
            secret,
            handle_signals: false,
        })
    }

    /// Reads the settings file and applies the overrides of the command line.
    ///
    /// # Errors
    ///
    /// [`Error`] with the file, and the field and line that are invalid.
    pub fn load(path: PathBuf, log_level: Option<LogLevel>) -> Result<Self, Error> {
        let text = std::fs::read_to_string(&path).map_err(|error| Error::Read {
            path: path.clone(),
            error,
        })?;
        let options = config::read_config(&text).and_then(|mut config| {
            config.log_level = log_level.unwrap_or(config.log_level);
            Self::new(config)
        });
        options.map_err(|error| Error::Config { path, error })
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
