//! How soon silent hosts are known, how often live ones are suspected, and what that costs.

use std::collections::BTreeMap;

use teaselchute::{
    core::{
        host::{
            Host,
            Id, //
        },
        membership::{
            Action,
            Event as Told,
            Membership,
            Message,
            Policy,
            Registration, //
        },
        view::Health, //
    },
    names::Name,
    time::Instant,
    wire,
};

use crate::{
    driver::{
        Driver,
        Network,
        Place,
        Process, //
    },
    options::Options,
};

/// Counts of hosts that are measured.
const HOSTS: [usize; 4] = [9, 30, 90, 390];

/// Count of regions, to which hosts are dealt in turn.
const REGIONS: usize = 3;

/// Time of one run, in milliseconds.
const RUN_MS: u64 = 180_000;

/// Time at the start that isn't measured, in milliseconds.
const START_MS: u64 = 20_000;

/// Time between two ticks, in milliseconds.
const TICK_MS: u64 = 50;

/// Time after which a crash is known to the platform's host list, in milliseconds.
const LIST_LAG_MS: u64 = 15_000;

/// Time between two reads of the host list, in milliseconds.
const LIST_POLL_MS: u64 = 5_000;

/// Time between two faults, in milliseconds.
const FAULT_EVERY_MS: u64 = 8_000;

/// Time after which a crashed host is started again, in milliseconds.
const RESTART_MS: u64 = 30_000;

/// Time after a pause or cut for which suspicions may still come from it, in milliseconds.
const AFTERMATH_MS: u64 = 4_000;

/// Bytes of a frame's tag and of the UDP and IP headers.
const OVERHEAD_BYTES: u64 = 32 + 28;

/// Longest time until all hosts know of a crash, in milliseconds.
const DETECTION_LIMIT_MS: u64 = 5_000;

/// Bytes a second that all control together may send on one host.
const BYTES_LIMIT: u64 = 11_000;

/// Processor time that all control together may take on one host, in microseconds a second.
const CPU_LIMIT_US: u64 = 14_000;

#[derive(Clone)]
enum Event {
    Tick,
    List,
    Told(Box<Told>),
    Fault,
    Restart,
}

#[derive(Default)]
struct Seen {
    /// When a host that is down crashed.
    crashed: BTreeMap<Process, Instant>,
    /// Until when suspicions of a host are right.
    excused: BTreeMap<Process, Instant>,
    detections: Vec<u64>,
    missed: u64,
    suspicions: u64,
    false_suspicions: u64,
    bytes: u64,
    frames: u64,
    largest_datagram: usize,
    spent: std::time::Duration,
}

/// Frames from one region to another are lost.
struct Cut {
    from: usize,
    to: usize,
    since: Instant,
    until: Instant,
}

struct Run {
    driver: Driver<Event>,
    policy: Policy,
    seed: u64,
    hosts: Vec<Host>,
    memberships: Vec<Membership>,
    lists: Vec<(Instant, Vec<Registration>)>,
    /// Who is known to be silent by whom.
    known: BTreeMap<(Process, Process), Instant>,
    faults: bool,
    cuts: Vec<Cut>,
    operator: Process,
    seen: Seen,
}

/// Measures all counts of hosts with and without faults, and the host list alone.
pub fn measure(options: &Options) -> bool {
    let mut holds = true;
    for seed in options.seed..options.seed + options.runs {
        for count in HOSTS {
            holds &= measure_one(seed, count, Policy::Gossip, false);
            holds &= measure_one(seed, count, Policy::Gossip, true);
            measure_one(seed, count, Policy::HostListOnly, true);
        }
    }
    holds
}

fn measure_one(seed: u64, count: usize, policy: Policy, faults: bool) -> bool {
    let mut run = Run::new(seed, count, policy, faults);
    run.run();
    run.report(count)
}

impl Run {
    fn new(seed: u64, count: usize, policy: Policy, faults: bool) -> Self {
        let mut network = Network::default();
        if faults {
            network.loss_permille = 10;
            network.double_permille = 10;
            network.hold_permille = 10;
        }
        let mut driver = Driver::new(seed, network);
        for index in 0..count {
            let region = index % REGIONS;
            // From 30 hosts on there are two data centres in each region.
            let data_centre = if count < 30 { region } else { index % 6 };
            driver.add(Place {
                region,
                data_centre,
            });
        }
        let operator = driver.add(Place::default());
        let hosts: Vec<Host> = (0..count).map(|index| host(&driver, index, 1)).collect();
        let memberships = hosts
            .iter()
            .map(|host| Membership::new(host.clone(), policy, seed))
            .collect();
        let mut run = Self {
            driver,
            policy,
            seed,
            hosts,
            memberships,
            lists: Vec::new(),
            known: BTreeMap::new(),
            faults,
            cuts: Vec::new(),
            operator,
            seen: Seen::default(),
        };
        run.change_list();
        for index in 0..count {
            let offset_ms = run.driver.draw(TICK_MS);
            run.driver.put(offset_ms, index, Event::Tick);
            run.driver.put(offset_ms, index, Event::List);
        }
        let first_ms = START_MS + FAULT_EVERY_MS;
        run.driver.put(first_ms, operator, Event::Fault);
        run
    }

    fn change_list(&mut self) {
        let now = self.driver.now();
        let listed = |index: Process| Registration {
            host: self.hosts[index].clone(),
            leaving: false,
        };
        let up = (0..self.hosts.len()).filter(|index| self.driver.is_up(*index));
        let list = up.map(listed).collect();
        self.lists.push((now, list));
    }

    fn run(&mut self) {
        let end = Instant::from_ms(RUN_MS);
        while let Some((process, event)) = self.driver.next(end) {
            match event {
                Event::Tick => {
                    self.driver.put(TICK_MS, process, Event::Tick);
                    self.step(process, Told::Tick);
                    self.observe(process);
                }
                Event::List => {
                    self.driver.put(LIST_POLL_MS, process, Event::List);
                    let until = self.driver.now().before_ms(LIST_LAG_MS);
                    let index = self.lists.iter().rposition(|(at, _)| *at <= until);
                    let list = self.lists[index.unwrap_or(0)].1.clone();
                    self.step(process, Told::HostList(list));
                }
                Event::Told(told) => self.step(process, *told),
                Event::Fault => self.fault(),
                Event::Restart => self.restart(),
            }
        }
        self.seen.missed += self.seen.crashed.len() as u64;
    }

    fn step(&mut self, process: Process, told: Told) {
        if !self.driver.is_up(process) {
            return;
        }
        let now = self.driver.now();
        let started = std::time::Instant::now();
        let actions = self.memberships[process].step(now, told);
        let spent = started.elapsed();
        if now.as_ms() >= START_MS {
            self.seen.spent += spent;
        }
        for action in actions {
            match action {
                Action::Send { to, message } => self.send(process, &to, message),
                Action::Decide(decision) => {
                    if decision.rule.as_str() == "suspect_silent" {
                        self.suspected(process, &decision.subject);
                    }
                }
            }
        }
    }

    fn send(&mut self, process: Process, to: &Host, message: Message) {
        let Some(target) = self
            .hosts
            .iter()
            .position(|host| host.id.name == to.id.name)
        else {
            return;
        };
        let frame = wire::Frame {
            from: self.hosts[process].clone(),
            to: to.id.clone(),
            message: wire::Message::Membership(message),
        };
        if self.driver.now().as_ms() >= START_MS {
            let bytes = postcard::to_stdvec(&frame).map_or(0, |bytes| bytes.len());
            self.seen.bytes += bytes as u64 + OVERHEAD_BYTES;
            self.seen.frames += 1;
            let wire::Message::Membership(message) = &frame.message else {
                return;
            };
            if !matches!(message, Message::Table { .. }) {
                self.seen.largest_datagram = self.seen.largest_datagram.max(bytes);
            }
        }
        // A frame for a life that is over is dropped on arrival.
        if self.hosts[target].id != to.id {
            return;
        }
        let wire::Message::Membership(message) = frame.message else {
            return;
        };
        let told = Told::Message {
            from: frame.from,
            message,
        };
        self.driver
            .send(process, target, Event::Told(Box::new(told)));
    }

    /// Counts a suspicion, which is false where its subject could answer.
    fn suspected(&mut self, process: Process, subject: &Name) {
        let now = self.driver.now();
        if now.as_ms() < START_MS {
            return;
        }
        self.seen.suspicions += 1;
        let target = self.hosts.iter().position(|host| host.id.name == *subject);
        let Some(target) = target else { return };
        let excused = self.seen.excused.get(&target).copied();
        let is_right = !self.driver.is_up(target)
            || self.driver.is_paused(target)
            || excused.is_some_and(|until| until >= now)
            || (0..=AFTERMATH_MS / 250)
                .any(|step| !self.could_hear(process, target, now.before_ms(250 * step)));
        if !is_right {
            self.seen.false_suspicions += 1;
            self.trace(&format!("{process} suspects {target}"));
        }
    }

    fn trace(&self, text: &str) {
        if std::env::var_os("MEASURE_TRACE").is_some() {
            eprintln!("{} ms: {text}", self.driver.now().as_ms());
        }
    }

    /// Returns whether two hosts could hear each other, directly or through one other host, at an
    /// instant.
    fn could_hear(&self, one: Process, other: Process, at: Instant) -> bool {
        let (one, other) = (one % REGIONS, other % REGIONS);
        let is_open = |from: usize, to: usize| {
            let cut = self
                .cuts
                .iter()
                .any(|cut| cut.from == from && cut.to == to && cut.since <= at && cut.until >= at);
            !cut
        };
        let is_joined = |from, to| is_open(from, to) && is_open(to, from);
        (0..REGIONS).any(|relay| is_joined(one, relay) && is_joined(relay, other))
    }

    /// Notes which crashed hosts a host no longer holds for alive.
    fn observe(&mut self, process: Process) {
        let now = self.driver.now();
        let crashed: Vec<(Process, Instant)> = self
            .seen
            .crashed
            .iter()
            .map(|(at, it)| (*at, *it))
            .collect();
        for (target, at) in crashed {
            if self.known.contains_key(&(process, target)) {
                continue;
            }
            let id = &self.hosts[target].id;
            let members = self.memberships[process].members();
            let index = members.binary_search_by(|member| member.host.id.cmp(id));
            let is_alive = index.is_ok_and(|index| members[index].health == Health::Alive);
            if !is_alive {
                self.known.insert((process, target), now);
                // Whoever slept meanwhile could not know sooner.
                let excused = self.seen.excused.get(&process);
                if excused.is_none_or(|until| *until < at) {
                    let took_ms = now.since_ms(at);
                    self.seen.detections.push(took_ms);
                    if took_ms > DETECTION_LIMIT_MS && self.policy == Policy::Gossip {
                        let text = format!("{process} learnt after {took_ms} ms of {target}");
                        self.trace(&text);
                    }
                }
            }
        }
    }

    fn fault(&mut self) {
        self.driver.put(FAULT_EVERY_MS, self.operator, Event::Fault);
        if self.driver.now().as_ms() + 2 * LIST_LAG_MS > RUN_MS {
            return;
        }
        let count = self.hosts.len() as u64;
        let target = self.driver.draw(count) as usize;
        if !self.driver.is_up(target) || self.driver.is_paused(target) {
            return;
        }
        let kind = self.driver.draw(3);
        if kind == 0 || !self.faults {
            self.crash(target);
        } else if kind == 1 {
            let for_ms = 500 + self.driver.draw(15_000);
            self.driver.pause(target, for_ms);
            let until = self.driver.now().after_ms(for_ms + AFTERMATH_MS);
            self.seen.excused.insert(target, until);
        } else {
            self.cut();
        }
    }

    fn crash(&mut self, target: Process) {
        self.driver.crash(target);
        let now = self.driver.now();
        self.seen.crashed.insert(target, now);
        self.change_list();
        // The event waits at the operator, since it would be dropped at the crashed process.
        self.driver.put(RESTART_MS, self.operator, Event::Restart);
    }

    fn cut(&mut self) {
        let from = self.driver.draw(REGIONS as u64) as usize;
        let to = (from + 1 + self.driver.draw(2) as usize) % REGIONS;
        let for_ms = 1_000 + self.driver.draw(20_000);
        let now = self.driver.now();
        let until = now.after_ms(for_ms);
        let since = now;
        self.cuts.push(Cut {
            from,
            to,
            since,
            until,
        });
        let place = |region| Place {
            region,
            data_centre: region,
        };
        self.driver.cut(place(from), place(to), for_ms);
        if self.driver.chance(500) {
            self.driver.cut(place(to), place(from), for_ms);
            let (from, to) = (to, from);
            self.cuts.push(Cut {
                from,
                to,
                since,
                until,
            });
        }
    }

    /// Starts the host that has been down for longest, in a new life.
    fn restart(&mut self) {
        let longest = self.seen.crashed.iter().min_by_key(|(_, at)| **at);
        let Some(target) = longest.map(|(target, _)| *target) else {
            return;
        };
        for process in 0..self.hosts.len() {
            let knows = self.known.remove(&(process, target)).is_some();
            let could = self.driver.is_up(process) && !self.driver.is_paused(process);
            if could && !knows {
                self.seen.missed += 1;
            }
        }
        self.seen.crashed.remove(&target);
        let incarnation = self.hosts[target].id.incarnation + 1;
        self.hosts[target] = host(&self.driver, target, incarnation);
        let seed = self.seed ^ incarnation;
        let membership = Membership::new(self.hosts[target].clone(), self.policy, seed);
        self.memberships[target] = membership;
        self.driver.start(target);
        let until = self.driver.now().after_ms(AFTERMATH_MS);
        self.seen.excused.insert(target, until);
        self.change_list();
        self.driver.put(0, target, Event::Tick);
        self.driver.put(0, target, Event::List);
    }

    fn report(mut self, count: usize) -> bool {
        self.seen.detections.sort_unstable();
        let detections = &self.seen.detections;
        let p50 = detections.get(detections.len() / 2).copied();
        let max = detections.last().copied();
        let host_seconds = count as u64 * (RUN_MS - START_MS) / 1_000;
        let bytes = self.seen.bytes / host_seconds;
        let cpu_us = self.seen.spent.as_micros() as f64 / host_seconds as f64;
        let is_ours = self.policy == Policy::Gossip;
        let mut line = serde_json::json!({
            "case": "membership",
            "variant": if is_ours { "teaselchute" } else { "host_list_alone" },
            "seed": self.seed,
            "hosts": count,
            "faults": self.faults,
            "detection_p50_ms": p50,
            "detection_max_ms": max,
            "detections": detections.len(),
            "missed": self.seen.missed,
            "suspicions": self.seen.suspicions,
            "false_suspicions": self.seen.false_suspicions,
            "bytes_per_host_per_s": bytes,
            "frames_per_host_per_s": self.seen.frames as f64 / host_seconds as f64,
            "largest_datagram_bytes": self.seen.largest_datagram,
            "cpu_us_per_host_per_s": (cpu_us * 10.0).round() / 10.0,
        });
        if !is_ours {
            line["baseline"] = true.into();
        }
        println!("{line}");
        if !is_ours {
            return true;
        }
        max.is_none_or(|max| max <= DETECTION_LIMIT_MS)
            && self.seen.missed == 0
            && bytes <= BYTES_LIMIT
            && cpu_us <= CPU_LIMIT_US as f64
            && self.seen.largest_datagram <= wire::MAX_DATAGRAM_BYTES
            && (self.faults || self.seen.false_suspicions == 0)
    }
}

fn host(driver: &Driver<Event>, index: Process, incarnation: u64) -> Host {
    let place = driver.place(index);
    let address = |port| {
        let [.., high, low] = (index as u32).to_be_bytes();
        std::net::SocketAddr::from(([10, 0, high, low], port))
    };
    Host {
        id: Id {
            name: Name::from(format!("entry-{index:03}")),
            // The size of a time in microseconds.
            incarnation: 1_700_000_000_000_000 + incarnation,
        },
        data_centre: Name::from(format!("data-centre-{}", place.data_centre)),
        region: Name::from(format!("region-{}", place.region)),
        http: address(8_080),
        peer: address(7_070),
        weight: 1,
    }
}
