//! Tests of claims on groups of engines and of orders to engines.

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
            Command,
            Controller,
            Event,
            Holder,
            LoadedModel,
            Order,
            Outcome,
            Report, //
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

/// A controller of one engine, with the view and the claims that it sees.
struct Fixture {
    now: Instant,
    view: View,
    claims: Claims,
    controller: Controller,
    /// Report of the engine when it is read, `None` if it does not answer.
    report: Option<Report>,
    /// Whether the log is reachable, so that the view stays recent.
    is_log_reachable: bool,
    orders: Vec<Order>,
    /// Fencing number that each claim of the controller replaces.
    own_claims: Vec<Option<u64>>,
    /// Rule of each decision.
    decisions: Vec<String>,
}

impl Fixture {
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
            is_log_reachable: true,
            orders: Vec::new(),
            own_claims: Vec::new(),
            decisions: Vec::new(),
        }
    }

    fn set_holder(&mut self, controller: Id, fence: u64) {
        let holder = Holder { controller, fence };
        self.claims.holders.insert(Name::from(GROUP), holder);
    }

    fn set_own_claim(&mut self, fence: u64) {
        self.set_holder(host(0, 5).id, fence);
    }

    fn run(&mut self, ms: u64) {
        for _ in 0..ms / 250 {
            self.now = self.now.after_ms(250);
            if self.is_log_reachable {
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
                Action::Claim(claim) => self.own_claims.push(claim.replaces),
                Action::Decide(decision) => self.decisions.push(decision.rule.to_string()),
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
        let count_before = self.orders.len();
        while self.orders.len() == count_before {
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
    let mut fixture = Fixture::new(true);
    fixture.run(20_000);
    assert_eq!(fixture.own_claims, [None]);
    assert!(
        fixture.orders.is_empty(),
        "a claim in flight is not in force"
    );
}

#[test]
fn step_lost_claim_retried() {
    let mut fixture = Fixture::new(true);
    fixture.run(60_000);
    assert_eq!(fixture.own_claims, [None, None]);
}

#[test]
fn step_log_outage_claims_nothing() {
    let mut fixture = Fixture::new(true);
    fixture.is_log_reachable = false;
    fixture.run(600_000);
    assert!(fixture.own_claims.is_empty());
}

#[test]
fn step_suspect_holder_replaced_after_timeout() {
    let mut fixture = Fixture::new(true);
    fixture.set_holder(host(1, 1).id, 7);
    fixture.view.members[0].health = Health::Suspect;
    fixture.run(55_000);
    assert!(fixture.own_claims.is_empty());
    fixture.run(30_000);
    assert_eq!(fixture.own_claims, [Some(7)]);
}

#[test]
fn step_resumed_holder_keeps_claim() {
    let mut fixture = Fixture::new(true);
    fixture.set_holder(host(1, 1).id, 7);
    for _ in 0..5 {
        fixture.view.members[0].health = Health::Suspect;
        fixture.run(50_000);
        fixture.view.members[0].health = Health::Alive;
        fixture.run(1_000);
    }
    assert!(fixture.own_claims.is_empty());
}

#[test]
fn step_own_previous_incarnation_replaced_without_timeout() {
    let mut fixture = Fixture::new(true);
    fixture.set_holder(host(0, 4).id, 7);
    fixture.run(6_000);
    assert_eq!(fixture.own_claims, [Some(7)]);
}

#[test]
fn step_leaving_host_orders_nothing() {
    let mut fixture = Fixture::new(true);
    fixture.set_own_claim(3);
    fixture.view.leaving = true;
    fixture.run(60_000);
    assert!(fixture.orders.is_empty() && fixture.own_claims.is_empty());
}

#[test]
fn step_paused_placement_orders_nothing() {
    let mut fixture = Fixture::new(true);
    fixture.set_own_claim(3);
    let mut document = document(true);
    document.policies.placement_paused = true;
    fixture.view.document = Arc::new(document);
    fixture.run(60_000);
    assert!(fixture.orders.is_empty());
}

#[test]
fn step_lost_answer_engine_read_before_retry() {
    let mut fixture = Fixture::new(true);
    fixture.set_own_claim(3);
    fixture.run_to_order();
    // The order took effect although its answer was lost. A read shows this.
    fixture.report = Some(report(&[loaded("model", "v1")]));
    fixture.run(60_000);
    assert_eq!(fixture.orders.len(), 1);
    // The engine restarts without the model.
    fixture.report = Some(report(&[]));
    fixture.run(60_000);
    assert!(fixture.orders.len() > 1);
    let command = &fixture.orders[1].command;
    assert_eq!(
        *command, fixture.orders[0].command,
        "orders name the wanted state"
    );
}

#[test]
fn step_fenced_order_stops_until_newer_claim() {
    let mut fixture = Fixture::new(true);
    fixture.set_own_claim(3);
    fixture.run_to_order();
    fixture.answer(Outcome::Fenced { newer: 9 });
    fixture.run(120_000);
    assert_eq!(fixture.orders.len(), 1);
    assert!(
        fixture
            .decisions
            .iter()
            .any(|rule| rule == "engine_obeys_a_newer_claim")
    );
    // A newer claim of its own lets it issue orders again.
    fixture.set_own_claim(12);
    fixture.run_to_order();
    assert_eq!(fixture.orders[1].fence, 12);
}

#[test]
fn step_replaced_claim_orders_nothing_more() {
    let mut fixture = Fixture::new(false);
    fixture.set_own_claim(3);
    fixture.run_to_order();
    fixture.set_holder(host(1, 1).id, 4);
    fixture.run(120_000);
    assert_eq!(fixture.orders.len(), 1);
}

#[test]
fn step_unload_with_stale_claim_withheld() {
    let mut fixture = Fixture::new(false);
    fixture.report = Some(report(&[loaded("model", "v1"), loaded("forgotten", "v1")]));
    fixture.set_own_claim(3);
    fixture.run(2_000);
    fixture.is_log_reachable = false;
    fixture.run(120_000);
    assert!(fixture.orders.is_empty());
    assert!(
        fixture
            .decisions
            .iter()
            .any(|rule| rule == "claim_not_freshly_confirmed")
    );
    fixture.is_log_reachable = true;
    fixture.run(10_000);
    assert!(matches!(fixture.orders[0].command, Command::Unload { .. }));
}

#[test]
fn step_unload_in_outage_issued_to_fencing_engine() {
    let mut fixture = Fixture::new(true);
    fixture.report = Some(report(&[loaded("model", "v1"), loaded("forgotten", "v1")]));
    fixture.set_own_claim(3);
    fixture.is_log_reachable = false;
    fixture.run(60_000);
    assert!(matches!(fixture.orders[0].command, Command::Unload { .. }));
}

#[test]
fn step_load_in_outage_issued_until_staleness_limit() {
    let mut fixture = Fixture::new(false);
    fixture.report = Some(report(&[loaded("model", "v1")]));
    fixture.set_own_claim(3);
    fixture.run(20_000);
    fixture.is_log_reachable = false;
    fixture.run(60_000);
    fixture.report = Some(report(&[]));
    fixture.run(30_000);
    assert!(matches!(fixture.orders[0].command, Command::Load { .. }));
    let count_before = fixture.orders.len();
    fixture.run(600_000);
    let count_after = fixture.orders.len();
    fixture.run(600_000);
    assert!(count_after > count_before);
    assert_eq!(
        fixture.orders.len(),
        count_after,
        "a claim ends when the state is stale for too long"
    );
}

#[test]
fn step_non_fencing_engine_read_after_settle_time() {
    let mut fixture = Fixture::new(false);
    fixture.run(1_000);
    fixture.set_own_claim(3);
    let held_at = fixture.now;
    while fixture.orders.is_empty() {
        fixture.run(250);
    }
    assert!(fixture.now.since_ms(held_at) >= 5_000);
}

#[test]
fn step_resumed_holder_waits_for_recent_state() {
    let mut fixture = Fixture::new(true);
    fixture.report = Some(report(&[loaded("model", "v1")]));
    fixture.set_own_claim(3);
    fixture.run(20_000);
    // The log is unavailable when it resumes, and another host may have claimed the group
    // meanwhile.
    fixture.is_log_reachable = false;
    fixture.now = fixture.now.after_ms(100_000);
    fixture.report = Some(report(&[]));
    fixture.run(60_000);
    assert!(fixture.orders.is_empty());
    fixture.is_log_reachable = true;
    fixture.run_to_order();
}

/// Makes a fixture with two models of 100 MB to load, each of which takes `load_ms` if no other
/// group loads from the weight store.
fn two_model_fixture(load_ms: u64) -> Fixture {
    let mut fixture = Fixture::new(true);
    let mut document = document(true);
    let model = document.models[MODEL].clone();
    document.models.insert(Name::from("second"), model);
    document.policies.weight_store_mb_per_second = 100_000 / load_ms;
    fixture.view.document = Arc::new(document);
    fixture.set_own_claim(3);
    fixture
}

/// Runs to the next order, lets the engine obey it immediately, and returns when it was issued.
fn run_to_obeyed_order(fixture: &mut Fixture, now_loaded: &[LoadedModel]) -> Instant {
    fixture.run_to_order();
    fixture.report = Some(report(now_loaded));
    fixture.answer(Outcome::Obeyed);
    fixture.now
}

#[test]
fn step_loads_spaced_by_weight_store() {
    let mut fixture = two_model_fixture(20_000);
    let claimed_at = fixture.now;
    let first = run_to_obeyed_order(&mut fixture, &[loaded(MODEL, "v1")]);
    // A load of the previous holder may have started just before the claim.
    assert!(first.since_ms(claimed_at) >= 25_000);
    fixture.run_to_order();
    let waited_ms = fixture.now.since_ms(first);
    assert!((20_000..22_000).contains(&waited_ms), "{waited_ms}");
    let withheld = fixture.decisions.iter();
    let withheld = withheld.filter(|rule| *rule == "weight_store_share_in_use");
    assert_eq!(withheld.count(), 2, "each wait is logged once");
}

#[test]
fn step_loads_spaced_by_share_of_groups() {
    let mut fixture = two_model_fixture(20_000);
    let mut document = (*fixture.view.document).clone();
    let mut pool = (*document.pools["generate"]).clone();
    let mut other = (*pool.servers["engine"]).clone();
    other.data_centre = Name::from("zone-b");
    pool.servers.insert(Name::from("other"), Arc::new(other));
    document
        .pools
        .insert(Name::from("generate"), Arc::new(pool));
    fixture.view.document = Arc::new(document);
    let first = run_to_obeyed_order(&mut fixture, &[loaded(MODEL, "v1")]);
    fixture.run_to_order();
    let waited_ms = fixture.now.since_ms(first);
    assert!((40_000..42_000).contains(&waited_ms), "{waited_ms}");
}

#[test]
fn step_unload_not_spaced() {
    let mut fixture = two_model_fixture(20_000);
    fixture.report = Some(report(&[loaded("forgotten", "v1")]));
    let claimed_at = fixture.now;
    fixture.run_to_order();
    assert!(matches!(fixture.orders[0].command, Command::Unload { .. }));
    assert!(fixture.now.since_ms(claimed_at) < 5_000);
}
