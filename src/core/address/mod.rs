//! Address lookup: which entry hosts a caller should use, and for how long.
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

/// Time for which a caller may keep an answer, in milliseconds.
pub const ANSWER_TTL_MS: u64 = 5_000;

/// Time by which a leaving host serves on after the last answer that names it can have lapsed, in
/// milliseconds: news of its leaving takes a while, and clocks differ in rate.
pub const LEAVE_MARGIN_MS: u64 = 3_000;

/// Most addresses in an answer.
const ADDRESSES: usize = 4;

/// Time in which a host that began to serve reaches its full weight, in milliseconds.
const SLOW_START_MS: u64 = 30_000;

/// Parts into which a weight is divided, so that a slow start can be told in whole numbers.
const WEIGHT_PARTS: u64 = 100;

/// Smallest part of its weight that a host gets at the start.
const FIRST_PART: u64 = 10;

/// Where a caller stands, as far as it says.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Location {
    /// Its region.
    pub region: Option<Name>,
    /// Its data centre.
    pub data_centre: Option<Name>,
}

/// Which hosts a caller should use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Hosts in the order in which they should be tried.
    pub hosts: Vec<Host>,
    /// Time for which the answer may be kept, in milliseconds.
    pub ttl_ms: u64,
    /// Why these.
    pub decision: Decision,
}

/// How willingly a host is named: lower comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Tier {
    /// It serves, in the caller's region.
    Near,
    /// It serves, elsewhere.
    Far,
    /// It isn't known to serve yet.
    Starting,
    /// It doesn't answer, but it may be the asked host that is cut off.
    Suspect,
}

struct Choice<'a> {
    host: &'a Host,
    tier: Tier,
    weight: u64,
    /// Milliseconds for which it has served, as far as known.
    serving_ms: u64,
}

/// Returns the addresses for a caller. The seed spreads callers over hosts, so each lookup needs
/// another.
///
/// Hosts of the caller's region come first, in an order that is drawn by their weights. The second
/// address stands in another data centre than the first where there is one, so that the loss of a
/// data centre is met by the second try.
pub fn resolve(view: &View, now: Instant, from: &Location, seed: u64) -> Answer {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let region = region_of(view, from);
    let choices = choices(view, now, &region);
    let candidates = choices.iter().map(candidate).collect();
    let order = spread(draw(choices, &mut rng));
    let hosts: Vec<Host> = order.into_iter().take(ADDRESSES).cloned().collect();
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

/// Returns how long a host that leaves must serve on for callers who hold its address.
pub const fn drain_ms() -> u64 {
    ANSWER_TTL_MS + LEAVE_MARGIN_MS
}

fn region_of(view: &View, from: &Location) -> Name {
    let by_data_centre = from
        .data_centre
        .as_ref()
        .and_then(|name| view.document.data_centres.get(name))
        .map(|data_centre| data_centre.region.clone());
    let region = from.region.clone().or(by_data_centre);
    // Callers ask the nearest host that they know, so its region is the best guess.
    region.unwrap_or_else(|| view.own.region.clone())
}

fn choices<'a>(view: &'a View, now: Instant, region: &Name) -> Vec<Choice<'a>> {
    let tier = |host: &Host, health: Health, serves: bool| match health {
        Health::Leaving => None,
        Health::Suspect => Some(Tier::Suspect),
        Health::Alive if !serves => Some(Tier::Starting),
        Health::Alive if host.region == *region => Some(Tier::Near),
        Health::Alive => Some(Tier::Far),
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

/// Returns the weight of a host, which grows from a small part to the whole after its start.
fn weight(host: &Host, serving_ms: u64) -> u64 {
    let grown = (WEIGHT_PARTS - FIRST_PART) * serving_ms.min(SLOW_START_MS) / SLOW_START_MS;
    u64::from(host.weight.max(1)) * (FIRST_PART + grown)
}

/// Draws an order within each tier, each place with chances by weight.
fn draw<'a>(choices: Vec<Choice<'a>>, rng: &mut Pcg64Mcg) -> Vec<&'a Host> {
    let mut out = Vec::new();
    for tier in [Tier::Near, Tier::Far, Tier::Starting, Tier::Suspect] {
        let mut left: Vec<&Choice<'a>> = choices.iter().filter(|it| it.tier == tier).collect();
        while out.len() < choices.len() && !left.is_empty() {
            let total: u64 = left.iter().map(|choice| choice.weight).sum();
            let mut mark = rng.random_range(0..total);
            let index = left.iter().position(|choice| {
                let is_hit = mark < choice.weight;
                mark = mark.saturating_sub(choice.weight);
                is_hit
            });
            out.push(left.remove(index.unwrap_or(0)).host);
        }
    }
    out
}

/// Brings a host of another data centre to the second place.
fn spread(mut order: Vec<&Host>) -> Vec<&Host> {
    let Some(first) = order.first().copied() else {
        return order;
    };
    let other = order
        .iter()
        .position(|host| host.data_centre != first.data_centre);
    if let Some(index) = other
        && index > 1
    {
        let host = order.remove(index);
        order.insert(1, host);
    }
    order
}

fn candidate(choice: &Choice<'_>) -> Candidate {
    let passed_over = match choice.tier {
        Tier::Near => None,
        Tier::Far => Some(Name::from("another_region")),
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
