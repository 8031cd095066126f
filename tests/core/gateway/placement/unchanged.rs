//! Decisions without the placement by latency.

use rand::{
    Rng,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;
use teaselchute::core::gateway::{
    balance::{
        self,
        Balancer,
        Request,
        Segment, //
    },
    config::Role,
    quota::Group,
    servers::Table, //
};
use teaselchute::options::gateway::Placement;

use super::engine::{
    UNEQUAL,
    config, //
};

use crate::gateway::{
    at,
    entry, //
};

/// Hash of the decisions below as commit 7157df3 makes them, which has no placement by latency.
const DECISIONS_BEFORE: u64 = 13_352_121_372_311_573;

fn segment(id: String, tokens: u64) -> Segment {
    Segment {
        id: id.as_str().into(),
        tokens,
    }
}

/// Returns a hash of 3,000 decisions over 40 servers in three data centres, with prompts and plain requests,
/// failures, restarts, placements of other hosts and cold servers.
fn decisions(mut balancer: Balancer) -> u64 {
    let mut rng = Pcg64Mcg::seed_from_u64(11);
    let mut table = Table::default();
    for index in 0..40 {
        let id = format!("s{index}");
        let mut entry = entry(&id, "llm", ["a", "b", "c"][index % 3]);
        entry.slots = 4;
        entry.cold_ms = if index % 5 == 0 { 8_000 } else { 0 };
        table.update(at(0), &id.as_str().into(), Some(entry), false);
    }
    let group = Group::default();
    let mut running = Vec::new();
    let mut hash = 0;
    for number in 0..3_000_u64 {
        let now = at(number * 7);
        let subject = rng.random_range(0..60_u64);
        let prompt = vec![
            segment(format!("common-{}", subject % 4), 2_520),
            segment(format!("subject-{subject}"), 3_780),
            segment(format!("own-{number}"), 2_890),
        ];
        let is_plain = number % 9 == 0;
        let request = Request {
            service: "llm",
            prompt: if is_plain { &[] } else { &prompt },
            tried: &[],
            cold_requests_per_s: 6.0,
            group: &group,
            max_running: 6,
            local_hosts: 1 + (number % 2) as usize,
            named_share: &|_| None,
            pause: &|_| None,
        };
        let is_local = |server: &teaselchute::core::gateway::servers::Server| {
            &*server.entry.data_centre != "c"
        };
        let placed = balancer.place(now, &table, &request, &|_| true, &is_local);
        let text = match &placed {
            Ok(it) => format!("{} {} {:?}", it.server, it.tokens, it.source),
            Err(error) => error.to_string(),
        };
        hash = balance::hash(&[&hash.to_string(), &text]);
        running.extend(placed.ok());
        if number % 4 == 0 && !running.is_empty() {
            let index = rng.random_range(0..running.len() as u64) as usize;
            balancer.finish_prefill(&mut running[index]);
        }
        while running.len() > 50 {
            let assignment = running.remove(0);
            balancer.complete(now, assignment, number % 13 == 0);
        }
        if number % 500 == 0 {
            balancer.forget(&format!("s{}", number / 500).as_str().into());
        }
        if number % 50 == 0 {
            let part = balance::hash(&[&format!("subject-{}", number % 60)]);
            balancer.record_remote(now, &"s7".into(), &[part]);
        }
    }
    hash
}

/// A deployment that doesn't ask for the placement by latency would be served otherwise after an update.
#[test]
fn place_by_tokens_as_before() {
    assert_eq!(decisions(Balancer::default()), DECISIONS_BEFORE);
    let mut configured = Balancer::default();
    configured.configure(&config(&UNEQUAL), Placement::Tokens);
    assert_eq!(decisions(configured), DECISIONS_BEFORE);
}

/// Without the capacity of engines there is no cost in milliseconds.
#[test]
fn place_without_capacity_as_before() {
    let mut config = config(&UNEQUAL);
    for service in config.services.values_mut() {
        service.role = Role::Engine(None);
    }
    let mut balancer = Balancer::default();
    balancer.configure(&config, Placement::Latency);
    assert_eq!(decisions(balancer), DECISIONS_BEFORE);
}

/// Deployments with servers of equal speeds would be served otherwise if the adaptive placement acted without
/// measured differences.
#[test]
fn place_adaptive_without_samples_as_before() {
    let mut balancer = Balancer::default();
    balancer.configure(&config(&UNEQUAL), Placement::Adaptive);
    assert_eq!(decisions(balancer), DECISIONS_BEFORE);
}

/// The test above would pass with hashes that depend on nothing.
#[test]
fn place_by_latency_otherwise() {
    let mut balancer = Balancer::default();
    balancer.configure(&config(&UNEQUAL), Placement::Latency);
    assert_ne!(decisions(balancer), DECISIONS_BEFORE);
}
