//! Address lookup: the entry hosts that a caller should use, and for how long.
//!
//! See `docs/address-design.md`.

use rand::{
    Rng,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;
use serde::Deserialize;

use crate::{
    core::{
        decision::{
            Candidate,
            Decision,
            Kind,
            value, //
        },
        host::Host,
        view::{
            Health,
            View, //
        },
    },
    names::Name,
    time::Instant,
};

/// Time to live of an answer, in milliseconds.
pub const ANSWER_TTL_MS: u64 = 5_000;

/// Margin in the drain time of a leaving host after the last answer that contains it expires, in
/// milliseconds: it takes a while until all hosts know that it leaves, and clocks drift.
pub const LEAVE_MARGIN_MS: u64 = 3_000;

/// Maximum number of addresses in an answer.
const MAX_ADDRESSES: usize = 4;

/// Duration of the slow start of a host that begins to serve, in milliseconds.
const SLOW_START_MS: u64 = 30_000;

/// Full weight, in percent. Weights are scaled by it, so that a slow start has integer weights.
const FULL_WEIGHT_PERCENT: u64 = 100;

/// Weight of a host when it begins to serve, in percent.
const INITIAL_WEIGHT_PERCENT: u64 = 10;

/// Location of a caller, as far as it is stated in the query.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Location {
    /// Its region.
    pub region: Option<Name>,
    /// Its data centre.
    pub data_centre: Option<Name>,
}

/// Hosts for a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Hosts, in the order in which to try them.
    pub hosts: Vec<Host>,
    /// Time to live of the answer, in milliseconds.
    pub ttl_ms: u64,
    /// The decision with its reasons.
    pub decision: Decision,
}

/// Preference class of a host. Lower tiers come first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Tier {
    /// Serves in the caller's region.
    Local,
    /// Serves in another region.
    Remote,
    /// Is not known to serve yet.
    Starting,
    /// Doesn't answer. It may serve nonetheless, if this host is the one that is partitioned.
    Suspect,
}

struct Choice<'a> {
    host: &'a Host,
    tier: Tier,
    weight: u64,
    /// Time since it began to serve, in milliseconds. 0 if that is unknown.
    serving_ms: u64,
}

/// Returns the addresses for a caller. Each lookup needs another seed, so that callers are spread
/// over hosts.
///
/// Hosts of the caller's region come first, in a random order by weight. The second host is in
/// another data centre than the first if there is one, so that the second attempt succeeds when a
/// data centre fails.
pub fn resolve(view: &View, now: Instant, location: &Location, seed: u64) -> Answer {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let region = region_of(view, location);
    let choices = choices(view, now, &region);
    let candidates = choices.iter().map(candidate).collect();
    let order = diversify(weighted_order(choices, &mut rng));
    let hosts: Vec<Host> = order.into_iter().take(MAX_ADDRESSES).cloned().collect();
    let choice = hosts.first().map(|first| first.id.name.clone());
    let decision = Decision {
        at: now,
        kind: Kind::Membership,
        subject: region,
        stage: None,
        rule: Name::from("nearest_region_by_weight"),
        choice: choice.unwrap_or_else(|| Name::from("none")),
        values: vec![value("keep_ms", ANSWER_TTL_MS), value("seed", seed >> 1)],
        candidates,
    };
    Answer {
        hosts,
        ttl_ms: ANSWER_TTL_MS,
        decision,
    }
}

/// Returns how long a leaving host must continue to serve the callers that have its address, in
/// milliseconds.
pub const fn drain_ms() -> u64 {
    ANSWER_TTL_MS + LEAVE_MARGIN_MS
}

fn region_of(view: &View, location: &Location) -> Name {
    let by_data_centre = location
        .data_centre
        .as_ref()
        .and_then(|name| view.document.data_centres.get(name))
        .map(|data_centre| data_centre.region.clone());
    let region = location.region.clone().or(by_data_centre);
    // Callers usually ask a host of their own region, so that this is the best guess.
    region.unwrap_or_else(|| view.own.region.clone())
}

fn choices<'a>(view: &'a View, now: Instant, region: &Name) -> Vec<Choice<'a>> {
    let tier = |host: &Host, health: Health, serves: bool| match health {
        Health::Leaving => None,
        Health::Suspect => Some(Tier::Suspect),
        Health::Alive if !serves => Some(Tier::Starting),
        Health::Alive if host.region == *region => Some(Tier::Local),
        Health::Alive => Some(Tier::Remote),
    };
    let others = view.members.iter().filter_map(|member| {
        let serving_ms = member.serving_since.map(|since| now.since_ms(since));
        let tier = tier(&member.host, member.health, serving_ms.is_some())?;
        Some(Choice {
            host: &member.host,
            tier,
            weight: weight(&member.host, serving_ms.unwrap_or(0)),
            serving_ms: serving_ms.unwrap_or(0),
        })
    });
    let health = match view.leaving {
        true => Health::Leaving,
        false => Health::Alive,
    };
    let own = tier(&view.own, health, view.serving).map(|tier| {
        let serving_ms = view.serving_since.map_or(0, |since| now.since_ms(since));
        Choice {
            host: &view.own,
            tier,
            weight: weight(&view.own, serving_ms),
            serving_ms,
        }
    });
    others.chain(own).collect()
}

/// Returns the weight of a host, which grows linearly during its slow start.
fn weight(host: &Host, serving_ms: u64) -> u64 {
    let ramp = (FULL_WEIGHT_PERCENT - INITIAL_WEIGHT_PERCENT) * serving_ms.min(SLOW_START_MS)
        / SLOW_START_MS;
    u64::from(host.weight.max(1)) * (INITIAL_WEIGHT_PERCENT + ramp)
}

/// Returns the hosts in a weighted random order within each tier.
fn weighted_order<'a>(choices: Vec<Choice<'a>>, rng: &mut Pcg64Mcg) -> Vec<&'a Host> {
    let mut ordered = Vec::new();
    for tier in [Tier::Local, Tier::Remote, Tier::Starting, Tier::Suspect] {
        let mut remaining: Vec<&Choice<'a>> = choices
            .iter()
            .filter(|choice| choice.tier == tier)
            .collect();
        while ordered.len() < choices.len() && !remaining.is_empty() {
            let total: u64 = remaining.iter().map(|choice| choice.weight).sum();
            let mut draw = rng.random_range(0..total);
            let index = remaining.iter().position(|choice| {
                let is_drawn = draw < choice.weight;
                draw = draw.saturating_sub(choice.weight);
                is_drawn
            });
            ordered.push(remaining.remove(index.unwrap_or(0)).host);
        }
    }
    ordered
}

/// Moves a host of another data centre to the second position.
fn diversify(mut order: Vec<&Host>) -> Vec<&Host> {
    let Some(first) = order.first().copied() else {
        return order;
    };
    let position = order
        .iter()
        .position(|host| host.data_centre != first.data_centre);
    if let Some(index) = position
        && index > 1
    {
        let host = order.remove(index);
        order.insert(1, host);
    }
    order
}

fn candidate(choice: &Choice<'_>) -> Candidate {
    let passed_over = match choice.tier {
        Tier::Local => None,
        Tier::Remote => Some(Name::from("another_region")),
        Tier::Starting => Some(Name::from("not_serving_yet")),
        Tier::Suspect => Some(Name::from("does_not_answer")),
    };
    Candidate {
        name: choice.host.id.name.clone(),
        values: vec![
            value("weight", choice.weight),
            value("serving_ms", choice.serving_ms),
        ],
        passed_over,
    }
}
