//! The talk with the pools of the same name on other hosts: questions, vouching, lent tokens.

use rand::Rng;

use super::{
    super::{
        Action,
        policy::Policy,
        rate,
        share,
        vouch::{
            self,
            Message, //
        }, //
    },
    Pool,
    admit::rate_limit, //
};
use crate::{
    core::{
        call::Incarnation,
        host,
        view::View, //
    },
    time::Instant,
};

impl Pool {
    /// Answers the hosts that asked before the call was sent which this server has now answered.
    ///
    /// An answer of another life than the one believed in proves nothing of that one.
    pub(super) fn vouch(
        &mut self,
        now: Instant,
        index: usize,
        told: Option<Incarnation>,
        sent_at: Instant,
        out: &mut Vec<Action>,
    ) {
        let server = &mut self.servers[index];
        let Some(incarnation) = told.filter(|_| told == server.limit.incarnation()) else {
            return;
        };
        let limit = server.limit.slots(&self.bounds);
        for asker in server.inbox.take(now, sent_at) {
            out.push(Action::SendMessage {
                to: asker.from,
                message: Message::Vouch {
                    server: server.name.clone(),
                    incarnation,
                    limit,
                    number: asker.number,
                },
            });
        }
    }

    /// Asks other hosts about servers of which this host doesn't know that they are warm.
    pub(super) fn ask(&mut self, now: Instant, view: &View, out: &mut Vec<Action>) {
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
            out.push(Action::SendMessage {
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

    pub(super) fn message(
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
                let tokens = self.shared.with_rates(lend);
                if tokens > 0 {
                    let message = Message::Lend {
                        organisation,
                        tokens,
                    };
                    out.push(Action::SendMessage { to: from, message });
                }
            }
            Message::Lend {
                organisation,
                tokens,
            } => {
                if let Some(limit) = rate_limit(view, &organisation) {
                    self.shared
                        .with_rates(|rates| rates.receive(now, &organisation, limit, tokens));
                }
            }
            Message::Vouch {
                server,
                incarnation,
                limit,
                number,
            } => {
                let Some(&index) = self.names.get(&server) else {
                    return;
                };
                if !self.servers[index].question.is_open(number) {
                    return;
                }
                let asked_at = self.servers[index].question.asked_at();
                self.hear(now, index, incarnation, asked_at, out);
                let server = &mut self.servers[index];
                server.limit.vouch(incarnation, limit);
                server.question.close();
                self.refresh(now, view, index);
            }
        }
    }
}
