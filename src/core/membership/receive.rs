//! Handling of messages from other hosts and of the host list.

use super::{
    Action,
    Membership,
    Message,
    Policy,
    Registration,
    State,
    Status,
    Update,
    entry::Change, //
};
use crate::{
    core::host::Host,
    time::Instant, //
};

impl Membership {
    pub(super) fn handle_message(
        &mut self,
        now: Instant,
        from: &Host,
        message: Message,
        out: &mut Vec<Action>,
    ) {
        match message {
            Message::Ping {
                sequence,
                status,
                updates,
            } => {
                self.merge_sender(now, from, &status, &updates, out);
                let message = Message::Pong {
                    sequence,
                    status: self.status(),
                    updates: self.piggyback(&from.id),
                };
                let to = from.clone();
                out.push(Action::Send { to, message });
            }
            Message::Pong {
                sequence,
                status,
                updates,
            } => {
                self.merge_sender(now, from, &status, &updates, out);
                if self.prober.acknowledge(sequence, &from.id) {
                    self.table.confirm_alive(now, &from.id);
                }
                if let Some((to, sequence)) = self.prober.take_relay(sequence) {
                    let update = Box::new(Update::from_status(from.clone(), &status));
                    let message = Message::IndirectPong { sequence, update };
                    out.push(Action::Send { to, message });
                }
            }
            Message::IndirectPing { sequence, target } => {
                if let Some(entry) = self.table.entry(&target) {
                    let host = entry.host.clone();
                    let sequence = self.prober.relay(now, from, sequence);
                    out.push(self.ping_action(sequence, host));
                }
            }
            Message::IndirectPong { sequence, update } => {
                self.merge_update(now, &update, true, out);
                if self.prober.acknowledge(sequence, &update.host.id) {
                    self.table.confirm_alive(now, &update.host.id);
                }
            }
            Message::Gossip(updates) => {
                for update in &updates {
                    self.merge_update(now, update, true, out);
                }
            }
            Message::Digest { digest } => {
                if digest != self.table.digest(self.now, &self.own_update()) {
                    self.send_table(from, false, out);
                }
            }
            Message::Table {
                updates,
                digest,
                is_reply,
            } => {
                for update in &updates {
                    self.merge_update(now, update, false, out);
                }
                if !is_reply && digest != self.table.digest(self.now, &self.own_update()) {
                    self.send_table(from, true, out);
                }
            }
        }
    }

    fn send_table(&self, to: &Host, is_reply: bool, out: &mut Vec<Action>) {
        let mut updates = self.table.all_updates(self.now);
        updates.push(self.own_update());
        out.push(Action::Send {
            to: to.clone(),
            message: Message::Table {
                updates,
                digest: self.table.digest(self.now, &self.own_update()),
                is_reply,
            },
        });
    }

    /// Merges the status of another host and the updates that it sent.
    fn merge_sender(
        &mut self,
        now: Instant,
        from: &Host,
        status: &Status,
        updates: &[Update],
        out: &mut Vec<Action>,
    ) {
        let change = self.table.merge_status(now, from, status);
        if let Some(update) = self.table.update_about(now, &from.id) {
            self.propagate(now, update, change, out);
        }
        if self.progress.merge(&status.progress) {
            self.revision += 1;
        }
        for update in updates {
            self.merge_update(now, update, true, out);
        }
    }

    fn merge_update(
        &mut self,
        now: Instant,
        update: &Update,
        is_fresh: bool,
        out: &mut Vec<Action>,
    ) {
        if update.host.id.name == self.own.id.name {
            self.refute(now, update, out);
            return;
        }
        let change = self.table.merge(now, update, is_fresh);
        self.propagate(now, update.clone(), change, out);
    }

    /// Refutes a suspicion of this host, or notes that its incarnation was declared gone.
    fn refute(&mut self, now: Instant, update: &Update, out: &mut Vec<Action>) {
        let own = self.own.id.incarnation;
        let reported = update.host.id.incarnation;
        if reported < own {
            return;
        }
        if reported > own || update.state == State::Gone {
            if !std::mem::replace(&mut self.is_declared_gone, true) {
                self.revision += 1;
                self.record_decision(now, update, "own_life_is_over", 0, out);
            }
            return;
        }
        if update.state == State::Suspect && update.refutation >= self.refutation {
            self.refutation = update.refutation + 1;
            self.gossip.push(self.own_update());
        }
    }

    fn propagate(&mut self, now: Instant, update: Update, change: Change, out: &mut Vec<Action>) {
        let rule = match change {
            Change::Unchanged => return,
            Change::Joined => "joined",
            Change::Suspected => "suspect_told",
            Change::Refuted => "refuted",
            Change::Serving => "serving",
            Change::Leaving => "leaving",
            Change::Gone => "gone_told",
        };
        if change == Change::Joined {
            self.prober.insert(&update.host.id);
        }
        self.record_decision(now, &update, rule, 0, out);
        self.gossip.push(update);
    }

    pub(super) fn handle_host_list(
        &mut self,
        now: Instant,
        list: &[Registration],
        out: &mut Vec<Action>,
    ) {
        let own = list
            .iter()
            .filter(|registration| registration.host.id.name == self.own.id.name);
        if let Some(own) = own.max_by_key(|registration| registration.host.id.incarnation) {
            let update = Update::from_state(own.host.clone(), State::Alive);
            self.refute(now, &update, out);
        }
        for (update, change) in self.table.merge_host_list(now, list) {
            match change {
                Change::Gone => self.record_decision(now, &update, "gone_delisted", 0, out),
                Change::Leaving => self.record_decision(now, &update, "leaving_listed", 0, out),
                _ => self.record_decision(now, &update, "joined_listed", 0, out),
            }
            if self.policy == Policy::Gossip && change != Change::Joined {
                self.gossip.push(update);
            }
        }
        if self.policy == Policy::HostListOnly {
            self.table.assume_all_serving(now);
        }
        self.revision += 1;
        self.update_progress();
    }
}
