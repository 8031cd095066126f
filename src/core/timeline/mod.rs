//! Timeline of one request, from the log lines of all hosts: see `docs/OPERATIONS.md`.

use std::{
    collections::BTreeSet,
    fmt,
    ops::RangeInclusive, //
};

use crate::names::Name;

mod line;

pub use line::Line;

/// Time before the start of a request from which events are included, in milliseconds. It is longer
/// than the interval of reads of the store, which is below two seconds.
const MARGIN_BEFORE_MS: u64 = 2_000;

/// Time after the end of a request until which events are included, in milliseconds. Hosts may
/// detect the cause of a failure late.
const MARGIN_AFTER_MS: u64 = 500;

/// Maximum number of failures of other requests at the same servers. More would hide the rest.
const MAX_OTHER_FAILURES: usize = 8;

/// Log lines about a request and related events.
#[derive(Clone, Debug, PartialEq)]
pub struct Timeline {
    /// Lines of the request and of related events, by time.
    pub lines: Vec<Line>,
    /// How the request ended, if its last line is known.
    pub end: Option<String>,
    /// Hosts that wrote lines of the request.
    pub hosts: BTreeSet<Name>,
    start_ms: u64,
}

/// Hosts, servers and stages of a request.
#[derive(Default)]
struct Context<'a> {
    hosts: BTreeSet<&'a str>,
    servers: BTreeSet<&'a str>,
    stages: Vec<Stage<'a>>,
}

/// A stage of the request and the time in which it ran.
struct Stage<'a> {
    service: &'a str,
    owner: &'a str,
    span: RangeInclusive<u64>,
}

impl Timeline {
    /// Returns the timeline of a request, or `None` if no line belongs to it.
    pub fn find(lines: &[Line], request: &str) -> Option<Self> {
        let own: Vec<&Line> = lines
            .iter()
            .filter(|line| line.text("request") == Some(request))
            .collect();
        let start_ms = own.iter().map(|line| start_of(line)).min()?;
        let end_ms = own.iter().map(|line| line.at_ms).max()?;
        let span = start_ms.saturating_sub(MARGIN_BEFORE_MS)..=end_ms + MARGIN_AFTER_MS;
        let context = Context::new(&own);
        let mut other_failures = 0;
        let mut selected: Vec<Line> = Vec::new();
        for line in lines.iter().filter(|line| span.contains(&line.at_ms)) {
            let is_own = line.text("request") == Some(request);
            if is_own || context.is_related(line, &mut other_failures) {
                selected.push(line.clone());
            }
        }
        selected.sort_by_key(|line| line.at_ms);
        let last = own.iter().max_by_key(|line| line.at_ms)?;
        Some(Self {
            lines: selected,
            end: describe_end(last),
            hosts: own.iter().map(|line| line.host.clone()).collect(),
            start_ms,
        })
    }
}

/// Returns the start of the event in a line, which is logged at its end.
fn start_of(line: &Line) -> u64 {
    line.at_ms.saturating_sub(line.number("ms").unwrap_or(0))
}

/// Describes how a request ended, from its last line.
fn describe_end(last: &Line) -> Option<String> {
    let status = last.number("status")?;
    let ms = last.number("ms").unwrap_or(0);
    let reason = last.text("reason").unwrap_or("no reason given");
    match &*last.message {
        "answered" => Some(format!("answered by a server with {status} after {ms} ms")),
        "refused" => {
            let execution = match status {
                // The guarantee to callers in `docs/platform-design.md`.
                408 | 421 | 429 | 503 => "has not run",
                400..=499 => "was not passed on",
                _ => "may have run",
            };
            Some(format!(
                "ended by the host with {status} after {ms} ms, {execution}: {reason}"
            ))
        }
        _ => None,
    }
}

impl<'a> Context<'a> {
    fn new(own: &[&'a Line]) -> Self {
        let mut context = Self::default();
        for &line in own {
            context.hosts.insert(&line.host);
            context.hosts.extend(line.text("owner"));
            context.servers.extend(line.text("server"));
            if let (Some(service), Some(owner)) = (line.text("service"), line.text("owner")) {
                context.stages.push(Stage {
                    service,
                    owner,
                    span: start_of(line)..=line.at_ms,
                });
            }
        }
        context
    }

    /// Returns whether a line of another event is related to the request.
    fn is_related(&self, line: &Line, other_failures: &mut usize) -> bool {
        let is_on_host = self.hosts.contains(&*line.host);
        let mentions = |field, known: &BTreeSet<&str>| {
            line.text(field).is_some_and(|name| known.contains(name))
        };
        match &*line.message {
            "start" | "stop" | "reload" | "paused" | "dependency" | "configuration"
            | "data centre" | "lines dropped" | "learned" => is_on_host,
            "host" | "liveness" => is_on_host && mentions("name", &self.hosts),
            "server" => is_on_host && mentions("server", &self.servers),
            "batch" => self.stages.iter().any(|stage| stage.includes(line)),
            "attempt failed"
                if mentions("server", &self.servers) && *other_failures < MAX_OTHER_FAILURES =>
            {
                *other_failures += 1;
                true
            }
            _ => false,
        }
    }
}

impl Stage<'_> {
    /// Returns whether a line is a call of the stage's owner that ended while the stage ran.
    fn includes(&self, call: &Line) -> bool {
        &*call.host == self.owner
            && call.text("service") == Some(self.service)
            && self.span.contains(&call.at_ms)
    }
}

impl fmt::Display for Timeline {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for line in &self.lines {
            let after = line.at_ms as f64 - self.start_ms as f64;
            writeln!(formatter, "{:+9.3} s  {line}", after / 1_000.0)?;
        }
        let end = self.end.as_deref();
        write!(
            formatter,
            "{}",
            end.unwrap_or("the line with its end is missing")
        )
    }
}
