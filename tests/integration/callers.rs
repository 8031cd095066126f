//! Many callers at once, in the middle of streams and orders while something fails.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc, //
};

use ntex::rt;

use crate::stand_ins::{
    caller::{
        Caller,
        Outcome, //
    },
    cluster::{
        CREDENTIAL,
        Cluster, //
    },
    server::Pace,
};

/// Slow enough that a failure comes in the middle.
pub const SLOW: Pace = Pace {
    call_ms: 20,
    pieces: 25,
    piece_ms: 20,
    pad_bytes: 0,
};

const ASKS: usize = 18;

const ORDERS: usize = 12;

type Ends = Rc<RefCell<Vec<(String, Outcome)>>>;

/// Callers in the middle of streams and orders.
pub struct Callers {
    pace: Pace,
    tasks: Vec<rt::JoinHandle<()>>,
    asks: Ends,
    orders: Ends,
}

impl Callers {
    /// Starts them, with something else to connect to in place of some hosts.
    pub fn spawn(
        pace: Pace,
        addresses: &[SocketAddr],
        detours: &BTreeMap<SocketAddr, SocketAddr>,
    ) -> Self {
        let (asks, orders) = (Ends::default(), Ends::default());
        let mut tasks = Vec::new();
        for number in 0..ASKS + ORDERS {
            let mut known = addresses.to_vec();
            known.rotate_left(number % addresses.len());
            let (asks, orders) = (asks.clone(), orders.clone());
            let detours = detours.clone();
            tasks.push(rt::spawn(async move {
                let caller = Caller::new(known, "sorters", CREDENTIAL).await;
                let caller = caller.with_detours(detours);
                if number < ASKS {
                    let id = format!("ask-{number}");
                    let outcome = caller.ask("notes", &id, r#"{"prompt":"lot"}"#).await;
                    asks.borrow_mut().push((id, outcome));
                } else {
                    let own_id = format!("order-{number}");
                    let ended = caller.order("orders", &own_id, r#"{"hides":1}"#).await;
                    orders.borrow_mut().push(ended);
                }
            }));
        }
        Self {
            pace,
            tasks,
            asks,
            orders,
        }
    }

    /// Waits for all, checks that each has its whole answer or a true word, and returns how the
    /// orders ended.
    pub async fn check(self, cluster: &Cluster) -> Vec<(String, Outcome)> {
        for task in self.tasks {
            task.await.expect("no caller panics");
        }
        for (id, outcome) in self.asks.take() {
            let whole = self.pace.whole_answer(&id);
            assert_eq!(outcome, Outcome::Answer(whole), "{id}");
        }
        let ran = cluster.orders();
        assert!(ran.values().all(|count| *count == 1), "{ran:?}");
        let orders = self.orders.take();
        for (id, outcome) in &orders {
            let has_run = ran.contains_key(id);
            match outcome {
                Outcome::Answer(_) => assert!(has_run, "{id} was answered and never ran"),
                Outcome::NotRun(why) => assert!(!has_run, "{id} ran, and not by word: {why}"),
                Outcome::MayHaveRun(_) => {}
                Outcome::Nothing => panic!("{id} got no word"),
            }
        }
        orders
    }
}
