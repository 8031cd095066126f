//! Measures routing at and beyond capacity, with bursts, a slow and a failing pool.
//!
//! What is loaded, slow and failing, and how each figure is counted: `docs/routing-design.md`.

use teaselchute::core::routing::policy::Policy;

use crate::{
    fleet::{
        Fleet,
        Setting,
        callers::{
            Outcome,
            Ratio, //
        },
        plan, //
    },
    options::Options,
};

/// Loads in parts of a hundred of the language models' capacity.
const LOADS: [u64; 4] = [50, 90, 120, 200];

/// Policies with their names, ours first.
pub const VARIANTS: [(Policy, &str); 5] = [
    (Policy::Teaselchute, "teaselchute"),
    (Policy::Random, "random"),
    (Policy::RoundRobin, "round_robin"),
    (Policy::LeastOutstanding, "least_outstanding"),
    (Policy::TwoChoices, "two_choices"),
];

/// Least goodput at twice the capacity, as a part of the best.
const GOODPUT_BOUND: f64 = 0.95;

/// Least attainment of urgent requests while their own demand fits.
const HIGH_PRIORITY_BOUND: f64 = 0.99;

/// Least attainment of small organisations beside a flood.
const SMALL_BOUND: f64 = 0.97;

/// Most retries as a part of calls.
const RETRY_BOUND: f64 = 0.1;

/// Index of the encoders, which are slow for a while.
const SLOW_POOL: usize = 1;

/// Index of the pool that fails half its calls for a while.
const FAILING_POOL: usize = 7;

/// Figures of one run.
struct Figures {
    attainment: f64,
    goodput: f64,
    high: f64,
    small: f64,
    retry_ratio: f64,
    false_not_run: u64,
    late_lost: u64,
    cost: f64,
    far_bytes: f64,
}

/// Runs the case and returns whether its bounds hold.
pub fn run(options: &Options) -> bool {
    let mut good = true;
    for seed in options.seed..options.seed + options.runs {
        good &= run_seed(seed);
    }
    good
}

fn run_seed(seed: u64) -> bool {
    let mut ours = Vec::new();
    let mut good = true;
    for load in LOADS {
        let mut figures = Vec::new();
        for (policy, variant) in VARIANTS {
            let one = measure(seed, load, policy);
            print(seed, load, variant, policy, &one);
            figures.push(one);
        }
        let (own, baselines) = figures.split_first().expect("ours is first");
        good &= check(seed, load, own, baselines);
        ours.push(figures.swap_remove(0));
    }
    let best = ours.iter().map(|it| it.goodput).fold(0.0, f64::max);
    let last = ours.last().map_or(0.0, |it| it.goodput);
    good & holds(seed, 200, "goodput of best", last / best, GOODPUT_BOUND)
}

fn check(seed: u64, load: u64, own: &Figures, baselines: &[Figures]) -> bool {
    let mut good = holds(seed, load, "high priority", own.high, HIGH_PRIORITY_BOUND);
    good &= holds(seed, load, "small organisations", own.small, SMALL_BOUND);
    good &= holds(seed, load, "few retries", -own.retry_ratio, -RETRY_BOUND);
    good &= holds(
        seed,
        load,
        "no false not_run",
        -(own.false_not_run as f64),
        0.0,
    );
    good &= holds(
        seed,
        load,
        "no late answer lost",
        -(own.late_lost as f64),
        0.0,
    );
    for baseline in baselines {
        let (attainment, cost) = (baseline.attainment, baseline.cost);
        good &= holds(
            seed,
            load,
            "attainment of a baseline",
            own.attainment,
            attainment,
        );
        good &= holds(seed, load, "cost of a baseline", -own.cost, -cost);
    }
    good
}

/// Returns whether a value reaches its bound, and tells where it doesn't.
pub fn holds(seed: u64, load: u64, what: &str, value: f64, bound: f64) -> bool {
    if value < bound {
        eprintln!("seed {seed} load {load}: {what}: {value:.4} is below {bound:.4}");
    }
    value >= bound
}

fn measure(seed: u64, load: u64, policy: Policy) -> Figures {
    let setting = Setting {
        policy,
        load_percent: load,
        first_load_percent: 50,
        from_ms: 40_000,
        until_ms: 100_000,
        end_ms: 160_000,
        report_lag_ms: 1_500,
        report_loss_permille: 100,
        silence_permille: 1,
        pause_permille: 0,
    };
    let mut fleet = Fleet::new(seed, setting);
    fleet.warm_all();
    fleet.run(|fleet, step| match step {
        400 => fleet.sums = Default::default(),
        550 => set_slow(fleet, 300),
        650 => set_slow(fleet, 100),
        700 => set_failing(fleet, 500),
        850 => set_failing(fleet, 0),
        _ => {}
    });
    figures(&fleet)
}

fn set_slow(fleet: &mut Fleet, percent: u64) {
    for server in &mut fleet.servers {
        if server.pool == SLOW_POOL {
            server.slow_percent = percent;
        }
    }
}

fn set_failing(fleet: &mut Fleet, permille: u64) {
    for server in &mut fleet.servers {
        if server.pool == FAILING_POOL {
            server.fail_permille = permille;
        }
    }
}

fn figures(fleet: &Fleet) -> Figures {
    let (mut all, mut high, mut small) = (Ratio::default(), Ratio::default(), Ratio::default());
    let (mut late_lost, mut in_time) = (0, 0_u64);
    let from = fleet.setting.from_ms;
    for request in &fleet.requests {
        if request.at.as_ms() < from {
            continue;
        }
        let good = request.in_time();
        if request.late {
            let lost = matches!(request.outcome, Outcome::Open | Outcome::Failed);
            late_lost += u64::from(lost);
        }
        all.add(good);
        in_time += u64::from(good && request.is_pipeline(&fleet.document));
        if request.priority == 0 {
            high.add(good);
        }
        if request.organisation.as_str() != "o1" {
            small.add(good);
        }
    }
    let seconds = (fleet.setting.until_ms - from) as f64 / 1_000.0;
    let sums = &fleet.sums;
    let egress_micro = sums.far_bytes * plan::EGRESS_PRICE_MILLI / 1_000_000;
    Figures {
        attainment: all.part(),
        goodput: in_time as f64 / seconds / plan::capacity_rps() as f64,
        high: high.part(),
        small: small.part(),
        retry_ratio: sums.retries as f64 / sums.calls.max(1) as f64,
        false_not_run: sums.false_not_run,
        late_lost,
        cost: (sums.price_micro + egress_micro) as f64 / in_time.max(1) as f64,
        far_bytes: sums.far_bytes as f64 / in_time.max(1) as f64,
    }
}

fn print(seed: u64, load: u64, variant: &str, policy: Policy, figures: &Figures) {
    let baseline = if policy == Policy::Teaselchute {
        ""
    } else {
        "\"baseline\":true,"
    };
    println!(
        "{{\"case\":\"overload\",\"variant\":\"{variant}\",{baseline}\"seed\":{seed},\
         \"load\":{:.1},\"attainment\":{:.4},\"goodput_of_capacity\":{:.4},\
         \"high_priority_attainment\":{:.4},\"small_organisation_attainment\":{:.4},\
         \"retry_ratio\":{:.4},\"false_not_run\":{},\"late_wanted_lost\":{},\
         \"cost_per_answer\":{:.0},\"cross_region_bytes_per_answer\":{:.0}}}",
        load as f64 / 100.0,
        figures.attainment,
        figures.goodput,
        figures.high,
        figures.small,
        figures.retry_ratio,
        figures.false_not_run,
        figures.late_lost,
        figures.cost,
        figures.far_bytes,
    );
}
