//! The story of one request, from the log lines of all hosts: see `docs/OPERATIONS.md`.

use std::{
    collections::BTreeSet,
    fmt,
    ops::RangeInclusive, //
};

use crate::names::Name;

mod line;

pub use line::Line;

/// Time before a request in which changes may explain it, in milliseconds. Reads of the store follow
/// each other by less than two seconds.
const BEFORE_MS: u64 = 2_000;

/// Time after a request's end in which its cause may still be noticed, in milliseconds.
const AFTER_MS: u64 = 500;

/// Failures of other requests at the same servers that are shown. More would hide the story.
const MAX_OTHERS: usize = 8;

/// A request and what bears on it.
#[derive(Clone, Debug, PartialEq)]
pub struct Timeline {
    /// Its own lines, and those about what it met, by time.
    pub lines: Vec<Line>,
    /// How it ended, where its last line is there.
    pub end: Option<String>,
    /// Hosts that wrote its own lines.
    pub hosts: BTreeSet<Name>,
    start_ms: u64,
}

/// What a request met.
#[derive(Default)]
struct Met<'a> {
    hosts: BTreeSet<&'a str>,
    servers: BTreeSet<&'a str>,
    stages: Vec<Stage<'a>>,
}

/// A stage while it ran.
struct Stage<'a> {
    service: &'a str,
    owner: &'a str,
    span: RangeInclusive<u64>,
}

impl Timeline {
    /// Finds the story of a request, `None` where no line is about it.
    pub fn find(lines: &[Line], request: &str) -> Option<Self> {
        let own: Vec<&Line> = lines
            .iter()
            .filter(|line| line.text("request") == Some(request))
            .collect();
        let start_ms = own.iter().map(|line| started_ms(line)).min()?;
        let end_ms = own.iter().map(|line| line.at_ms).max()?;
        let span = start_ms.saturating_sub(BEFORE_MS)..=end_ms + AFTER_MS;
        let met = Met::new(&own);
        let mut others = 0;
        let mut told: Vec<Line> = Vec::new();
        for line in lines.iter().filter(|line| span.contains(&line.at_ms)) {
            let is_own = line.text("request") == Some(request);
            if is_own || met.bears_on(line, &mut others) {
                told.push(line.clone());
            }
        }
        told.sort_by_key(|line| line.at_ms);
        let last = own.iter().max_by_key(|line| line.at_ms)?;
        Some(Self {
            lines: told,
            end: end(last),
            hosts: own.iter().map(|line| line.host.clone()).collect(),
            start_ms,
        })
    }
}

/// Returns when what a line tells began.
fn started_ms(line: &Line) -> u64 {
    line.at_ms.saturating_sub(line.number("ms").unwrap_or(0))
}

fn end(last: &Line) -> Option<String> {
    let status = last.number("status")?;
    let ms = last.number("ms").unwrap_or(0);
    let reason = last.text("reason").unwrap_or("no reason told");
    match &*last.message {
        "answered" => Some(format!("answered by a server with {status} after {ms} ms")),
        "refused" => {
            let ran = match status {
                // A promise to callers: see `docs/platform-design.md`.
                408 | 421 | 429 | 503 => "has not run",
                400..=499 => "was not passed on",
                _ => "may have run",
            };
            Some(format!(
                "ended by the host with {status} after {ms} ms, {ran}: {reason}"
            ))
        }
        _ => None,
    }
}

impl<'a> Met<'a> {
    fn new(own: &[&'a Line]) -> Self {
        let mut met = Self::default();
        for &line in own {
            met.hosts.insert(&line.host);
            met.hosts.extend(line.text("owner"));
            met.servers.extend(line.text("server"));
            if let (Some(service), Some(owner)) = (line.text("service"), line.text("owner")) {
                met.stages.push(Stage {
                    service,
                    owner,
                    span: started_ms(line)..=line.at_ms,
                });
            }
        }
        met
    }

    /// Returns whether a line that isn't the request's own may explain it.
    fn bears_on(&self, line: &Line, others: &mut usize) -> bool {
        let is_here = self.hosts.contains(&*line.host);
        let names = |field, known: &BTreeSet<&str>| {
            line.text(field).is_some_and(|name| known.contains(name))
        };
        match &*line.message {
            "start" | "stop" | "reload" | "paused" | "dependency" | "configuration"
            | "data centre" | "lines dropped" | "learned" => is_here,
            "host" => is_here && names("name", &self.hosts),
            "server" => is_here && names("server", &self.servers),
            "batch" => self.stages.iter().any(|stage| stage.had(line)),
            "attempt failed" if names("server", &self.servers) && *others < MAX_OTHERS => {
                *others += 1;
                true
            }
            _ => false,
        }
    }
}

impl Stage<'_> {
    /// Returns whether a call ended while the stage ran, at its owner.
    fn had(&self, call: &Line) -> bool {
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
