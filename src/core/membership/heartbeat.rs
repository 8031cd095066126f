//! Pings, suspicion and gossip.

use super::{
    Action,
    Membership,
    Message,
    State,
    Update, //
};
use crate::{
    core::host::{
        Host,
        Id, //
    },
    time::Instant,
};

/// Hosts that receive gossip in one round.
const GOSSIP_FANOUT: usize = 3;

/// Times at which a leaving host notifies all others, in milliseconds after it began to leave.
const LEAVE_BROADCAST_TIMES_MS: [u64; 3] = [0, 300, 1_000];

impl Membership {
    pub(super) fn broadcast_leave(&mut self, now: Instant, out: &mut Vec<Action>) {
        let Some(since) = self.leaving_since else {
            return;
        };
        let due = LEAVE_BROADCAST_TIMES_MS.get(self.leave_broadcasts);
        if due.is_none_or(|due_ms| now.since_ms(since) < *due_ms) {
            return;
        }
        self.leave_broadcasts += 1;
        let updates = vec![self.own_update()];
        for member in self.table.members() {
            out.push(Action::Send {
                to: member.host.clone(),
                message: Message::Gossip(updates.clone()),
            });
        }
    }

    /// Requests indirect pings of hosts that are late, and suspects those that answered no ping.
    pub(super) fn check_probes(&mut self, now: Instant, out: &mut Vec<Action>) {
        let due = self.prober.due(now);
        for (sequence, target) in due.late {
            let Some(entry) = self.table.entry(&target) else {
                continue;
            };
            let host = entry.host.clone();
            let members = self.table.members();
            for relay_host in self.prober.relay_hosts(members, &self.own, &host) {
                out.push(Action::Send {
                    to: relay_host,
                    message: Message::IndirectPing {
                        sequence,
                        target: target.clone(),
                    },
                });
            }
            out.push(self.ping_action(sequence, host));
        }
        for (target, waited_ms) in due.unresponsive {
            let Some(update) = self.table.suspect(now, &target) else {
                continue;
            };
            self.record_decision(now, &update, "suspect_silent", waited_ms, out);
            self.gossip.push(update);
        }
    }

    pub(super) fn ping(&mut self, now: Instant, out: &mut Vec<Action>) {
        if let Some(target) = self.prober.next_target(self.table.members()) {
            let sequence = self.prober.probe(now, &target.id);
            out.push(self.ping_action(sequence, target));
        }
        // A resumed host learns from this ping that it is suspected, and refutes the suspicion.
        let unconfirmed: Vec<Host> = self
            .table
            .entries()
            .filter(|entry| entry.state == State::Suspect || entry.is_missing())
            .map(|entry| entry.host.clone())
            .collect();
        if let Some(target) = self.prober.choose(&unconfirmed) {
            let sequence = self.prober.recheck(now, &target.id);
            out.push(self.ping_action(sequence, target));
        }
    }

    pub(super) fn ping_action(&mut self, sequence: u64, to: Host) -> Action {
        let message = Message::Ping {
            sequence,
            status: self.status(),
            updates: self.piggyback(&to.id),
        };
        Action::Send { to, message }
    }

    /// Returns updates to piggyback on a message to a host, with one about the host itself where it
    /// is not thought alive.
    pub(super) fn piggyback(&mut self, to: &Id) -> Vec<Update> {
        let mut updates = self.gossip.take(self.table.len());
        if let Some(about_receiver) = self.table.update_about(self.now, to)
            && about_receiver.state != State::Alive
        {
            updates.push(about_receiver);
        }
        updates
    }

    pub(super) fn send_gossip(&mut self, out: &mut Vec<Action>) {
        if self.gossip.is_empty() {
            return;
        }
        for to in self.prober.sample(self.table.members(), GOSSIP_FANOUT) {
            let updates = self.gossip.take(self.table.len());
            if updates.is_empty() {
                break;
            }
            out.push(Action::Send {
                to,
                message: Message::Gossip(updates),
            });
        }
    }

    pub(super) fn send_digest(&mut self, out: &mut Vec<Action>) {
        let digest = self.table.digest(self.now, &self.own_update());
        for to in self.prober.sample(self.table.members(), 1) {
            out.push(Action::Send {
                to,
                message: Message::Digest { digest },
            });
        }
    }
}
