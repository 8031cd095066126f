use teaselchute::{
    core::gateway::{
        balance::{
            self,
            Balancer, //
        },
        dispatch::{
            DISPATCHER_PERCENT,
            DIVIDED_PERCENT, //
        },
        limits::{
            Limit,
            Table,
            WINDOW_MS, //
        },
        quota::Group,
        rate::Limiter,
        servers::{
            self,
            Entry, //
        },
    },
    names::Name,
};

use super::{
    at,
    entry, //
};

/// Unix time at the start of a test, in milliseconds.
const START_UNIX_MS: u64 = 1_790_000_000_000;

fn unix(ms: u64) -> u64 {
    START_UNIX_MS + ms
}

fn server(id: &str) -> Entry {
    entry(id, "llm", "dc-1")
}

fn table(per_ks: u64) -> Table {
    let mut table = Table::default();
    assert!(table.record_answer(unix(0), unix(0), &server("s"), Some(per_ks)));
    table
}

fn hosts(count: usize) -> Vec<Name> {
    (0..count)
        .map(|index| format!("host-{index}").into())
        .collect()
}

fn shares(table: &Table, ms: u64, hosts: &[Name], percent: u64) -> Vec<u64> {
    let shares = hosts.iter().map(|own| {
        let group = Group::new(own, hosts.iter());
        table.share(unix(ms), &server("s"), &group, percent)
    });
    shares
        .map(|share| share.expect("it names a rate"))
        .collect()
}

/// What all hosts may send in a window: one and a half times the rate, and five.
fn most(per_ks: u64) -> u64 {
    per_ks * WINDOW_MS * 3 / 2 / 1_000_000 + 5
}

#[test]
fn share_sums_to_rate() {
    for per_ks in [0, 100, 1_000, 1_400, 10_000, 250_000] {
        let table = table(per_ks);
        for count in [1, 2, 3, 7, 23, 295] {
            let sum: u64 = shares(&table, 100, &hosts(count), 100).iter().sum();
            let total = per_ks * WINDOW_MS / 1_000_000;
            assert_eq!(sum, total.max(1), "{count} hosts, {per_ks}");
        }
    }
}

/// Dispatchers assign most of the rate, and hosts divide the rest.
#[test]
fn share_sums_to_rate_with_dispatchers() {
    for per_ks in [0, 100, 1_000, 1_400, 10_000, 250_000] {
        let table = table(per_ks);
        let divided: u64 = shares(&table, 100, &hosts(295), DIVIDED_PERCENT)
            .iter()
            .sum();
        let alone = Group::default();
        let one = table.share(unix(100), &server("s"), &alone, DISPATCHER_PERCENT);
        let sum = divided + 2 * one.expect("it names a rate");
        assert!(sum <= most(per_ks), "{sum} of {per_ks}");
    }
}

/// Hosts that don't agree on who is alive stay within the bound: some join, and some have left.
#[test]
fn share_sums_to_rate_while_hosts_change() {
    for count in [7, 295] {
        let all = hosts(count);
        let table = table(1_000);
        for missing in 1..(count / 7).max(2) {
            let newcomers = &all[count - missing..];
            let old = &all[..count - missing];
            let share = |own: &Name, known: &[Name]| {
                let group = Group::new(own, known.iter());
                let share = table.share(unix(100), &server("s"), &group, 100);
                share.expect("it names a rate")
            };
            let old_shares: u64 = old.iter().map(|own| share(own, old)).sum();
            let new_shares: u64 = newcomers.iter().map(|own| share(own, &all)).sum();
            assert!(
                old_shares + new_shares <= most(1_000),
                "{missing} of {count}"
            );
        }
    }
}

/// A server that gets nothing, since the hosts with a share have no requests for it, is tried by others
/// in turn.
#[test]
fn share_rotates_without_answers() {
    let table = table(250);
    let hosts = hosts(295);
    let mut holders = std::collections::BTreeSet::new();
    for turn in 0..20 {
        let shares = shares(&table, turn * 10_000, &hosts, 100);
        assert_eq!(shares.iter().sum::<u64>(), 1);
        holders.insert(shares.iter().position(|&share| share > 0));
    }
    assert!(holders.len() > 10, "{} hosts", holders.len());
}

#[test]
fn share_restarted_server() {
    let table = table(1_000);
    let restarted = Entry {
        started_at: Some(2),
        ..server("s")
    };
    let alone = Group::default();
    assert_eq!(table.share(unix(1), &restarted, &alone, 100), None);
    assert_eq!(table.share(unix(1), &server("t"), &alone, 100), None);
}

#[test]
fn record_answer_without_rate() {
    let mut table = table(1_000);
    let alone = Group::default();
    // It was sent before the server was in need.
    assert!(!table.record_answer(unix(900), unix(0), &server("s"), None));
    assert!(table.share(unix(900), &server("s"), &alone, 100).is_some());
    assert!(table.record_answer(unix(950), unix(10), &server("s"), None));
    assert_eq!(table.share(unix(950), &server("s"), &alone, 100), None);
    // Servers that name no rate aren't kept.
    assert!(!table.record_answer(unix(950), unix(900), &server("t"), None));
    assert_eq!(table.report().len(), 1);
}

/// The newest answer decides, whichever host got it and however late its report arrives.
#[test]
fn merge_newest_answer() {
    let mut one = table(1_000);
    let mut two = Table::default();
    let old = one.report();
    for limit in old.clone() {
        assert!(two.merge(limit));
    }
    assert!(two.record_answer(unix(500), unix(400), &server("s"), None));
    for limit in old {
        assert!(!two.merge(limit));
    }
    for limit in two.report() {
        assert!(one.merge(limit));
    }
    let alone = Group::default();
    for table in [&one, &two] {
        assert_eq!(table.share(unix(600), &server("s"), &alone, 100), None);
    }
    let raised = Limit {
        server: "s".into(),
        started_at: Some(1),
        per_ks: Some(3_000),
        at_unix_ms: unix(700),
    };
    assert!(one.merge(raised.clone()));
    assert!(!one.merge(raised));
    assert_eq!(one.share(unix(700), &server("s"), &alone, 100), Some(12));
}

#[test]
fn expire_lifted_first() {
    let mut table = table(1_000);
    table.record_answer(unix(0), unix(0), &server("t"), Some(500));
    table.record_answer(unix(20), unix(10), &server("t"), None);
    table.expire(unix(20_000));
    assert_eq!(table.report().len(), 2);
    table.expire(unix(60_000));
    assert_eq!(table.report().len(), 1);
    table.expire(unix(600_000));
    assert!(table.report().is_empty());
}

#[test]
fn wait_ms_until_window_ends() {
    let mut limiter = Limiter::new(WINDOW_MS);
    let server: Name = "s".into();
    assert_eq!(limiter.wait_ms(at(0), &server, 0), None);
    assert_eq!(limiter.wait_ms(at(0), &server, 2), Some(0));
    limiter.record(at(0), &server);
    limiter.record(at(1_000), &server);
    assert_eq!(limiter.wait_ms(at(1_500), &server, 3), Some(0));
    assert_eq!(limiter.wait_ms(at(1_500), &server, 2), Some(2_500));
    assert_eq!(limiter.wait_ms(at(1_500), &server, 1), Some(3_500));
    assert_eq!(limiter.wait_ms(at(1_500), &server, 0), None);
    assert_eq!(limiter.wait_ms(at(4_000), &server, 2), Some(0));
}

/// Requests go elsewhere while the server has its rate, and are refused with the time of the next one
/// where there is no other.
#[test]
fn place_named_rate() {
    let mut servers = servers::Table::default();
    servers.update(at(0), &"s".into(), Some(server("s")), false);
    let table = table(500);
    let mut balancer = Balancer::default();
    let alone = Group::default();
    let mut place = |ms: u64, servers: &servers::Table| {
        let request = balance::Request {
            service: "llm",
            prompt: &[],
            tried: &[],
            cold_requests_per_s: 0.0,
            group: &alone,
            max_running: 1_000,
            local_hosts: 1,
            named_share: &|server| table.share(unix(ms), &server.entry, &alone, 100),
            pause: &|_| None,
        };
        let placed = balancer.place(at(ms), servers, &request, &|_| true, &|_| true);
        placed.map(|assignment| assignment.server.to_string())
    };
    assert_eq!(place(100, &servers), Ok("s".to_string()));
    assert_eq!(place(200, &servers), Ok("s".to_string()));
    let limited = Err(balance::Error::Limited(Some(WINDOW_MS - 200)));
    assert_eq!(place(300, &servers), limited);
    servers.update(at(300), &"t".into(), Some(server("t")), false);
    for ms in 300..320 {
        assert_eq!(place(ms, &servers), Ok("t".to_string()));
    }
}

/// Pseudorandom numbers from a seed.
struct Random(u64);

impl Random {
    fn below(&mut self, limit: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        (self.0 >> 33) % limit
    }
}

/// A host of a simulated deployment, which sends to one server.
struct Host {
    table: Table,
    limiter: Limiter,
    told_at: Option<u64>,
    is_cut_off: bool,
}

/// Time from the first answer with a rate until it has to be kept to, in milliseconds.
const CONTACT_MS: u64 = 4_000;

/// Step of the simulated time, in milliseconds.
const STEP_MS: u64 = 10;

/// Has hosts send to a server in need, while some restart or are cut off from the others, and returns
/// the most requests in a window from hosts that had been told, and how many hosts still know the
/// rate some seconds after the need.
fn simulate(seed: u64, count: usize, per_ks: u64, requests_per_s: u64) -> (usize, usize) {
    let mut random = Random(seed);
    let names = hosts(count);
    let groups: Vec<Group> = names
        .iter()
        .map(|own| Group::new(own, names.iter()))
        .collect();
    let new_host = |is_cut_off| Host {
        table: Table::default(),
        limiter: Limiter::new(WINDOW_MS),
        told_at: None,
        is_cut_off,
    };
    let mut fleet: Vec<Host> = (0..count).map(|_| new_host(random.below(5) == 0)).collect();
    let mut store: Vec<Vec<Limit>> = vec![Vec::new(); count];
    let mut answers: Vec<(u64, u64, usize)> = Vec::new();
    let mut counted: Vec<u64> = Vec::new();
    let need_ends = 24_000;
    for ms in (0..40_000).step_by(STEP_MS as usize) {
        if random.below(2_000 / STEP_MS) == 0 {
            let index = random.below(count as u64) as usize;
            let is_cut_off = fleet[index].is_cut_off;
            fleet[index] = new_host(is_cut_off);
            for limit in store.iter().flatten() {
                fleet[index].table.merge(limit.clone());
            }
        }
        for index in 0..count {
            if (ms + index as u64 * 37) % 1_300 < STEP_MS {
                store[index] = fleet[index].table.report();
            }
            if (ms + index as u64 * 53) % 800 < STEP_MS {
                for limit in store.iter().flatten() {
                    fleet[index].table.merge(limit.clone());
                }
            }
        }
        let (due, later) = answers.into_iter().partition(|(at, ..)| *at <= ms);
        answers = later;
        let due: Vec<(u64, u64, usize)> = due;
        for (_, sent_ms, index) in due {
            let rate = (sent_ms < need_ends).then_some(per_ks);
            let host = &mut fleet[index];
            host.told_at = host.told_at.or(rate.map(|_| ms));
            let (now, sent) = (unix(ms), unix(sent_ms));
            if host.table.record_answer(now, sent, &server("s"), rate) && !host.is_cut_off {
                let limit = host.table.get("s").expect("it is known").clone();
                for other in &mut fleet {
                    if !other.is_cut_off && random.below(20) > 0 {
                        other.table.merge(limit.clone());
                    }
                }
            }
        }
        let number = requests_per_s * STEP_MS / 1_000;
        for _ in 0..number {
            let index = random.below(count as u64) as usize;
            let host = &mut fleet[index];
            let share = host
                .table
                .share(unix(ms), &server("s"), &groups[index], 100);
            let may_send =
                share.is_none_or(|share| host.limiter.wait_ms(at(ms), "s", share) == Some(0));
            if !may_send {
                continue;
            }
            host.limiter.record(at(ms), &"s".into());
            answers.push((ms + 50, ms, index));
            let is_told = host.told_at.is_some_and(|told_at| ms >= told_at + 500);
            if is_told && (CONTACT_MS..need_ends).contains(&ms) {
                counted.push(ms);
            }
        }
    }
    let windows = counted.iter().map(|&start| {
        let window = start..start + WINDOW_MS;
        counted.iter().filter(|time| window.contains(time)).count()
    });
    let known = fleet.iter().filter(|host| host.table.is_limited("s"));
    (windows.max().unwrap_or(0), known.count())
}

/// The rate holds over hosts that restart, are cut off or lose datagrams, and ends at all of them.
#[test]
fn share_kept_by_all_hosts() {
    for seed in 1..=6 {
        for (count, per_ks) in [(3, 1_000), (7, 1_300), (9, 10_000)] {
            let (sent, known) = simulate(seed, count, per_ks, 200);
            assert!(
                sent as u64 <= most(per_ks),
                "seed {seed}: {sent} of {per_ks}"
            );
            assert_eq!(known, 0, "seed {seed}");
        }
    }
}

#[test]
fn share_kept_by_hundreds_of_hosts() {
    let (sent, known) = simulate(1, 295, 1_000, 600);
    assert!(sent as u64 <= most(1_000), "{sent}");
    assert_eq!(known, 0);
}
