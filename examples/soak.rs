//! Randomised runs of whole nodes under all faults together: `soak --seed N --runs M`.

#[path = "driver/mod.rs"]
mod driver;

use std::process::ExitCode;

use driver::{
    Network,
    world::{
        Plan,
        World,
        document::Shape,
        faults::{
            ALL,
            Faults, //
        }, //
    },
};
use teaselchute::core::node::Policies;

fn plan(seed: u64, hosts: usize, minutes: u64) -> Plan {
    Plan {
        seed,
        hosts,
        duration_ms: minutes * 60_000,
        settle_ms: 90_000,
        request_every_us: 25_000,
        orders_permille: 300,
        policies: Policies::default(),
        network: Network {
            loss_permille: 20,
            double_permille: 20,
            hold_permille: 20,
            ..Network::default()
        },
        faults: Faults {
            every_ms: 4_000,
            kinds: ALL.to_vec(),
            lost_append_permille: 50,
            late_append_permille: 50,
            silent_permille: 10,
            server_fail_permille: 10,
            change_every_ms: 5_000,
        },
        document: Shape::co_operative(),
        trace: false,
    }
}

fn main() -> ExitCode {
    let mut world = World::new(plan(1, 9, 2));
    world.run();
    for text in &world.checks.texts {
        println!("{text}");
    }
    println!(
        "{:?} {:?} {}",
        world.checks.broken, world.driver.faults, world.driver.events
    );
    ExitCode::SUCCESS
}
