//! Measures cold starts: how many calls cold servers get beyond what they carry.
//!
//! What counts as evidence and as beyond: `docs/capacity-shares.md`.

use teaselchute::{
    core::{
        host,
        routing::policy::Policy,
        state::Roster, //
    },
    time::Instant,
};

use crate::{
    fleet::{
        Event, Fleet, Setting,
        callers::Ratio,
        hosts::{
            self,
            Host, //
        },
        plan::{
            HOSTS,
            SHAPES, //
        },
    },
    options::Options,
    overload::{
        VARIANTS,
        holds, //
    },
};

/// Load of the language models, in parts of a hundred of their capacity when warm.
const LOAD_PERCENT: u64 = 50;

/// Step at which the first zone stops.
const ZONE_DOWN: u64 = 600;

/// Step at which it comes back, all of it cold.
const ZONE_BACK: u64 = 700;

/// Step at which the log goes down, so that no roster is agreed on.
const LOG_DOWN: u64 = 1_000;

/// Step at which the log is back.
const LOG_UP: u64 = 1_150;

/// Part of full capacity at which a zone counts as full, in parts of a hundred.
const FULL_PERCENT: u64 = 90;

/// The agreed rosters, as the log would give them.
struct Agreement {
    roster: Roster,
    previous: Roster,
    /// Hosts that are proven gone, by number and life.
    gone: Vec<host::Id>,
}

/// What a run keeps beside the fleet.
struct State {
    agreement: Agreement,
    full_at: Option<u64>,
}

/// Runs the case and returns whether its bounds hold.
pub fn run(options: &Options) -> bool {
    let mut good = true;
    for seed in options.seed..options.seed + options.runs {
        for (policy, variant) in VARIANTS {
            let (fleet, full_at) = measure(seed, policy);
            print(seed, variant, policy, &fleet, full_at);
            if policy == Policy::Teaselchute {
                let over = fleet.sums.over_capacity as f64;
                good &= holds(seed, LOAD_PERCENT, "nothing over capacity", -over, 0.0);
            }
        }
    }
    good
}

fn measure(seed: u64, policy: Policy) -> (Fleet, Option<u64>) {
    let setting = Setting {
        policy,
        load_percent: LOAD_PERCENT,
        first_load_percent: LOAD_PERCENT / 2,
        from_ms: 40_000,
        until_ms: 160_000,
        end_ms: 180_000,
        report_lag_ms: 4_000,
        report_loss_permille: 300,
        silence_permille: 2,
        pause_permille: 1,
    };
    let mut fleet = Fleet::new(seed, setting);
    let first = fleet.hosts[0].view.roster.clone();
    let mut state = State {
        agreement: Agreement {
            roster: first,
            previous: Roster::default(),
            gone: Vec::new(),
        },
        full_at: None,
    };
    fleet.run(|fleet, step| {
        fault(fleet, &mut state, step);
        agree(fleet, &mut state.agreement, step);
        watch(fleet, &mut state, step);
    });
    (fleet, state.full_at)
}

fn fault(fleet: &mut Fleet, state: &mut State, step: u64) {
    match step {
        // One server after the other turns cold, by a restart or by losing its caches.
        450 | 470 | 490 | 510 | 530 => {
            let index = fleet.driver.draw(fleet.servers.len() as u64) as usize;
            fleet.stop_server(index, 200);
        }
        460 | 500 => {
            let number = fleet.driver.draw(SHAPES[0].servers as u64) as usize;
            let index = fleet.server(0, number);
            fleet.stop_server(index, 50);
        }
        480 | 880 => {
            let number = fleet.driver.draw(SHAPES[0].servers as u64) as usize;
            let index = fleet.server(0, number);
            fleet.cool_server(index);
        }
        ZONE_DOWN => stop_zone(fleet, (ZONE_BACK - ZONE_DOWN) * 100),
        // A server that restarts while its news are on their way, twice.
        900 | 905 => {
            let index = fleet.server(0, 3);
            fleet.stop_server(index, 100);
        }
        // The holder of slots is paused, and its members restart.
        950 | 1_200 | 1_300 => {
            let number = fleet.driver.draw(HOSTS as u64) as usize;
            let pause_ms = 3_000 + fleet.driver.draw(5_000);
            fleet.driver.pause(number + 1, pause_ms);
        }
        960 | 1_210 => {
            let number = fleet.driver.draw(SHAPES[0].servers as u64) as usize;
            let index = fleet.server(0, number);
            fleet.stop_server(index, 300);
        }
        // Two hosts crash, one while the log is down, and start again.
        990 => crash(fleet, state, 4),
        1_020 => crash(fleet, state, 7),
        1_010 => start(fleet, state, 4),
        1_060 => start(fleet, state, 7),
        1_400 => crash(fleet, state, 2),
        1_410 => start(fleet, state, 2),
        1_420 => stop_zone(fleet, 500),
        _ => {}
    }
}

fn stop_zone(fleet: &mut Fleet, down_ms: u64) {
    for index in 0..fleet.servers.len() {
        let process = fleet.servers[index].process;
        if fleet.driver.place(process).data_centre == 0 {
            fleet.stop_server(index, down_ms);
        }
    }
}

fn crash(fleet: &mut Fleet, state: &mut State, number: usize) {
    let id = fleet.hosts[number].view.own.id.clone();
    state.agreement.gone.push(id);
    fleet.driver.crash(number + 1);
    fleet.fail_requests_of(number + 1);
}

fn start(fleet: &mut Fleet, state: &State, number: usize) {
    let incarnation = fleet.hosts[number].incarnation + 1;
    let agreement = &state.agreement;
    let (roster, previous) = (agreement.roster.clone(), agreement.previous.clone());
    let view = fleet.view_of(number, incarnation, roster, previous);
    fleet.hosts[number] = Host::new(view);
    fleet.driver.start(number + 1);
    fleet.forget_evidence(number + 1);
    fleet.driver.put(0, number + 1, Event::Tick);
}

/// Plays the log: closes a roster that all have left, and agrees on the next one.
fn agree(fleet: &mut Fleet, agreement: &mut Agreement, step: u64) {
    if (LOG_DOWN..LOG_UP).contains(&step) || !step.is_multiple_of(5) {
        return;
    }
    let closing = !agreement.previous.members.is_empty();
    if closing {
        let left =
            agreement.previous.members.iter().all(|id| {
                agreement.gone.contains(id) || has_left(fleet, id, agreement.roster.epoch)
            });
        if !left {
            return;
        }
        agreement.previous = Roster::default();
    } else {
        let wanted = wanted(fleet);
        if wanted == agreement.roster.members {
            return;
        }
        agreement.previous = agreement.roster.clone();
        agreement.roster = Roster {
            epoch: agreement.roster.epoch + 1,
            members: wanted,
        };
    }
    spread(fleet, agreement);
}

/// Returns whether a host has shrunk its calls to the newest roster and said so.
fn has_left(fleet: &Fleet, id: &host::Id, epoch: u64) -> bool {
    fleet.hosts.iter().enumerate().any(|(number, host)| {
        host.view.own.id == *id
            && host.view.roster.epoch == epoch
            && !fleet.driver.is_paused(number + 1)
            && host.fits_share()
    })
}

/// Returns the hosts that run, by the lagging word of the host list.
fn wanted(fleet: &Fleet) -> Vec<host::Id> {
    let up = (0..HOSTS).filter(|number| fleet.driver.is_up(number + 1));
    up.map(|number| hosts::id(number, fleet.hosts[number].incarnation))
        .collect()
}

/// Brings the rosters to each host, late and to some of them very late.
fn spread(fleet: &mut Fleet, agreement: &Agreement) {
    for number in 0..HOSTS {
        if !fleet.driver.is_up(number + 1) {
            continue;
        }
        let (roster, previous) = (agreement.roster.clone(), agreement.previous.clone());
        let incarnation = fleet.hosts[number].incarnation;
        let view = fleet.view_of(number, incarnation, roster, previous);
        let slow = fleet.driver.chance(200);
        let lag_ms = 20 + fleet.driver.draw(if slow { 5_000 } else { 300 });
        let event = Event::View(Box::new(view));
        fleet.driver.put(lag_ms, number + 1, event);
    }
}

/// Notes when the zone that came back carries its full load again, as its hosts believe.
fn watch(fleet: &Fleet, state: &mut State, step: u64) {
    if step <= ZONE_BACK || state.full_at.is_some() {
        return;
    }
    let now = Instant::from_ms(step * 100);
    let mut full = 0;
    let mut reached = 0;
    for server in &fleet.servers {
        let zone = fleet.driver.place(server.process).data_centre == 0;
        if server.pool != 0 || !zone {
            continue;
        }
        let shape = &SHAPES[server.pool];
        full += u64::from(shape.full);
        let believed = believed(fleet, server.pool, server.number);
        let carried = server.capacity(now, shape);
        reached += u64::from(believed.map_or(carried, |it| it.min(carried)));
    }
    if reached * 100 >= full * FULL_PERCENT {
        state.full_at = Some((step - ZONE_BACK) * 100);
    }
}

/// Returns the slots of a server that our hosts may use together, nothing for the baselines.
fn believed(fleet: &Fleet, pool: usize, number: usize) -> Option<u32> {
    if fleet.setting.policy != Policy::Teaselchute {
        return None;
    }
    let pools = fleet.hosts.iter().filter_map(|host| host.pool(pool));
    let allowed = pools.map(|pool| {
        let mut servers = pool.servers();
        let name = format!("s{number:02}");
        let server = servers.find(|server| server.name.as_str() == name);
        server.map_or(0, |server| server.allowed(pool.bounds()))
    });
    Some(allowed.sum())
}

fn print(seed: u64, variant: &str, policy: Policy, fleet: &Fleet, full_at: Option<u64>) {
    let baseline = if policy == Policy::Teaselchute {
        ""
    } else {
        "\"baseline\":true,"
    };
    let mut all = Ratio::default();
    for request in &fleet.requests {
        if request.at.as_ms() >= fleet.setting.from_ms {
            all.add(request.in_time());
        }
    }
    let sums = &fleet.sums;
    let full = full_at.map_or("null".to_owned(), |ms| ms.to_string());
    println!(
        "{{\"case\":\"cold\",\"variant\":\"{variant}\",{baseline}\"seed\":{seed},\
         \"over_capacity\":{},\"before_evidence\":{},\"peak_over_limit\":{},\
         \"servers_fallen_over\":{},\"attainment\":{:.4},\"time_to_full_ms\":{full},\
         \"warm_up_ms\":{}}}",
        sums.over_capacity,
        sums.before_evidence,
        sums.peak_over_limit,
        sums.fell_over,
        all.part(),
        SHAPES[0].warm_up_ms,
    );
}
