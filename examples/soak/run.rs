//! Runs: one plan for each seed, on all cores, with panics of the core taken as violations.

use std::{
    collections::BTreeMap,
    panic::{
        self,
        AssertUnwindSafe, //
    },
    sync::{
        Mutex,
        atomic::{
            AtomicBool,
            AtomicU64,
            Ordering, //
        },
    },
    thread,
};

use teaselchute::core::node::Policies;

use crate::{
    driver::{
        Network,
        world::{
            Plan,
            World,
            callers::Word,
            document::Shape,
            faults::{
                ALL,
                Faults, //
            }, //
        },
    },
    options::Options,
};

/// Quiet time at the end of each run, in milliseconds.
const SETTLE_MS: u64 = 120_000;

/// What became of one run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Its seed.
    pub seed: u64,
    /// Broken promises by name.
    pub broken: BTreeMap<String, u64>,
    /// The first of them, for a person to read.
    pub texts: Vec<String>,
    /// Faults by kind.
    pub faults: BTreeMap<&'static str, u64>,
    /// The end of the trace, where it was wanted.
    pub trace: Vec<String>,
    /// Count of events.
    pub events: u64,
    /// Virtual time, in milliseconds.
    pub virtual_ms: u64,
    /// Requests that callers asked.
    pub requests: u64,
    /// Requests that were answered.
    pub answered: u64,
    /// Requests whose callers heard that they did not run.
    pub not_run: u64,
    /// Requests whose callers heard that they may have run.
    pub may_have_run: u64,
    /// Decisions on orders to engines.
    pub engine_orders: u64,
    /// Fingerprint of the run.
    pub fingerprint: u64,
}

impl Outcome {
    /// Returns whether a promise was broken.
    pub fn is_violated(&self) -> bool {
        !self.broken.is_empty()
    }

    /// Returns how often promises were broken.
    pub fn violations(&self) -> u64 {
        self.broken.values().sum()
    }
}

/// Returns the plan of one seed.
pub fn plan(options: &Options, seed: u64) -> Plan {
    Plan {
        seed,
        hosts: options.hosts,
        duration_ms: options.minutes * 60_000,
        settle_ms: SETTLE_MS,
        request_every_us: 50_000,
        orders_permille: 400,
        policies: Policies {
            mutation: options.mutation,
            ..Policies::default()
        },
        network: Network {
            loss_permille: 20,
            double_permille: 20,
            hold_permille: 20,
            ..Network::default()
        },
        faults: Faults {
            every_ms: 4_000,
            kinds: ALL.to_vec(),
            lost_append_permille: 50,
            late_append_permille: 50,
            silent_permille: 10,
            server_fail_permille: 10,
            change_every_ms: 5_000,
        },
        document: Shape {
            has_model: true,
            ..Shape::co_operative()
        },
        encode_frames: false,
        trace: options.trace,
    }
}

/// Runs all seeds on all cores, and stops early at a violation.
pub fn all(options: &Options) -> Vec<Outcome> {
    panic::set_hook(Box::new(|_| {}));
    let next = AtomicU64::new(0);
    let stop = AtomicBool::new(false);
    let outcomes = Mutex::new(Vec::new());
    let threads = thread::available_parallelism().map_or(1, usize::from);
    thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                loop {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    if number >= options.runs || stop.load(Ordering::Relaxed) {
                        return;
                    }
                    let outcome = one(plan(options, options.seed + number));
                    stop.fetch_or(outcome.is_violated(), Ordering::Relaxed);
                    outcomes.lock().expect("No run panics here.").push(outcome);
                }
            });
        }
    });
    let mut outcomes = outcomes.into_inner().expect("No run panics here.");
    outcomes.sort_by_key(|outcome| outcome.seed);
    outcomes
}

/// Runs one plan.
pub fn one(plan: Plan) -> Outcome {
    let seed = plan.seed;
    let mut world = World::new(plan);
    let result = panic::catch_unwind(AssertUnwindSafe(|| world.run()));
    let mut outcome = Outcome {
        seed,
        texts: world.checks.texts.clone(),
        faults: world.driver.faults.clone(),
        events: world.driver.events,
        virtual_ms: world.driver.now().as_ms(),
        requests: world.callers.asked.len() as u64,
        engine_orders: world.decisions.get("order").copied().unwrap_or(0),
        fingerprint: world.fingerprint(),
        trace: std::mem::take(&mut world.trace),
        ..Outcome::default()
    };
    for (promise, count) in &world.checks.broken {
        outcome.broken.insert((*promise).to_owned(), *count);
    }
    if let Err(panic) = result {
        let text = panic_text(&*panic);
        outcome.broken.insert("invariant".to_owned(), 1);
        outcome
            .texts
            .push(format!("{} ms {text}", outcome.virtual_ms));
    }
    for asked in &world.callers.asked {
        match &asked.word {
            Some(Word::Answered(_)) => outcome.answered += 1,
            Some(Word::NotRun(_)) => outcome.not_run += 1,
            Some(Word::MayHaveRun(_)) => outcome.may_have_run += 1,
            None => {}
        }
    }
    outcome
}

fn panic_text(panic: &(dyn std::any::Any + Send)) -> String {
    if let Some(text) = panic.downcast_ref::<String>() {
        return text.clone();
    }
    match panic.downcast_ref::<&str>() {
        Some(text) => (*text).to_owned(),
        None => "a panic without text".to_owned(),
    }
}
