//! The callers of the demo.

use std::{
    cell::RefCell,
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use ntex::{
    rt,
    time::sleep, //
};

use crate::stand_ins::{
    caller::{
        Caller,
        Outcome, //
    },
    cluster::CREDENTIAL,
    server::{
        Pace,
        whole_answer, //
    },
};

/// Requests of four stages.
pub const REQUESTS: usize = 200;

/// Orders.
pub const ORDERS: usize = 50;

/// Callers who send requests.
const SORTERS: usize = 20;

/// Callers who place orders.
const SHOPS: usize = 10;

/// Pause of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(1_200);

/// One order and how it ended.
pub struct Order {
    /// Its id.
    pub id: String,
    /// How it ended.
    pub outcome: Outcome,
}

/// How all requests and orders ended.
#[derive(Default)]
pub struct Results {
    /// Ids of the requests that were answered, each with its own whole answer.
    pub whole: Vec<String>,
    /// Requests that got an answer that isn't theirs.
    pub crossed: usize,
    /// Requests without an answer, and what was said of them.
    pub unanswered: Vec<(String, Outcome)>,
    /// All orders.
    pub orders: Vec<Order>,
}

/// Callers that run.
pub struct Load {
    tasks: Vec<rt::JoinHandle<()>>,
    results: Rc<RefCell<Results>>,
}

impl Load {
    /// Starts all callers, spread over the hosts that they know first.
    pub fn spawn(addresses: Vec<SocketAddr>, pace: Pace) -> Self {
        let results = Rc::<RefCell<Results>>::default();
        let mut tasks = Vec::new();
        for number in 0..SORTERS {
            let (known, results) = (rotated(&addresses, number), results.clone());
            tasks.push(rt::spawn(sort(number, known, pace, results)));
        }
        for number in 0..SHOPS {
            let (known, results) = (rotated(&addresses, number), results.clone());
            tasks.push(rt::spawn(shop(number, known, results)));
        }
        Self { tasks, results }
    }

    /// Waits until all callers are done.
    pub async fn join(self) -> Results {
        for task in self.tasks {
            task.await.expect("no caller panics");
        }
        self.results.take()
    }
}

fn rotated(addresses: &[SocketAddr], by: usize) -> Vec<SocketAddr> {
    let mut known = addresses.to_vec();
    known.rotate_left(by % addresses.len());
    known
}

async fn sort(number: usize, known: Vec<SocketAddr>, pace: Pace, results: Rc<RefCell<Results>>) {
    let caller = Caller::new(known, "sorters", CREDENTIAL).await;
    for lot in 0..REQUESTS / SORTERS {
        let id = format!("notes-{number}-{lot}");
        let body = format!(r#"{{"prompt":"Sorting notes for lot {lot} of sorter {number}."}}"#);
        let outcome = caller.ask("notes", &id, &body).await;
        note(&mut results.borrow_mut(), id, pace, outcome);
        sleep(PAUSE).await;
    }
}

fn note(results: &mut Results, id: String, pace: Pace, outcome: Outcome) {
    match outcome {
        Outcome::Answer(text) if text == whole_answer(&id, pace.pieces) => {
            results.whole.push(id);
        }
        Outcome::Answer(text) => {
            eprintln!("{id} got {text:?}");
            results.crossed += 1;
        }
        outcome => results.unanswered.push((id, outcome)),
    }
}

async fn shop(number: usize, known: Vec<SocketAddr>, results: Rc<RefCell<Results>>) {
    let caller = Caller::new(known, "sorters", CREDENTIAL).await;
    for order in 0..ORDERS / SHOPS {
        let own_id = format!("order-{number}-{order}");
        let body = format!(r#"{{"hides":{}}}"#, number + order);
        let (id, outcome) = caller.order("orders", &own_id, &body).await;
        results.borrow_mut().orders.push(Order { id, outcome });
        sleep(PAUSE * 2).await;
    }
}
