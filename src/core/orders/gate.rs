//! Giving of orders: what withholds one, how loads are spaced, and what follows from the answer.

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

/// Oldest news with which a destructive order goes to an engine that ignores fencing numbers, in
/// milliseconds.
const CONFIRM_NEWS_MS: u64 = 1_500;

/// Oldest news with which a holder orders anything, in milliseconds.
const HOLD_NEWS_MS: u64 = 600_000;

/// Time after a claim in which orders of the holder before may still arrive, in milliseconds.
pub(super) const SETTLE_MS: u64 = 5_000;

impl Controller {
    /// Gives one order, where the claim allows it now.
    pub(super) fn give(
        &mut self,
        now: Instant,
        view: &View,
        name: &Name,
        share: u64,
        step: Step,
        out: &mut Vec<Action>,
    ) {
        let Some(group) = self.groups.get_mut(name) else {
            return;
        };
        let Some((fence, since)) = group.held else {
            return;
        };
        let server = view
            .document
            .pools
            .get(&group.pool)
            .and_then(|pool| pool.servers.get(&step.server));
        let checks = server.is_some_and(|server| server.checks_fencing);
        let Some(engine) = group.engines.get_mut(&step.server) else {
            return;
        };
        if !engine.is_free(now) {
            return;
        }
        let news_ms = now.since_ms(view.fresh_at);
        let mut values = step.values.clone();
        values.extend([
            value("fence", fence),
            value("checks_fencing", u64::from(checks)),
            value("destructive", u64::from(step.is_destructive)),
            value("news_ms", news_ms),
        ]);
        let gate = Gate {
            now,
            since,
            read_at: engine.read_at,
            news_ms,
            checks,
            is_destructive: step.is_destructive,
            fenced: engine.fenced_by.is_some_and(|newer| newer > fence),
            is_spaced: step.weights_mb == 0 || now >= group.next_load,
        };
        let withheld = match self.policy {
            Policy::Conservative => withheld(&gate),
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
            command: step.wish,
        };
        engine.ordered(now, &order);
        if step.weights_mb > 0 {
            let store = view.document.policies.weight_store_mb_per_second;
            group.next_load = now.after_ms(load_ms(step.weights_mb, store, share));
        }
        let choice = match &order.command {
            Command::Load { model, version, .. } => format!("load {model} {version}"),
            Command::Unload { model, version } => format!("unload {model} {version}"),
        };
        let decision = decision(now, &step.server, step.rule, &choice, values);
        out.push(Action::Decide(decision));
        out.push(Action::Order(order));
    }

    pub(super) fn answered(
        &mut self,
        now: Instant,
        id: u64,
        outcome: &Outcome,
        out: &mut Vec<Action>,
    ) {
        for group in self.groups.values_mut() {
            for (server, engine) in &mut group.engines {
                if !engine.answered(now, id, outcome) {
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

/// What decides whether an order may be given.
struct Gate {
    now: Instant,
    /// Since when this host knows that it holds the claim.
    since: Instant,
    read_at: Instant,
    news_ms: u64,
    checks: bool,
    is_destructive: bool,
    fenced: bool,
    is_spaced: bool,
}

/// Returns the rule by which an order is withheld, where one does.
fn withheld(gate: &Gate) -> Option<&'static str> {
    if gate.fenced {
        return Some("engine_obeys_a_newer_claim");
    }
    if gate.news_ms > HOLD_NEWS_MS {
        return Some("claim_not_heard_of_for_long");
    }
    if !gate.is_spaced {
        return Some("weight_store_share_in_use");
    }
    if gate.checks {
        return None;
    }
    // Orders of the holder before may still be on their way, so its engines are read after them.
    if gate.read_at < gate.since.after_ms(SETTLE_MS) || gate.now < gate.since.after_ms(SETTLE_MS) {
        return Some("settling_after_claim");
    }
    if gate.is_destructive && gate.news_ms > CONFIRM_NEWS_MS {
        return Some("claim_not_freshly_confirmed");
    }
    None
}

/// Returns the time that a load may take of the group's share of the weight store, in
/// milliseconds.
fn load_ms(weights_mb: u64, store_mb_per_second: u64, share: u64) -> u64 {
    weights_mb * 1_000 * share.max(1) / store_mb_per_second.max(1)
}

pub(super) fn longest_load_ms(document: &Document, pool: &Name, share: u64) -> u64 {
    let models = document.models.values().filter(|model| model.pool == *pool);
    let largest_mb = models.map(|model| model.weights_mb).max();
    let store = document.policies.weight_store_mb_per_second;
    load_ms(largest_mb.unwrap_or(0), store, share)
}
