//! Tests of claims and orders.

use std::sync::Arc;

use teaselchute::{
    core::{
        document::{
            BackendServer,
            Document,
            Kind,
            Model,
            Pool, //
        },
        host::{
            Host,
            Id, //
        },
        orders::{
            Action,
            Claims,
            Command, //
            Controller,
            Event,
            Holder,
            LoadedModel,
            Order,
            Outcome,
            Report,
        },
        view::{
            Health,
            Member,
            View, //
        },
    },
    names::Name,
    time::Instant,
};

const GROUP: &str = "generate/zone-a";
const MODEL: &str = "model";

fn host(index: usize, incarnation: u64) -> Host {
    Host {
        id: Id {
            name: Name::from(format!("entry-{index}")),
            incarnation,
        },
        data_centre: Name::from("zone-a"),
        region: Name::from("north"),
        http: ([127, 0, 0, 1], 1).into(),
        peer: ([127, 0, 0, 1], 2).into(),
        weight: 1,
    }
}

fn document(checks_fencing: bool) -> Document {
    let mut document = Document::default();
    let server = BackendServer {
        address: ([127, 0, 0, 1], 3).into(),
        data_centre: Name::from("zone-a"),
        checks_fencing,
        memory_mb: 100,
    };
    let pool = Pool {
        kind: Kind::Engine,
        cold_limit: 1,
        full_limit: 8,
        warm_up_ms: 1_000,
        call_timeout_ms: 1_000,
        price_milli: 0,
        servers: [(Name::from("engine"), Arc::new(server))].into(),
    };
    document
        .pools
        .insert(Name::from("generate"), Arc::new(pool));
    let model = Model {
        pool: Name::from("generate"),
        version: Name::from("v1"),
        adapters: Vec::new(),
        memory_mb: 40,
        weights_mb: 100,
        least_replicas: 1,
        pinned: Vec::new(),
        forbidden: Vec::new(),
    };
    document.models.insert(Name::from("model"), Arc::new(model));
    document
}

/// One controller of one engine, and the news that it has.
struct Bench {
    now: Instant,
    view: View,
    claims: Claims,
    controller: Controller,
    /// What the engine reports when it's read, `None` where it doesn't answer.
    report: Option<Report>,
    log_is_read: bool,
    orders: Vec<Order>,
    claimed: Vec<Option<u64>>,
    rules: Vec<String>,
}

impl Bench {
    fn new(checks_fencing: bool) -> Self {
        let own = host(0, 5);
        let member = Member {
            host: host(1, 1),
            health: Health::Alive,
            roster_epoch: 0,
            ticket_generation: 0,
            serving_since: Some(Instant::ZERO),
        };
        Self {
            now: Instant::from_ms(1_000),
            controller: Controller::new(own.id.clone(), 1),
            view: View {
                own,
                serving: true,
                serving_since: Some(Instant::ZERO),
                mutation: teaselchute::core::mutation::Mutation::None,
                leaving: false,
                document: Arc::new(document(checks_fencing)),
                position: Default::default(),
                fresh_at: Instant::ZERO,
                drained: Default::default(),
                roster: Default::default(),
                previous_roster: Default::default(),
                members: vec![member],
            },
            claims: Claims::default(),
            report: Some(report(&[])),
            log_is_read: true,
            orders: Vec::new(),
            claimed: Vec::new(),
            rules: Vec::new(),
        }
    }

    fn hold(&mut self, controller: Id, fence: u64) {
        let holder = Holder { controller, fence };
        self.claims.holders.insert(Name::from(GROUP), holder);
    }

    fn hold_self(&mut self, fence: u64) {
        self.hold(host(0, 5).id, fence);
    }

    fn run(&mut self, ms: u64) {
        for _ in 0..ms / 250 {
            self.now = self.now.after_ms(250);
            if self.log_is_read {
                self.view.fresh_at = self.now.before_ms(200);
            }
            self.step(Event::Tick);
        }
    }

    fn step(&mut self, event: Event) {
        for action in self
            .controller
            .step(self.now, &self.view, &self.claims, event)
        {
            match action {
                Action::Order(order) => self.orders.push(order),
                Action::Claim(claim) => self.claimed.push(claim.replaces),
                Action::Decide(decision) => self.rules.push(decision.rule.to_string()),
                Action::Read { pool, server } => {
                    let report = self.report.clone();
                    self.step(Event::Report {
                        pool,
                        server,
                        report,
                    });
                }
            }
        }
    }

    fn run_to_order(&mut self) {
        let given = self.orders.len();
        while self.orders.len() == given {
            self.run(250);
        }
    }

    fn answer(&mut self, outcome: Outcome) {
        let id = self.orders.last().expect("an order").id;
        self.step(Event::Answer { id, outcome });
    }
}

fn loaded(model: &str, version: &str) -> LoadedModel {
    LoadedModel {
        model: Name::from(model),
        version: Name::from(version),
        adapters: Vec::new(),
        ready: true,
    }
}

fn report(models: &[LoadedModel]) -> Report {
    Report {
        incarnation: 1,
        models: models.to_vec(),
        fence: None,
    }
}

#[test]
fn step_vacant_group_claimed_once() {
    let mut bench = Bench::new(true);
    bench.run(20_000);
    assert_eq!(bench.claimed, [None]);
    assert!(bench.orders.is_empty(), "a claim in flight is no claim");
}

#[test]
fn step_lost_claim_repeated_late() {
    let mut bench = Bench::new(true);
    bench.run(60_000);
    assert_eq!(bench.claimed, [None, None]);
}

#[test]
fn step_log_outage_claims_nothing() {
    let mut bench = Bench::new(true);
    bench.log_is_read = false;
    bench.run(600_000);
    assert!(bench.claimed.is_empty());
}

#[test]
fn step_silent_holder_replaced_late() {
    let mut bench = Bench::new(true);
    bench.hold(host(1, 1).id, 7);
    bench.view.members[0].health = Health::Suspect;
    bench.run(55_000);
    assert!(bench.claimed.is_empty());
    bench.run(30_000);
    assert_eq!(bench.claimed, [Some(7)]);
}

#[test]
fn step_holder_awake_again_keeps_claim() {
    let mut bench = Bench::new(true);
    bench.hold(host(1, 1).id, 7);
    for _ in 0..5 {
        bench.view.members[0].health = Health::Suspect;
        bench.run(50_000);
        bench.view.members[0].health = Health::Alive;
        bench.run(1_000);
    }
    assert!(bench.claimed.is_empty());
}

#[test]
fn step_own_former_life_replaced_at_once() {
    let mut bench = Bench::new(true);
    bench.hold(host(0, 4).id, 7);
    bench.run(6_000);
    assert_eq!(bench.claimed, [Some(7)]);
}

#[test]
fn step_leaving_host_orders_nothing() {
    let mut bench = Bench::new(true);
    bench.hold_self(3);
    bench.view.leaving = true;
    bench.run(60_000);
    assert!(bench.orders.is_empty() && bench.claimed.is_empty());
}

#[test]
fn step_paused_placement_orders_nothing() {
    let mut bench = Bench::new(true);
    bench.hold_self(3);
    let mut document = document(true);
    document.policies.placement_paused = true;
    bench.view.document = Arc::new(document);
    bench.run(60_000);
    assert!(bench.orders.is_empty());
}

#[test]
fn step_lost_answer_read_before_repeated() {
    let mut bench = Bench::new(true);
    bench.hold_self(3);
    bench.run_to_order();
    // The order took effect while its answer was lost: reading shows it.
    bench.report = Some(report(&[loaded("model", "v1")]));
    bench.run(60_000);
    assert_eq!(bench.orders.len(), 1);
    // The engine restarts without the model.
    bench.report = Some(report(&[]));
    bench.run(60_000);
    assert!(bench.orders.len() > 1);
    let wish = &bench.orders[1].command;
    assert_eq!(
        *wish, bench.orders[0].command,
        "orders name the wanted state"
    );
}

#[test]
fn step_fenced_order_stops() {
    let mut bench = Bench::new(true);
    bench.hold_self(3);
    bench.run_to_order();
    bench.answer(Outcome::Fenced { newer: 9 });
    bench.run(120_000);
    assert_eq!(bench.orders.len(), 1);
    assert!(
        bench
            .rules
            .iter()
            .any(|rule| rule == "engine_obeys_a_newer_claim")
    );
    // A claim of its own that is newer lets it go on.
    bench.hold_self(12);
    bench.run_to_order();
    assert_eq!(bench.orders[1].fence, 12);
}

#[test]
fn step_lost_claim_orders_nothing_more() {
    let mut bench = Bench::new(false);
    bench.hold_self(3);
    bench.run_to_order();
    bench.hold(host(1, 1).id, 4);
    bench.run(120_000);
    assert_eq!(bench.orders.len(), 1);
}

#[test]
fn step_unload_without_fresh_claim_withheld() {
    let mut bench = Bench::new(false);
    bench.report = Some(report(&[loaded("model", "v1"), loaded("forgotten", "v1")]));
    bench.hold_self(3);
    bench.run(2_000);
    bench.log_is_read = false;
    bench.run(120_000);
    assert!(bench.orders.is_empty());
    assert!(
        bench
            .rules
            .iter()
            .any(|rule| rule == "claim_not_freshly_confirmed")
    );
    bench.log_is_read = true;
    bench.run(10_000);
    assert!(matches!(bench.orders[0].command, Command::Unload { .. }));
}

#[test]
fn step_unload_at_checking_engine_in_outage() {
    let mut bench = Bench::new(true);
    bench.report = Some(report(&[loaded("model", "v1"), loaded("forgotten", "v1")]));
    bench.hold_self(3);
    bench.log_is_read = false;
    bench.run(60_000);
    assert!(matches!(bench.orders[0].command, Command::Unload { .. }));
}

#[test]
fn step_load_in_outage_goes_on_for_a_while() {
    let mut bench = Bench::new(false);
    bench.report = Some(report(&[loaded("model", "v1")]));
    bench.hold_self(3);
    bench.run(20_000);
    bench.log_is_read = false;
    bench.run(60_000);
    bench.report = Some(report(&[]));
    bench.run(30_000);
    assert!(matches!(bench.orders[0].command, Command::Load { .. }));
    let given = bench.orders.len();
    bench.run(600_000);
    let later = bench.orders.len();
    bench.run(600_000);
    assert!(later > given);
    assert_eq!(
        bench.orders.len(),
        later,
        "a claim not heard of for long ends"
    );
}

#[test]
fn step_ignoring_engine_read_after_settling() {
    let mut bench = Bench::new(false);
    bench.run(1_000);
    bench.hold_self(3);
    let held_at = bench.now;
    while bench.orders.is_empty() {
        bench.run(250);
    }
    assert!(bench.now.since_ms(held_at) >= 5_000);
}

#[test]
fn step_slept_holder_waits_for_news() {
    let mut bench = Bench::new(true);
    bench.report = Some(report(&[loaded("model", "v1")]));
    bench.hold_self(3);
    bench.run(20_000);
    // The log is down when it wakes, and somebody may have claimed the group meanwhile.
    bench.log_is_read = false;
    bench.now = bench.now.after_ms(100_000);
    bench.report = Some(report(&[]));
    bench.run(60_000);
    assert!(bench.orders.is_empty());
    bench.log_is_read = true;
    bench.run_to_order();
}

/// Makes a bench whose holder wants two models of 100 MB, which the weight store gives out in
/// `load_ms` each if one group alone loads.
fn loading(load_ms: u64) -> Bench {
    let mut bench = Bench::new(true);
    let mut document = document(true);
    let model = document.models[MODEL].clone();
    document.models.insert(Name::from("second"), model);
    document.policies.weight_store_mb_per_second = 100_000 / load_ms;
    bench.view.document = Arc::new(document);
    bench.hold_self(3);
    bench
}

/// Runs to the next order, lets the engine obey at once, and returns when it was given.
fn obeyed(bench: &mut Bench, now_loaded: &[LoadedModel]) -> Instant {
    bench.run_to_order();
    bench.report = Some(report(now_loaded));
    bench.answer(Outcome::Obeyed);
    bench.now
}

#[test]
fn step_loads_spaced_by_weight_store() {
    let mut bench = loading(20_000);
    let claimed_at = bench.now;
    let first = obeyed(&mut bench, &[loaded(MODEL, "v1")]);
    // A load of the holder before may have begun just before the claim.
    assert!(first.since_ms(claimed_at) >= 25_000);
    bench.run_to_order();
    let waited_ms = bench.now.since_ms(first);
    assert!((20_000..22_000).contains(&waited_ms), "{waited_ms}");
    let withheld = bench.rules.iter();
    let withheld = withheld.filter(|rule| *rule == "weight_store_share_in_use");
    assert_eq!(withheld.count(), 2, "each wait is told once");
}

#[test]
fn step_loads_spaced_by_share_of_groups() {
    let mut bench = loading(20_000);
    let mut document = (*bench.view.document).clone();
    let mut pool = (*document.pools["generate"]).clone();
    let mut other = (*pool.servers["engine"]).clone();
    other.data_centre = Name::from("zone-b");
    pool.servers.insert(Name::from("other"), Arc::new(other));
    document
        .pools
        .insert(Name::from("generate"), Arc::new(pool));
    bench.view.document = Arc::new(document);
    let first = obeyed(&mut bench, &[loaded(MODEL, "v1")]);
    bench.run_to_order();
    let waited_ms = bench.now.since_ms(first);
    assert!((40_000..42_000).contains(&waited_ms), "{waited_ms}");
}

#[test]
fn step_unload_not_spaced() {
    let mut bench = loading(20_000);
    bench.report = Some(report(&[loaded("forgotten", "v1")]));
    let claimed_at = bench.now;
    bench.run_to_order();
    assert!(matches!(bench.orders[0].command, Command::Unload { .. }));
    assert!(bench.now.since_ms(claimed_at) < 5_000);
}
