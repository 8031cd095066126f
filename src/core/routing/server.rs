//! What one host knows of one backend server, and how many calls it may have there.

use std::collections::BTreeSet;

use super::{
    limit::{
        Bounds,
        Limit, //
    },
    query, //
    roster::History,
    share::Position,
};
use crate::{
    core::{
        call::{
            Incarnation, //
            Load,
        },
        host::Id,
    },
    names::Name,
    time::Instant,
};

/// Age at which a load report isn't used any more, in milliseconds.
const LOAD_STALE_MS: u64 = 3_000;

/// Shortest wait after a failed connection, in milliseconds.
const BASE_BACKOFF_MS: u64 = 100;

/// Number of doublings of that wait.
const MAX_BACKOFF_DOUBLINGS: u32 = 5;

/// Scale of the failure rate: all calls fail.
pub const FAILURE_SCALE: u32 = 1_024;

/// Part of the failure rate that one call replaces, as a shift.
const FAILURE_WEIGHT_SHIFT: u32 = 4;

/// Part of the failure rate that fades with each tick, as a divisor.
const FAILURE_DECAY_DIVISOR: u32 = 64;

/// Part of its part of a server's idle room that a host may use beyond its share, as a divisor.
const EXTRA_DIVISOR: u32 = 2;

/// Where a server stands as seen from this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// In the same data centre.
    SameDataCentre,
    /// In another data centre of the same region.
    SameRegion,
    /// In another region.
    OtherRegion,
}

/// A call that ended for this host and may run on at the server.
#[derive(Clone, Copy, Debug)]
struct Reservation {
    until: Instant,
    /// The life in which it surely ran.
    incarnation: Option<Incarnation>,
}

/// What one host knows of one backend server.
pub struct Server {
    /// Its name.
    pub name: Name,
    /// Its data centre.
    pub data_centre: Name,
    /// Where it stands.
    pub distance: Distance,
    /// Price of a gigabyte to and from it, in thousandths of the operators' unit.
    pub egress_price_milli: u64,
    /// Whether the document lists it.
    pub listed: bool,
    /// The belief about what it carries.
    pub limit: Limit,
    /// Calls of this host that run there.
    pub in_flight: u32,
    /// Models that it can serve, nothing where it never said.
    pub models: Option<BTreeSet<Name>>,
    /// Part of calls that fail, of [`FAILURE_SCALE`].
    pub failure_rate: u32,
    /// No calls are sent before this.
    pub backoff_until: Instant,
    /// Position among the servers with room.
    pub open_position: Option<usize>,
    /// Typical time of a call, in milliseconds, 0 where unknown.
    pub typical_ms: u64,
    /// This host's question to others.
    pub query: query::Query,
    /// Questions of other hosts.
    pub inbox: query::Inbox,
    failures_in_row: u32,
    reservations: Vec<Reservation>,
    load: Option<(Load, Instant)>,
    sent_since_load: u32,
    in_flight_at_load: u32,
    extra: u32,
    positions: Vec<Position>,
    positions_version: Option<u64>,
    positions_until: Option<Instant>,
}

impl Server {
    /// Makes a server of which nothing is known.
    pub fn new(name: Name, data_centre: Name) -> Self {
        Self {
            name,
            data_centre,
            distance: Distance::OtherRegion,
            egress_price_milli: 0,
            listed: true,
            limit: Limit::new(),
            in_flight: 0,
            models: None,
            failure_rate: 0,
            backoff_until: Instant::ZERO,
            open_position: None,
            typical_ms: 0,
            query: query::Query::default(),
            inbox: query::Inbox::default(),
            failures_in_row: 0,
            reservations: Vec::new(),
            load: None,
            sent_since_load: 0,
            in_flight_at_load: 0,
            extra: 0,
            positions: Vec::new(),
            positions_version: None,
            positions_until: None,
        }
    }

    /// Computes this host's places anew where the rosters that count have changed.
    pub fn update_positions(
        &mut self,
        now: Instant,
        pool: &str,
        own: &Id,
        rosters: &History,
        timeout_ms: u64,
    ) {
        let expired = self.positions_until.is_some_and(|until| until <= now);
        if self.positions_version == Some(rosters.version()) && !expired {
            return;
        }
        let (in_effect, until) = rosters.in_effect(now, timeout_ms);
        self.positions = in_effect
            .into_iter()
            .map(|members| match members {
                Some(members) => Position::of(own, pool, &self.name, members),
                None => Position::NONE,
            })
            .collect();
        self.positions_version = Some(rosters.version());
        self.positions_until = until;
    }

    /// Returns this host's slots at a limit, the fewest under all rosters that count.
    pub fn share(&self, limit: u32) -> u32 {
        let shares = self.positions.iter().map(|position| position.slots(limit));
        shares.min().unwrap_or(0)
    }

    /// Returns how many calls this host may have on the server.
    pub fn allowed(&self, bounds: &Bounds) -> u32 {
        let limit = self.limit.slots(bounds);
        let share = self.share(limit);
        let member = self
            .positions
            .iter()
            .all(|position| position.rank.is_some());
        if limit < bounds.full || self.limit.is_suspect() || !member {
            return share;
        }
        (share + self.extra).min(bounds.full)
    }

    /// Returns how many calls of this host may run on the server.
    pub fn used(&self) -> u32 {
        self.in_flight + self.reservations.len() as u32
    }

    /// Returns whether one more call may be sent.
    pub fn has_room(&self, now: Instant, bounds: &Bounds) -> bool {
        self.listed && now >= self.backoff_until && self.used() < self.allowed(bounds)
    }

    /// Returns the number of calls on the server, from its last report and what was sent since.
    pub fn estimated_calls(&self, now: Instant) -> u32 {
        let Some((load, at)) = self.load else {
            return self.in_flight;
        };
        if now.since_ms(at) > LOAD_STALE_MS {
            return self.in_flight;
        }
        let reported = load.running + load.waiting;
        let others = reported.saturating_sub(self.in_flight_at_load);
        (others + self.in_flight).max(self.in_flight + self.sent_since_load / 2)
    }

    /// Notes a call that is sent.
    pub fn record_send(&mut self) {
        self.in_flight += 1;
        self.sent_since_load += 1;
    }

    /// Takes a load report. It never raises the limit: it may only lend room of a warm server.
    pub fn apply_load(&mut self, now: Instant, load: Load, bounds: &Bounds, hosts: u32, draw: u32) {
        let is_newer = self.load.is_none_or(|(known, _)| {
            known.incarnation != load.incarnation || known.sequence < load.sequence //
        });
        if !is_newer || self.limit.incarnation() != Some(load.incarnation) {
            return;
        }
        self.load = Some((load, now));
        self.sent_since_load = 0;
        self.in_flight_at_load = self.in_flight;
        let excess = self.in_flight.saturating_sub(self.share(bounds.full));
        let total = load.running + load.waiting;
        if total >= bounds.full {
            self.extra = excess / 2;
            return;
        }
        // Each host lends itself its part of what is idle and keeps what it uses, so that all
        // together take little more than there is, though their reports are late.
        let idle = bounds.full - total;
        let divisor = (EXTRA_DIVISOR * hosts).max(1);
        let remainder = u32::from(draw % divisor < idle % divisor);
        let minimum = u32::from(2 * idle >= bounds.full);
        let portion = (idle / divisor + remainder).max(minimum);
        self.extra = (excess + portion).min(bounds.full);
    }

    /// Takes back what was lent, where no report justifies it any more.
    pub fn tick(&mut self, now: Instant) {
        let stale = self
            .load
            .is_none_or(|(_, at)| now.since_ms(at) > LOAD_STALE_MS);
        if stale {
            self.extra = 0;
        }
        self.reservations.retain(|call| call.until > now);
        // Without calls the failures of an hour ago would keep all calls away for ever.
        self.failure_rate -= self.failure_rate.div_ceil(FAILURE_DECAY_DIVISOR);
    }

    /// Forgets what was known of the life before.
    pub fn reset_to_cold(&mut self) {
        self.load = None;
        self.extra = 0;
        self.typical_ms = 0;
        self.failure_rate = 0;
        self.reset_backoff();
        let incarnation = self.limit.incarnation();
        self.reservations
            .retain(|call| call.incarnation.is_none() || call.incarnation == incarnation);
    }

    /// Keeps the slot of a call that may run on.
    pub fn reserve_slot(&mut self, until: Instant, incarnation: Option<Incarnation>) {
        self.reservations.push(Reservation { until, incarnation });
    }

    /// Notes whether a call failed.
    pub fn record_outcome(&mut self, failed: bool) {
        self.failure_rate -= self.failure_rate >> FAILURE_WEIGHT_SHIFT;
        if failed {
            self.failure_rate += FAILURE_SCALE >> FAILURE_WEIGHT_SHIFT;
        }
    }

    /// Notes that a connection failed: the next call waits.
    pub fn back_off(&mut self, now: Instant, jitter: u64) {
        let doublings = self.failures_in_row.min(MAX_BACKOFF_DOUBLINGS);
        let base_ms = BASE_BACKOFF_MS << doublings;
        self.failures_in_row += 1;
        self.backoff_until = now.after_ms(base_ms / 2 + jitter % base_ms);
    }

    /// Notes that the server answers.
    pub fn reset_backoff(&mut self) {
        self.failures_in_row = 0;
        self.backoff_until = Instant::ZERO;
    }
}
