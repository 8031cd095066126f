//! A whole small system in one process: stand-ins, three entry hosts, callers, and what must hold.
//!
//! 200 requests of four stages and 50 orders run over real sockets while one data centre is taken
//! out and brought back and one entry host leaves. Exits with 0 only if all that must hold held.

#[path = "../../tests/stand_ins/mod.rs"]
mod stand_ins;

mod load;
mod report;

use std::{
    process::ExitCode,
    rc::Rc,
    thread,
    time::Duration, //
};

use ntex::{
    rt::{
        DefaultRuntime,
        System, //
    },
    time::sleep, //
};
use teaselchute::options::config::Limits;

use load::Load;
use report::Report;
use stand_ins::{
    cluster::Cluster,
    server::Pace, //
};

/// Index of the data centre that is taken out.
const DRAINED: usize = 1;

/// Index of the host that leaves.
const LEAVING: usize = 2;

/// Time for which all data centres serve before one is taken out.
const BEFORE: Duration = Duration::from_secs(3);

/// Time in which a drain has to be in force.
const IN_FORCE: Duration = Duration::from_secs(3);

/// Time for which the drained data centre is watched.
const WATCHED: Duration = Duration::from_secs(3);

/// Pace of the backend servers, slow enough for all to happen at once.
const PACE: Pace = Pace {
    call_ms: 10,
    pieces: 20,
    piece_ms: 10,
    pad_bytes: 0,
};

fn main() -> ExitCode {
    System::new("demo", DefaultRuntime).block_on(async {
        let report = demo().await;
        report.print();
        if report.holds() {
            ExitCode::SUCCESS
        } else {
            ExitCode::FAILURE
        }
    })
}

async fn demo() -> Report {
    let cluster = Rc::new(Cluster::start(PACE, Limits::default()).await);
    let addresses = cluster.addresses();
    println!("Three entry hosts serve at {addresses:?}.");
    let load = Load::spawn(addresses.clone(), PACE);
    sleep(BEFORE).await;

    let name = stand_ins::cluster::DATA_CENTRES[DRAINED].0;
    cluster.drain(addresses[0], "out", name, true).await;
    sleep(IN_FORCE).await;
    let before = cluster.calls_in(name);
    println!("{name} is taken out, after {before} calls there.");
    sleep(WATCHED).await;
    let new_work_in_drained_dc = cluster.calls_in(name) - before;
    cluster.drain(addresses[0], "back", name, false).await;
    println!("{name} is back, after {new_work_in_drained_dc} calls while it was out.");

    let leaving = cluster.daemons[LEAVING].addresses().http;
    println!("The entry host at {leaving} leaves.");
    let left = leave(&cluster).await;
    println!("It has left, with {left} requests unfinished.");

    let results = load.join().await;
    let calls_after_return = cluster.calls_in(name) - before;
    report::print_why(&cluster, &results).await;
    Report::new(
        &results,
        &cluster.orders(),
        new_work_in_drained_dc,
        calls_after_return,
        left,
    )
}

/// Leaves on a thread of its own and returns how many requests were left unfinished.
async fn leave(cluster: &Rc<Cluster>) -> usize {
    let daemon = cluster.daemons[LEAVING].clone();
    let leaving = thread::spawn(move || daemon.leave().unfinished);
    while !leaving.is_finished() {
        sleep(Duration::from_millis(50)).await;
    }
    leaving.join().unwrap_or(usize::MAX)
}
