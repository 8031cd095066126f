//! The state machine of one pool on one host.

use std::{
    collections::BTreeMap,
    sync::Arc, //
};

use rand::{
    Rng,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;

use super::{
    Action, Event, affinity,
    board::Board,
    choice, cost,
    limit::{
        Bounds,
        Evidence, //
    },
    policy::Policy,
    queue::{
        Queue,
        Waiting, //
    },
    rate, refuse,
    remaining::Histogram,
    server::{
        Distance,
        Server, //
    },
    share::{
        self,
        Place, //
    },
    vouch::{
        self,
        Message, //
    },
    words::{
        Words,
        value, //
    },
};
use crate::{
    core::{
        call::{
            self,
            Call,
            End,
            Load,
            Start, //
        },
        decision::{
            Candidate,
            Decision,
            Kind, //
        },
        document,
        host,
        replica::freshness::{
            self,
            Allowance, //
        },
        view::View, //
    },
    names::Name,
    time::Instant,
};

/// Gap between ticks from which on the process counts as paused, in milliseconds.
const PAUSE_MS: u64 = 250;

/// Time after a pause in which what waits in the sockets is read first, in milliseconds.
const WAKE_MS: u64 = 100;

/// Most calls that wait in one pool of one host.
const QUEUE_LIMIT: usize = 4_096;

/// Most calls that wait where late answers are wanted, which aren't refused before.
const LATE_QUEUE_LIMIT: usize = 65_536;

/// Number of calls that are tried before a dispatch gives up for want of a fitting server.
const DISPATCH_TRIES: usize = 4;

/// How many times longer than typical an answer may take that counts as good.
const REMARKABLE: u64 = 3;

/// A call that runs on a server.
struct Sent {
    server: usize,
    request: call::Request,
    pipeline: Name,
    stage: usize,
    prefix: u64,
    offered_at: Instant,
    at: Instant,
    /// Life of the server in which the call surely runs.
    start: Option<Start>,
    progressed: bool,
    aborted: bool,
}

/// The routing state of one pool on one host.
pub struct Pool {
    name: Name,
    policy: Policy,
    board: Arc<Board>,
    rng: Pcg64Mcg,
    words: Words,
    document: Option<Arc<document::Pool>>,
    bounds: Bounds,
    servers: Vec<Server>,
    names: BTreeMap<Name, usize>,
    open: Vec<usize>,
    models: BTreeMap<Name, Vec<usize>>,
    affinity: affinity::Index,
    queue: Queue,
    sent: BTreeMap<call::Id, Sent>,
    times: BTreeMap<Name, Vec<Histogram>>,
    all_times: Histogram,
    book: cost::Book,
    slots: u64,
    turn: usize,
    ask_next: usize,
    asked: u64,
    last_tick: Option<Instant>,
    hold_until: Instant,
}

impl Pool {
    /// Makes a pool without calls. The seed feeds the samples of candidates.
    pub fn new(name: Name, policy: Policy, board: Arc<Board>, seed: u64) -> Self {
        let salt = xxhash_rust::xxh3::xxh3_64(name.as_bytes());
        Self {
            name,
            policy,
            board,
            rng: Pcg64Mcg::seed_from_u64(seed ^ salt),
            words: Words::new(),
            document: None,
            bounds: Bounds {
                cold: 0,
                full: 0,
                warm_up_ms: 0,
            },
            servers: Vec::new(),
            names: BTreeMap::new(),
            open: Vec::new(),
            models: BTreeMap::new(),
            affinity: affinity::Index::default(),
            queue: Queue::default(),
            sent: BTreeMap::new(),
            times: BTreeMap::new(),
            all_times: Histogram::new(),
            book: cost::Book::default(),
            slots: 0,
            turn: 0,
            ask_next: 0,
            asked: 0,
            last_tick: None,
            hold_until: Instant::ZERO,
        }
    }

    /// Takes one event and returns what follows from it.
    pub fn step(&mut self, now: Instant, view: &View, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.board.observe(now, view);
        self.follow(now, view);
        self.wake(now, matches!(event, Event::Tick));
        match event {
            Event::Offer(call) => self.offer(now, view, call, &mut out),
            Event::Cancel(call) => self.cancel(call, &mut out),
            Event::Ended {
                call,
                server,
                start,
                end,
            } => self.ended(now, view, call, &server, start, &end, &mut out),
            Event::Progress { call, start } => self.progress(now, call, start, &mut out),
            Event::Load { server, load } => self.load(now, view, &server, load, &mut out),
            Event::Cache {
                server,
                prefix,
                cached,
            } => {
                if let Some(&index) = self.names.get(&server) {
                    self.affinity.note(prefix, index, cached);
                }
            }
            Event::ColdNotice { server, start } => self.notice(now, &server, start, &mut out),
            Event::Message { from, message } => self.message(now, view, from, message, &mut out),
            Event::Models { server, models } => self.note_models(&server, models),
            Event::Tick => self.tick(now, view, &mut out),
        }
        self.dispatch(now, view, &mut out);
        out
    }

    /// Holds calls back for a moment after this process was paused.
    ///
    /// Evidence that servers turned cold may wait in its sockets behind requests that came before.
    fn wake(&mut self, now: Instant, is_tick: bool) {
        let slept = self
            .last_tick
            .is_some_and(|last| now.since_ms(last) > PAUSE_MS);
        if slept && self.policy == Policy::Teaselchute {
            self.hold_until = now.after_ms(WAKE_MS);
        }
        if is_tick || slept {
            self.last_tick = Some(now);
        }
    }

    /// Returns whether all calls on cold servers fit the share under this roster epoch, so that
    /// others may count on it.
    pub fn has_shrunk(&self, view: &View) -> bool {
        self.servers.iter().all(|server| {
            let limit = server.limit.slots(&self.bounds);
            let members = &view.roster.members;
            let place = Place::of(&view.own.id, &self.name, &server.name, members);
            let warm = place.rank.is_some() && limit >= self.bounds.full;
            warm || server.used() <= place.slots(limit)
        })
    }

    /// Returns what calls have cost, by organisation, pipeline and stage.
    pub fn costs(&self) -> &BTreeMap<cost::Key, cost::Account> {
        self.book.accounts()
    }

    /// Returns the number of calls that wait.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns the servers as this host sees them.
    pub fn servers(&self) -> impl Iterator<Item = &Server> {
        self.servers.iter().filter(|server| server.listed)
    }

    /// Returns the limits that the document sets.
    pub fn bounds(&self) -> &Bounds {
        &self.bounds
    }

    /// Follows the document's servers and limits.
    fn follow(&mut self, now: Instant, view: &View) {
        let Some(document) = view.document.pools.get(&self.name) else {
            if self.document.take().is_some() {
                for index in 0..self.servers.len() {
                    self.servers[index].listed = false;
                    self.refresh(now, view, index);
                }
            }
            return;
        };
        let same = self
            .document
            .as_ref()
            .is_some_and(|known| Arc::ptr_eq(known, document));
        if same {
            return;
        }
        let equal = self.document.as_ref() == Some(document);
        self.document = Some(document.clone());
        if equal {
            return;
        }
        self.bounds = Bounds {
            cold: document.cold_limit.min(document.full_limit),
            full: document.full_limit,
            warm_up_ms: document.warm_up_ms,
        };
        for server in &mut self.servers {
            server.listed = document.servers.contains_key(&server.name);
        }
        for (name, described) in &document.servers {
            let index = match self.names.get(name) {
                Some(&index) => index,
                None => {
                    let server = Server::new(name.clone(), described.data_centre.clone());
                    self.servers.push(server);
                    self.names.insert(name.clone(), self.servers.len() - 1);
                    self.servers.len() - 1
                }
            };
            let server = &mut self.servers[index];
            server.data_centre = described.data_centre.clone();
            let data_centre = view.document.data_centres.get(&described.data_centre);
            server.distance = distance(view, &described.data_centre);
            server.egress_price_milli = data_centre.map_or(0, |dc| dc.egress_price_milli);
        }
        for index in 0..self.servers.len() {
            self.refresh(now, view, index);
        }
    }

    /// Brings the index of servers with room up to date for one server.
    fn refresh(&mut self, now: Instant, view: &View, index: usize) {
        let timeout_ms = self
            .document
            .as_ref()
            .map_or(0, |pool| pool.call_timeout_ms);
        let server = &mut self.servers[index];
        self.board.with_rosters(|rosters| {
            server.place(now, &self.name, &view.own.id, rosters, timeout_ms);
        });
        let room = match self.policy {
            Policy::Teaselchute => server.has_room(now, &self.bounds),
            _ => server.listed && server.in_flight < self.bounds.full,
        };
        match (room, server.open_at) {
            (true, None) => {
                server.open_at = Some(self.open.len());
                self.open.push(index);
            }
            (false, Some(position)) => {
                server.open_at = None;
                self.open.swap_remove(position);
                if let Some(&moved) = self.open.get(position) {
                    self.servers[moved].open_at = Some(position);
                }
            }
            _ => {}
        }
    }

    fn tick(&mut self, now: Instant, view: &View, out: &mut Vec<Action>) {
        let mut slots = 0;
        for index in 0..self.servers.len() {
            self.servers[index].fade(now);
            self.refresh(now, view, index);
            let server = &self.servers[index];
            if server.listed && now >= server.backoff_until {
                slots += u64::from(server.allowed(&self.bounds));
            }
        }
        self.slots = slots;
        self.free_silent(now, view, out);
        self.ask(now, view, out);
        while let Some(waiting) = self.queue.expire(now) {
            let refusal = refuse::late(now, &waiting, self.queue.len(), slots);
            out.push(Action::Refuse {
                call: waiting.call.id,
                refusal,
            });
        }
    }

    /// Frees the slots of calls that can't run any more, though nobody told of their end.
    fn free_silent(&mut self, now: Instant, view: &View, out: &mut Vec<Action>) {
        let timeout_ms = self
            .document
            .as_ref()
            .map_or(0, |pool| pool.call_timeout_ms);
        let silent: Vec<call::Id> = self
            .sent
            .iter()
            .filter(|(_, sent)| timeout_ms > 0 && now.since_ms(sent.at) > timeout_ms)
            .map(|(id, _)| *id)
            .collect();
        for id in silent {
            let Some(sent) = self.sent.remove(&id) else {
                continue;
            };
            let index = sent.server;
            self.servers[index].in_flight -= 1;
            self.lost(now, index);
            self.refresh(now, view, index);
            out.push(Action::Abort {
                call: id,
                server: self.servers[index].name.clone(),
            });
        }
    }

    fn offer(&mut self, now: Instant, view: &View, call: Call, out: &mut Vec<Action>) {
        let known = self.queue.remove(call.id).is_some() || self.sent.contains_key(&call.id);
        assert!(!known, "a call is offered once");
        let id = call.id;
        if let Err(refusal) = self.admit(now, view, call, out) {
            out.push(Action::Refuse { call: id, refusal });
        }
        while self.queue.len() > QUEUE_LIMIT {
            let Some(waiting) = self.queue.evict() else {
                break;
            };
            out.push(Action::Refuse {
                call: waiting.call.id,
                refusal: refuse::queue_full(QUEUE_LIMIT),
            });
        }
    }

    fn admit(
        &mut self,
        now: Instant,
        view: &View,
        call: Call,
        out: &mut Vec<Action>,
    ) -> refuse::Result<()> {
        if self.document.is_none() {
            return Err(refuse::unknown_pool(&self.name));
        }
        // Only the first call of a request counts, and requests of baselines don't.
        if call.stage == 0 && call.attempt == 0 && self.policy == Policy::Teaselchute {
            self.take_token(now, view, &call.request.organisation, out)?;
        }
        let organisation = &call.request.organisation;
        let paid = self.board.with_budget(|budget| {
            if call.attempt == 0 {
                let percent = view.document.policies.retry_percent;
                budget.earn(&call.pipeline, call.stage, organisation, percent);
                return true;
            }
            self.policy != Policy::Teaselchute
                || budget.take(&call.pipeline, call.stage, organisation)
        });
        if !paid {
            return Err(refuse::no_retry_left(call.attempt));
        }
        let usable = self.servers.iter().any(|server| {
            server.listed && !view.is_drained(&self.name, &server.name, &server.data_centre)
        });
        if !usable {
            return Err(refuse::no_server(&self.name));
        }
        if call.late_answer_wanted && self.queue.len() >= LATE_QUEUE_LIMIT {
            return Err(refuse::queue_full(LATE_QUEUE_LIMIT));
        }
        let later_ms = self
            .board
            .later_ms(now, &view.document, &call.pipeline, call.stage);
        let weight = view
            .document
            .organisations
            .get(organisation)
            .map_or(1, |organisation| organisation.weight);
        let (low_ms, half_ms, tail_ms) = self.stage_ms(now, &call.pipeline, call.stage);
        let wait_ms = self.wait_ms(&call, weight, half_ms);
        // The longer the queue, the surer a call has to be in time, as its room is wanted by others.
        let run_ms = match wait_ms {
            0 => low_ms,
            _ => half_ms + (tail_ms - half_ms) * wait_ms.min(half_ms) / half_ms.max(1),
        };
        let left_ms = call.deadline.since_ms(now);
        let ours = self.policy == Policy::Teaselchute;
        if ours && !call.late_answer_wanted && wait_ms + run_ms + later_ms > left_ms {
            return Err(refuse::deadline(left_ms, wait_ms, run_ms, later_ms));
        }
        self.queue.push(Waiting {
            latest: call.deadline.before_ms(run_ms + later_ms),
            call,
            offered_at: now,
            weight,
        });
        Ok(())
    }

    /// Takes a token of an organisation whose requests are limited, and borrows where few are left.
    fn take_token(
        &mut self,
        now: Instant,
        view: &View,
        organisation: &Name,
        out: &mut Vec<Action>,
    ) -> refuse::Result<()> {
        let Some(limit) = rate_limit(view, organisation) else {
            return Ok(());
        };
        let (taken, borrows) = self.board.with_rates(|rates| {
            let taken = rates.take(now, organisation, limit);
            (taken, rates.borrows(now, organisation, limit))
        });
        let members = &view.roster.members;
        if borrows && !members.is_empty() {
            let to = &members[self.rng.random_range(0..members.len())];
            if *to != view.own.id {
                out.push(Action::Tell {
                    to: to.clone(),
                    message: Message::Borrow {
                        organisation: organisation.clone(),
                    },
                });
            }
        }
        if taken {
            return Ok(());
        }
        Err(refuse::organisation_limit(limit.per_second))
    }

    /// Returns how long a call would wait for its turn, in milliseconds.
    fn wait_ms(&self, call: &Call, weight: u32, half_ms: u64) -> u64 {
        let organisation = &call.request.organisation;
        let ahead = self.queue.ahead(call.priority, organisation, weight) as u64;
        if ahead == 0 {
            return 0;
        }
        (ahead * half_ms / self.slots.max(1)).max(1)
    }

    /// Returns the shortest, typical and long time of a stage, in milliseconds, 0 where unknown.
    fn stage_ms(&self, now: Instant, pipeline: &Name, stage: usize) -> (u64, u64, u64) {
        let times = self
            .times
            .get(pipeline)
            .and_then(|stages| stages.get(stage));
        times.map_or((0, 0, 0), |times| {
            (times.low_ms(now), times.half_ms(now), times.tail_ms(now))
        })
    }

    /// Sends what waits, as far as servers have room.
    fn dispatch(&mut self, now: Instant, view: &View, out: &mut Vec<Action>) {
        if now < self.hold_until {
            return;
        }
        let mut unsent = Vec::new();
        while unsent.len() < DISPATCH_TRIES && !self.open.is_empty() {
            let Some(waiting) = self.queue.pop() else {
                break;
            };
            if waiting.latest < now && !waiting.call.late_answer_wanted {
                let refusal = refuse::late(now, &waiting, self.queue.len(), self.slots);
                out.push(Action::Refuse {
                    call: waiting.call.id,
                    refusal,
                });
                continue;
            }
            let (chosen, candidates) = self.choose(now, view, &waiting.call);
            match chosen {
                Some(index) => self.send(now, view, waiting, index, candidates, out),
                None => unsent.push(waiting),
            }
        }
        for waiting in unsent.into_iter().rev() {
            self.queue.put_back(waiting, now);
        }
    }

    fn send(
        &mut self,
        now: Instant,
        view: &View,
        waiting: Waiting,
        index: usize,
        candidates: Vec<Candidate>,
        out: &mut Vec<Action>,
    ) {
        let server = &mut self.servers[index];
        server.send();
        if self.policy == Policy::Teaselchute {
            assert!(
                server.used() <= server.allowed(&self.bounds),
                "a host never uses more than its share"
            );
        }
        let call = waiting.call;
        let name = server.name.clone();
        out.push(Action::Decide(Decision {
            at: now,
            kind: Kind::Route,
            subject: call.request.subject(),
            stage: Some(call.stage.to_string().into()),
            rule: match self.policy {
                Policy::Teaselchute => self.words.lowest_score.clone(),
                _ => self.words.baseline.clone(),
            },
            choice: name.clone(),
            values: vec![
                value(&self.words.waited, now.since_ms(waiting.offered_at)),
                value(&self.words.left, call.deadline.since_ms(now)),
                value(&self.words.queued, self.queue.len() as u64),
            ],
            candidates,
        }));
        let account = self.book.account(cost::Key {
            organisation: call.request.organisation.clone(),
            pipeline: call.pipeline.clone(),
            stage: call.stage,
        });
        account.calls += 1;
        account.retries += u64::from(call.attempt > 0);
        if server.distance == Distance::Far {
            let bytes = sent_bytes(&call);
            account.metered_bytes += bytes;
            account.price_micro += bytes * server.egress_price_milli / 1_000_000;
        }
        self.sent.insert(
            call.id,
            Sent {
                server: index,
                request: call.request.clone(),
                pipeline: call.pipeline.clone(),
                stage: call.stage,
                prefix: call.prefix,
                offered_at: waiting.offered_at,
                at: now,
                start: None,
                progressed: false,
                aborted: false,
            },
        );
        out.push(Action::Send { call, server: name });
        self.refresh(now, view, index);
    }

    /// Chooses a server for a call, and returns the candidates that were compared.
    fn choose(
        &mut self,
        now: Instant,
        view: &View,
        call: &Call,
    ) -> (Option<usize>, Vec<Candidate>) {
        if self.policy != Policy::Teaselchute {
            return self.choose_baseline(now, view, call);
        }
        let context = choice::Context {
            now,
            bounds: self.bounds,
            typical_ms: choice::typical_or_guess(self.all_times.half_ms(now)),
            price_milli: self.document.as_ref().map_or(0, |pool| pool.price_milli),
            bytes: sent_bytes(call),
        };
        let mut candidates = Vec::with_capacity(choice::SAMPLES + 2);
        let mut best: Option<(u64, usize, usize)> = None;
        let mut seen = [usize::MAX; choice::LOOKS];
        let mut looks = 0;
        let cached = self.affinity.servers(call.prefix).len().min(4);
        let source = self.source_len(call);
        let offset = self.rng.random_range(0..source.max(1));
        let tries = cached + source.min(choice::LOOKS);
        for attempt in 0..tries {
            if candidates.len() >= choice::SAMPLES || looks == choice::LOOKS {
                break;
            }
            let (index, hit) = if attempt < cached {
                let index = self.affinity.servers(call.prefix)[attempt] as usize;
                (index, call.prefix != 0)
            } else if source <= choice::LOOKS {
                (self.source(call, (offset + attempt) % source), false)
            } else {
                let position = self.rng.random_range(0..source);
                (self.source(call, position), false)
            };
            if seen[..looks].contains(&index) {
                continue;
            }
            seen[looks] = index;
            looks += 1;
            let server = &self.servers[index];
            if server.open_at.is_none() || !server.has_room(now, &self.bounds) {
                continue;
            }
            let mut candidate = Candidate {
                name: server.name.clone(),
                values: Vec::new(),
                passed_over: None,
            };
            candidate.passed_over = self.unfit(now, view, call, server);
            if candidate.passed_over.is_none() {
                let score = choice::score(&context, server, hit);
                candidate.values = vec![
                    value(&self.words.score, score),
                    value(&self.words.allowed, u64::from(server.allowed(&self.bounds))),
                    value(&self.words.used, u64::from(server.used())),
                    value(
                        &self.words.limit,
                        u64::from(server.limit.slots(&self.bounds)),
                    ),
                    value(&self.words.estimated, u64::from(server.estimated(now))),
                    value(&self.words.cached, u64::from(hit)),
                ];
                if best.is_none_or(|(least, _, _)| score < least) {
                    best = Some((score, index, candidates.len()));
                }
            }
            candidates.push(candidate);
        }
        let chosen = best.map(|(_, index, position)| {
            for (at, candidate) in candidates.iter_mut().enumerate() {
                if at != position && candidate.passed_over.is_none() {
                    candidate.passed_over = Some(self.words.higher_score.clone());
                }
            }
            index
        });
        (chosen, candidates)
    }

    /// Returns why a server can't take a call, or nothing where it can.
    fn unfit(&self, now: Instant, view: &View, call: &Call, server: &Server) -> Option<Name> {
        if call.avoid.contains(&server.name) {
            return Some(self.words.avoided.clone());
        }
        if view.is_drained(&self.name, &server.name, &server.data_centre) {
            return Some(self.words.drained.clone());
        }
        if !may_start(now, view, server) {
            return Some(self.words.stale_news.clone());
        }
        let loaded = match (&call.model, &server.models) {
            (Some(model), Some(models)) => models.contains(model),
            // With no news of models in the pool, all its servers are taken as able.
            (Some(_), None) => self.models.is_empty(),
            (None, _) => true,
        };
        (!loaded).then(|| self.words.no_model.clone())
    }

    /// Returns the number of servers among which candidates are sampled.
    fn source_len(&self, call: &Call) -> usize {
        match self.with_model(call) {
            Some(servers) => servers.len(),
            None => self.open.len(),
        }
    }

    fn source(&self, call: &Call, position: usize) -> usize {
        match self.with_model(call) {
            Some(servers) => servers[position],
            None => self.open[position],
        }
    }

    fn with_model(&self, call: &Call) -> Option<&Vec<usize>> {
        self.models.get(call.model.as_ref()?)
    }

    fn choose_baseline(
        &mut self,
        now: Instant,
        view: &View,
        call: &Call,
    ) -> (Option<usize>, Vec<Candidate>) {
        let fits = |pool: &Self, index: usize| {
            let server = &pool.servers[index];
            server.open_at.is_some() && pool.unfit(now, view, call, server).is_none()
        };
        let open: Vec<usize> = (0..self.servers.len())
            .filter(|&index| fits(self, index))
            .collect();
        if open.is_empty() {
            return (None, Vec::new());
        }
        let load = |index: &usize| self.servers[*index].in_flight;
        let chosen = match self.policy {
            Policy::RoundRobin => {
                self.turn += 1;
                open[self.turn % open.len()]
            }
            Policy::LeastOutstanding => *open.iter().min_by_key(|index| load(index)).expect("some"),
            Policy::TwoChoices => {
                let one = open[self.rng.random_range(0..open.len())];
                let two = open[self.rng.random_range(0..open.len())];
                if load(&two) < load(&one) { two } else { one }
            }
            Policy::Random | Policy::Teaselchute => open[self.rng.random_range(0..open.len())],
        };
        (Some(chosen), Vec::new())
    }

    fn cancel(&mut self, id: call::Id, out: &mut Vec<Action>) {
        if self.queue.remove(id).is_some() {
            return;
        }
        let Some(sent) = self.sent.get_mut(&id) else {
            return;
        };
        if !sent.aborted {
            sent.aborted = true;
            out.push(Action::Abort {
                call: id,
                server: self.servers[sent.server].name.clone(),
            });
        }
    }

    #[expect(clippy::too_many_arguments, reason = "these are the event's fields")]
    fn ended(
        &mut self,
        now: Instant,
        view: &View,
        id: call::Id,
        name: &Name,
        start: Option<Start>,
        end: &End,
        out: &mut Vec<Action>,
    ) {
        let Some(sent) = self.sent.remove(&id) else {
            return;
        };
        let index = sent.server;
        assert!(
            self.servers[index].name == *name,
            "a call ends where it was sent"
        );
        assert!(self.servers[index].in_flight > 0, "calls in flight match");
        self.servers[index].in_flight -= 1;
        if let Some(start) = start {
            self.hear(now, index, start, out);
        }
        match end {
            End::Answered(_) => {
                self.answered(now, index, &sent, start);
                self.vouch(now, index, sent.at, out);
            }
            End::Failed => self.failed(now, index, &sent, start),
            End::Refused => {
                // A server that refuses carries less than was believed.
                self.servers[index].limit.cool();
                self.failed(now, index, &sent, start);
            }
            End::NotSent => self.lost(now, index),
            End::Lost => {
                let timeout_ms = self
                    .document
                    .as_ref()
                    .map_or(0, |pool| pool.call_timeout_ms);
                let until = sent.at.after_ms(timeout_ms);
                self.lost(now, index);
                let server = &mut self.servers[index];
                let over = sent.start.is_some() && sent.start != server.limit.start();
                if !over && until > now {
                    server.linger(until, sent.start);
                }
            }
            End::Cancelled => {
                // A call that was given up would have taken longer still.
                let ms = now.since_ms(sent.at);
                let times = stage_times(&mut self.times, &sent.pipeline, sent.stage);
                if ms > times.tail_ms(now) {
                    times.add(now, ms);
                }
                self.charge(&sent, ms, false);
            }
        }
        self.refresh(now, view, index);
    }

    fn answered(&mut self, now: Instant, index: usize, sent: &Sent, start: Option<Start>) {
        let ms = now.since_ms(sent.at);
        let typical_ms = self.all_times.half_ms(now);
        let good = typical_ms == 0 || ms <= typical_ms * REMARKABLE;
        let server = &mut self.servers[index];
        server.answers();
        server.note_failure(false);
        let known_ms = match server.typical_ms {
            0 => choice::typical_or_guess(typical_ms),
            known => known,
        };
        server.typical_ms = known_ms - known_ms / 8 + ms / 8;
        server.limit.reply(now, start, sent.at, good, &self.bounds);
        self.all_times.add(now, ms);
        stage_times(&mut self.times, &sent.pipeline, sent.stage).add(now, ms);
        let whole_ms = now.since_ms(sent.offered_at);
        self.board.took(now, &sent.pipeline, sent.stage, whole_ms);
        if sent.prefix != 0 {
            self.affinity.note(sent.prefix, index, true);
        }
        self.charge(sent, ms, true);
    }

    fn failed(&mut self, now: Instant, index: usize, sent: &Sent, start: Option<Start>) {
        let server = &mut self.servers[index];
        server.answers();
        server.note_failure(true);
        server.limit.reply(now, start, sent.at, false, &self.bounds);
        self.charge(sent, now.since_ms(sent.at), false);
    }

    fn lost(&mut self, now: Instant, index: usize) {
        let jitter = self.rng.random_range(0..1 << 16);
        let server = &mut self.servers[index];
        server.limit.lose();
        server.question.close();
        server.note_failure(true);
        server.back_off(now, jitter);
    }

    /// Answers the hosts that asked before the call was sent which this server has now answered.
    fn vouch(&mut self, now: Instant, index: usize, sent_at: Instant, out: &mut Vec<Action>) {
        let server = &mut self.servers[index];
        let Some(start) = server.limit.start() else {
            return;
        };
        let limit = server.limit.slots(&self.bounds);
        for asker in server.inbox.take(now, sent_at) {
            out.push(Action::Tell {
                to: asker.from,
                message: Message::Vouch {
                    server: server.name.clone(),
                    start,
                    limit,
                    number: asker.number,
                },
            });
        }
    }

    /// Asks other hosts about servers of which this host doesn't know that they are warm.
    fn ask(&mut self, now: Instant, view: &View, out: &mut Vec<Action>) {
        if self.policy != Policy::Teaselchute {
            return;
        }
        let mut asked = 0;
        for _ in 0..self.servers.len() {
            self.ask_next = (self.ask_next + 1) % self.servers.len();
            let server = &mut self.servers[self.ask_next];
            // Hosts with a single slot ask too, as others learn faster together.
            let wants = server.listed
                && !server.limit.is_full(&self.bounds)
                && server.share(self.bounds.full) > 0;
            if !wants || !server.question.is_due(now) {
                continue;
            }
            let draw = self.rng.random_range(0..1 << 16);
            let members = &view.roster.members;
            let holders = share::holders(&self.name, &server.name, members, self.bounds.cold);
            let Some(to) = vouch::whom(&view.own.id, members, &holders, draw) else {
                continue;
            };
            self.asked += 1;
            let number = server.question.ask(now, self.asked);
            out.push(Action::Tell {
                to,
                message: Message::Ask {
                    server: server.name.clone(),
                    number,
                },
            });
            asked += 1;
            if asked == vouch::ASKS_PER_TICK {
                return;
            }
        }
    }

    fn message(
        &mut self,
        now: Instant,
        view: &View,
        from: host::Id,
        message: Message,
        out: &mut Vec<Action>,
    ) {
        match message {
            Message::Ask { server, number } => {
                if let Some(&index) = self.names.get(&server) {
                    self.servers[index].inbox.put(now, from, number);
                }
            }
            Message::Borrow { organisation } => {
                let Some(limit) = rate_limit(view, &organisation) else {
                    return;
                };
                let lend = |rates: &mut rate::Rates| rates.lend(now, &organisation, limit);
                let tokens = self.board.with_rates(lend);
                if tokens > 0 {
                    let message = Message::Lend {
                        organisation,
                        tokens,
                    };
                    out.push(Action::Tell { to: from, message });
                }
            }
            Message::Lend {
                organisation,
                tokens,
            } => {
                if let Some(limit) = rate_limit(view, &organisation) {
                    self.board
                        .with_rates(|rates| rates.receive(now, &organisation, limit, tokens));
                }
            }
            Message::Vouch {
                server,
                start,
                limit,
                number,
            } => {
                let Some(&index) = self.names.get(&server) else {
                    return;
                };
                if !self.servers[index].question.is_open(number) {
                    return;
                }
                self.hear(now, index, start, out);
                let server = &mut self.servers[index];
                server.limit.vouch(start, limit);
                server.question.close();
                self.refresh(now, view, index);
            }
        }
    }

    fn charge(&mut self, sent: &Sent, run_ms: u64, answered: bool) {
        let price_milli = self.document.as_ref().map_or(0, |pool| pool.price_milli);
        let account = self.book.account(cost::Key {
            organisation: sent.request.organisation.clone(),
            pipeline: sent.pipeline.clone(),
            stage: sent.stage,
        });
        account.run_ms += run_ms;
        account.answered += u64::from(answered);
        account.price_micro += run_ms * price_milli;
    }

    fn progress(
        &mut self,
        now: Instant,
        id: call::Id,
        start: Option<Start>,
        out: &mut Vec<Action>,
    ) {
        let Some(sent) = self.sent.get_mut(&id) else {
            return;
        };
        let (index, at, first) = (sent.server, sent.at, !sent.progressed);
        sent.progressed = true;
        sent.start = start.or(sent.start);
        if !first {
            return;
        }
        if let Some(start) = start {
            self.hear(now, index, start, out);
        }
        let server = &mut self.servers[index];
        server.answers();
        server.limit.reply(now, start, at, true, &self.bounds);
        self.vouch(now, index, at, out);
    }

    fn load(&mut self, now: Instant, view: &View, name: &Name, load: Load, out: &mut Vec<Action>) {
        let Some(&index) = self.names.get(name) else {
            return;
        };
        self.hear(now, index, load.start, out);
        let hosts = view.roster.members.len() as u32;
        let draw = self.rng.random();
        self.servers[index].report(now, load, &self.bounds, hosts, draw);
        self.refresh(now, view, index);
    }

    fn notice(&mut self, now: Instant, name: &Name, start: Start, out: &mut Vec<Action>) {
        if let Some(&index) = self.names.get(name) {
            // The notice reaches all hosts, so that nobody passes it on.
            self.hear(now, index, start, out);
            out.retain(|action| !matches!(action, Action::TellCold { .. }));
        }
    }

    /// Takes a server's life as told by a reply, report or notice.
    fn hear(&mut self, now: Instant, index: usize, start: Start, out: &mut Vec<Action>) {
        let server = &mut self.servers[index];
        let before = server.limit.slots(&self.bounds);
        let Evidence::NewStart(start) = server.limit.hear(start) else {
            return;
        };
        server.turn_cold();
        server.question.close();
        self.affinity.forget(index);
        out.push(Action::TellCold {
            server: self.servers[index].name.clone(),
            start,
        });
        out.push(Action::Decide(Decision {
            at: now,
            kind: Kind::Limit,
            subject: self.servers[index].name.clone(),
            stage: None,
            rule: Name::from("new_start"),
            choice: Name::from("cold"),
            values: vec![
                value(&Name::from("limit_before_calls"), u64::from(before)),
                value(&self.words.limit, u64::from(self.bounds.cold)),
            ],
            candidates: Vec::new(),
        }));
    }

    fn note_models(&mut self, name: &Name, models: Vec<Name>) {
        let Some(&index) = self.names.get(name) else {
            return;
        };
        for servers in self.models.values_mut() {
            servers.retain(|known| *known != index);
        }
        for model in &models {
            self.models.entry(model.clone()).or_default().push(index);
        }
        self.servers[index].models = Some(models.into_iter().collect());
    }
}

/// Returns the limit of an organisation's requests, nothing where it has none.
fn rate_limit(view: &View, organisation: &Name) -> Option<rate::Limit> {
    let described = view.document.organisations.get(organisation)?;
    Some(rate::Limit {
        per_second: described.requests_per_second?,
        hosts: view.roster.members.len() as u32,
    })
}

fn distance(view: &View, data_centre: &Name) -> Distance {
    if *data_centre == view.own.data_centre {
        return Distance::DataCentre;
    }
    match view.document.data_centres.get(data_centre) {
        Some(described) if described.region == view.own.region => Distance::Region,
        _ => Distance::Far,
    }
}

fn sent_bytes(call: &Call) -> u64 {
    let previous = call.previous.as_ref().map_or(0, |body| body.len());
    (call.body.len() + previous) as u64
}

fn stage_times<'a>(
    times: &'a mut BTreeMap<Name, Vec<Histogram>>,
    pipeline: &Name,
    stage: usize,
) -> &'a mut Histogram {
    if !times.contains_key(pipeline) {
        times.insert(pipeline.clone(), Vec::new());
    }
    let stages = times.get_mut(pipeline).expect("just inserted");
    if stages.len() <= stage {
        stages.resize_with(stage + 1, Histogram::new);
    }
    &mut stages[stage]
}

/// Returns whether this host's news is fresh enough for new work in a server's data centre.
fn may_start(now: Instant, view: &View, server: &Server) -> bool {
    match freshness::allowance(view, now) {
        Allowance::All => true,
        Allowance::OwnRegion => {
            let data_centre = view.document.data_centres.get(&server.data_centre);
            data_centre.is_some_and(|it| it.region == view.own.region)
        }
        Allowance::Nothing => false,
    }
}
