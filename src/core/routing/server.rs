//! A host's state of one backend server, and the number of calls that the host may send to it.

use std::collections::BTreeSet;

use super::{
    limit::{
        Bounds,
        Limit, //
    },
    query,
    roster::History,
    share::Position, //
};
use crate::{
    core::{
        call::{
            Incarnation,
            Load, //
        },
        host::Id,
    },
    names::Name,
    time::Instant,
};

/// Age from which a load report is stale and ignored, in milliseconds.
const LOAD_STALE_MS: u64 = 3_000;

/// Base of the exponential backoff after a failed connection, in milliseconds.
const BASE_BACKOFF_MS: u64 = 100;

/// Maximum number of times that the backoff is doubled.
const MAX_BACKOFF_DOUBLINGS: u32 = 5;

/// Scale of the failure rate: a server with this rate fails all calls.
pub const FAILURE_SCALE: u32 = 1_024;

/// Weight of one call in the moving average of the failure rate, as a right shift.
const FAILURE_WEIGHT_SHIFT: u32 = 4;

/// Each tick reduces the failure rate by its value divided by this.
const FAILURE_DECAY_DIVISOR: u32 = 64;

/// A host may use its part of a server's idle slots divided by this, beyond its share.
const EXTRA_SLOTS_DIVISOR: u32 = 2;

/// Network distance of a server from this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// In the same data centre.
    SameDataCentre,
    /// In another data centre of the same region.
    SameRegion,
    /// In another region.
    OtherRegion,
}

/// Slot reserved for a call that ended for this host and may still run on the server.
#[derive(Clone, Copy, Debug)]
struct Reservation {
    until: Instant,
    /// Incarnation of the server that is known to have run the call.
    incarnation: Option<Incarnation>,
}

/// A host's state of one backend server.
pub struct Server {
    /// Its name.
    pub name: Name,
    /// Its data centre.
    pub data_centre: Name,
    /// Its network distance from this host.
    pub distance: Distance,
    /// Price of a gigabyte sent to or from it, in thousandths of the operators' price unit.
    pub egress_price_milli: u64,
    /// Whether the document lists it.
    pub listed: bool,
    /// Estimated limit of its concurrent calls.
    pub limit: Limit,
    /// Calls of this host that run on it.
    pub in_flight: u32,
    /// Models that it can serve, `None` if it has never reported any.
    pub models: Option<BTreeSet<Name>>,
    /// Moving average of the fraction of calls that fail, in units of 1 / [`FAILURE_SCALE`].
    pub failure_rate: u32,
    /// Time before which no calls are sent to it.
    pub backoff_until: Instant,
    /// Its index in the pool's list of servers with room, `None` if it isn't in the list.
    pub open_index: Option<usize>,
    /// Typical duration of a call in milliseconds, 0 if unknown.
    pub typical_ms: u64,
    /// This host's capacity query to other hosts.
    pub query: query::Query,
    /// Capacity queries of other hosts.
    pub inbox: query::Inbox,
    consecutive_failures: u32,
    reservations: Vec<Reservation>,
    load: Option<(Load, Instant)>,
    sent_since_load: u32,
    in_flight_at_load: u32,
    /// Slots beyond the share, granted by the last load report of a warm server.
    extra_slots: u32,
    positions: Vec<Position>,
    rosters_version: Option<u64>,
    positions_until: Option<Instant>,
}

impl Server {
    /// Creates a server of which nothing is known.
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
            open_index: None,
            typical_ms: 0,
            query: query::Query::default(),
            inbox: query::Inbox::default(),
            consecutive_failures: 0,
            reservations: Vec::new(),
            load: None,
            sent_since_load: 0,
            in_flight_at_load: 0,
            extra_slots: 0,
            positions: Vec::new(),
            rosters_version: None,
            positions_until: None,
        }
    }

    /// Updates this host's positions if the rosters in effect have changed.
    pub fn update_positions(
        &mut self,
        now: Instant,
        pool: &str,
        own: &Id,
        rosters: &History,
        timeout_ms: u64,
    ) {
        let is_expired = self.positions_until.is_some_and(|until| until <= now);
        if self.rosters_version == Some(rosters.version()) && !is_expired {
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
        self.rosters_version = Some(rosters.version());
        self.positions_until = until;
    }

    /// Returns this host's share of a limit: the smallest under all rosters in effect.
    pub fn share(&self, limit: u32) -> u32 {
        let shares = self.positions.iter().map(|position| position.slots(limit));
        shares.min().unwrap_or(0)
    }

    /// Returns how many calls this host may run on the server at once.
    pub fn allowed(&self, bounds: &Bounds) -> u32 {
        let limit = self.limit.slots(bounds);
        let share = self.share(limit);
        let is_member = self
            .positions
            .iter()
            .all(|position| position.rank.is_some());
        if limit < bounds.full || self.limit.is_suspect() || !is_member {
            return share;
        }
        (share + self.extra_slots).min(bounds.full)
    }

    /// Returns how many calls of this host are running or may still be running on the server.
    pub fn used(&self) -> u32 {
        self.in_flight + self.reservations.len() as u32
    }

    /// Returns whether another call may be sent.
    pub fn has_room(&self, now: Instant, bounds: &Bounds) -> bool {
        self.listed && now >= self.backoff_until && self.used() < self.allowed(bounds)
    }

    /// Estimates the calls of all hosts on the server, from its last load report and what was sent
    /// since.
    pub fn estimated_calls(&self, now: Instant) -> u32 {
        let Some((load, received_at)) = self.load else {
            return self.in_flight;
        };
        if now.since_ms(received_at) > LOAD_STALE_MS {
            return self.in_flight;
        }
        let reported = load.running + load.waiting;
        let others = reported.saturating_sub(self.in_flight_at_load);
        (others + self.in_flight).max(self.in_flight + self.sent_since_load / 2)
    }

    /// Records that a call is sent.
    pub fn record_send(&mut self) {
        self.in_flight += 1;
        self.sent_since_load += 1;
    }

    /// Processes a load report.
    ///
    /// A report never raises the limit. It only grants extra slots of a warm server.
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
        let reported = load.running + load.waiting;
        if reported >= bounds.full {
            self.extra_slots = excess / 2;
            return;
        }
        // Each host takes its part of the idle slots and keeps the extra slots that it uses. So the
        // hosts together exceed the limit only slightly, although their reports are late.
        let idle = bounds.full - reported;
        let divisor = (EXTRA_SLOTS_DIVISOR * hosts).max(1);
        let remainder = u32::from(draw % divisor < idle % divisor);
        let minimum = u32::from(2 * idle >= bounds.full);
        let portion = (idle / divisor + remainder).max(minimum);
        self.extra_slots = (excess + portion).min(bounds.full);
    }

    /// Drops the extra slots if the load report is stale, frees expired reservations and decays the
    /// failure rate.
    pub fn tick(&mut self, now: Instant) {
        let is_stale = self
            .load
            .is_none_or(|(_, received_at)| now.since_ms(received_at) > LOAD_STALE_MS);
        if is_stale {
            self.extra_slots = 0;
        }
        self.reservations
            .retain(|reservation| reservation.until > now);
        // Without decay a server that gets no calls would keep its failure rate, and so would never
        // get calls again.
        self.failure_rate -= self.failure_rate.div_ceil(FAILURE_DECAY_DIVISOR);
    }

    /// Discards the state of the previous incarnation.
    pub fn reset_to_cold(&mut self) {
        self.load = None;
        self.extra_slots = 0;
        self.typical_ms = 0;
        self.failure_rate = 0;
        self.reset_backoff();
        let incarnation = self.limit.incarnation();
        self.reservations.retain(|reservation| {
            reservation.incarnation.is_none() || reservation.incarnation == incarnation
        });
    }

    /// Reserves the slot of a call that may still be running.
    pub fn reserve_slot(&mut self, until: Instant, incarnation: Option<Incarnation>) {
        self.reservations.push(Reservation { until, incarnation });
    }

    /// Updates the failure rate with the outcome of a call.
    pub fn record_outcome(&mut self, failed: bool) {
        self.failure_rate -= self.failure_rate >> FAILURE_WEIGHT_SHIFT;
        if failed {
            self.failure_rate += FAILURE_SCALE >> FAILURE_WEIGHT_SHIFT;
        }
    }

    /// Starts or extends the backoff after a failed connection.
    pub fn back_off(&mut self, now: Instant, jitter: u64) {
        let doublings = self.consecutive_failures.min(MAX_BACKOFF_DOUBLINGS);
        let base_ms = BASE_BACKOFF_MS << doublings;
        self.consecutive_failures += 1;
        self.backoff_until = now.after_ms(base_ms / 2 + jitter % base_ms);
    }

    /// Ends the backoff, since the server answers.
    pub fn reset_backoff(&mut self) {
        self.consecutive_failures = 0;
        self.backoff_until = Instant::ZERO;
    }
}
