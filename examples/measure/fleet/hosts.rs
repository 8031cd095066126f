//! Entry hosts of the measurements: the daemon's pools, and what they want done.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    sync::Arc,
};

use teaselchute::{
    core::{
        call,
        host,
        routing::{
            self,
            Action,
            Pool,
            Shared, //
        },
        state::Roster,
        view::View, //
    },
    names::Name,
    time::Instant,
};

use super::{
    Event, Fleet, TICK_MS,
    backend::Outstanding,
    plan::{
        DATA_CENTRES,
        HOSTS,
        REGIONS,
        SHAPES, //
    },
};
use crate::driver::Process;

/// An entry host.
pub struct Host {
    /// Its life.
    pub incarnation: u64,
    /// What it sees.
    pub view: View,
    /// Its calls, with the index of their request.
    pub calls: BTreeMap<call::Id, usize>,
    /// Calls that it sent.
    pub sent: BTreeSet<call::Id>,
    shared: Arc<Shared>,
    pools: Vec<Option<Pool>>,
    next: u64,
}

impl Host {
    /// Makes a host that knows nothing.
    pub fn new(view: View) -> Self {
        Self {
            incarnation: view.own.id.incarnation,
            view,
            calls: BTreeMap::new(),
            sent: BTreeSet::new(),
            shared: Arc::new(Shared::default()),
            pools: SHAPES.iter().map(|_| None).collect(),
            next: 0,
        }
    }

    /// Returns a new number for a call.
    pub fn next_call(&mut self) -> call::Id {
        self.next += 1;
        call::Id(self.next)
    }

    /// Returns whether all its pools fit their shares under the newest roster.
    pub fn fits_share(&self) -> bool {
        self.pools
            .iter()
            .flatten()
            .all(|pool| pool.fits_share(&self.view))
    }

    /// Returns a pool that had calls.
    pub fn pool(&self, pool: usize) -> Option<&Pool> {
        self.pools[pool].as_ref()
    }
}

/// Returns the identity of one life of a host.
pub fn id(number: usize, incarnation: u64) -> host::Id {
    host::Id {
        name: Name::from(format!("h{number}")),
        incarnation,
    }
}

impl Fleet {
    /// Returns what a host sees before anything happened.
    pub fn first_view(&self, number: usize) -> View {
        let members = (0..HOSTS).map(|number| id(number, 1)).collect();
        self.view_of(number, 1, Roster { epoch: 1, members }, Roster::default())
    }

    /// Returns what a host sees with these rosters.
    pub fn view_of(
        &self,
        number: usize,
        incarnation: u64,
        roster: Roster,
        previous_roster: Roster,
    ) -> View {
        let data_centre = self.driver.place(number + 1).data_centre;
        View {
            own: host::Host {
                id: id(number, incarnation),
                data_centre: Name::from(DATA_CENTRES[data_centre]),
                region: Name::from(REGIONS[data_centre]),
                http: "127.0.0.1:1".parse().expect("an address"),
                peer: "127.0.0.1:2".parse().expect("an address"),
                weight: 1,
            },
            serving: true,
            serving_since: Some(Instant::ZERO),
            mutation: teaselchute::core::mutation::Mutation::None,
            leaving: false,
            document: self.document.clone(),
            position: Default::default(),
            fresh_at: Instant::ZERO,
            drained: BTreeSet::new(),
            roster,
            previous_roster,
            members: Vec::new(),
        }
    }

    pub(super) fn tick(&mut self, process: Process) {
        self.driver.put(TICK_MS, process, Event::Tick);
        let now = self.driver.now();
        let host = &self.hosts[process - 1];
        host.shared.observe(now, &host.view);
        for pool in 0..SHAPES.len() {
            if self.hosts[process - 1].pools[pool].is_some() {
                self.pool_event(process, pool, routing::Event::Tick, None);
            }
        }
    }

    pub(super) fn pool_event(
        &mut self,
        process: Process,
        number: usize,
        event: routing::Event,
        evidence: Option<(usize, u64)>,
    ) {
        let now = self.driver.now();
        if let Some((server, epoch)) = evidence {
            let known = self.evidence.entry((process, server)).or_default();
            *known = (*known).max(epoch);
        }
        let (policy, seed) = (self.setting.policy, self.seed);
        let host = &mut self.hosts[process - 1];
        // News of the state are not what is measured here.
        host.view.fresh_at = now;
        let pool = host.pools[number].get_or_insert_with(|| {
            let name = Name::from(SHAPES[number].name);
            Pool::new(
                name,
                policy,
                host.shared.clone(),
                seed * 1_000 + process as u64,
            )
        });
        let ended = match &event {
            routing::Event::Ended {
                call, server, end, ..
            } => Some((*call, server.clone(), end.clone())),
            _ => None,
        };
        let actions = pool.step(now, &host.view, event);
        for action in actions {
            self.act(process, number, action);
        }
        if let Some((call, server, end)) = ended {
            self.ended(process, call, &server, &end);
        }
    }

    fn act(&mut self, process: Process, pool: usize, action: Action) {
        match action {
            Action::Send { call, server } => {
                self.hosts[process - 1].sent.insert(call.id);
                self.sums.retries += u64::from(call.attempt > 0);
                self.send(process, pool, call.id, &server);
            }
            Action::Abort { call, server } => {
                let server = self.server_by_name(pool, &server);
                let key = (process, self.hosts[process - 1].incarnation, call);
                let target = self.servers[server].process;
                self.driver.send(process, target, Event::Abort(key));
            }
            Action::Refuse { call, refusal } => self.refused(process, call, &refusal),
            Action::BroadcastCold {
                server,
                incarnation,
            } => {
                let index = self.server_by_name(pool, &server);
                let backend = &self.servers[index];
                let evidence =
                    (backend.incarnation == incarnation).then_some((index, backend.epoch));
                self.tell_all(process, pool, &server, incarnation, evidence);
            }
            Action::SendMessage { to, message } => {
                let Some(peer) = self
                    .hosts
                    .iter()
                    .position(|host| host.view.own.id == to)
                    .map(|number| number + 1)
                else {
                    return;
                };
                let from = self.hosts[process - 1].view.own.id.clone();
                let event = routing::Event::Message { from, message };
                let event = Event::Pool {
                    pool,
                    event,
                    evidence: None,
                };
                self.driver.send(process, peer, event);
            }
            Action::Decide(_) => {}
        }
    }

    fn tell_all(
        &mut self,
        process: Process,
        pool: usize,
        server: &Name,
        incarnation: call::Incarnation,
        evidence: Option<(usize, u64)>,
    ) {
        for peer in (1..=HOSTS).filter(|peer| *peer != process) {
            if !self.driver.is_up(peer) {
                continue;
            }
            let event = routing::Event::ColdNotice {
                server: server.clone(),
                incarnation,
            };
            let event = Event::Pool {
                pool,
                event,
                evidence,
            };
            self.driver.send(process, peer, event);
        }
    }

    fn send(&mut self, process: Process, pool: usize, call: call::Id, server: &Name) {
        let now = self.driver.now();
        let index = self.server_by_name(pool, server);
        let known = self.evidence.get(&(process, index)).copied().unwrap_or(0);
        let shape = &SHAPES[pool];
        let backend = &mut self.servers[index];
        let knew = known >= backend.epoch;
        let capacity = backend.capacity(now, shape);
        let calls = backend.calls.len() as u32 + 1;
        if capacity < shape.full {
            let over = u64::from(calls.saturating_sub(capacity));
            self.sums.peak_over_limit = self.sums.peak_over_limit.max(over);
            if knew && backend.knowing() + 1 > capacity {
                self.sums.over_capacity += 1;
            } else if !knew && over > 0 {
                self.sums.before_evidence += 1;
            }
        }
        let key = (process, self.hosts[process - 1].incarnation, call);
        let outstanding = Outstanding {
            epoch: backend.epoch,
            knew,
            began: None,
        };
        backend.calls.insert(key, outstanding);
        let target = backend.process;
        let mut delay_ms = self.driver.delay_ms(process, target);
        if self.driver.chance(self.setting.pause_permille) {
            self.driver.count("pause_before_send");
            let pause_ms = self.driver.draw(2_000);
            self.driver.pause(process, pause_ms);
            delay_ms += pause_ms;
        }
        if self.driver.place(process).region != self.driver.place(target).region {
            self.sums.far_bytes += super::REQUEST_BYTES as u64 + super::ANSWER_BYTES;
        }
        self.driver.put(delay_ms, target, Event::Call(key));
    }

    pub(super) fn server_by_name(&self, pool: usize, server: &Name) -> usize {
        let number: usize = server[1..].parse().expect("a server's number");
        self.server(pool, number)
    }
}
