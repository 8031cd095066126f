//! How soon an accepted change is in force everywhere, and whether it ever reverts.
//!
//! Replicas run alone with the fake log. A host's time counts while it can reach the log or a host
//! that has the change; what had to wait for a cut, a pause or an outage to end is counted apart.

use std::collections::BTreeMap;

use serde::Serialize;
use teaselchute::{
    core::{
        document::{
            Edit,
            Organisation, //
        },
        replica::{
            Answer,
            Policy,
            Requester, //
        },
        state::{
            Change,
            Position,
            Record,
            Target,
            Verdict, //
        },
    },
    names::Name,
    time::Instant, //
};

use crate::{
    driver::{
        Network,
        Process,
        replicas::Replicas, //
    },
    options::Options, //
};

/// Longest time in which an accepted change has to be in force, in milliseconds.
const IN_FORCE_LIMIT_MS: u64 = 5_000;

/// Time with all kinds of faults, in milliseconds.
const FAULTS_MS: u64 = 120_000;

/// Time of the last part, without faults, in milliseconds.
const SETTLE_MS: u64 = 40_000;

/// Time between two looks at all hosts, in milliseconds.
const LOOK_MS: u64 = 50;

/// Time between two looks at records that are in force everywhere, in milliseconds.
const SETTLED_LOOK_MS: u64 = 1_000;

/// Mean time between two faults, in milliseconds.
const FAULT_EVERY_MS: u64 = 3_000;

/// Mean time between two times at which operators act, in milliseconds.
const CHANGE_EVERY_MS: u64 = 1_500;

/// Time between two replacements, in milliseconds, over all hosts.
const REPLACE_ALL_MS: u64 = 60_000;

/// Time after which a trace tells of a change that isn't in force yet, in milliseconds.
const SLOW_MS: u64 = 2_000;

/// Chance in a thousand that the log comes back shorter from an outage.
const SHORTER_PERMILLE: u64 = 200;

/// The environment that operators change.
const ENVIRONMENT: &str = "production";

/// What the run itself does at its time.
enum Own {
    Look,
    Fault,
    Change,
    LogBack,
    Start(Process),
    Replace,
}

/// One line of results.
#[derive(Default, Serialize)]
struct Line {
    case: &'static str,
    variant: &'static str,
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    baseline: bool,
    seed: u64,
    hosts: usize,
    accepted: usize,
    reverted: usize,
    false_accepts: usize,
    false_refusals: usize,
    unknown: usize,
    in_force_p50_ms: u64,
    in_force_max_ms: u64,
    after_heal_max_ms: u64,
    not_in_force_at_end: usize,
    start_p50_ms: u64,
    start_max_ms: u64,
    faults: BTreeMap<&'static str, u64>,
}

/// A proposal of an operator.
struct Proposal {
    requester: Requester,
    record: Record,
}

/// A run with what was seen of it.
struct Run {
    replicas: Replicas,
    agenda: BTreeMap<(Instant, u64), Own>,
    agenda_number: u64,
    quiet: bool,
    proposals: Vec<Proposal>,
    number: u64,
    /// When a host became able to get a change, while it lacks it.
    able_since: BTreeMap<(Process, Name), Instant>,
    /// Hosts and lives that have a change in force.
    in_force: BTreeMap<(Process, Name), u64>,
    /// Highest position of each life.
    highest: BTreeMap<(Process, u64), Position>,
    started: BTreeMap<Process, Instant>,
    replaced: usize,
    in_force_ms: Vec<u64>,
    after_heal_ms: Vec<u64>,
    start_ms: Vec<u64>,
    reverted: usize,
}

/// Measures both variants for 9 and for 60 hosts.
pub fn run(options: &Options) -> bool {
    let mut holds = true;
    for seed in options.seed..options.seed + options.runs {
        for hosts in [9, 60] {
            for policy in [Policy::Teaselchute, Policy::LogOnly] {
                let line = Run::new(seed, hosts, policy).measure(seed, policy);
                let text = serde_json::to_string(&line).expect("a line is JSON");
                println!("{text}");
                holds &= line.baseline || line.holds();
            }
        }
    }
    holds
}

impl Line {
    fn holds(&self) -> bool {
        let wrong =
            self.reverted + self.false_accepts + self.false_refusals + self.not_in_force_at_end;
        wrong == 0 && self.in_force_max_ms <= IN_FORCE_LIMIT_MS && self.accepted > 0
    }
}

impl Run {
    fn new(seed: u64, hosts: usize, policy: Policy) -> Self {
        let network = Network {
            loss_permille: 20,
            double_permille: 20,
            hold_permille: 20,
            ..Network::default()
        };
        let mut replicas = Replicas::new(seed, hosts, policy, network);
        replicas.log_faults.lost_permille = 100;
        replicas.log_faults.late_permille = 100;
        replicas.trace = std::env::var_os("TRACE").is_some();
        let started = (0..hosts).map(|process| (process, Instant::ZERO));
        Self {
            agenda: BTreeMap::new(),
            agenda_number: 0,
            quiet: false,
            proposals: Vec::new(),
            number: 0,
            able_since: BTreeMap::new(),
            in_force: BTreeMap::new(),
            highest: BTreeMap::new(),
            started: started.collect(),
            replaced: 0,
            in_force_ms: Vec::new(),
            after_heal_ms: Vec::new(),
            start_ms: Vec::new(),
            reverted: 0,
            replicas,
        }
    }

    fn measure(mut self, seed: u64, policy: Policy) -> Line {
        self.put(0, Own::Look);
        self.put(5_000, Own::Change);
        self.put(5_000, Own::Fault);
        self.go_on(5_000 + FAULTS_MS);
        // All hosts are replaced one by one while the log is down for longer than any of them lives.
        self.replicas.log.down = true;
        self.replicas.driver.count("log_outage");
        self.put(2_000, Own::Replace);
        self.go_on(2_000 + REPLACE_ALL_MS);
        self.settle();
        self.line(seed, policy)
    }

    fn now(&self) -> Instant {
        self.replicas.driver.now()
    }

    fn put(&mut self, delay_ms: u64, own: Own) {
        self.agenda_number += 1;
        let at = self.now().after_ms(delay_ms);
        self.agenda.insert((at, self.agenda_number), own);
    }

    /// Runs for some time, and does what stands on the agenda.
    fn go_on(&mut self, ms: u64) {
        let end = self.now().after_ms(ms);
        while let Some(entry) = self.agenda.first_entry() {
            let (at, _) = *entry.key();
            if at > end {
                break;
            }
            let own = entry.remove();
            self.replicas.run_ms(at.since_ms(self.now()));
            self.own(own);
        }
        self.replicas.run_ms(end.since_ms(self.now()));
    }

    fn own(&mut self, own: Own) {
        match own {
            Own::Look => {
                self.look();
                self.put(LOOK_MS, Own::Look);
            }
            Own::Fault if !self.quiet => {
                self.strike();
                let delay_ms = self.replicas.driver.draw(2 * FAULT_EVERY_MS);
                self.put(delay_ms, Own::Fault);
            }
            Own::Change if !self.quiet => {
                self.operators();
                let delay_ms = self.replicas.driver.draw(2 * CHANGE_EVERY_MS);
                self.put(delay_ms, Own::Change);
            }
            Own::Fault | Own::Change => (),
            Own::LogBack => self.log_back(),
            Own::Start(process) => self.start(process),
            Own::Replace => self.replace_next(),
        }
    }

    /// Lets a fault of a random kind strike.
    fn strike(&mut self) {
        let hosts = self.replicas.hosts.len() as u64;
        let process = self.replicas.driver.draw(hosts) as Process;
        let kind = self.replicas.driver.draw(12);
        match kind {
            0..=1 | 11 if !self.replicas.log.down => self.outage(),
            2..=4 => {
                let for_ms = 500 + self.replicas.driver.draw(8_000);
                self.replicas.driver.pause(process, for_ms);
            }
            5..=7 => self.crash(process),
            8..=9 => self.cut(),
            10 => self.replicas.log.forget(32),
            _ => (),
        }
    }

    fn outage(&mut self) {
        let for_ms = 2_000 + self.replicas.driver.draw(20_000);
        self.replicas.driver.count("log_outage");
        self.replicas.log.down = true;
        self.put(for_ms, Own::LogBack);
    }

    fn crash(&mut self, process: Process) {
        if self.replicas.nodes[process].is_some() {
            self.replicas.crash(process);
            let down_ms = 500 + self.replicas.driver.draw(5_000);
            self.put(down_ms, Own::Start(process));
        }
    }

    /// Cuts two regions from each other, in one direction or in both.
    fn cut(&mut self) {
        let [a, b] = [0, 1].map(|_| self.replicas.driver.draw(3) as Process);
        let (a, b) = (self.replicas.driver.place(a), self.replicas.driver.place(b));
        let for_ms = 2_000 + self.replicas.driver.draw(20_000);
        if a != b {
            self.replicas.driver.cut(a, b, for_ms);
            if self.replicas.driver.chance(700) {
                self.replicas.driver.cut(b, a, for_ms);
            }
        }
    }

    /// Brings the log back, now and then shorter, as from an older copy.
    fn log_back(&mut self) {
        self.replicas.log.down = false;
        if self.replicas.driver.chance(SHORTER_PERMILLE) {
            self.lose();
        }
    }

    fn lose(&mut self) {
        let count = 1 + self.replicas.driver.draw(3) as usize;
        for id in self.replicas.lose(count) {
            self.in_force.retain(|(_, known), _| *known != id);
            self.able_since.retain(|(_, known), _| *known != id);
        }
    }

    fn start(&mut self, process: Process) {
        if self.replicas.nodes[process].is_none() {
            self.replicas.start(process);
            self.started.insert(process, self.now());
            // What its life before lacked doesn't count against this one.
            self.able_since.retain(|(host, _), _| *host != process);
        }
    }

    /// Replaces the next host, and goes on until each was replaced.
    fn replace_next(&mut self) {
        let hosts = self.replicas.hosts.len();
        if self.replaced == hosts {
            return;
        }
        if self.replicas.nodes[self.replaced].is_some() {
            self.replicas.driver.count("replacement");
            self.replicas.crash(self.replaced);
        }
        let every_ms = REPLACE_ALL_MS / (hosts as u64 + 1);
        self.put(every_ms / 2, Own::Start(self.replaced));
        self.replaced += 1;
        self.put(every_ms, Own::Replace);
    }

    /// Lets one to three operators act at once, each at a host of its own.
    fn operators(&mut self) {
        for _ in 0..=self.replicas.driver.draw(3) {
            let up = self.replicas.up();
            let index = self.replicas.driver.draw(up.len() as u64) as usize;
            let again = self.replicas.driver.chance(200);
            let record = match self.unknown().filter(|_| again) {
                Some(record) => record,
                None => self.record(up[index]),
            };
            let requester = self.replicas.propose(up[index], record.clone());
            self.proposals.push(Proposal { requester, record });
        }
    }

    /// Returns a record whose outcome its operator doesn't know.
    fn unknown(&self) -> Option<Record> {
        let is_unknown = |proposal: &&Proposal| {
            let answer = self.replicas.answers.get(&proposal.requester);
            matches!(answer, Some(Answer::Unknown))
        };
        let unknown = self.proposals.iter().rfind(is_unknown)?;
        Some(unknown.record.clone())
    }

    /// Makes a change on what a host knows, or an order to take a data centre out or back.
    fn record(&mut self, process: Process) -> Record {
        self.number += 1;
        let id = Name::from(format!("record-{}", self.number));
        if self.replicas.driver.chance(250) {
            return Record::Drain {
                id,
                target: Target::DataCentre("data-centre-0".into()),
                drained: self.number.is_multiple_of(2),
            };
        }
        let organisation = Organisation {
            credential_digest: id.clone(),
            weight: 1,
            requests_per_second: None,
            pipelines: BTreeMap::new(),
            services: Vec::new(),
        };
        let environment = Name::from(ENVIRONMENT);
        Record::Change(Change {
            based_on: self.replicas.node(process).state().revision(&environment),
            environment,
            edits: vec![Edit::Organisation(id.clone(), Some(organisation))],
            id,
        })
    }

    /// Ends all faults and waits until all is in force.
    fn settle(&mut self) {
        self.quiet = true;
        self.replicas.log.down = false;
        self.replicas.log_faults = Default::default();
        for process in 0..self.replicas.hosts.len() {
            self.start(process);
        }
        self.go_on(SETTLE_MS);
    }

    /// Looks at all hosts: what is in force, what reverted, who is current.
    fn look(&mut self) {
        for process in self.replicas.up() {
            self.look_for_going_back(process);
            if self.replicas.node(process).is_current()
                && let Some(since) = self.started.remove(&process)
            {
                self.start_ms.push(self.now().since_ms(since));
            }
        }
        // Records that are in force everywhere are looked at less often, for whether they revert.
        let all = self.now().as_ms().is_multiple_of(SETTLED_LOOK_MS);
        let lives: Vec<(Process, u64)> = self.lives();
        let ids: Vec<Name> = self.replicas.accepted.keys().cloned().collect();
        for id in ids {
            let has = |(process, life): &(Process, u64)| {
                self.in_force.get(&(*process, id.clone())) == Some(life)
            };
            if all || !lives.iter().all(has) {
                self.look_for(&id);
            }
        }
    }

    fn lives(&self) -> Vec<(Process, u64)> {
        let mut up = self.replicas.up();
        up.retain(|process| self.replicas.node(*process).is_current());
        let life = |process| (process, self.replicas.driver.life(process));
        up.into_iter().map(life).collect()
    }

    /// A host that is current never shows an older position than before in its life.
    fn look_for_going_back(&mut self, process: Process) {
        let node = self.replicas.node(process);
        if node.is_current() {
            let life = self.replicas.driver.life(process);
            let position = node.position();
            let highest = self.highest.entry((process, life)).or_default();
            self.reverted += usize::from(position < *highest);
            *highest = position.max(*highest);
        }
    }

    /// Looks on which hosts an accepted record is in force.
    fn look_for(&mut self, id: &Name) {
        let holders = self.holders(id);
        let now = self.now();
        for process in self.replicas.up() {
            let key = (process, id.clone());
            let life = self.replicas.driver.life(process);
            if !self.replicas.node(process).is_current() {
                self.able_since.remove(&key);
                continue;
            }
            if holders.contains(&process) {
                let before = self.in_force.insert(key.clone(), life);
                if before != Some(life) {
                    self.note_in_force(process, id);
                }
                continue;
            }
            // A life that had it, and any that serves without what was told to be accepted.
            if self.in_force.get(&key) == Some(&life) {
                self.in_force.remove(&key);
                self.reverted += 1;
            }
            if self.is_able(process, &holders) {
                self.able_since.entry(key).or_insert(now);
            } else {
                self.able_since.remove(&key);
            }
        }
    }

    fn holders(&self, id: &Name) -> Vec<Process> {
        let holds = |process: &Process| {
            let state = self.replicas.node(*process).state();
            let is_accepted = |id: &str| {
                let verdict = state.verdicts.get(id);
                matches!(verdict, Some(Verdict::Accepted(_)))
            };
            // A record that was brought back after another came between has another id.
            is_accepted(id) || is_accepted(&format!("{id}+"))
        };
        let mut up = self.replicas.up();
        up.retain(holds);
        up
    }

    /// Returns whether a host can reach the log or a host that has the change.
    fn is_able(&self, process: Process, holders: &[Process]) -> bool {
        let driver = &self.replicas.driver;
        if driver.is_paused(process) {
            return false;
        }
        let reaches = |other| !driver.is_cut(process, other) && !driver.is_cut(other, process);
        let reaches_log = !self.replicas.log.down && reaches(self.replicas.platform);
        let mut others = holders.iter();
        reaches_log || others.any(|other| !driver.is_paused(*other) && reaches(*other))
    }

    fn note_in_force(&mut self, process: Process, id: &Name) {
        let accepted_at = self.replicas.accepted[id].at;
        let now = self.now();
        let able_since = self.able_since.remove(&(process, id.clone()));
        let waited_ms = now.since_ms(able_since.unwrap_or(now));
        let took_ms = now.since_ms(accepted_at);
        if self.replicas.trace && took_ms > SLOW_MS {
            println!("{id} took {took_ms} ms to host {process}, able for {waited_ms} ms");
        }
        // What was looked at within one step after it was accepted had nothing to wait for.
        if took_ms <= waited_ms + 2 * LOOK_MS {
            self.in_force_ms.push(took_ms);
        } else {
            self.after_heal_ms.push(waited_ms);
        }
    }

    fn line(mut self, seed: u64, policy: Policy) -> Line {
        let baseline = policy != Policy::Teaselchute;
        self.in_force_ms.sort_unstable();
        self.start_ms.sort_unstable();
        let mut line = Line {
            case: "config",
            variant: if baseline {
                "log_polling_alone"
            } else {
                "teaselchute"
            },
            baseline,
            seed,
            hosts: self.replicas.hosts.len(),
            accepted: self.replicas.accepted.len(),
            reverted: self.reverted,
            in_force_p50_ms: middle(&self.in_force_ms),
            in_force_max_ms: self.in_force_ms.last().copied().unwrap_or(0),
            after_heal_max_ms: self.after_heal_ms.iter().copied().max().unwrap_or(0),
            not_in_force_at_end: self.not_in_force(),
            start_p50_ms: middle(&self.start_ms),
            start_max_ms: self.start_ms.last().copied().unwrap_or(0),
            faults: self.replicas.driver.faults.clone(),
            ..Line::default()
        };
        self.judge_answers(&mut line);
        line
    }

    /// Counts pairs of hosts and accepted records that aren't in force there at the end.
    fn not_in_force(&self) -> usize {
        if self.replicas.trace {
            for (id, accepted) in &self.replicas.accepted {
                let holders = self.holders(id);
                if holders.len() < self.replicas.hosts.len() {
                    println!("{id} of {accepted:?} is in force at {holders:?} only");
                }
            }
        }
        let hosts = self.replicas.hosts.len();
        let current = |process: &Process| self.replicas.node(*process).is_current();
        let missing = |id: &Name| {
            let holders = self.holders(id);
            hosts - holders.iter().filter(|process| current(process)).count()
        };
        self.replicas.accepted.keys().map(missing).sum()
    }

    /// Compares what operators were told with what became of their records.
    fn judge_answers(&self, line: &mut Line) {
        for proposal in &self.proposals {
            let id = proposal.record.id().expect("operators' records have ids");
            let is_accepted = self.replicas.accepted.contains_key(id);
            match self.replicas.answers.get(&proposal.requester) {
                Some(Answer::Verdict(Verdict::Accepted(_))) if !is_accepted => {
                    line.false_accepts += 1;
                }
                Some(Answer::Verdict(Verdict::Void(_))) if is_accepted => {
                    if self.replicas.trace {
                        println!("{id} was refused falsely");
                    }
                    line.false_refusals += 1;
                }
                Some(Answer::Unknown) => line.unknown += 1,
                _ => (),
            }
        }
    }
}

/// Returns the median of sorted values.
fn middle(sorted: &[u64]) -> u64 {
    sorted.get(sorted.len() / 2).copied().unwrap_or(0)
}
