//! Backups of answers and stage results on another host, preferably in another data centre.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use super::{
    Context,
    Coordinator,
    Policy, //
};
use crate::{
    core::{
        call::Request,
        host::{
            self,
            Host, //
        },
        outcome::{
            Backup, Message, Part, Ticket,
            answers::{
                Class,
                Content,
                Digest,
                Entry, //
            },
            ticket,
        },
        refusal::Code,
        view::{
            Health,
            View, //
        },
    },
    time::Instant,
};

/// Largest content that is backed up, in bytes.
const MAX_BACKUP_BYTES: usize = 1024 * 1024;

/// Limit of unacknowledged backups in one shard.
const MAX_PENDING_BACKUPS: usize = 1_024;

/// Time after which a backup is sent again, in milliseconds, doubled each time.
const BACKUP_RETRY_MS: u64 = 200;

/// Limit of attempts to send a backup.
const MAX_BACKUP_ATTEMPTS: u32 = 6;

/// Limit of the stored entries that one shard of a leaving host starts to hand over in one tick.
const HAND_OVERS_PER_TICK: usize = 64;

/// An unacknowledged backup.
struct Pending {
    /// Host to which the backup is sent.
    to: host::Id,
    ticket: Option<Ticket>,
    backup: Backup,
    retry_at: Instant,
    backoff_ms: u64,
    attempts: u32,
}

/// Unacknowledged backups, and the progress of a leaving host's hand-over.
#[derive(Default)]
pub(super) struct Backups {
    pending: BTreeMap<Request, Pending>,
    /// Requests whose entries a leaving host has sent to another host.
    handed_over: BTreeSet<Request>,
    /// Number of stored entries that a leaving host hasn't sent yet.
    unsent: usize,
}

impl Backups {
    pub(super) fn len(&self) -> usize {
        self.pending.len() + self.unsent
    }

    /// Handles the acknowledgement of a backup. Returns whether it was expected.
    fn acknowledge(&mut self, from: &host::Id, request: &Request, part: Part) -> bool {
        let Some(pending) = self.pending.get(request) else {
            return false;
        };
        let is_expected = pending.to == *from && pending.backup.part() == part;
        if is_expected {
            self.pending.remove(request);
        }
        is_expected
    }
}

impl Coordinator {
    /// Stores an answer or stage result of this host, and backs it up.
    pub(super) fn store_own(
        &mut self,
        cx: &mut Context<'_>,
        request: &Request,
        ticket: Option<Ticket>,
        class: Class,
        digest: Digest,
        content: Content,
    ) {
        let dropped = self
            .answers
            .put(cx.now, request, class, digest, content.clone());
        self.counters.dropped += dropped;
        let backup = Backup {
            class,
            digest,
            content,
        };
        self.back_up(cx, request, ticket, backup);
    }

    /// Sends a backup to the witness, or to the request's backup host.
    pub(super) fn back_up(
        &mut self,
        cx: &mut Context<'_>,
        request: &Request,
        ticket: Option<Ticket>,
        backup: Backup,
    ) {
        if self.policy == Policy::HomeOnly {
            return;
        }
        let unreachable = matches!(&backup.content, Content::Refused(refusal)
            if refusal.code == Code::WitnessUnreachable);
        // Don't send the backup to a witness that couldn't be reached before.
        let witness = ticket.as_ref().filter(|_| !unreachable);
        let Some(to) = backup_target(cx.view, request, witness) else {
            return;
        };
        let too_large = backup.content.bytes() > MAX_BACKUP_BYTES;
        if too_large || self.backups.pending.len() >= MAX_PENDING_BACKUPS {
            self.counters.failed_backups += 1;
            return;
        }
        let pending = Pending {
            to,
            ticket,
            backup,
            retry_at: cx.now,
            backoff_ms: BACKUP_RETRY_MS,
            attempts: 0,
        };
        self.backups.pending.insert(request.clone(), pending);
        self.send_backup(cx, request);
    }

    fn send_backup(&mut self, cx: &mut Context<'_>, request: &Request) {
        let Some(pending) = self.backups.pending.get_mut(request) else {
            return;
        };
        if pending.attempts >= MAX_BACKUP_ATTEMPTS {
            self.backups.pending.remove(request);
            self.counters.failed_backups += 1;
            return;
        }
        if cx.view.member(&pending.to).is_none()
            && let Some(to) = backup_target(cx.view, request, pending.ticket.as_ref())
        {
            pending.to = to;
        }
        pending.attempts += 1;
        pending.retry_at = cx.now.after_ms(pending.backoff_ms);
        pending.backoff_ms *= 2;
        let message = Message::StoreBackup {
            request: request.clone(),
            ticket: pending.ticket.clone(),
            backup: pending.backup.clone(),
        };
        cx.send(&pending.to, message);
    }

    /// Stores a backup for another host.
    pub(super) fn handle_store_backup(
        &mut self,
        cx: &mut Context<'_>,
        from: &host::Id,
        request: Request,
        ticket: Option<Ticket>,
        backup: Backup,
    ) {
        let part = backup.part();
        let witnessed = ticket
            .as_ref()
            .filter(|ticket| ticket.witness == cx.view.own.id && ticket.home == *from);
        if let Some(ticket) = witnessed {
            let refusal = match &backup.content {
                Content::Refused(refusal) => Some(refusal.clone()),
                _ => None,
            };
            self.witness.complete(&request, ticket, refusal);
        }
        let class = match backup.class {
            Class::Idempotent => Class::Backup,
            class => class,
        };
        let (digest, content) = (backup.digest, backup.content);
        let dropped = self.answers.put(cx.now, &request, class, digest, content);
        self.counters.dropped += dropped;
        cx.send(from, Message::BackupStored { request, part });
    }

    /// Handles the acknowledgement of a backup.
    pub(super) fn handle_backup_stored(&mut self, from: &host::Id, request: &Request, part: Part) {
        if self.backups.acknowledge(from, request, part) {
            self.answers.set_backup_host(request, from);
        }
    }

    pub(super) fn tick_backups(&mut self, cx: &mut Context<'_>) {
        let due: Vec<Request> = self
            .backups
            .pending
            .iter()
            .filter(|(_, pending)| cx.now >= pending.retry_at)
            .map(|(request, _)| request.clone())
            .collect();
        for request in &due {
            self.send_backup(cx, request);
        }
        if cx.view.leaving {
            self.hand_over(cx);
        }
    }

    /// Backs up the stored entries of a leaving host of which no alive host has a backup.
    fn hand_over(&mut self, cx: &mut Context<'_>) {
        let mut unsent: Vec<Request> = self
            .answers
            .iter()
            .filter(|(_, entry)| !has_backup(cx.view, entry))
            .map(|(request, _)| request)
            .filter(|request| !self.backups.handed_over.contains(*request))
            .filter(|request| !self.backups.pending.contains_key(*request))
            .cloned()
            .collect();
        let count = unsent.len().min(HAND_OVERS_PER_TICK);
        self.backups.unsent = unsent.len() - count;
        for request in unsent.drain(..count) {
            let Some(entry) = self.answers.get(&request) else {
                continue;
            };
            let backup = Backup {
                class: entry.class,
                digest: entry.digest,
                content: entry.content.clone(),
            };
            self.backups.handed_over.insert(request.clone());
            self.back_up(cx, &request, None, backup);
        }
    }
}

/// Returns whether a host that is alive and not leaving has a backup of the entry.
fn has_backup(view: &View, entry: &Entry) -> bool {
    let backup_host = entry.backup_host.as_ref();
    let member = backup_host.and_then(|backup_host| view.member(backup_host));
    member.is_some_and(|member| member.health == Health::Alive)
}

/// Returns the host to which a backup is sent: the witness if it is a member, else the backup host.
fn backup_target(view: &View, request: &Request, ticket: Option<&Ticket>) -> Option<host::Id> {
    let witness = ticket.map(|ticket| &ticket.witness);
    let witness = witness.filter(|witness| view.member(witness).is_some());
    witness.cloned().or_else(|| backup_host(view, request))
}

/// Returns the host to which this host backs up the request, preferably in another data centre.
fn backup_host(view: &View, request: &Request) -> Option<host::Id> {
    let others = alive_hosts(view).filter(|host| host.id != view.own.id);
    let backup_host = others.min_by_key(|host| {
        let near = host.data_centre == view.own.data_centre;
        (near, ticket::rendezvous_weight(&request.id, &host.id.name))
    });
    backup_host.map(|host| host.id.clone())
}

/// Returns the hosts to which any host may back up the request: the first in rendezvous order, and
/// the first in another data centre.
pub(super) fn backup_hosts(view: &View, request: &Request) -> Vec<host::Id> {
    let weight = |host: &&Host| ticket::rendezvous_weight(&request.id, &host.id.name);
    let Some(first) = alive_hosts(view).min_by_key(weight) else {
        return Vec::new();
    };
    let second = alive_hosts(view)
        .filter(|host| host.data_centre != first.data_centre)
        .min_by_key(weight);
    [Some(first), second]
        .into_iter()
        .flatten()
        .filter(|host| host.id != view.own.id)
        .map(|host| host.id.clone())
        .collect()
}

/// Returns all hosts that are alive and not leaving.
fn alive_hosts(view: &View) -> impl Iterator<Item = &Host> {
    let members = view.members.iter();
    let members = members.filter(|member| member.health == Health::Alive);
    let own = Some(&view.own).filter(|_| !view.leaving);
    members.map(|member| &member.host).chain(own)
}
