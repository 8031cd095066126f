//! Issuing of orders: why one is withheld, how loads are spaced, and how answers are handled.

use super::{
    Action,
    Command,
    Controller,
    Order,
    Outcome,
    Policy,
    decision, //
};
use crate::{
    core::{
        decision::value,
        document::Document,
        placement::Step,
        view::View, //
    },
    names::Name,
    time::Instant,
};

/// Staleness of the agreed state up to which a destructive order is issued to an engine that
/// ignores fencing numbers, in milliseconds.
const MAX_DESTRUCTIVE_STALENESS_MS: u64 = 1_500;

/// Staleness of the agreed state up to which a holder issues any order, in milliseconds.
const MAX_HOLD_STALENESS_MS: u64 = 600_000;

/// Time after a claim during which orders of the previous holder may still arrive, in milliseconds.
pub(super) const SETTLE_MS: u64 = 5_000;

impl Controller {
    /// Issues an order, or logs why it is withheld.
    pub(super) fn issue(
        &mut self,
        now: Instant,
        view: &View,
        name: &Name,
        group_count: u64,
        step: Step,
        out: &mut Vec<Action>,
    ) {
        let Some(group) = self.groups.get_mut(name) else {
            return;
        };
        let Some((fence, held_since)) = group.claim else {
            return;
        };
        let server = view
            .document
            .pools
            .get(&group.pool)
            .and_then(|pool| pool.servers.get(&step.server));
        let checks_fencing = server.is_some_and(|server| server.checks_fencing);
        let Some(engine) = group.engines.get_mut(&step.server) else {
            return;
        };
        if !engine.accepts_orders(now) {
            return;
        }
        let staleness_ms = now.since_ms(view.fresh_at);
        let mut values = step.values.clone();
        values.extend([
            value("fence", fence),
            value("checks_fencing", u64::from(checks_fencing)),
            value("destructive", u64::from(step.is_destructive)),
            value("news_ms", staleness_ms),
        ]);
        let conditions = Conditions {
            now,
            held_since,
            read_at: engine.read_at,
            staleness_ms,
            checks_fencing,
            is_destructive: step.is_destructive,
            is_fenced: engine.fenced_by.is_some_and(|newer| newer > fence),
            is_spaced: step.weights_mb == 0 || now >= group.next_load,
        };
        let withheld = match self.policy {
            Policy::Conservative => withheld(&conditions),
            Policy::Eager => None,
        };
        if let Some(rule) = withheld {
            if engine.withheld.replace(rule) != Some(rule) {
                let decision = decision(now, &step.server, rule, "withheld", values);
                out.push(Action::Decide(decision));
            }
            return;
        }
        engine.withheld = None;
        self.next_id += 1;
        let order = Order {
            id: self.next_id,
            pool: group.pool.clone(),
            server: step.server.clone(),
            fence,
            command: step.command,
        };
        engine.record_order(now, &order);
        if step.weights_mb > 0 {
            let store_mb_per_second = view.document.policies.weight_store_mb_per_second;
            group.next_load =
                now.after_ms(load_ms(step.weights_mb, store_mb_per_second, group_count));
        }
        let choice = match &order.command {
            Command::Load { model, version, .. } => format!("load {model} {version}"),
            Command::Unload { model, version } => format!("unload {model} {version}"),
        };
        let decision = decision(now, &step.server, step.rule, &choice, values);
        out.push(Action::Decide(decision));
        out.push(Action::Order(order));
    }

    pub(super) fn handle_answer(
        &mut self,
        now: Instant,
        id: u64,
        outcome: &Outcome,
        out: &mut Vec<Action>,
    ) {
        for group in self.groups.values_mut() {
            for (server, engine) in &mut group.engines {
                if !engine.take_answer(now, id, outcome) {
                    continue;
                }
                let (rule, newer) = match outcome {
                    Outcome::Obeyed => return,
                    Outcome::Fenced { newer } => ("order_fenced", *newer),
                    Outcome::Refused(_) => ("order_refused", 0),
                    Outcome::Unknown => ("order_answer_lost", 0),
                };
                let values = vec![value("order", id), value("newer_fence", newer)];
                out.push(Action::Decide(decision(
                    now,
                    server,
                    rule,
                    "read_again",
                    values,
                )));
                return;
            }
        }
    }
}

/// Conditions on which an order is issued or withheld.
struct Conditions {
    now: Instant,
    /// When this host learned that it holds the claim.
    held_since: Instant,
    read_at: Instant,
    staleness_ms: u64,
    checks_fencing: bool,
    is_destructive: bool,
    is_fenced: bool,
    is_spaced: bool,
}

/// Returns the rule by which an order is withheld, or `None` if it may be issued.
fn withheld(conditions: &Conditions) -> Option<&'static str> {
    if conditions.is_fenced {
        return Some("engine_obeys_a_newer_claim");
    }
    if conditions.staleness_ms > MAX_HOLD_STALENESS_MS {
        return Some("claim_not_heard_of_for_long");
    }
    if !conditions.is_spaced {
        return Some("weight_store_share_in_use");
    }
    if conditions.checks_fencing {
        return None;
    }
    // Orders of the previous holder may still be in transit, so engines that do not check fencing
    // numbers have to be read after these have arrived.
    if conditions.read_at < conditions.held_since.after_ms(SETTLE_MS)
        || conditions.now < conditions.held_since.after_ms(SETTLE_MS)
    {
        return Some("settling_after_claim");
    }
    if conditions.is_destructive && conditions.staleness_ms > MAX_DESTRUCTIVE_STALENESS_MS {
        return Some("claim_not_freshly_confirmed");
    }
    None
}

/// Returns how long a load takes at the group's share of the weight store's bandwidth, in
/// milliseconds.
fn load_ms(weights_mb: u64, store_mb_per_second: u64, group_count: u64) -> u64 {
    weights_mb * 1_000 * group_count.max(1) / store_mb_per_second.max(1)
}

pub(super) fn longest_load_ms(document: &Document, pool: &Name, group_count: u64) -> u64 {
    let models = document.models.values().filter(|model| model.pool == *pool);
    let largest_mb = models.map(|model| model.weights_mb).max();
    let store_mb_per_second = document.policies.weight_store_mb_per_second;
    load_ms(largest_mb.unwrap_or(0), store_mb_per_second, group_count)
}
