//! `measure shutdown`: a rolling restart of all hosts under load interrupts nothing.

use std::collections::BTreeSet;

use crate::{
    driver::Network,
    ledgers::{
        Plan,
        Run,
        Variant,
        callers::End,
        faults::Faults, //
    },
    options::Options,
};

/// Hosts that are restarted in turn.
const HOSTS: usize = 9;

/// Longest time in which a host has to finish, in milliseconds.
const LEAVE_MS: u64 = 30_000;

/// Time in which all hosts can be restarted, in milliseconds.
const LOAD_MS: u64 = 180_000;

/// Slots of one server, by which the load is a known part of what the servers carry.
const SLOTS: usize = 4;

/// Least load of the engines, in parts of a hundred of what they carry.
const LOAD_PERCENT: u64 = 80;

/// What the runs of one variant showed.
#[derive(Default)]
struct Sum {
    requests: u64,
    answered: u64,
    not_run: u64,
    may_have_run: u64,
    lost: u64,
    doubled: u64,
    crossed: u64,
    truncated: u64,
    false_not_run: u64,
    interrupted: u64,
    restarted: u64,
    runs_complete: u64,
    leave_ms_max: u64,
    load_permille: u64,
}

/// Runs the case and returns whether its bounds hold.
pub fn measure(options: &Options) -> bool {
    let mut holds = true;
    for (name, leave_ms) in [("teaselchute", LEAVE_MS), ("stop_at_once", 0)] {
        let mut sum = Sum::default();
        for seed in options.seed..options.seed + options.runs {
            let mut run = Run::new(plan(seed, leave_ms));
            run.run();
            sum.add(&run);
        }
        println!("{}", sum.line(options, name));
        if leave_ms > 0 {
            holds = sum.holds(options.runs);
        }
    }
    holds
}

fn plan(seed: u64, leave_ms: u64) -> Plan {
    Plan {
        seed,
        variant: Variant::Teaselchute,
        hosts: HOSTS,
        load_ms: LOAD_MS,
        settle_ms: 30_000,
        callers: 26,
        every_ms: 500,
        orders_permille: 300,
        slots: SLOTS,
        leave_ms,
        network: Network::default(),
        faults: Faults {
            rolling: true,
            ..Faults::default()
        },
    }
}

impl Sum {
    fn add(&mut self, run: &Run) {
        for matter in &run.callers.matters {
            self.requests += 1;
            self.crossed += u64::from(matter.crossed);
            self.truncated += u64::from(matter.truncated);
            match matter.end {
                Some(End::Answered) => self.answered += 1,
                Some(End::NotRun) => self.not_run += 1,
                Some(End::MayHaveRun) => self.may_have_run += 1,
                None => self.lost += 1,
            }
            let ids: BTreeSet<_> = matter.ids.iter().collect();
            let executions: u64 = ids.iter().map(|id| run.executions(id)).sum();
            self.doubled += executions.saturating_sub(1);
            let told = matter.not_run.iter();
            self.false_not_run += told.filter(|id| run.executions(id) > 0).count() as u64;
        }
        self.interrupted += run.seen.interrupted;
        self.restarted += run.seen.left;
        self.runs_complete += u64::from(run.seen.left == HOSTS as u64);
        self.leave_ms_max = self.leave_ms_max.max(run.seen.leave_ms_max);
        self.load_permille += run.load_permille("generate");
    }

    fn holds(&self, runs: u64) -> bool {
        let broken = self.interrupted
            + self.lost
            + self.not_run
            + self.may_have_run
            + self.doubled
            + self.crossed
            + self.truncated
            + self.false_not_run;
        let loaded = self.load_percent(runs) >= LOAD_PERCENT;
        broken == 0 && loaded && self.runs_complete == runs && self.leave_ms_max <= LEAVE_MS
    }

    fn load_percent(&self, runs: u64) -> u64 {
        self.load_permille / 10 / runs.max(1)
    }

    fn line(&self, options: &Options, name: &str) -> serde_json::Value {
        let mut line = serde_json::json!({
            "case": "shutdown",
            "variant": name,
            "seed": options.seed,
            "runs": options.runs,
            "hosts": HOSTS,
            "restarted": self.restarted,
            "load_percent": self.load_percent(options.runs),
            "requests": self.requests,
            "answered": self.answered,
            "interrupted": self.interrupted,
            "lost": self.lost,
            "not_run": self.not_run,
            "may_have_run": self.may_have_run,
            "doubled": self.doubled,
            "crossed": self.crossed,
            "truncated": self.truncated,
            "false_not_run": self.false_not_run,
            "leave_ms_max": self.leave_ms_max,
        });
        if name != "teaselchute" {
            line["baseline"] = true.into();
        }
        line
    }
}
