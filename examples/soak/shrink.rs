//! Shrinks a violated run to fewer faults and less time, and prints its trace.

use crate::{
    driver::world::Plan,
    options::Options,
    run::{
        self,
        Outcome, //
    },
};

/// Lines of the trace that are printed, up to the violation.
const TRACE_LINES: usize = 80;

/// Prints what was violated, the seed, and the trace of a shrunk run.
pub fn report(options: &Options, outcome: &Outcome) {
    let Some(promise) = outcome.broken.keys().next() else {
        return;
    };
    println!("violated: {promise}, seed {}", outcome.seed);
    for text in &outcome.texts {
        println!("  {text}");
    }
    let mut plan = run::plan(options, outcome.seed);
    plan.duration_ms = plan.duration_ms.min(outcome.virtual_ms);
    plan = shrink(plan, promise);
    plan.trace = true;
    let shrunk = run::one(plan.clone());
    println!(
        "shrunk to {} ms under load, faults {:?}, a request every {} us:",
        plan.duration_ms, plan.faults.kinds, plan.request_every_us
    );
    for text in shrunk.texts.iter().take(3) {
        println!("  {text}");
    }
    let first = shrunk.texts.first().map_or("", String::as_str);
    let requests = requests_in(first);
    let until = at_ms(first).unwrap_or(u64::MAX);
    let lines: Vec<&String> = shrunk
        .trace
        .iter()
        .filter(|line| is_about(line, &requests))
        .filter(|line| at_ms(line).is_none_or(|at| at <= until))
        .collect();
    let from = lines.len().saturating_sub(TRACE_LINES);
    for line in &lines[from..] {
        println!("  {line}");
    }
    println!(
        "again: soak --seed {} --runs 1 --hosts {} --minutes {}",
        outcome.seed, options.hosts, options.minutes
    );
}

/// Takes away what isn't needed for the violation, one thing at a time.
fn shrink(mut plan: Plan, promise: &str) -> Plan {
    let mut index = 0;
    while index < plan.faults.kinds.len() {
        let mut smaller = plan.clone();
        smaller.faults.kinds.remove(index);
        if violates(&smaller, promise) {
            plan = smaller;
        } else {
            index += 1;
        }
    }
    for change in [without_chances, without_network_faults, without_changes] {
        let mut smaller = plan.clone();
        change(&mut smaller);
        if violates(&smaller, promise) {
            plan = smaller;
        }
    }
    for _ in 0..5 {
        let mut smaller = plan.clone();
        smaller.duration_ms /= 2;
        if !violates(&smaller, promise) {
            break;
        }
        plan = smaller;
    }
    for _ in 0..5 {
        let mut smaller = plan.clone();
        smaller.request_every_us *= 2;
        if !violates(&smaller, promise) {
            break;
        }
        plan = smaller;
    }
    plan
}

fn violates(plan: &Plan, promise: &str) -> bool {
    run::one(plan.clone()).broken.contains_key(promise)
}

fn without_chances(plan: &mut Plan) {
    plan.faults.lost_append_permille = 0;
    plan.faults.late_append_permille = 0;
    plan.faults.silent_permille = 0;
    plan.faults.server_fail_permille = 0;
}

fn without_network_faults(plan: &mut Plan) {
    plan.network.loss_permille = 0;
    plan.network.double_permille = 0;
    plan.network.hold_permille = 0;
}

fn without_changes(plan: &mut Plan) {
    plan.faults.change_every_ms = 0;
}

/// Returns the requests that a violation names.
fn requests_in(text: &str) -> Vec<String> {
    text.split_whitespace()
        .filter(|word| word.contains("request-"))
        .map(|word| word.trim_end_matches(':').to_owned())
        .collect()
}

/// Returns the time with which a line starts.
fn at_ms(line: &str) -> Option<u64> {
    line.split_whitespace().next()?.parse().ok()
}

/// Returns whether a line tells of one of the requests, or else of a fault.
fn is_about(line: &str, requests: &[String]) -> bool {
    if requests.is_empty() {
        return !line.contains("request-");
    }
    let mut words = line.split_whitespace();
    words.any(|word| requests.iter().any(|it| it == word))
        || FAULT_WORDS.iter().any(|word| line.contains(word))
}

/// Words of those lines that tell of faults.
const FAULT_WORDS: &[&str] = &[
    " stops",
    " starts",
    " pauses",
    " leaves",
    "regions",
    "log is",
    "turns cold",
    "faults end",
];
