//! Rollouts: which version of a service's servers a request may go to, and what this host reports of the
//! answers. See `docs/design/rollout.md`.
//!
//! Everything here is without effect unless the settings ask for rollouts
//! ([`crate::options::gateway::Features::rollout`]).

use std::{
    cell::RefCell,
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    rc::Rc,
    time::Duration,
};

use opentelemetry::KeyValue;

use super::{
    Gateway,
    clock,
    log::Event,
    store, //
};
use crate::{
    core::gateway::{
        balance,
        config::Role,
        dispatch::Constraint,
        hosts,
        rollout::{
            Decider,
            Evidence,
            Ledger,
            Order,
            Phase,
            Versions,
            Window,
            decider::{
                Action,
                State as Decided, //
            },
            judgement,
            ledger::{
                self,
                Origin, //
            },
            versions::Permission, //
        },
        servers::Entry, //
    },
    edges::gateway::{
        Record,
        Status, //
    },
    names::Name,
    time::Instant,
};

mod deciding;
mod observation;
mod reports;
mod selection;

pub(super) use observation::{
    Hold,
    Observation, //
};
pub(super) use reports::{
    Report,
    heartbeat_rollouts,
    merge_heartbeat,
    receive, //
};
pub(super) use selection::{
    Selection,
    selections,
    trial_servers, //
};

/// Interval of reports while an order is open, in milliseconds.
const INTERVAL_MS: u64 = 250;

/// Interval at which all servers are searched for versions, in milliseconds. New servers are seen as they
/// join, so this only shows which versions have gone.
const VERSION_INTERVAL_MS: u64 = 1_000;

/// Interval of decisions at the deciding host, in milliseconds.
const DECISION_INTERVAL_MS: u64 = 125;

/// Time for which a version is remembered after its last server left, in milliseconds. The store may lose
/// the entries of all servers for some seconds, and what is known of their versions must outlive that.
const VERSION_RETENTION_MS: u64 = 60_000;

/// Age of a process from which it counts as running when an order that it reads was accepted, in
/// milliseconds. Before, the order may have been accepted while an earlier process of the host ran.
const STARTING_MS: u64 = 3_000;

/// Time for which an order that was deleted is still decided, in milliseconds: the state has to be written
/// although the store is away for some seconds.
const GONE_RETENTION_MS: u64 = 30_000;

/// Time after the order within which a final state that is read belongs to an earlier order with the same
/// target, in milliseconds. No order is decided so fast unless its target serves alone.
const OLD_STATUS_MS: u64 = 1_500;

/// Difference of two hosts' ages of an order from which the older one is adopted, in milliseconds. Hosts
/// learn of an order within about a second.
const AGE_TOLERANCE_MS: u64 = 2_000;

/// Rollouts and versions that this host knows.
#[derive(Default)]
pub(super) struct State {
    services: RefCell<BTreeMap<Name, Service>>,
    // Requests, calls and results of this host at servers, by service and version.
    holds: RefCell<BTreeMap<(Name, Name), usize>>,
    /// Notified when an order opens.
    pub(super) opened: tokio::sync::Notify,
}

/// What this host knows of the versions of a service.
#[derive(Default)]
struct Service {
    versions: Versions,
    // When the last server of a version was seen.
    seen_at: BTreeMap<Name, Instant>,
    rollout: Option<Rollout>,
}

/// An order, and what this host does about it.
struct Rollout {
    order: Order,
    record: Record,
    window: Window,
    opened_at: Instant,
    origin: Origin,
    ledger: Ledger,
    evidence: Evidence,
    decider: Option<Decider>,
    // Actions of the decider that aren't performed yet.
    pending: Vec<Action>,
    // When the order was deleted.
    gone_at: Option<Instant>,
    // Whether the store has the final state of the order.
    is_settled: bool,
    has_stopped: bool,
    // State that the store had before the order.
    old_status: Option<Status>,
    has_read_status: bool,
    announcement: Option<(Phase, bool)>,
    settled_at: Option<Instant>,
    // Servers that take the canary requests.
    trial: Rc<BTreeSet<Name>>,
    trial_at: Option<Instant>,
}

impl Rollout {
    fn is_open(&self) -> bool {
        !self.is_settled
    }
}

/// Returns the version of an entry. All servers that name none share a version.
fn version_of(entry: &Entry) -> Name {
    entry.version.clone().unwrap_or_else(|| "".into())
}

fn is_active(gateway: &Gateway) -> bool {
    gateway.options.borrow().features.rollout.is_some()
}

/// Returns whether an order has no final state in the store, so that the states have to be read.
pub(super) fn is_any_open(gateway: &Gateway) -> bool {
    let services = gateway.rollouts.services.borrow();
    is_active(gateway)
        && services
            .values()
            .any(|service| service.rollout.as_ref().is_some_and(Rollout::is_open))
}

/// Records that a server is in the table. `is_first` states that this host reads the servers for the first
/// time, so that only the server's start says how long its version has been there.
pub(super) fn see(gateway: &Gateway, entry: &Entry, is_first: bool) {
    if !is_active(gateway) {
        return;
    }
    let now = gateway.now();
    let started_at = entry.started_at.filter(|_| is_first);
    let age_ms = started_at.map_or(0, |at| clock::unix_ms().saturating_sub(at));
    let version = version_of(entry);
    let mut services = gateway.rollouts.services.borrow_mut();
    let service = services.entry(entry.service.clone()).or_default();
    service.versions.see(now, &version, age_ms);
    service.seen_at.insert(version, now);
}

/// Records the versions of all servers, and forgets those that have been without servers for long.
fn observe_versions(gateway: &Gateway) {
    let now = gateway.now();
    let table = gateway.servers.borrow();
    let mut services = gateway.rollouts.services.borrow_mut();
    for server in table.iter() {
        let version = version_of(&server.entry);
        let service = services.entry(server.entry.service.clone()).or_default();
        service.versions.see(now, &version, 0);
        service.seen_at.insert(version, now);
    }
    for service in services.values_mut() {
        let versions = &mut service.versions;
        service.seen_at.retain(|version, seen_at| {
            let is_kept = now.since_ms(*seen_at) < VERSION_RETENTION_MS;
            if !is_kept {
                versions.forget(now, version);
            }
            is_kept
        });
    }
}

/// Applies an order, or its deletion if it is `None`. `is_new` states that the store accepted the record
/// while this host read its log.
pub(super) fn apply_order(
    gateway: &Gateway,
    service: &Name,
    order: Option<crate::edges::gateway::Rollout>,
    record: &Record,
    is_new: bool,
) {
    let Some(bounds) = gateway.options.borrow().features.rollout else {
        return;
    };
    let Some(order) = order else {
        return withdraw(gateway, service);
    };
    let now = gateway.now();
    let mut services = gateway.rollouts.services.borrow_mut();
    let known = services.entry(service.clone()).or_default();
    let value = record.value.as_deref().unwrap_or_default();
    let id = balance::hash_bytes(&[record.key.as_bytes(), value]);
    if let Some(rollout) = &known.rollout
        && rollout.order.id == id
        && rollout.gone_at.is_none()
    {
        // A final order that is given once more starts again.
        if !(is_new && rollout.is_settled) {
            return;
        }
        known.versions.set_order(now, None);
    }
    let order = Order {
        service: service.clone(),
        target: order.target,
        duration_ms: order.duration_ms,
        id,
    };
    let origin = if is_new && now.as_ms() >= STARTING_MS {
        Origin::Running
    } else {
        Origin::Started
    };
    known.versions.set_order(now, Some(&order));
    let window = Window::open(now, &order, 0);
    let group = gateway.overview().group.clone();
    let rollout = Rollout {
        record: record.clone(),
        window,
        opened_at: now,
        origin,
        ledger: Ledger::open(&order, window, &bounds, &group, origin),
        evidence: Evidence::open(window),
        decider: None,
        pending: Vec::new(),
        gone_at: None,
        is_settled: false,
        has_stopped: false,
        old_status: None,
        has_read_status: false,
        announcement: None,
        settled_at: None,
        trial: Rc::default(),
        trial_at: None,
        order,
    };
    log_step(gateway, &rollout, now, "order", origin_text(origin));
    known.rollout = Some(rollout);
    drop(services);
    gateway.rollouts.opened.notify_waiters();
}

/// Withdraws the order of a service, which was deleted. It is reverted unless it has a final state.
pub(super) fn withdraw(gateway: &Gateway, service: &Name) {
    let now = gateway.now();
    let mut services = gateway.rollouts.services.borrow_mut();
    let Some(known) = services.get_mut(service) else {
        return;
    };
    let Some(rollout) = &mut known.rollout else {
        return;
    };
    if rollout.gone_at.is_none() {
        rollout.gone_at = Some(now);
        known.versions.set_order(now, None);
        log_step(gateway, rollout, now, "order deleted", "");
    }
}

fn origin_text(origin: Origin) -> &'static str {
    match origin {
        Origin::Running => "accepted while this host ran",
        Origin::Started => "accepted before this host started",
    }
}

/// Returns the services with orders whose records aren't among `keys`.
pub(super) fn missing_orders(gateway: &Gateway, keys: &BTreeSet<Name>) -> Vec<Name> {
    let services = gateway.rollouts.services.borrow();
    let orders = services.iter().filter(|(_, service)| {
        let rollout = service.rollout.as_ref();
        rollout.is_some_and(|it| it.gone_at.is_none() && !keys.contains(&it.record.key))
    });
    orders.map(|(name, _)| name.clone()).collect()
}

/// Returns the records of the orders, for a host that starts.
pub(super) fn order_records(gateway: &Gateway) -> Vec<Record> {
    let services = gateway.rollouts.services.borrow();
    let rollouts = services.values().filter_map(|it| it.rollout.as_ref());
    rollouts
        .filter(|rollout| rollout.gone_at.is_none())
        .map(|rollout| rollout.record.clone())
        .collect()
}

/// Applies the states that were read from the store. `is_whole` states that they are the newest of all
/// services, rather than those that were written since the last read.
pub(super) fn apply_statuses(gateway: &Gateway, records: &[Record], is_whole: bool) {
    let mut statuses = BTreeMap::new();
    for record in records {
        match gateway.adapter.status(record) {
            Ok(Some((service, status))) => {
                statuses.insert(service, status);
            }
            Ok(None) => {}
            Err(error) => store::report_bad_record(gateway, &record.key, error.to_string()),
        }
    }
    let now = gateway.now();
    let mut services = gateway.rollouts.services.borrow_mut();
    for (name, service) in &mut *services {
        let Some(rollout) = &mut service.rollout else {
            continue;
        };
        let status = statuses.get(name);
        if is_whole && !rollout.has_read_status {
            rollout.has_read_status = true;
            let is_early = now.since_ms(rollout.opened_at) < OLD_STATUS_MS;
            let is_final = status.is_some_and(|it| it.state != Decided::InProgress);
            if is_early && is_final && rollout.origin == Origin::Running {
                rollout.old_status = status.cloned();
            }
        }
        let is_old = is_whole && rollout.old_status.as_ref() == status;
        if let Some(status) = status.filter(|_| !is_old) {
            adopt_status(gateway, service, now, status);
        }
    }
}

fn adopt_status(gateway: &Gateway, service: &mut Service, now: Instant, status: &Status) {
    let Some(rollout) = &mut service.rollout else {
        return;
    };
    let phase = match status.state {
        Decided::Completed => Phase::Completed,
        Decided::Reverted => Phase::Reverted,
        Decided::InProgress => return,
    };
    if status.target != rollout.order.target || rollout.is_settled {
        return;
    }
    service.versions.adopt(now, rollout.order.id, phase, true);
    settle(gateway, rollout, now, phase);
}

/// Records that the store has a final state of the order.
fn settle(gateway: &Gateway, rollout: &mut Rollout, now: Instant, phase: Phase) {
    if std::mem::replace(&mut rollout.is_settled, true) {
        return;
    }
    rollout.settled_at = Some(now);
    log_step(gateway, rollout, now, "settled", phase_text(phase));
    count_phase(gateway, rollout, phase);
}

fn phase_text(phase: Phase) -> &'static str {
    match phase {
        Phase::Canary => "canary",
        Phase::Promoting => "promoting",
        Phase::Completed => "completed",
        Phase::Reverted => "reverted",
    }
}

fn count_phase(gateway: &Gateway, rollout: &Rollout, phase: Phase) {
    let labels = [
        KeyValue::new("service", rollout.order.service.to_string()),
        KeyValue::new("phase", phase_text(phase)),
    ];
    gateway.metrics.rollout_phases.add(1, &labels);
}

fn log_step(gateway: &Gateway, rollout: &Rollout, now: Instant, step: &str, detail: &str) {
    let (sent, sent_to_target) = rollout.ledger.counts();
    gateway.log.write(&Event::Rollout {
        service: &rollout.order.service,
        target: &rollout.order.target,
        order: rollout.order.id,
        step,
        detail,
        sent,
        sent_to_target,
        age_ms: rollout.window.elapsed_ms(now),
    });
}

/// Returns the phase of a rollout to adopt, and logs the change. `is_written` states that the store has it.
fn adopt_phase(
    gateway: &Gateway,
    service: &mut Service,
    now: Instant,
    phase: Phase,
    is_written: bool,
) {
    let Some(rollout) = &mut service.rollout else {
        return;
    };
    let before = service.versions.phase();
    service
        .versions
        .adopt(now, rollout.order.id, phase, is_written);
    let after = service.versions.phase();
    if before != after
        && let Some(after) = after
    {
        log_step(gateway, rollout, now, "phase", phase_text(after));
        count_phase(gateway, rollout, after);
    }
    if is_written && phase.is_final() {
        settle(gateway, rollout, now, phase);
    }
}

/// Returns whether a request may be sent to a server now, as far as its version is concerned. Checked just
/// before each send.
pub(super) fn may_send(gateway: &Gateway, entry: &Entry) -> bool {
    if !is_active(gateway) {
        return true;
    }
    let now = gateway.now();
    let services = gateway.rollouts.services.borrow();
    let Some(service) = services.get(&entry.service) else {
        return true;
    };
    match service.versions.permission(now, &version_of(entry)) {
        Permission::Any | Permission::Fallback => true,
        Permission::Trial => {
            let rollout = service.rollout.as_ref();
            rollout.is_some_and(|rollout| rollout.ledger.may_send(now))
        }
        Permission::Barred => false,
    }
}

/// Returns whether a server gets nothing because of its version.
pub(super) fn is_barred(gateway: &Gateway, entry: &Entry) -> bool {
    if !is_active(gateway) {
        return false;
    }
    let services = gateway.rollouts.services.borrow();
    let Some(service) = services.get(&entry.service) else {
        return false;
    };
    let permission = service
        .versions
        .permission(gateway.now(), &version_of(entry));
    permission == Permission::Barred
}

/// A request in the ledger of an order.
#[derive(Clone, Copy, Debug)]
pub(super) struct Counted {
    order: u64,
    // That of the ledger, which is opened anew if another window is adopted.
    deadline: Instant,
    sent_at: Instant,
}

/// Records a request or a call with pieces that is sent to a server. `None` if no order is open.
pub(super) fn record_sent(gateway: &Gateway, entry: &Entry) -> Option<Counted> {
    if !is_active(gateway) {
        return None;
    }
    let now = gateway.now();
    let mut services = gateway.rollouts.services.borrow_mut();
    let rollout = services
        .get_mut(&entry.service)
        .and_then(|service| service.rollout.as_mut());
    let rollout = rollout.filter(|rollout| rollout.is_open())?;
    let is_target = version_of(entry) == rollout.order.target;
    rollout.ledger.record_sent(now, is_target);
    let labels = [
        KeyValue::new("service", entry.service.to_string()),
        KeyValue::new("target", is_target),
    ];
    gateway.metrics.rollout_sent.add(1, &labels);
    Some(Counted {
        order: rollout.order.id,
        deadline: rollout.window.deadline,
        sent_at: now,
    })
}

/// Takes a request out of the ledger, since it was held back just before the send: its server asked for a
/// pause, or its version is barred now.
pub(super) fn record_held_back(gateway: &Gateway, entry: &Entry, counted: Option<Counted>) {
    let Some(counted) = counted else {
        return;
    };
    let mut services = gateway.rollouts.services.borrow_mut();
    let rollout = services
        .get_mut(&entry.service)
        .and_then(|service| service.rollout.as_mut());
    let is_same = |rollout: &&mut Rollout| {
        rollout.order.id == counted.order && rollout.window.deadline == counted.deadline
    };
    if let Some(rollout) = rollout.filter(is_same) {
        let is_target = version_of(entry) == rollout.order.target;
        rollout.ledger.undo_sent(counted.sent_at, is_target);
    }
}

/// Runs the rollouts: observes versions, reports to the decider, and decides at the host that does.
pub(super) async fn run(gateway: Rc<Gateway>) {
    let mut reported_at = Instant::ZERO;
    let mut observed_at = Instant::ZERO;
    loop {
        tokio::time::sleep(Duration::from_millis(DECISION_INTERVAL_MS)).await;
        if !is_active(&gateway) {
            continue;
        }
        let now = gateway.now();
        if now.since_ms(observed_at) >= VERSION_INTERVAL_MS {
            observed_at = now;
            observe_versions(&gateway);
        }
        let names: Vec<Name> = gateway.rollouts.services.borrow().keys().cloned().collect();
        let is_due = now.since_ms(reported_at) >= INTERVAL_MS;
        if is_due {
            reported_at = now;
        }
        for name in names {
            step(&gateway, &name);
            if is_due {
                reports::send(&gateway, &name);
            }
        }
    }
}

/// Runs the periodic work of one service.
fn step(gateway: &Rc<Gateway>, name: &Name) {
    let now = gateway.now();
    let mut services = gateway.rollouts.services.borrow_mut();
    let Some(service) = services.get_mut(name) else {
        return;
    };
    let Some(rollout) = &mut service.rollout else {
        return;
    };
    let gone_ms = rollout.gone_at.map(|at| now.since_ms(at));
    let is_over = gone_ms.is_some_and(|ms| rollout.is_settled || ms >= GONE_RETENTION_MS);
    if is_over {
        service.rollout = None;
        return;
    }
    if !rollout.has_stopped
        && rollout.is_open()
        && let Some(reason) = judgement::must_stop(&rollout.evidence)
    {
        rollout.has_stopped = true;
        service.versions.stop(rollout.order.id);
        log_step(
            gateway,
            rollout,
            now,
            "stopped by this host",
            &format!("{reason:?}"),
        );
    }
    drop(services);
    deciding::step(gateway, name);
}

/// Returns the number of requests, calls and results of this host that need a server of another version
/// than the target.
fn in_flight_old(gateway: &Gateway, order: &Order) -> u64 {
    let holds = gateway.rollouts.holds.borrow();
    let held = holds
        .iter()
        .filter(|((service, version), _)| *service == order.service && *version != order.target)
        .map(|(_, &count)| count as u64);
    held.sum::<u64>() + results_at_others(gateway, order)
}

/// Returns the number of calls and results that the queue of a stage on this host has at servers of other
/// versions than the target.
fn results_at_others(gateway: &Gateway, order: &Order) -> u64 {
    let is_stage = gateway.config().is_some_and(|config| {
        let service = config.services.get(&order.service);
        service.is_some_and(|service| matches!(service.role, Role::Stages(_)))
    });
    if !is_stage {
        return 0;
    }
    let batchers = gateway.batchers.borrow();
    let Some(batcher) = batchers.get(&order.service) else {
        return 0;
    };
    let table = gateway.servers.borrow();
    let others = table.iter().filter(|server| {
        server.entry.service == order.service && version_of(&server.entry) != order.target
    });
    others
        .map(|server| batcher.uses(&server.entry.id) as u64)
        .sum()
}

/// Returns the number by which a constraint on dispatchers states a version.
pub(super) fn version_key(version: &str) -> u64 {
    balance::hash(&[version])
}

/// Returns whether a dispatcher on this host may grant a server, by the constraint of the asking host and by
/// what this host knows of versions.
pub(super) fn may_grant(gateway: &Gateway, entry: &Entry, constraint: Constraint) -> bool {
    if !is_active(gateway) {
        return true;
    }
    let version = version_of(entry);
    let key = version_key(&version);
    let services = gateway.rollouts.services.borrow();
    let Some(service) = services.get(&entry.service) else {
        return constraint.admits(key);
    };
    let permission = service.versions.permission(gateway.now(), &version);
    let is_trial = |rollout: &Rollout| rollout.trial.contains(&entry.id);
    match (constraint, permission) {
        (Constraint::Any, permission) => permission == Permission::Any,
        (Constraint::Only(only), Permission::Trial) => {
            only == key && service.rollout.as_ref().is_some_and(is_trial)
        }
        // The asking host knows by itself whether it still uses the version, unless the rollout is over.
        (constraint, Permission::Barred) => {
            let is_final = service.versions.phase().is_some_and(Phase::is_final);
            constraint.admits(key) && !is_final
        }
        (constraint, _) => constraint.admits(key),
    }
}

/// Chooses the servers of the target that take the canary requests anew.
fn choose_trial(gateway: &Gateway, now: Instant, service: &Name, rollout: &mut Rollout) {
    let is_fresh = rollout
        .trial_at
        .is_some_and(|at| now.since_ms(at) < INTERVAL_MS);
    let Some(bounds) = gateway.options.borrow().features.rollout else {
        return;
    };
    if is_fresh {
        return;
    }
    rollout.trial_at = Some(now);
    let table = gateway.servers.borrow();
    let usable: Vec<(&Name, Name, bool)> = table
        .usable(service)
        .map(|server| {
            let is_target = version_of(&server.entry) == rollout.order.target;
            let region = gateway.region_of(&server.entry.data_centre);
            (&server.entry.id, region, is_target)
        })
        .collect();
    let servers = usable.iter().map(|(id, region, is_target)| ledger::Server {
        id,
        region,
        is_target: *is_target,
    });
    let chosen = ledger::trial_servers(&rollout.order, &bounds, servers);
    rollout.trial = Rc::new(chosen.into_iter().cloned().collect());
}

/// Returns the entries of the rollouts in a heartbeat or a report.
fn report_of(gateway: &Gateway, service: &mut Service, now: Instant) -> Option<hosts::Rollout> {
    let rollout = service.rollout.as_ref()?;
    let phase = service.versions.phase()?;
    let in_flight_old = if phase == Phase::Promoting {
        let count = in_flight_old(gateway, &rollout.order);
        let is_committed = service.versions.commit(rollout.order.id, count);
        (count > 0 || is_committed).then_some(count)
    } else {
        None
    };
    Some(hosts::Rollout {
        service: rollout.order.service.clone(),
        order: rollout.order.id,
        age_ms: rollout.window.elapsed_ms(now),
        phase,
        is_written: rollout.is_settled,
        in_flight_old,
    })
}

/// Adopts the age of an order that another host has known for longer: this one started later, or read the
/// order late.
fn adopt_age(gateway: &Gateway, rollout: &mut Rollout, now: Instant, age_ms: u64) {
    if age_ms <= rollout.window.elapsed_ms(now) + AGE_TOLERANCE_MS {
        return;
    }
    let Some(bounds) = gateway.options.borrow().features.rollout else {
        return;
    };
    rollout.window = Window::open(now, &rollout.order, age_ms);
    if rollout.origin == Origin::Started {
        let group = gateway.overview().group.clone();
        // A started host has no share of the tolerance, so a new ledger allows no more than the old one.
        rollout.ledger = Ledger::open(
            &rollout.order,
            rollout.window,
            &bounds,
            &group,
            rollout.origin,
        );
    }
    rollout.evidence = Evidence::open(rollout.window);
    rollout.decider = None;
    rollout.pending.clear();
}
