use proptest::prelude::*;
use rand::{
    Rng,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;
use teaselchute::{
    core::gateway::{
        quota::Group,
        rollout::{
            Ledger,
            ledger::{
                Origin,
                Server,
                trial_servers, //
            },
        },
    },
    names::Name,
    options::gateway::Rollout, //
};

use super::{
    after,
    order,
    window, //
};

const BOUNDS: Rollout = Rollout {
    exposure_ratio: 0.1,
    exposure_tolerance: 50,
    rollback_ms: 5_000,
};

const DURATION_MS: u64 = 12_000;

fn group(own: usize, hosts: &[Name]) -> Group {
    Group::new(&hosts[own], hosts.iter())
}

fn open(group: &Group, origin: Origin) -> Ledger {
    let order = order("v2", DURATION_MS, 1);
    Ledger::open(&order, window(&order), &BOUNDS, group, origin)
}

fn hosts(count: usize) -> Vec<Name> {
    (0..count).map(|i| format!("host-{i}").into()).collect()
}

/// Trouble of the hosts of a deployment.
#[derive(Clone, Copy, Debug)]
struct Trouble {
    seed: u64,
    /// Number of hosts.
    hosts: usize,
    /// Requests per second, over all hosts.
    rate: u64,
    /// Exponent of the rate of hosts by rank: 0 for even rates.
    skew: f64,
    /// Restarts per second, over all hosts.
    restarts: f64,
    /// Hosts that see no others.
    isolated: usize,
    /// Percentage of the requests to other versions that don't reach a server.
    lost: u64,
    /// Percentage of the hosts that are stopped or suspended in each second.
    paused: u64,
}

/// Runs a deployment in which each host sends to the target whatever its ledger allows, until twice the
/// duration of the order. Returns the numbers of requests until the deadline, and to the target.
fn run(trouble: Trouble) -> (u64, u64) {
    let mut random = Pcg64Mcg::seed_from_u64(trouble.seed);
    let names = hosts(trouble.hosts);
    let mut ledgers: Vec<Ledger> = (0..names.len())
        .map(|own| {
            // Isolated hosts are those that hold a share.
            let is_isolated = own < trouble.isolated;
            let group = if is_isolated {
                Group::new(&names[own], [].into_iter())
            } else {
                group(own, &names)
            };
            open(&group, Origin::Running)
        })
        .collect();
    let weights: Vec<f64> = (0..names.len())
        .map(|rank| ((rank + 1) as f64).powf(-trouble.skew))
        .collect();
    let total: f64 = weights.iter().sum();
    let mut paused = vec![false; names.len()];
    let (mut reached, mut exposed) = (0, 0);
    for ms in 0..2 * DURATION_MS {
        if ms % 1_000 == 0 {
            for is_paused in &mut paused {
                *is_paused = random.random_range(0..100) < trouble.paused;
            }
        }
        if random.random::<f64>() < trouble.restarts / 1_000.0 {
            let own = random.random_range(0..names.len());
            ledgers[own] = open(&group(own, &names), Origin::Started);
        }
        if random.random::<f64>() >= trouble.rate as f64 / 1_000.0 {
            continue;
        }
        let mut point = random.random::<f64>() * total;
        let own = weights.iter().position(|weight| {
            point -= weight;
            point <= 0.0
        });
        let own = own.unwrap_or(0);
        if paused[own] {
            continue;
        }
        let now = after(ms);
        let is_target = ledgers[own].may_send(now);
        ledgers[own].record_sent(now, is_target);
        let is_lost = !is_target && random.random_range(0..100) < trouble.lost;
        reached += u64::from(!is_lost && ms < DURATION_MS);
        exposed += u64::from(is_target);
    }
    (reached, exposed)
}

fn assert_bounded(trouble: Trouble) {
    let (reached, exposed) = run(trouble);
    let bound = (reached as f64 * BOUNDS.exposure_ratio) as u64 + BOUNDS.exposure_tolerance;
    assert!(exposed <= bound, "{exposed} of {reached}: {trouble:?}");
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 96,
        rng_seed: prop::test_runner::RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // Guards against hosts that each stay within a bound whose sum over all hosts is too large.
    #[test]
    fn may_send_sum_is_bounded(
        seed: u64,
        hosts in prop::sample::select(vec![3_usize, 24, 91, 295]),
        rate in prop::sample::select(vec![1_u64, 10, 100, 350, 900]),
        skew in 0.0..2.0,
        restarts in prop::sample::select(vec![0.0, 0.3, 3.0, 30.0]),
        isolated in 0_usize..3,
        lost in 0_u64..25,
        paused in prop::sample::select(vec![0_u64, 10, 50]),
    ) {
        assert_bounded(Trouble { seed, hosts, rate, skew, restarts, isolated, lost, paused });
    }
}

const QUIET: Trouble = Trouble {
    seed: 1,
    hosts: 3,
    rate: 350,
    skew: 0.0,
    restarts: 0.0,
    isolated: 0,
    lost: 0,
    paused: 0,
};

#[test]
fn may_send_sum_is_bounded_at_each_size() {
    for hosts in [3, 24, 91, 295] {
        for seed in 0..4 {
            let quiet = Trouble {
                seed,
                hosts,
                ..QUIET
            };
            assert_bounded(quiet);
            let skew = 1.2;
            assert_bounded(Trouble { skew, ..quiet });
        }
    }
}

// Guards against a share for each start of a host: 30 starts in 3 hosts would get 250 requests more.
#[test]
fn open_started_has_no_share() {
    let trouble = Trouble {
        rate: 30,
        restarts: 3.0,
        ..QUIET
    };
    assert_bounded(trouble);
    let mut ledger = open(&group(0, &hosts(3)), Origin::Started);
    for ms in 0..13 {
        assert!(!ledger.may_send(after(ms)), "request {ms}");
        ledger.record_sent(after(ms), false);
    }
}

// Guards against hosts that take the whole tolerance since they see no others.
#[test]
fn open_isolated_hosts_are_bounded() {
    for isolated in [1, 2, 3] {
        let trouble = Trouble {
            isolated,
            rate: 40,
            ..QUIET
        };
        assert_bounded(trouble);
    }
    let alone = Group::new(&"host-0".into(), [].into_iter());
    let mut ledger = open(&alone, Origin::Running);
    let mut exposed = 0;
    for _ in 0..60 {
        let is_target = ledger.may_send(after(0));
        ledger.record_sent(after(0), is_target);
        exposed += u64::from(is_target);
    }
    assert!(exposed <= 9 + 4, "{exposed}");
}

// Guards against a ratio without a reserve: requests that don't reach a server increase what hosts allow
// and not what the bound refers to.
#[test]
fn record_sent_lost_requests_are_covered() {
    let trouble = Trouble {
        rate: 900,
        lost: 25,
        ..QUIET
    };
    for hosts in [3, 24] {
        assert_bounded(Trouble { hosts, ..trouble });
    }
    let (reached, exposed) = run(trouble);
    let bound = reached as f64 * BOUNDS.exposure_ratio;
    assert!(exposed as f64 <= bound + 25.0, "{exposed} of {reached}");
}

// Guards against exposure that grows with requests after the deadline, which the bound leaves out.
#[test]
fn record_sent_after_deadline_earns_nothing() {
    let mut ledger = open(&group(0, &hosts(3)), Origin::Started);
    for _ in 0..1_000 {
        ledger.record_sent(after(DURATION_MS), false);
    }
    assert!(!ledger.may_send(after(DURATION_MS)));
    for _ in 0..1_000 {
        ledger.record_sent(after(0), false);
    }
    assert!(ledger.may_send(after(DURATION_MS + 1)));
}

// Guards against a start at which all answers are the target's, so that nothing can be compared.
#[test]
fn may_send_leaves_half_to_others() {
    let mut ledger = open(&group(0, &hosts(3)), Origin::Running);
    let mut exposed = 0;
    for sent in 1..=16 {
        let is_target = ledger.may_send(after(0));
        ledger.record_sent(after(0), is_target);
        exposed += u64::from(is_target);
        assert!(exposed * 2 <= sent, "{exposed} of {sent}");
    }
    assert_eq!(exposed, 8);
}

// Guards against a low rate at which the target gets nothing that could be judged.
#[test]
fn may_send_low_rate_has_answers() {
    let low = Trouble { rate: 1, ..QUIET };
    let exposed: u64 = (0..20).map(|seed| run(Trouble { seed, ..low }).1).sum();
    assert!(exposed >= 20 * 4, "{exposed}");
}

// Guards against hundreds of hosts with few requests each that all wait until they earned a whole one: a
// bad version would be promoted for want of answers.
#[test]
fn may_send_many_hosts_use_ratio() {
    let quiet = run(QUIET).1;
    for hosts in [24, 91, 295] {
        let (reached, exposed) = run(Trouble { hosts, ..QUIET });
        assert!(exposed * 10 >= quiet * 8, "{exposed} of {reached}");
    }
}

fn ids(prefix: &str, count: usize) -> Vec<Name> {
    (0..count).map(|i| format!("{prefix}-{i}").into()).collect()
}

fn choose(id: u64, old: usize, new: usize, regions: &[Name]) -> Vec<Name> {
    let (old, new) = (ids("old", old), ids("new", new));
    let server = |is_target: bool| {
        move |(index, id)| Server {
            id,
            region: &regions[index % regions.len()],
            is_target,
        }
    };
    let servers = old.iter().enumerate().map(server(false));
    let servers = servers.chain(new.iter().enumerate().map(server(true)));
    let order = order("v2", DURATION_MS, id);
    let chosen = trial_servers(&order, &BOUNDS, servers);
    chosen.into_iter().cloned().collect()
}

// Guards against a trial that is spread over all servers of the target, which hides faults under load.
#[test]
fn trial_servers_have_load_of_others() {
    let regions = ids("region", 1);
    assert_eq!(choose(1, 3, 3, &regions).len(), 1);
    assert_eq!(choose(1, 30, 30, &regions).len(), 2);
    assert_eq!(choose(1, 300, 300, &regions).len(), 21);
    assert_eq!(choose(1, 300, 4, &regions).len(), 4);
}

#[test]
fn trial_servers_in_each_region() {
    let regions = ids("region", 3);
    let chosen = choose(1, 9, 9, &regions);
    assert_eq!(chosen.len(), 3);
    assert!(choose(1, 9, 0, &regions).is_empty());
}

// Guards against a choice that depends on the host or is the same servers for each order.
#[test]
fn trial_servers_depend_on_order() {
    let regions = ids("region", 1);
    let first = choose(1, 30, 30, &regions);
    assert_eq!(first, choose(1, 30, 30, &regions));
    assert!((2..10).any(|id| choose(id, 30, 30, &regions) != first));
}
