//! Reading the log: following it, and searching it for a state to go on from.
//!
//! Each read starts at the newest record that is applied already. Where the log holds another one
//! there, or ends before it, it has lost records: see `docs/configuration-design.md`.

use std::{
    cmp::Ordering,
    collections::BTreeMap, //
};

use super::{
    Action,
    Replica,
    message::Item,
    retention, //
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

/// Time between two reads where nothing is new and few hosts read, in milliseconds.
const POLL_MS: u64 = 250;

/// Count of hosts that may read the log each [`POLL_MS`]. More hosts read less often each.
const POLLERS: u64 = 60;

/// Longest time between two reads, however many hosts read, in milliseconds.
const POLL_LIMIT_MS: u64 = 2_000;

/// Time for which a log that was seen to be the right one is appended to, in milliseconds.
const VERIFIED_LIMIT_MS: u64 = 4_000;

/// Time after which a read counts as failed, in milliseconds.
const READ_TIMEOUT_MS: u64 = 2_000;

/// Time between two searches of a log that holds nothing to go on from, in milliseconds.
const SEARCH_MS: u64 = 500;

/// A read that isn't answered yet.
struct Outstanding {
    token: Token,
    sent_at: Instant,
    /// Records that were applied when the read was sent. Others may have brought more since.
    applied: Position,
}

/// Why and how far the log has been searched.
pub(super) struct Search {
    /// Oldest offset that was looked at.
    first: Offset,
    /// Next offset to look at.
    at: Offset,
    /// Digests of all records looked at.
    digests: BTreeMap<Offset, u64>,
}

impl Search {
    fn from(first: Offset) -> Self {
        Self {
            first,
            at: first,
            digests: BTreeMap::new(),
        }
    }
}

/// How the log is being read.
pub(super) enum Mode {
    /// Record by record, after the newest that is applied.
    Follow,
    /// From its oldest record on, for a state to go on from.
    Search(Search),
}

/// Where reading the log stands.
pub(super) struct Reading {
    pub(super) mode: Mode,
    tokens: u64,
    outstanding: Option<Outstanding>,
    next_at: Instant,
    /// Since when all reads failed.
    pub(super) failed_since: Option<Instant>,
    /// When the log was last seen to hold what is applied, unless a read failed since.
    verified_at: Option<Instant>,
    /// Position up to which the log was seen to hold what is applied.
    seen: Position,
    /// Whether a search found nothing that leads on, so that a log that forgot all up to the
    /// position, among it the record to compare with, may be followed.
    searched: bool,
}

impl Reading {
    pub(super) fn new() -> Self {
        Self {
            mode: Mode::Follow,
            tokens: 0,
            outstanding: None,
            next_at: Instant::ZERO,
            failed_since: None,
            verified_at: None,
            seen: Position::default(),
            searched: false,
        }
    }

    /// Returns a number that no append or read had before.
    pub(super) fn token(&mut self) -> Token {
        self.tokens += 1;
        Token(self.tokens)
    }

    /// Makes the next poll come at the next tick.
    pub(super) fn hurry(&mut self, now: Instant) {
        self.next_at = self.next_at.min(now);
    }

    /// Forgets a read on its way, so that its answer has no effect.
    pub(super) fn drop_outstanding(&mut self, now: Instant) {
        self.outstanding = None;
        self.hurry(now);
    }

    /// Goes on after a state that was taken over as a whole.
    pub(super) fn follow_from_here(&mut self, now: Instant) {
        self.mode = Mode::Follow;
        self.verified_at = None;
        self.drop_outstanding(now);
    }

    /// Returns whether the log may be appended to: it was seen a moment ago to be the one whose
    /// records are applied.
    pub(super) fn is_verified(&self, now: Instant) -> bool {
        let verified_at = self.verified_at;
        self.is_following() && verified_at.is_some_and(|at| now.since_ms(at) <= VERIFIED_LIMIT_MS)
    }

    /// Returns whether the log is read record by record.
    pub(super) fn is_following(&self) -> bool {
        matches!(self.mode, Mode::Follow)
    }
}

impl Replica {
    /// Reads the log where it's time to.
    pub(super) fn poll(&mut self, now: Instant, out: &mut Vec<Action>) {
        if let Some(outstanding) = &self.reading.outstanding {
            if now.since_ms(outstanding.sent_at) < READ_TIMEOUT_MS {
                return;
            }
            let token = outstanding.token;
            self.on_read_failed(now, token);
        }
        if now < self.reading.next_at {
            return;
        }
        let from = match &self.reading.mode {
            Mode::Follow => self.position.next.saturating_sub(1),
            Mode::Search(search) => search.at,
        };
        let token = self.reading.token();
        self.reading.outstanding = Some(Outstanding {
            token,
            sent_at: now,
            applied: self.position,
        });
        out.push(Action::Log(log::Action::Read { token, from }));
    }

    /// Takes note of a read that failed or timed out.
    pub(super) fn on_read_failed(&mut self, now: Instant, token: Token) {
        if self.take_outstanding(token).is_some() {
            self.reading.verified_at = None;
            self.reading.failed_since.get_or_insert(now);
            self.read_again_in(now, POLL_MS);
        }
    }

    /// Takes the answer to a read.
    pub(super) fn on_read(
        &mut self,
        now: Instant,
        token: Token,
        first: Offset,
        end: Offset,
        entries: Vec<Entry>,
    ) {
        let Some(outstanding) = self.take_outstanding(token) else {
            return;
        };
        self.reading.failed_since = None;
        match &self.reading.mode {
            Mode::Follow => self.follow(now, &outstanding, first, end, entries),
            Mode::Search(_) => self.search(now, first, end, entries),
        }
    }

    fn take_outstanding(&mut self, token: Token) -> Option<Outstanding> {
        self.reading
            .outstanding
            .take_if(|outstanding| outstanding.token == token)
    }

    fn read_again_in(&mut self, now: Instant, ms: u64) {
        let jitter_ms = self.draw(ms / 4 + 1);
        self.reading.next_at = now.after_ms(ms + jitter_ms);
    }

    fn poll_ms(&self) -> u64 {
        let hosts = self.members.len() as u64 + 1;
        (POLL_MS * hosts / POLLERS).clamp(POLL_MS, POLL_LIMIT_MS)
    }

    fn follow(
        &mut self,
        now: Instant,
        outstanding: &Outstanding,
        first: Offset,
        end: Offset,
        entries: Vec<Entry>,
    ) {
        if end < outstanding.applied.next {
            self.begin_search(now, "log_shorter", end);
            return;
        }
        let next = self.position.next;
        let is_unseen = next > 0 && first == next && end > next && !self.reading.searched;
        if first > next || is_unseen {
            self.begin_search(now, "log_forgot", first);
            return;
        }
        let before = self.position;
        for entry in entries {
            if !self.follow_entry(now, entry) {
                return;
            }
        }
        self.reading.searched &= first >= self.position.next;
        self.retention.note_first_kept(first);
        self.reading.verified_at = Some(now);
        self.reading.seen = Position {
            next: self.position.next.min(end),
            ..self.position
        };
        if self.position.next >= end {
            self.know_all(now, outstanding.sent_at);
            let poll_ms = self.poll_ms();
            self.read_again_in(now, poll_ms);
        } else if self.position > before {
            self.reading.hurry(now);
        } else {
            self.read_again_in(now, POLL_MS);
        }
    }

    /// Applies one entry of the log, and returns whether the next one may follow.
    fn follow_entry(&mut self, now: Instant, entry: Entry) -> bool {
        let next = self.position.next;
        if entry.offset + 1 == next && entry.record.digest() != self.last {
            self.begin_search(now, "log_differs", entry.offset);
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
            return self.meet_anchor(now, entry.offset, anchor, entry.record.digest());
        }
        let digest = entry.record.digest();
        self.apply(now, Item::new(entry.offset, digest, entry.record));
        true
    }

    /// Returns whether this host saw in the log itself what stands at a position.
    pub(super) fn is_seen(&self, position: Position) -> bool {
        position <= self.reading.seen
    }

    /// Takes note that all that was in the log when a read was sent is applied.
    fn know_all(&mut self, now: Instant, sent_at: Instant) {
        self.fresh_at = self.fresh_at.max(sent_at);
        if self.current || self.do_others_agree(now) {
            self.catch_up(now, "log");
        }
    }

    /// Starts to search the log from its oldest record on.
    pub(super) fn begin_search(&mut self, now: Instant, rule: &'static str, seen: Offset) {
        let next = self.position.next;
        self.decide(now, rule, "search", &[("applied", next), ("seen", seen)]);
        self.reading.mode = Mode::Search(Search::from(0));
        self.reading.verified_at = None;
        self.reading.drop_outstanding(now);
    }

    fn search(&mut self, now: Instant, first: Offset, end: Offset, entries: Vec<Entry>) {
        let Mode::Search(search) = &mut self.reading.mode else {
            return;
        };
        if first > search.at || end < search.at {
            // The log was trimmed or lost records meanwhile, so what was looked at is of no use.
            *search = Search::from(first);
            if entries.first().is_none_or(|entry| entry.offset != first) && end > first {
                self.reading.hurry(now);
                return;
            }
        }
        for entry in entries {
            let Mode::Search(search) = &mut self.reading.mode else {
                self.reading.hurry(now);
                return;
            };
            if entry.offset != search.at {
                continue;
            }
            let digest = entry.record.digest();
            search.digests.insert(entry.offset, digest);
            search.at += 1;
            self.search_entry(now, &entry, digest);
        }
        match &self.reading.mode {
            Mode::Search(search) if search.at >= end => self.end_search(now, first, end),
            _ => self.reading.hurry(now),
        }
    }

    fn search_entry(&mut self, now: Instant, entry: &Entry, digest: u64) {
        match &entry.record {
            Record::Anchor(anchor)
                if anchor.is_valid_at(entry.offset)
                    && anchor.generation > self.position.generation =>
            {
                self.meet_anchor(now, entry.offset, anchor, digest);
            }
            Record::Snapshot(snapshot) if self.is_usable(snapshot, entry.offset) => {
                self.meet_snapshot(now, snapshot, "log");
                self.retention.seen(now, snapshot.position.next);
            }
            _ => (),
        }
    }

    /// Returns whether a snapshot found in a search leads on, and is of this very log.
    fn is_usable(&self, snapshot: &Snapshot, offset: Offset) -> bool {
        let Mode::Search(search) = &self.reading.mode else {
            return false;
        };
        let Position { generation, next } = snapshot.position;
        if snapshot.position <= self.position || next > offset {
            return false;
        }
        // A host with state keeps to its generation until an anchor says otherwise, so that it
        // isn't led away by the snapshot of a history that split from its own.
        if self.position.next > 0 && generation == self.position.generation && self.is_split() {
            return false;
        }
        // All records after the snapshot have to be there, and the one before has to be the same
        // where it's still kept.
        match next.cmp(&search.first) {
            Ordering::Less => false,
            Ordering::Equal => true,
            Ordering::Greater => search.digests.get(&(next - 1)) == Some(&snapshot.last_digest),
        }
    }

    /// Returns whether the log is known to hold other records than this host applied.
    fn is_split(&self) -> bool {
        let Mode::Search(search) = &self.reading.mode else {
            return false;
        };
        let differs = |offset: Offset, digest: u64| {
            let held = search.digests.get(&offset);
            held.is_some_and(|held| *held != digest)
        };
        let newest = self.position.next.checked_sub(1);
        newest.is_some_and(|newest| differs(newest, self.last))
            || self
                .tail
                .iter()
                .any(|item| differs(item.offset, item.digest))
    }

    /// Decides what to do after the whole log was searched in vain.
    fn end_search(&mut self, now: Instant, first: Offset, end: Offset) {
        let split = self.is_split();
        let next = self.position.next;
        let is_empty = self.position == Position::default();
        if is_empty && first == 0 {
            self.reading.mode = Mode::Follow;
            self.reading.hurry(now);
            return;
        }
        if !is_empty && !split && first <= next && next <= end {
            // The log holds all that is applied: an answer that lagged led to the search.
            self.reading.mode = Mode::Follow;
            self.reading.searched = true;
            self.reading.hurry(now);
            return;
        }
        if !is_empty {
            self.loss_confirmed(now, end, split);
        }
        self.reading.mode = Mode::Search(Search::from(first));
        self.read_again_in(now, SEARCH_MS);
    }

    /// Goes on from an anchor, unless this host holds more than who wrote it.
    ///
    /// Returns whether the entry after the anchor may follow.
    fn meet_anchor(&mut self, now: Instant, offset: Offset, anchor: &Anchor, digest: u64) -> bool {
        if anchor.snapshot.position < self.position {
            self.start_over(now, "anchor_lacks", offset);
            return false;
        }
        let mut state = anchor.snapshot.state.clone();
        state.anchored_from = anchor.snapshot.position;
        let position = Position {
            generation: anchor.generation,
            next: offset + 1,
        };
        self.adopt(now, "anchor", position, digest, state);
        self.retention.seen(now, offset);
        true
    }

    /// Goes on from a snapshot that is newer than the state.
    pub(super) fn meet_snapshot(&mut self, now: Instant, snapshot: &Snapshot, rule: &'static str) {
        let is_anchored_anew = snapshot.position.generation > self.position.generation;
        if is_anchored_anew && snapshot.state.anchored_from < self.position {
            self.start_over(now, "anchor_lacks", snapshot.position.next);
            return;
        }
        let Snapshot {
            position,
            last_digest: last,
            ref state,
        } = *snapshot;
        self.adopt(now, rule, position, last, state.clone());
    }
}

/// Time for which the log must keep records, in milliseconds: see `docs/configuration.md`.
pub const MIN_LOG_RETENTION_MS: u64 = 4 * retention::EVERY_MS;
