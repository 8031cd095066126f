//! The platform's side: the log's requests with their faults, and the lagging host list.

use teaselchute::core::{
    host::Host,
    log,
    membership::Registration,
    node, //
};

use super::{
    Event,
    World,
    faults, //
};
use crate::driver::Process;

/// Time after which a host gives up on an answer of the log, in milliseconds.
const LOG_TIMEOUT_MS: u64 = 2_000;

/// Time by which the host list lags, in milliseconds.
const HOST_LIST_LAG_MS: u64 = 3_000;

/// Time between two reads of the host list by one host, in milliseconds.
const HOST_LIST_POLL_MS: u64 = 2_000;

impl World {
    pub(super) fn ask_log(&mut self, host: Process, action: log::Action) {
        let (token, failed) = match &action {
            log::Action::Append { token, .. } => {
                (*token, log::Event::AppendUnknown { token: *token })
            }
            log::Action::Read { token, .. } => (*token, log::Event::ReadFailed { token: *token }),
        };
        let life = self.driver.life(host);
        self.waiting_for_log.insert((host, life, token));
        // The time-out goes through the platform's process, so that a pause of the host delays it.
        let event = Event::Fault(faults::Event::LogTimeout(host, life, Box::new(failed)));
        self.driver.put(LOG_TIMEOUT_MS, self.platform, event);
        if self.driver.is_cut(host, self.platform) {
            return;
        }
        let delay_ms = self.driver.delay_ms(host, self.platform);
        self.driver
            .put(delay_ms, self.platform, Event::Log(host, action));
    }

    pub(super) fn log_asked(&mut self, host: Process, action: log::Action) {
        if self.log.down {
            return;
        }
        let faults = self.plan.faults.clone();
        let event = match action {
            log::Action::Append { token, record } => {
                if !self.quiet && self.driver.chance(faults.late_append_permille) {
                    self.driver.count("late_append");
                    let late = Event::Log(host, log::Action::Append { token, record });
                    let delay_ms = self.driver.draw(10_000);
                    return self.driver.put(delay_ms, self.platform, late);
                }
                let offset = self.log.append(*record.clone());
                let text = format!("log takes {offset}: {}", record_name(&record));
                self.note(&text);
                self.record_appended(offset, &record);
                if !self.quiet && self.driver.chance(faults.lost_append_permille) {
                    self.driver.count("lost_append_answer");
                    return;
                }
                log::Event::Appended { token, offset }
            }
            log::Action::Read { token, from } => {
                let read = self.log.read(from);
                log::Event::Read {
                    token,
                    log_start: read.first,
                    log_end: read.end,
                    entries: read.entries,
                }
            }
        };
        self.log_answers(host, event);
    }

    fn log_answers(&mut self, host: Process, event: log::Event) {
        if self.driver.is_cut(self.platform, host) {
            return;
        }
        let life = self.driver.life(host);
        if !self.waiting_for_log.remove(&(host, life, token_of(&event))) {
            return;
        }
        let delay_ms = self.driver.delay_ms(self.platform, host);
        let event = Event::Node(Box::new(node::Event::Log(event)));
        self.driver.put(delay_ms, host, event);
    }

    pub(super) fn log_timed_out(&mut self, host: Process, life: u64, event: log::Event) {
        let waits = self.waiting_for_log.remove(&(host, life, token_of(&event)));
        if waits && life == self.driver.life(host) {
            let event = Event::Node(Box::new(node::Event::Log(event)));
            self.driver.put(0, host, event);
        }
    }

    pub(super) fn change_listed(&mut self) {
        let now = self.driver.now();
        let list: Vec<Registration> = self
            .up()
            .into_iter()
            .map(|process| Registration {
                host: Host::clone(&self.hosts[process]),
                leaving: self.leaving.contains(&process),
            })
            .collect();
        self.listed.push((now, list));
    }

    pub(super) fn poll_host_list(&mut self, process: Process) {
        self.driver
            .put(HOST_LIST_POLL_MS, process, Event::PollHostList);
        if self.driver.is_cut(process, self.platform) {
            return;
        }
        let until = self.driver.now().before_ms(HOST_LIST_LAG_MS);
        // At the start of a run, before any lag has passed, the first list counts.
        let index = self.listed.iter().rposition(|(at, _)| *at <= until);
        let Some((_, list)) = self.listed.get(index.unwrap_or(0)) else {
            return;
        };
        let event = node::Event::HostList(list.clone());
        self.step(process, event);
    }
}

fn token_of(event: &log::Event) -> log::Token {
    match event {
        log::Event::Appended { token, .. }
        | log::Event::AppendUnknown { token }
        | log::Event::Read { token, .. }
        | log::Event::ReadFailed { token } => *token,
    }
}

fn record_name(record: &teaselchute::core::state::Record) -> String {
    use teaselchute::core::state::Record;
    match record {
        Record::Change(change) => format!("change {}", change.id),
        Record::Drain {
            target,
            drained: out,
            ..
        } => format!("drain {target:?} out={out}"),
        Record::Roster { based_on, members } => {
            format!("roster on {based_on} of {}", members.len())
        }
        Record::Claim(claim) => format!("claim of {}", claim.group),
        Record::Snapshot(snapshot) => format!("snapshot at {:?}", snapshot.position),
        Record::Anchor(anchor) => format!("anchor of generation {}", anchor.generation),
    }
}
