//! The daemon's log: one JSON object a line, written by a thread of its own.

use std::io::{
    LineWriter,
    Write, //
};

use slog::{
    Drain,
    FnValue,
    Logger,
    Serde,
    o, //
};

use crate::{
    core::decision::Decision,
    options::config::LogLevel, //
};

/// Lines that wait for the writing thread. More are dropped, and their count is logged.
const WAITING_LINES: usize = 16_384;

/// Opens a log that writes to `out`.
pub fn open(out: impl Write + Send + 'static, level: LogLevel) -> Logger {
    let json = slog_json::Json::new(LineWriter::new(out))
        .set_flush(true)
        .add_key_value(o!(
            "at" => FnValue(|_| unix_ms()),
            "level" => FnValue(|record| record.level().as_str()),
            "message" => FnValue(|record| record.msg().to_string()),
        ))
        .build()
        .fuse();
    let queue = slog_async::Async::new(json)
        .chan_size(WAITING_LINES)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build()
        .fuse();
    Logger::root(queue.filter_level(level.into()).fuse(), o!())
}

/// Opens a log that drops all lines.
pub fn discard() -> Logger {
    Logger::root(slog::Discard, o!())
}

fn unix_ms() -> u64 {
    let since_epoch = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}

/// Logs a decision, from the same value that `why` answers with.
pub fn log_decision(logger: &Logger, decision: &Decision) {
    if logger.is_enabled(slog::Level::Info) {
        slog::info!(logger, "decision"; "decision" => Serde(decision.clone()));
    }
}
