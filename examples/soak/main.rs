//! Randomised runs of whole nodes under all faults together: `soak --seed N --runs M`.
//!
//! Each run checks what must always hold. On a violation it prints the promise, the seed and a
//! shrunk trace, and exits with 1.

#[path = "../driver/mod.rs"]
mod driver;

mod options;
mod run;
mod shrink;

use std::{
    collections::BTreeMap,
    process::ExitCode,
    time::Instant, //
};

use options::Options;
use run::Outcome;
use teaselchute::core::mutation;

/// Kinds of faults that must have occurred in all runs together.
const EXPECTED_FAULTS: &[&str] = &[
    "change",
    "crash",
    "cut",
    "double",
    "drain",
    "late_append",
    "leave",
    "log_forgets",
    "log_outage",
    "loss",
    "lost_append_answer",
    "pause",
    "region_cut",
    "reorder",
    "server_cold",
    "server_failure",
    "silent_connection",
    "zone_cold",
];

fn main() -> ExitCode {
    let options = match options::parse(std::env::args().skip(1)) {
        Ok(options) => options,
        Err(message) => {
            eprintln!("{message}");
            return ExitCode::from(2);
        }
    };
    if options.list_mutations {
        for (name, _) in mutation::ALL {
            println!("{name}");
        }
        return ExitCode::SUCCESS;
    }
    let began = Instant::now();
    let outcomes = run::all(&options);
    if options.trace {
        let first = outcomes.iter().find(|it| it.seed == options.seed);
        for line in first.iter().flat_map(|outcome| &outcome.trace) {
            println!("{line}");
        }
    }
    let violated = outcomes.iter().find(|outcome| outcome.is_violated());
    if let Some(outcome) = violated {
        shrink::report(&options, outcome);
    }
    let faults = sum_faults(&outcomes);
    let missing: Vec<&str> = EXPECTED_FAULTS
        .iter()
        .copied()
        .filter(|fault| !faults.contains_key(fault))
        .collect();
    print_summary(&options, &outcomes, &faults, began);
    // A mutation ends the runs at the first violation, so that not all faults may have occurred.
    if violated.is_none() && !missing.is_empty() {
        eprintln!("faults that did not occur: {}", missing.join(", "));
        return ExitCode::FAILURE;
    }
    match violated {
        Some(_) => ExitCode::FAILURE,
        None => ExitCode::SUCCESS,
    }
}

fn sum_faults(outcomes: &[Outcome]) -> BTreeMap<&'static str, u64> {
    let mut faults = BTreeMap::new();
    for outcome in outcomes {
        for (fault, count) in &outcome.faults {
            *faults.entry(*fault).or_default() += count;
        }
    }
    faults
}

fn print_summary(
    options: &Options,
    outcomes: &[Outcome],
    faults: &BTreeMap<&'static str, u64>,
    began: Instant,
) {
    let events: u64 = outcomes.iter().map(|outcome| outcome.events).sum();
    let virtual_ms: u64 = outcomes.iter().map(|outcome| outcome.virtual_ms).sum();
    let violations: u64 = outcomes.iter().map(Outcome::violations).sum();
    let count = |read: fn(&Outcome) -> u64| outcomes.iter().map(read).sum::<u64>();
    let fingerprint = outcomes
        .iter()
        .fold(0, |all: u64, it| all.rotate_left(1) ^ it.fingerprint);
    let seconds = began.elapsed().as_secs_f64().max(0.001);
    let line = serde_json::json!({
        "variant": "teaselchute",
        "seed": options.seed,
        "runs": outcomes.len(),
        "hosts": options.hosts,
        "virtual_hours": virtual_ms as f64 / 3_600_000.0,
        "events": events,
        "events_per_second": (events as f64 / seconds) as u64,
        "requests": count(|it| it.requests),
        "answered": count(|it| it.answered),
        "not_run": count(|it| it.not_run),
        "may_have_run": count(|it| it.may_have_run),
        "engine_orders": count(|it| it.engine_orders),
        "violations": violations,
        "fingerprint": format!("{fingerprint:016x}"),
        "faults": faults,
    });
    println!("{line}");
}
