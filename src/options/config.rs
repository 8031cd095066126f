//! Settings of a daemon, in JSON: see `docs/settings.md`.

use std::{
    net::SocketAddr,
    path::PathBuf,
    str::FromStr, //
};

use schemars::JsonSchema;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    names::Name,
    utils::hex, //
};

/// Length of the cluster key, in bytes.
const KEY_BYTES: usize = 32;

/// Length of a BLAKE3 digest, in hexadecimal digits.
const DIGEST_DIGITS: usize = 64;

/// Settings of one daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Name of the host, which survives restarts.
    pub host: Name,
    /// Data centre of the host.
    pub data_centre: Name,
    /// Region of the data centre.
    pub region: Name,
    /// Relative capacity of the host for callers.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Environment that the host serves.
    #[serde(default = "default_environment")]
    pub environment: Name,
    /// Address for callers and operators, HTTP.
    #[schemars(with = "String")]
    pub http: SocketAddr,
    /// Address for other hosts, UDP and TCP.
    #[schemars(with = "String")]
    pub peer: SocketAddr,
    /// Listening address for callers and operators, if it differs from `http`.
    #[serde(default)]
    #[schemars(with = "Option<String>")]
    pub http_listen: Option<SocketAddr>,
    /// Listening address for other hosts, UDP and TCP, if it differs from `peer`.
    #[serde(default)]
    #[schemars(with = "Option<String>")]
    pub peer_listen: Option<SocketAddr>,
    /// Addresses of the platform's services.
    pub platform: Platform,
    /// Secret of the cluster, 64 hexadecimal digits. Either this or `cluster_key_file` is required.
    #[serde(default)]
    pub cluster_key: Option<String>,
    /// File with the secret of the cluster, 64 hexadecimal digits.
    #[serde(default)]
    pub cluster_key_file: Option<PathBuf>,
    /// BLAKE3 digest of the operators' credential, 64 hexadecimal digits.
    pub operator_digest: Name,
    /// Limits of the daemon.
    #[serde(default)]
    pub limits: Limits,
    /// Least severe level that is logged.
    #[serde(default)]
    pub log_level: LogLevel,
    /// Number of threads that serve callers and call backend servers.
    #[serde(default = "default_threads")]
    pub threads: usize,
}

fn default_weight() -> u32 {
    1
}

fn default_environment() -> Name {
    Name::from("production")
}

fn default_threads() -> usize {
    2
}

/// Addresses of the platform's services.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// The append-only log.
    #[schemars(with = "String")]
    pub log: SocketAddr,
    /// The host list.
    #[schemars(with = "String")]
    pub host_list: SocketAddr,
    /// The weight store.
    #[schemars(with = "String")]
    pub weight_store: SocketAddr,
}

/// Limits of a daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Largest body of a request, in bytes.
    pub body_bytes: usize,
    /// Largest answer of a backend server, in bytes.
    pub answer_bytes: usize,
    /// Largest body of an operator's request, in bytes.
    pub document_bytes: usize,
    /// Open connections of callers per thread.
    pub connections: usize,
    /// Timeout for the headers of a caller's request, in seconds.
    pub header_timeout_s: u16,
    /// Timeout of an idle connection of a caller, in seconds.
    pub keep_alive_s: u16,
    /// Timeout for connecting to a backend server or the platform, in milliseconds.
    pub connect_timeout_ms: u32,
    /// Timeout between two pieces of a stream, after which it counts as lost, in milliseconds.
    pub progress_timeout_ms: u64,
    /// Timeout of a request to the platform, in milliseconds.
    pub platform_timeout_ms: u64,
    /// Timeout for the body of a request, in milliseconds.
    pub body_timeout_ms: u64,
    /// Interval of polling a backend server's load, in milliseconds.
    pub load_poll_ms: u64,
    /// Interval of polling the host list, in milliseconds.
    pub host_list_poll_ms: u64,
    /// Timeout of a graceful leave, in milliseconds.
    pub leave_timeout_ms: u64,
    /// Number of requests whose decisions are kept for `why`.
    pub why_requests: usize,
    /// Number of pieces that are buffered for one slow caller.
    pub waiting_pieces: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes: 1 << 20,
            answer_bytes: 4 << 20,
            document_bytes: 16 << 20,
            connections: 2_048,
            header_timeout_s: 5,
            keep_alive_s: 30,
            connect_timeout_ms: 1_000,
            progress_timeout_ms: 2_000,
            platform_timeout_ms: 2_000,
            body_timeout_ms: 5_000,
            load_poll_ms: 500,
            host_list_poll_ms: 1_000,
            leave_timeout_ms: 30_000,
            why_requests: 4_096,
            waiting_pieces: 1_024,
        }
    }
}

/// Severity of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Only failures that need an operator.
    Error,
    /// Also conditions that may need an operator.
    Warning,
    /// Also each decision.
    #[default]
    Info,
    /// Also details for developers.
    Debug,
    /// Everything.
    Trace,
}

impl FromStr for LogLevel {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "error" => Ok(Self::Error),
            "warning" => Ok(Self::Warning),
            "info" => Ok(Self::Info),
            "debug" => Ok(Self::Debug),
            "trace" => Ok(Self::Trace),
            _ => Err(format!(
                "log level {text:?} is not error, warning, info, debug or trace"
            )),
        }
    }
}

impl From<LogLevel> for slog::Level {
    fn from(level: LogLevel) -> Self {
        match level {
            LogLevel::Error => Self::Error,
            LogLevel::Warning => Self::Warning,
            LogLevel::Info => Self::Info,
            LogLevel::Debug => Self::Debug,
            LogLevel::Trace => Self::Trace,
        }
    }
}

/// Invalid settings.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The text isn't JSON, or doesn't match the schema.
    #[error("line {line}, column {column}: {field}: {message}")]
    Parse {
        /// Path of the field.
        field: String,
        /// Line, counted from 1.
        line: usize,
        /// Column, counted from 1.
        column: usize,
        /// What is invalid, and what is expected.
        message: String,
    },
    /// A value is invalid.
    #[error("{field}: {message}")]
    Value {
        /// Path of the field.
        field: &'static str,
        /// What is invalid, and what is expected.
        message: String,
    },
}

/// Parses settings.
///
/// # Errors
///
/// [`Error::Parse`] with field and line.
pub fn read_config(text: &str) -> Result<Config, Error> {
    let mut reader = serde_json::Deserializer::from_str(text);
    let read = serde_path_to_error::deserialize(&mut reader);
    let config = read.map_err(|error| {
        let field = error.path().to_string();
        parse_error(field, error.inner())
    })?;
    reader
        .end()
        .map_err(|error| parse_error("end of file".to_string(), &error))?;
    Ok(config)
}

fn parse_error(field: String, error: &serde_json::Error) -> Error {
    let message = error.to_string();
    // Line and column have their own fields.
    let message = match message.rfind(" at line ") {
        Some(end) => message[..end].to_string(),
        None => message,
    };
    Error::Parse {
        field,
        line: error.line(),
        column: error.column(),
        message,
    }
}

impl Config {
    /// Checks the values that the types don't restrict.
    ///
    /// # Errors
    ///
    /// [`Error::Value`] with the field and what is expected.
    pub fn check(&self) -> Result<(), Error> {
        let invalid = |field, message: String| Err(Error::Value { field, message });
        for (field, name) in [
            ("host", &self.host),
            ("data_centre", &self.data_centre),
            ("region", &self.region),
            ("environment", &self.environment),
        ] {
            if name.is_empty() {
                return invalid(field, "is empty, a name is needed".to_string());
            }
        }
        if self.threads == 0 {
            return invalid("threads", "is 0, at least 1 is needed".to_string());
        }
        let digits = hex::decode(&self.operator_digest);
        if self.operator_digest.len() != DIGEST_DIGITS || digits.is_none() {
            return invalid(
                "operator_digest",
                format!("is not {DIGEST_DIGITS} hexadecimal digits of a BLAKE3 digest"),
            );
        }
        self.limits.check()
    }

    /// Returns the secret of the cluster.
    ///
    /// # Errors
    ///
    /// [`Error::Value`] if it is missing, unreadable or of the wrong length.
    pub fn secret(&self) -> Result<Vec<u8>, Error> {
        let invalid = |field, message: String| Error::Value { field, message };
        let (field, text) = match (&self.cluster_key, &self.cluster_key_file) {
            (Some(text), None) => ("cluster_key", text.clone()),
            (None, Some(path)) => {
                let field = "cluster_key_file";
                let text = std::fs::read_to_string(path)
                    .map_err(|error| invalid(field, format!("{}: {error}", path.display())))?;
                (field, text)
            }
            _ => {
                let message = "either cluster_key or cluster_key_file is needed";
                return Err(invalid("cluster_key", message.to_string()));
            }
        };
        let secret = hex::decode(text.trim()).unwrap_or_default();
        if secret.len() != KEY_BYTES {
            let message = format!("is not {} hexadecimal digits", KEY_BYTES * 2);
            return Err(invalid(field, message));
        }
        Ok(secret)
    }
}

impl Limits {
    fn check(&self) -> Result<(), Error> {
        for (field, value) in [
            ("limits.body_bytes", self.body_bytes as u64),
            ("limits.answer_bytes", self.answer_bytes as u64),
            ("limits.document_bytes", self.document_bytes as u64),
            ("limits.connections", self.connections as u64),
            ("limits.header_timeout_s", self.header_timeout_s.into()),
            ("limits.connect_timeout_ms", self.connect_timeout_ms.into()),
            ("limits.progress_timeout_ms", self.progress_timeout_ms),
            ("limits.platform_timeout_ms", self.platform_timeout_ms),
            ("limits.body_timeout_ms", self.body_timeout_ms),
            ("limits.load_poll_ms", self.load_poll_ms),
            ("limits.host_list_poll_ms", self.host_list_poll_ms),
            ("limits.why_requests", self.why_requests as u64),
            ("limits.waiting_pieces", self.waiting_pieces as u64),
        ] {
            if value == 0 {
                let message = "is 0, a positive number is needed".to_string();
                return Err(Error::Value { field, message });
            }
        }
        Ok(())
    }
}
