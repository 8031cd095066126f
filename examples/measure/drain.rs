//! Data centres, backend servers and entry hosts that leave and return: what it costs callers.

use std::collections::BTreeMap;

use teaselchute::{
    core::{
        membership,
        node::Policies,
        replica,
        state::{
            Record,
            Target, //
        },
    },
    names::Name,
    time::Instant,
};

use crate::{
    driver::{
        Network,
        world::{
            Plan,
            World,
            callers::Word,
            document::Shape,
            faults::{
                self,
                Faults, //
            }, //
        },
    },
    options::Options,
};

/// Time at the start in which hosts find each other, which isn't counted, in milliseconds.
const START_MS: u64 = 15_000;

/// Time under load, in milliseconds.
const LOAD_MS: u64 = 150_000;

/// Answered in deadline over asked, in parts of a thousand, that a plain drain must reach.
const SERVICE_PERMILLE: u64 = 999;

/// What leaves, and what else happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Scene {
    /// A data centre goes out, comes back, and goes out again.
    Plain,
    /// The same, with the log down from shortly after the acceptance on.
    LogOutage,
    /// The same, with a host paused over the acceptance.
    PausedHost,
    /// A backend server leaves.
    LeavingServer,
    /// An entry host leaves.
    LeavingHost,
}

const SCENES: [Scene; 5] = [
    Scene::Plain,
    Scene::LogOutage,
    Scene::PausedHost,
    Scene::LeavingServer,
    Scene::LeavingHost,
];

/// Measures all scenes, each with our policies and with host list and log alone.
pub fn measure(options: &Options) -> bool {
    let mut holds = true;
    for seed in options.seed..options.seed + options.runs {
        for scene in SCENES {
            holds &= measure_one(seed, scene, false);
            measure_one(seed, scene, true);
        }
    }
    holds
}

fn plan(seed: u64, baseline: bool) -> Plan {
    let mut policies = Policies::default();
    if baseline {
        policies.membership = membership::Policy::HostListOnly;
        policies.replica = replica::Policy::LogOnly;
    }
    Plan {
        seed,
        hosts: 9,
        duration_ms: LOAD_MS,
        settle_ms: 30_000,
        request_every_us: 50_000,
        orders_permille: 200,
        policies,
        network: Network::default(),
        faults: Faults::default(),
        document: Shape::co_operative(),
        encode_frames: false,
        trace: false,
    }
}

fn measure_one(seed: u64, scene: Scene, baseline: bool) -> bool {
    let mut world = World::new(plan(seed, baseline));
    stage(&mut world, scene);
    world.run();
    report(&world, seed, scene, baseline)
}

/// Schedules what happens. The times are such that each thing is over before the next begins.
fn stage(world: &mut World, scene: Scene) {
    let data_centre = world.driver.draw(3) as usize;
    let until = |ms| Instant::from_ms(ms);
    let drain = |world: &mut World, at_ms, out| {
        let delay_ms = at_ms - world.driver.now().as_ms();
        world.schedule(delay_ms, faults::Event::Drain(data_centre, out));
    };
    match scene {
        Scene::Plain => {
            for (at_ms, out) in [
                (20_000, true),
                (60_000, false),
                (90_000, true),
                (120_000, false),
            ] {
                drain(world, at_ms, out);
            }
        }
        Scene::LogOutage => {
            drain(world, 20_000, true);
            drain(world, 90_000, false);
            world.run_until(until(21_000));
            world.log.down = true;
            world.run_until(until(60_000));
            world.log.down = false;
        }
        Scene::PausedHost => {
            drain(world, 20_000, true);
            drain(world, 60_000, false);
            world.run_until(until(19_000));
            let host = world.driver.draw(9) as usize;
            world.driver.pause(host, 15_000);
        }
        Scene::LeavingServer => {
            world.run_until(until(20_000));
            let index = world.driver.draw(20);
            let pool = Name::from("generate");
            let server = Name::from(format!("generate-{index}"));
            let target = Target::BackendServer(pool, server);
            let again = target.clone();
            world.propose(|id| Record::Drain {
                id,
                target,
                drained: true,
            });
            world.run_until(until(80_000));
            world.propose(|id| Record::Drain {
                id,
                target: again,
                drained: false,
            });
        }
        Scene::LeavingHost => {
            for at_ms in [20_000, 60_000, 100_000] {
                world.run_until(until(at_ms));
                let host = world.driver.draw(9) as usize;
                world.leave(host);
            }
        }
    }
}

fn report(world: &World, seed: u64, scene: Scene, baseline: bool) -> bool {
    let deadline_ms = world.plan.document.deadline_ms;
    let mut asked = 0;
    let mut answered = 0;
    let mut others_told: BTreeMap<String, u64> = BTreeMap::new();
    for one in &world.callers.asked {
        if one.since.as_ms() < START_MS {
            continue;
        }
        asked += 1;
        let told = match &one.word {
            Some(Word::Answered(ms)) if *ms <= deadline_ms => {
                answered += 1;
                continue;
            }
            Some(Word::Answered(_)) => String::from("late"),
            Some(Word::NotRun(refusal)) => format!("not run: {:?}", refusal.code),
            Some(Word::MayHaveRun(refusal)) => format!("may have run: {:?}", refusal.code),
            None => String::from("no word"),
        };
        if std::env::var_os("MEASURE_TRACE").is_some() {
            eprintln!(
                "TRACE {scene:?} {} {} {told} {:?}",
                one.since.as_ms(),
                one.subject,
                one.word
            );
        }
        *others_told.entry(told).or_default() += 1;
    }
    let count = |promise| world.checks.count(promise);
    let new_work = count("new_work_in_drained_dc") + world.callers.named_leaving;
    let lost = count("lost") + count("interrupted");
    let others: u64 = world.checks.broken.values().sum::<u64>()
        - count("new_work_in_drained_dc")
        - count("lost")
        - count("interrupted");
    let service = answered as f64 / u64::max(asked, 1) as f64;
    let mut line = serde_json::json!({
        "case": "drain",
        "variant": if baseline { "host_list_and_log_alone" } else { "teaselchute" },
        "scene": format!("{scene:?}"),
        "seed": seed,
        "asked": asked,
        "new_work_after_5s": new_work,
        "lost": lost,
        "other_broken": others,
        "service": service,
        "unserved": others_told,
    });
    if baseline {
        line["baseline"] = true.into();
    }
    println!("{line}");
    if baseline {
        return true;
    }
    for text in &world.checks.texts {
        eprintln!("{text}");
    }
    let is_plain = matches!(
        scene,
        Scene::Plain | Scene::LeavingServer | Scene::LeavingHost
    );
    let serves = answered * 1_000 >= asked * SERVICE_PERMILLE;
    new_work == 0 && lost == 0 && others == 0 && (serves || !is_plain)
}
