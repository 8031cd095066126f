//! `measure outcome`: at most once, whole answers and true words under all faults.

use std::collections::BTreeMap;

use teaselchute::core::call::Request;

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

/// What the runs of one variant showed.
#[derive(Default)]
struct Sum {
    requests: u64,
    orders: u64,
    answered: u64,
    not_run: u64,
    may_have_run: u64,
    refused: u64,
    lost: u64,
    doubled: u64,
    crossed: u64,
    truncated: u64,
    false_not_run: u64,
    dropped: u64,
    resumed: u64,
    frames: u64,
    faults: u64,
    kept_bytes_max: usize,
    extra_ms: Vec<u64>,
    reasons: BTreeMap<String, u64>,
}

/// Runs the case and returns whether its bounds hold.
pub fn measure(options: &Options) -> bool {
    let variants = [Variant::Teaselchute, Variant::HomeAlone, Variant::LogClaim];
    let mut holds = true;
    for variant in variants {
        let mut sum = Sum::default();
        for seed in options.seed..options.seed + options.runs {
            let mut run = Run::new(plan(seed, variant));
            run.run();
            let broken = sum.broken();
            sum.add(&run);
            if sum.broken() > broken {
                eprintln!("seed {seed} of {} broke a bound", variant.name());
            }
        }
        println!("{}", sum.line(options, variant));
        if variant == Variant::Teaselchute {
            holds = sum.broken() == 0 && sum.answered > 0;
        }
    }
    holds
}

fn plan(seed: u64, variant: Variant) -> Plan {
    Plan {
        seed,
        variant,
        hosts: 9,
        load_ms: 60_000,
        settle_ms: 60_000,
        callers: 30,
        every_ms: 500,
        orders_permille: 500,
        slots: 100,
        leave_ms: 20_000,
        network: Network {
            loss_permille: 20,
            double_permille: 30,
            hold_permille: 30,
            ..Network::default()
        },
        faults: Faults {
            every_ms: 1_500,
            rolling: true,
            server_permille: 5,
            silent_permille: 5,
        },
    }
}

impl Sum {
    fn add(&mut self, run: &Run) {
        for matter in &run.callers.matters {
            self.requests += 1;
            self.orders += u64::from(matter.order);
            self.crossed += u64::from(matter.crossed);
            self.truncated += u64::from(matter.truncated);
            if matter.truncated || matter.crossed || matter.end.is_none() {
                eprintln!(
                    "seed {}: {} {:?}",
                    run.plan.seed, matter.request.id, matter.end
                );
            }
            match matter.end {
                Some(End::Answered) => self.answered += 1,
                Some(End::NotRun) if matter.order => self.not_run += 1,
                Some(End::MayHaveRun) if matter.order => {
                    self.may_have_run += 1;
                    let detail = matter.refusal.as_ref().map_or("", |it| &it.detail);
                    let words: String = detail.chars().filter(|it| !it.is_numeric()).collect();
                    *self.reasons.entry(words).or_default() += 1;
                }
                Some(_) => self.refused += 1,
                None => self.lost += 1,
            }
            let mut ids: Vec<&Request> = matter.ids.iter().collect();
            ids.sort();
            ids.dedup();
            let executions: u64 = ids.iter().map(|id| run.executions(id)).sum();
            self.doubled += executions.saturating_sub(1);
            let told = matter.not_run.iter();
            self.false_not_run += told.filter(|id| run.executions(id) > 0).count() as u64;
        }
        self.dropped += run.seen.dropped;
        self.resumed += run.seen.resumed;
        self.frames += run.seen.frames;
        self.faults += run.driver.faults.values().sum::<u64>();
        self.kept_bytes_max = self.kept_bytes_max.max(run.seen.kept_bytes_max);
        self.extra_ms.extend(&run.seen.extra_ms);
    }

    fn broken(&self) -> u64 {
        self.lost + self.doubled + self.crossed + self.truncated + self.false_not_run
    }

    fn line(&mut self, options: &Options, variant: Variant) -> serde_json::Value {
        self.extra_ms.sort_unstable();
        let mut line = serde_json::json!({
            "case": "outcome",
            "variant": variant.name(),
            "seed": options.seed,
            "runs": options.runs,
            "requests": self.requests,
            "orders": self.orders,
            "answered": self.answered,
            "not_run": self.not_run,
            "may_have_run": self.may_have_run,
            "refused": self.refused,
            "lost": self.lost,
            "doubled": self.doubled,
            "crossed": self.crossed,
            "truncated": self.truncated,
            "false_not_run": self.false_not_run,
            "dropped_replies": self.dropped,
            "resumed": self.resumed,
            "faults": self.faults,
            "frames_per_request": self.frames as f64 / self.requests.max(1) as f64,
            "kept_bytes_max": self.kept_bytes_max,
            "extra_ms_p50": percentile(&self.extra_ms, 50),
            "extra_ms_p99": percentile(&self.extra_ms, 99),
        });
        line["may_have_run_reasons"] = serde_json::json!(self.reasons);
        if variant != Variant::Teaselchute {
            line["baseline"] = true.into();
        }
        line
    }
}

fn percentile(sorted: &[u64], percent: usize) -> u64 {
    let index = sorted.len() * percent / 100;
    sorted.get(index).copied().unwrap_or(0)
}
