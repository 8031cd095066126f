//! Copies of finished answers and stage results on a host in another data centre.

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

/// Largest answer or result that is copied, in bytes.
const COPY_LIMIT_BYTES: usize = 1024 * 1024;

/// Copies of one shard that wait for an acknowledgement.
const COPIES_LIMIT: usize = 1_024;

/// Time after which a copy is sent again, doubled each time, in milliseconds.
const COPY_AGAIN_MS: u64 = 200;

/// Times that a copy is sent.
const COPY_TRIES: u32 = 6;

/// Kept answers that one shard of a leaving host hands over with each tick.
const HAND_OVER_PER_TICK: usize = 64;

/// A copy that no keeper has acknowledged.
struct Copying {
    to: host::Id,
    ticket: Option<Ticket>,
    copy: Backup,
    again_at: Instant,
    wait_ms: u64,
    tries: u32,
}

/// Copies that no keeper has acknowledged, and how far a leaving host has handed over.
#[derive(Default)]
pub(super) struct Copies {
    open: BTreeMap<Request, Copying>,
    /// What a leaving host has handed over.
    handed_over: BTreeSet<Request>,
    /// Kept answers that are still to be handed over.
    left: usize,
}

impl Copies {
    pub(super) fn len(&self) -> usize {
        self.open.len() + self.left
    }

    /// Takes a keeper's word that it has a copy, and returns whether it is the one awaited.
    fn acknowledged(&mut self, from: &host::Id, request: &Request, part: Part) -> bool {
        let Some(copying) = self.open.get(request) else {
            return false;
        };
        let awaited = copying.to == *from && copying.copy.part() == part;
        if awaited {
            self.open.remove(request);
        }
        awaited
    }
}

impl Coordinator {
    /// Keeps an answer or a stage result of this host, and copies it.
    pub(super) fn keep_own(
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
        let copy = Backup {
            class,
            digest,
            content,
        };
        self.copy(cx, request, ticket, copy);
    }

    /// Sends a copy to the witness, or to the request's keeper.
    pub(super) fn copy(
        &mut self,
        cx: &mut Context<'_>,
        request: &Request,
        ticket: Option<Ticket>,
        copy: Backup,
    ) {
        if self.policy == Policy::HomeAlone {
            return;
        }
        let unreachable = matches!(&copy.content, Content::Refused(refusal)
            if refusal.code == Code::WitnessUnreachable);
        // A witness that couldn't be reached before is no place for a copy.
        let witness = ticket.as_ref().filter(|_| !unreachable);
        let Some(to) = place(cx.view, request, witness) else {
            return;
        };
        let too_large = copy.content.bytes() > COPY_LIMIT_BYTES;
        if too_large || self.copies.open.len() >= COPIES_LIMIT {
            self.counters.failed_backups += 1;
            return;
        }
        let copying = Copying {
            to,
            ticket,
            copy,
            again_at: cx.now,
            wait_ms: COPY_AGAIN_MS,
            tries: 0,
        };
        self.copies.open.insert(request.clone(), copying);
        self.send_copy(cx, request);
    }

    fn send_copy(&mut self, cx: &mut Context<'_>, request: &Request) {
        let Some(copying) = self.copies.open.get_mut(request) else {
            return;
        };
        if copying.tries >= COPY_TRIES {
            self.copies.open.remove(request);
            self.counters.failed_backups += 1;
            return;
        }
        if cx.view.member(&copying.to).is_none()
            && let Some(to) = place(cx.view, request, copying.ticket.as_ref())
        {
            copying.to = to;
        }
        copying.tries += 1;
        copying.again_at = cx.now.after_ms(copying.wait_ms);
        copying.wait_ms *= 2;
        let message = Message::StoreBackup {
            request: request.clone(),
            ticket: copying.ticket.clone(),
            backup: copying.copy.clone(),
        };
        cx.send(&copying.to, message);
    }

    /// Keeps a copy for another host.
    pub(super) fn keep(
        &mut self,
        cx: &mut Context<'_>,
        from: &host::Id,
        request: Request,
        ticket: Option<Ticket>,
        copy: Backup,
    ) {
        let part = copy.part();
        let witnessed = ticket
            .as_ref()
            .filter(|ticket| ticket.witness == cx.view.own.id && ticket.home == *from);
        if let Some(ticket) = witnessed {
            let refusal = match &copy.content {
                Content::Refused(refusal) => Some(refusal.clone()),
                _ => None,
            };
            self.witness.complete(&request, ticket, refusal);
        }
        let class = match copy.class {
            Class::Idempotent => Class::Backup,
            class => class,
        };
        let (digest, content) = (copy.digest, copy.content);
        let dropped = self.answers.put(cx.now, &request, class, digest, content);
        self.counters.dropped += dropped;
        cx.send(from, Message::BackupStored { request, part });
    }

    /// Takes a keeper's word that it has a copy.
    pub(super) fn kept(&mut self, from: &host::Id, request: &Request, part: Part) {
        if self.copies.acknowledged(from, request, part) {
            self.answers.set_backup_host(request, from);
        }
    }

    pub(super) fn tick_copies(&mut self, cx: &mut Context<'_>) {
        let due: Vec<Request> = self
            .copies
            .open
            .iter()
            .filter(|(_, copying)| cx.now >= copying.again_at)
            .map(|(request, _)| request.clone())
            .collect();
        for request in &due {
            self.send_copy(cx, request);
        }
        if cx.view.leaving {
            self.hand_over(cx);
        }
    }

    /// Copies what a leaving host keeps, where no living host is known to have it.
    fn hand_over(&mut self, cx: &mut Context<'_>) {
        let mut left: Vec<Request> = self
            .answers
            .iter()
            .filter(|(_, entry)| !has_keeper(cx.view, entry))
            .map(|(request, _)| request)
            .filter(|request| !self.copies.handed_over.contains(*request))
            .filter(|request| !self.copies.open.contains_key(*request))
            .cloned()
            .collect();
        let now = left.len().min(HAND_OVER_PER_TICK);
        self.copies.left = left.len() - now;
        for request in left.drain(..now) {
            let Some(entry) = self.answers.get(&request) else {
                continue;
            };
            let copy = Backup {
                class: entry.class,
                digest: entry.digest,
                content: entry.content.clone(),
            };
            self.copies.handed_over.insert(request.clone());
            self.copy(cx, &request, None, copy);
        }
    }
}

/// Returns whether a host that lives and stays has a copy.
fn has_keeper(view: &View, entry: &Entry) -> bool {
    let keeper = entry.backup_host.as_ref();
    let member = keeper.and_then(|keeper| view.member(keeper));
    member.is_some_and(|member| member.health == Health::Alive)
}

/// Returns where a copy belongs.
fn place(view: &View, request: &Request, ticket: Option<&Ticket>) -> Option<host::Id> {
    let witness = ticket.map(|ticket| &ticket.witness);
    let witness = witness.filter(|witness| view.member(witness).is_some());
    witness.cloned().or_else(|| keeper(view, request))
}

/// Returns the request's keeper for this host, which stands in another data centre if any does.
fn keeper(view: &View, request: &Request) -> Option<host::Id> {
    let others = alive(view).filter(|host| host.id != view.own.id);
    let keeper = others.min_by_key(|host| {
        let near = host.data_centre == view.own.data_centre;
        (near, ticket::rendezvous_weight(&request.id, &host.id.name))
    });
    keeper.map(|host| host.id.clone())
}

/// Returns the hosts that may be the request's keeper for any host: the first in the request's
/// order, and the first in another data centre.
pub(super) fn keepers(view: &View, request: &Request) -> Vec<host::Id> {
    let weight = |host: &&Host| ticket::rendezvous_weight(&request.id, &host.id.name);
    let Some(first) = alive(view).min_by_key(weight) else {
        return Vec::new();
    };
    let second = alive(view)
        .filter(|host| host.data_centre != first.data_centre)
        .min_by_key(weight);
    [Some(first), second]
        .into_iter()
        .flatten()
        .filter(|host| host.id != view.own.id)
        .map(|host| host.id.clone())
        .collect()
}

/// Returns all hosts that live and stay.
fn alive(view: &View) -> impl Iterator<Item = &Host> {
    let members = view.members.iter();
    let members = members.filter(|member| member.health == Health::Alive);
    let own = Some(&view.own).filter(|_| !view.leaving);
    members.map(|member| &member.host).chain(own)
}
