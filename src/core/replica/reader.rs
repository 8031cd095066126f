//! Reading the log: following it, and searching it for a state to continue from.
//!
//! While following, each read starts at the newest applied record. If the log holds another record
//! there, or ends before it, the log has lost records: see `docs/configuration-design.md`.

use std::{
    cmp::Ordering,
    collections::BTreeMap, //
};

use super::{
    Action,
    Replica,
    message::Item,
    snapshots, //
};
use crate::{
    core::{
        log::{
            self,
            Entry,
            Offset,
            Token, //
        },
        state::{
            Anchor,
            Position,
            Record,
            Snapshot, //
        },
    },
    time::Instant,
};

/// Time between two reads while the log has no new records and few hosts read, in milliseconds.
const POLL_INTERVAL_MS: u64 = 250;

/// Number of hosts up to which each reads every [`POLL_INTERVAL_MS`]. With more hosts, each reads
/// less often, so that the load on the log stays bounded.
const FULL_RATE_HOSTS: u64 = 60;

/// Maximum time between two reads, for any number of hosts, in milliseconds.
const MAX_POLL_INTERVAL_MS: u64 = 2_000;

/// Time after a successful comparison with the log during which it may be appended to, in
/// milliseconds.
const VERIFICATION_VALID_MS: u64 = 4_000;

/// Time after which a read counts as failed, in milliseconds.
const READ_TIMEOUT_MS: u64 = 2_000;

/// Time between two searches of a log that holds no usable state, in milliseconds.
const SEARCH_INTERVAL_MS: u64 = 500;

/// A read that isn't answered yet.
struct Outstanding {
    token: Token,
    sent_at: Instant,
    /// Position when the read was sent. Other hosts may have sent more records since.
    applied: Position,
}

/// Progress of a search of the whole log.
pub(super) struct Search {
    /// Oldest offset that was read.
    first: Offset,
    /// Next offset to read.
    next: Offset,
    /// Digests of all records read.
    digests: BTreeMap<Offset, u64>,
}

impl Search {
    fn starting_at(first: Offset) -> Self {
        Self {
            first,
            next: first,
            digests: BTreeMap::new(),
        }
    }
}

/// Mode in which the log is read.
pub(super) enum Mode {
    /// Reads and applies new records, starting at the newest applied one.
    Follow,
    /// Reads the whole log from its oldest record, for a snapshot or anchor to continue from.
    Search(Search),
}

/// State of reading the log.
pub(super) struct Reader {
    pub(super) mode: Mode,
    last_token: u64,
    outstanding: Option<Outstanding>,
    next_read_at: Instant,
    /// Since when all reads failed.
    pub(super) failed_since: Option<Instant>,
    /// When the log was last verified to match the applied records, unless a read failed since.
    verified_at: Option<Instant>,
    /// Position up to which the log was verified to match the applied records.
    verified: Position,
    /// Whether a search found no newer snapshot or anchor. The log may then be followed even if it
    /// no longer keeps the newest applied record, to which its digest would be compared.
    searched: bool,
}

impl Reader {
    pub(super) fn new() -> Self {
        Self {
            mode: Mode::Follow,
            last_token: 0,
            outstanding: None,
            next_read_at: Instant::ZERO,
            failed_since: None,
            verified_at: None,
            verified: Position::default(),
            searched: false,
        }
    }

    /// Returns a token that no append or read has used before.
    pub(super) fn next_token(&mut self) -> Token {
        self.last_token += 1;
        Token(self.last_token)
    }

    /// Schedules the next read for the next tick.
    pub(super) fn poll_now(&mut self, now: Instant) {
        self.next_read_at = self.next_read_at.min(now);
    }

    /// Forgets the outstanding read, so that its reply has no effect.
    pub(super) fn drop_outstanding(&mut self, now: Instant) {
        self.outstanding = None;
        self.poll_now(now);
    }

    /// Follows the log from the new position after the state was replaced.
    pub(super) fn resume_following(&mut self, now: Instant) {
        self.mode = Mode::Follow;
        self.verified_at = None;
        self.drop_outstanding(now);
    }

    /// Returns whether the log may be appended to: a recent read showed that it matches the applied
    /// records.
    pub(super) fn is_verified(&self, now: Instant) -> bool {
        let verified_at = self.verified_at;
        self.is_following()
            && verified_at.is_some_and(|at| now.since_ms(at) <= VERIFICATION_VALID_MS)
    }

    /// Returns whether the log is followed, not searched.
    pub(super) fn is_following(&self) -> bool {
        matches!(self.mode, Mode::Follow)
    }
}

impl Replica {
    /// Sends a read if one is due.
    pub(super) fn poll(&mut self, now: Instant, out: &mut Vec<Action>) {
        if let Some(outstanding) = &self.reader.outstanding {
            if now.since_ms(outstanding.sent_at) < READ_TIMEOUT_MS {
                return;
            }
            let token = outstanding.token;
            self.on_read_failed(now, token);
        }
        if now < self.reader.next_read_at {
            return;
        }
        let from = match &self.reader.mode {
            Mode::Follow => self.position.next.saturating_sub(1),
            Mode::Search(search) => search.next,
        };
        let token = self.reader.next_token();
        self.reader.outstanding = Some(Outstanding {
            token,
            sent_at: now,
            applied: self.position,
        });
        out.push(Action::Log(log::Action::Read { token, from }));
    }

    /// Handles a read that failed or timed out.
    pub(super) fn on_read_failed(&mut self, now: Instant, token: Token) {
        if self.take_outstanding(token).is_some() {
            self.reader.verified_at = None;
            self.reader.failed_since.get_or_insert(now);
            self.schedule_read(now, POLL_INTERVAL_MS);
        }
    }

    /// Handles the reply to a read. Replies to reads that aren't outstanding are ignored.
    pub(super) fn on_read(
        &mut self,
        now: Instant,
        token: Token,
        log_start: Offset,
        log_end: Offset,
        entries: Vec<Entry>,
    ) {
        let Some(outstanding) = self.take_outstanding(token) else {
            return;
        };
        self.reader.failed_since = None;
        match &self.reader.mode {
            Mode::Follow => self.on_follow_read(now, &outstanding, log_start, log_end, entries),
            Mode::Search(_) => self.on_search_read(now, log_start, log_end, entries),
        }
    }

    fn take_outstanding(&mut self, token: Token) -> Option<Outstanding> {
        self.reader
            .outstanding
            .take_if(|outstanding| outstanding.token == token)
    }

    /// Schedules the next read after a delay with up to a quarter of jitter.
    fn schedule_read(&mut self, now: Instant, delay_ms: u64) {
        let jitter_ms = self.random_below(delay_ms / 4 + 1);
        self.reader.next_read_at = now.after_ms(delay_ms + jitter_ms);
    }

    fn poll_interval_ms(&self) -> u64 {
        let hosts = self.members.len() as u64 + 1;
        (POLL_INTERVAL_MS * hosts / FULL_RATE_HOSTS).clamp(POLL_INTERVAL_MS, MAX_POLL_INTERVAL_MS)
    }

    /// Handles the reply to a read while following: applies new records, or starts a search if the
    /// log has lost records.
    ///
    /// `log_start` is the oldest offset of the log and `log_end` the one after the newest.
    fn on_follow_read(
        &mut self,
        now: Instant,
        outstanding: &Outstanding,
        log_start: Offset,
        log_end: Offset,
        entries: Vec<Entry>,
    ) {
        if log_end < outstanding.applied.next {
            self.start_search(now, "log_shorter", log_end);
            return;
        }
        let next = self.position.next;
        let is_unverifiable =
            next > 0 && log_start == next && log_end > next && !self.reader.searched;
        if log_start > next || is_unverifiable {
            self.start_search(now, "log_forgot", log_start);
            return;
        }
        let old_position = self.position;
        for entry in entries {
            if !self.apply_entry(now, entry) {
                return;
            }
        }
        self.reader.searched &= log_start >= self.position.next;
        self.snapshots.set_log_start(log_start);
        self.reader.verified_at = Some(now);
        self.reader.verified = Position {
            next: self.position.next.min(log_end),
            ..self.position
        };
        if self.position.next >= log_end {
            self.mark_fresh(now, outstanding.sent_at);
            let poll_interval_ms = self.poll_interval_ms();
            self.schedule_read(now, poll_interval_ms);
        } else if self.position > old_position {
            self.reader.poll_now(now);
        } else {
            self.schedule_read(now, POLL_INTERVAL_MS);
        }
    }

    /// Applies one entry of the log and returns whether the next one may be applied.
    fn apply_entry(&mut self, now: Instant, entry: Entry) -> bool {
        let next = self.position.next;
        if entry.offset + 1 == next && entry.record.digest() != self.last_digest {
            self.start_search(now, "log_differs", entry.offset);
            return false;
        }
        if entry.offset < next {
            return true;
        }
        if entry.offset > next {
            return false;
        }
        if let Record::Anchor(anchor) = &entry.record
            && anchor.is_valid_at(entry.offset)
            && anchor.generation > self.position.generation
        {
            return self.adopt_anchor(now, entry.offset, anchor, entry.record.digest());
        }
        let digest = entry.record.digest();
        self.apply(now, Item::new(entry.offset, digest, entry.record));
        true
    }

    /// Returns whether this host has itself read the records up to a position from the log.
    pub(super) fn is_verified_up_to(&self, position: Position) -> bool {
        position <= self.reader.verified
    }

    /// Notes that all records that were in the log when a read was sent are applied.
    fn mark_fresh(&mut self, now: Instant, sent_at: Instant) {
        self.fresh_at = self.fresh_at.max(sent_at);
        self.announced.expire(sent_at);
        if self.current || self.is_log_confirmed_by_peers(now) {
            self.mark_caught_up(now, "log");
        }
    }

    /// Starts a search of the whole log from its oldest record.
    pub(super) fn start_search(&mut self, now: Instant, rule: &'static str, seen: Offset) {
        let next = self.position.next;
        self.record_decision(now, rule, "search", &[("applied", next), ("seen", seen)]);
        self.reader.mode = Mode::Search(Search::starting_at(0));
        self.reader.verified_at = None;
        self.reader.drop_outstanding(now);
    }

    /// Handles the reply to a read while searching.
    fn on_search_read(
        &mut self,
        now: Instant,
        log_start: Offset,
        log_end: Offset,
        entries: Vec<Entry>,
    ) {
        let Mode::Search(search) = &mut self.reader.mode else {
            return;
        };
        if log_start > search.next || log_end < search.next {
            // The log was trimmed or lost records during the search, so the search starts again.
            *search = Search::starting_at(log_start);
            if entries
                .first()
                .is_none_or(|entry| entry.offset != log_start)
                && log_end > log_start
            {
                self.reader.poll_now(now);
                return;
            }
        }
        for entry in entries {
            let Mode::Search(search) = &mut self.reader.mode else {
                self.reader.poll_now(now);
                return;
            };
            if entry.offset != search.next {
                continue;
            }
            let digest = entry.record.digest();
            search.digests.insert(entry.offset, digest);
            search.next += 1;
            self.search_entry(now, &entry, digest);
        }
        match &self.reader.mode {
            Mode::Search(search) if search.next >= log_end => {
                self.finish_search(now, log_start, log_end)
            }
            _ => self.reader.poll_now(now),
        }
    }

    fn search_entry(&mut self, now: Instant, entry: &Entry, digest: u64) {
        match &entry.record {
            Record::Anchor(anchor)
                if anchor.is_valid_at(entry.offset)
                    && anchor.generation > self.position.generation =>
            {
                self.adopt_anchor(now, entry.offset, anchor, digest);
            }
            Record::Snapshot(snapshot) if self.is_usable(snapshot, entry.offset) => {
                self.adopt_snapshot(now, snapshot, "log");
                self.snapshots.note_snapshot(now, snapshot.position.next);
            }
            _ => (),
        }
    }

    /// Returns whether a snapshot found in a search is newer than the state and belongs to this
    /// log.
    fn is_usable(&self, snapshot: &Snapshot, offset: Offset) -> bool {
        let Mode::Search(search) = &self.reader.mode else {
            return false;
        };
        let Position { generation, next } = snapshot.position;
        if snapshot.position <= self.position || next > offset {
            return false;
        }
        // If the log has diverged, a snapshot of the same generation may stem from the other
        // history. A host with state leaves its generation only for an anchored one.
        if self.position.next > 0 && generation == self.position.generation && self.has_diverged() {
            return false;
        }
        // All records after the snapshot must be present. The record before it, if the log still
        // keeps it, must have the same digest.
        match next.cmp(&search.first) {
            Ordering::Less => false,
            Ordering::Equal => true,
            Ordering::Greater => search.digests.get(&(next - 1)) == Some(&snapshot.last_digest),
        }
    }

    /// Returns whether the search found other records in the log than this host applied.
    fn has_diverged(&self) -> bool {
        let Mode::Search(search) = &self.reader.mode else {
            return false;
        };
        let differs = |offset: Offset, digest: u64| {
            let held = search.digests.get(&offset);
            held.is_some_and(|held| *held != digest)
        };
        let newest = self.position.next.checked_sub(1);
        newest.is_some_and(|newest| differs(newest, self.last_digest))
            || self
                .tail
                .iter()
                .any(|item| differs(item.offset, item.digest))
    }

    /// Handles a search that reached the end of the log without a usable snapshot or anchor.
    fn finish_search(&mut self, now: Instant, log_start: Offset, log_end: Offset) {
        let diverged = self.has_diverged();
        let next = self.position.next;
        let is_empty = self.position == Position::default();
        if is_empty && log_start == 0 {
            self.reader.mode = Mode::Follow;
            self.reader.poll_now(now);
            return;
        }
        if !is_empty && !diverged && log_start <= next && next <= log_end {
            // The log holds all applied records: a stale reply started the search.
            self.reader.mode = Mode::Follow;
            self.reader.searched = true;
            self.reader.poll_now(now);
            return;
        }
        if !is_empty {
            self.on_loss_confirmed(now, log_end, diverged);
        }
        self.reader.mode = Mode::Search(Search::starting_at(log_start));
        self.schedule_read(now, SEARCH_INTERVAL_MS);
    }

    /// Adopts the state of an anchor, unless this host has records that the anchor lacks.
    ///
    /// Returns whether the entry after the anchor may be applied.
    fn adopt_anchor(&mut self, now: Instant, offset: Offset, anchor: &Anchor, digest: u64) -> bool {
        if anchor.snapshot.position < self.position {
            self.reset_replica(now, "anchor_lacks", offset);
            return false;
        }
        let mut state = anchor.snapshot.state.clone();
        state.anchored_from = anchor.snapshot.position;
        let position = Position {
            generation: anchor.generation,
            next: offset + 1,
        };
        self.adopt_state(now, "anchor", position, digest, state);
        self.snapshots.note_snapshot(now, offset);
        true
    }

    /// Adopts a snapshot that is newer than the state, unless its generation was anchored without
    /// records that this host has.
    pub(super) fn adopt_snapshot(&mut self, now: Instant, snapshot: &Snapshot, rule: &'static str) {
        let is_new_generation = snapshot.position.generation > self.position.generation;
        if is_new_generation && snapshot.state.anchored_from < self.position {
            self.reset_replica(now, "anchor_lacks", snapshot.position.next);
            return;
        }
        let Snapshot {
            position,
            last_digest,
            ref state,
        } = *snapshot;
        self.adopt_state(now, rule, position, last_digest, state.clone());
    }
}

/// Minimum time for which the log must keep records, in milliseconds: see `docs/configuration.md`.
pub const MIN_LOG_RETENTION_MS: u64 = 4 * snapshots::INTERVAL_MS;
