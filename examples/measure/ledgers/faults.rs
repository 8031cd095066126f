//! Faults of a run: crashes, pauses, cuts, outages of the claim log, restarts and rolling restarts.

use teaselchute::core::address;

use super::{
    Event as Happening,
    Run, //
};
use crate::driver::{
    Place,
    Process, //
};

/// Time between two looks at a host that leaves, in milliseconds.
const LOOK_MS: u64 = 200;

/// How often faults strike.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Mean time between two crashes, pauses, cuts and the like, in milliseconds. 0 for none.
    pub every_ms: u64,
    /// Whether all hosts are restarted in turn, without a break.
    pub rolling: bool,
    /// Chance in a thousand of each kind of failure of one call.
    pub server_permille: u64,
    /// Chance in a thousand that a connection falls silent.
    pub silent_permille: u64,
}

/// A fault strikes or ends.
#[derive(Clone, Debug)]
pub enum Event {
    /// A random fault.
    Strike,
    /// The next host of a rolling restart leaves.
    Roll(Process),
    /// A leaving host is looked at.
    Left(Process, u64),
    /// A host is started again.
    Start(Process),
    /// The claim log answers again.
    LogBack,
}

impl Run {
    pub(super) fn start_faults(&mut self) {
        if self.plan.faults.every_ms > 0 {
            self.strike_later();
        }
        if self.plan.faults.rolling {
            self.later(5_000, Event::Roll(0));
        }
    }

    /// Puts an event for the outside, which never fails.
    fn later(&mut self, delay_ms: u64, event: Event) {
        let outside = self.plan.hosts;
        self.driver.put(delay_ms, outside, Happening::Fault(event));
    }

    fn strike_later(&mut self) {
        let delay_ms = 1 + self.driver.draw(2 * self.plan.faults.every_ms);
        self.later(delay_ms, Event::Strike);
    }

    pub(super) fn fault(&mut self, event: Event) {
        match event {
            Event::Strike => {
                if !self.quiet {
                    self.strike();
                    self.strike_later();
                }
            }
            Event::Roll(host) => self.roll(host),
            Event::Left(host, life) => self.left(host, life),
            Event::Start(host) => {
                if self.hosts[host].ledger.is_none() {
                    self.start_host(host);
                }
            }
            Event::LogBack => self.log_down = false,
        }
    }

    fn strike(&mut self) {
        let host = self.driver.draw(self.plan.hosts as u64) as usize;
        match self.driver.draw(7) {
            0 | 1 => self.crash(host),
            2 | 3 => {
                let for_ms = 100 + self.driver.draw(8_000);
                self.driver.pause(host, for_ms);
            }
            4 => self.cut(),
            5 => {
                self.driver.count("log_outage");
                self.log_down = true;
                let for_ms = 500 + self.driver.draw(4_000);
                self.later(for_ms, Event::LogBack);
            }
            _ => {
                self.driver.count("server_restart");
                let index = self.driver.draw(self.servers() as u64) as usize;
                self.restart_server(index);
            }
        }
    }

    fn crash(&mut self, host: Process) {
        if self.up().len() < 4 || self.hosts[host].ledger.is_none() {
            return;
        }
        self.stop_host(host);
        let back_ms = 500 + self.driver.draw(8_000);
        self.later(back_ms, Event::Start(host));
    }

    fn cut(&mut self) {
        let from = self.driver.draw(3) as usize;
        let to = (from + 1 + self.driver.draw(2) as usize) % 3;
        let place = |index: usize| Place {
            region: index,
            data_centre: index,
        };
        let for_ms = 500 + self.driver.draw(8_000);
        self.driver.cut(place(from), place(to), for_ms);
        if self.driver.chance(700) {
            self.driver.cut(place(to), place(from), for_ms);
        }
    }

    fn roll(&mut self, host: Process) {
        if host >= self.plan.hosts || self.quiet {
            return;
        }
        if self.hosts[host].ledger.is_none() {
            return self.later(500, Event::Roll(host + 1));
        }
        self.driver.count("leave");
        let now = self.driver.now();
        self.leaving.insert(host, now);
        self.hosts[host].view.leaving = true;
        self.spread_news();
        let life = self.driver.life(host);
        self.later(LOOK_MS, Event::Left(host, life));
    }

    /// Stops a leaving host once nothing is left there, or its time is over.
    fn left(&mut self, host: Process, life: u64) {
        let next = Event::Roll(host + 1);
        let Some(since) = self.leaving.get(&host).copied() else {
            return self.later(2_000, next);
        };
        if self.driver.life(host) != life {
            return self.later(2_000, next);
        }
        let waited_ms = self.driver.now().since_ms(since);
        let ledger = self.hosts[host].ledger.as_ref();
        let idle = ledger.is_none_or(|ledger| ledger.is_idle());
        // As the daemon does: an answer that is on its way keeps its connection open.
        let open = self.open_exchanges(host);
        let served = waited_ms > address::drain_ms() && idle && open == 0;
        if !served && waited_ms < self.plan.leave_ms {
            return self.later(LOOK_MS, Event::Left(host, life));
        }
        self.seen.interrupted += open;
        self.seen.left += 1;
        self.seen.leave_ms_max = self.seen.leave_ms_max.max(waited_ms);
        self.stop_host(host);
        self.later(500, Event::Start(host));
        self.later(2_000, next);
    }
}
