//! Messages to and from the pools of the same name on other hosts: capacity queries and reports,
//! and lent tokens.

use rand::Rng;

use super::{
    super::{
        Action,
        policy::Policy,
        query::{
            self,
            Message, //
        },
        rate,
        share, //
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
    /// Answers capacity queries after a server has answered a call.
    ///
    /// Only queries that arrived before the call was sent are answered. An answer from an
    /// incarnation other than the current one proves nothing about the current one.
    pub(super) fn answer_queries(
        &mut self,
        now: Instant,
        index: usize,
        reported: Option<Incarnation>,
        sent_at: Instant,
        out: &mut Vec<Action>,
    ) {
        let server = &mut self.servers[index];
        let Some(incarnation) = reported.filter(|_| reported == server.limit.incarnation()) else {
            return;
        };
        let limit = server.limit.slots(&self.bounds);
        for request in server.inbox.take(now, sent_at) {
            out.push(Action::SendMessage {
                to: request.from,
                message: Message::CapacityReport {
                    server: server.name.clone(),
                    incarnation,
                    limit,
                    query_id: request.id,
                },
            });
        }
    }

    /// Sends capacity queries about servers that this host doesn't know to be warm.
    pub(super) fn query_peers(&mut self, now: Instant, view: &View, out: &mut Vec<Action>) {
        if self.policy != Policy::Teaselchute {
            return;
        }
        let mut query_count = 0;
        for _ in 0..self.servers.len() {
            self.query_cursor = (self.query_cursor + 1) % self.servers.len();
            let server = &mut self.servers[self.query_cursor];
            // Hosts that hold a slot of a cold server query too, since several hosts together learn
            // faster than one.
            let should_query = server.listed
                && !server.limit.is_full(&self.bounds)
                && server.share(self.bounds.full) > 0;
            if !should_query || !server.query.is_due(now) {
                continue;
            }
            let draw = self.rng.random_range(0..1 << 16);
            let members = &view.roster.members;
            let holders = share::holders(&self.name, &server.name, members, self.bounds.cold);
            let Some(to) = query::target(&view.own.id, members, &holders, draw) else {
                continue;
            };
            self.last_query_id += 1;
            let query_id = server.query.send(now, self.last_query_id);
            out.push(Action::SendMessage {
                to,
                message: Message::CapacityQuery {
                    server: server.name.clone(),
                    query_id,
                },
            });
            query_count += 1;
            if query_count == query::MAX_QUERIES_PER_TICK {
                return;
            }
        }
    }

    pub(super) fn handle_message(
        &mut self,
        now: Instant,
        view: &View,
        from: host::Id,
        message: Message,
        out: &mut Vec<Action>,
    ) {
        match message {
            Message::CapacityQuery { server, query_id } => {
                if let Some(&index) = self.index_by_name.get(&server) {
                    self.servers[index].inbox.put(now, from, query_id);
                }
            }
            Message::TokenRequest { organisation } => {
                let Some(limit) = rate_limit(view, &organisation) else {
                    return;
                };
                let lend = |buckets: &mut rate::Buckets| buckets.lend(now, &organisation, limit);
                let millitokens = self.shared.with_buckets(lend);
                if millitokens > 0 {
                    let message = Message::TokenGrant {
                        organisation,
                        millitokens,
                    };
                    out.push(Action::SendMessage { to: from, message });
                }
            }
            Message::TokenGrant {
                organisation,
                millitokens,
            } => {
                if let Some(limit) = rate_limit(view, &organisation) {
                    self.shared.with_buckets(|buckets| {
                        buckets.deposit(now, &organisation, limit, millitokens)
                    });
                }
            }
            Message::CapacityReport {
                server,
                incarnation,
                limit,
                query_id,
            } => {
                let Some(&index) = self.index_by_name.get(&server) else {
                    return;
                };
                if !self.servers[index].query.is_open(query_id) {
                    return;
                }
                let query_sent_at = self.servers[index].query.last_sent_at();
                self.observe_incarnation(now, index, incarnation, query_sent_at, out);
                let server = &mut self.servers[index];
                server.limit.confirm(incarnation, limit);
                server.query.close();
                self.refresh(now, view, index);
            }
        }
    }
}
