//! Reports from servers and other hosts about a server: its incarnation, load and models.

use rand::Rng;

use super::{
    super::{
        Action,
        labels::value,
        limit::Evidence, //
    },
    Pool, //
};
use crate::{
    core::{
        call::{
            Incarnation,
            Load, //
        },
        decision::{
            Decision,
            Kind, //
        },
        view::View, //
    },
    names::Name,
    time::Instant,
};

impl Pool {
    pub(super) fn handle_load(
        &mut self,
        now: Instant,
        view: &View,
        server_name: &Name,
        load: Load,
        out: &mut Vec<Action>,
    ) {
        let Some(&index) = self.index_by_name.get(server_name) else {
            return;
        };
        self.observe_incarnation(now, index, load.incarnation, None, out);
        let hosts = view.roster.members.len() as u32;
        let draw = self.rng.random();
        self.servers[index].apply_load(now, load, &self.bounds, hosts, draw);
        self.refresh(now, view, index);
    }

    pub(super) fn handle_cold_notice(
        &mut self,
        now: Instant,
        server_name: &Name,
        incarnation: Incarnation,
        out: &mut Vec<Action>,
    ) {
        if let Some(&index) = self.index_by_name.get(server_name) {
            // The sender notifies all hosts, so the notice isn't forwarded.
            self.observe_incarnation(now, index, incarnation, None, out);
            out.retain(|action| !matches!(action, Action::BroadcastCold { .. }));
        }
    }

    /// Processes a server's incarnation like
    /// [`Limit::observe_incarnation`](crate::core::routing::limit::Limit::observe_incarnation), and
    /// discards the server's state if the incarnation is new.
    pub(super) fn observe_incarnation(
        &mut self,
        now: Instant,
        index: usize,
        incarnation: Incarnation,
        request_sent_at: Option<Instant>,
        out: &mut Vec<Action>,
    ) {
        let server = &mut self.servers[index];
        let limit_before = server.limit.slots(&self.bounds);
        let Evidence::NewIncarnation(incarnation) =
            server
                .limit
                .observe_incarnation(now, incarnation, request_sent_at)
        else {
            return;
        };
        server.reset_to_cold();
        server.query.close();
        self.affinity.remove_server(index);
        out.push(Action::BroadcastCold {
            server: self.servers[index].name.clone(),
            incarnation,
        });
        out.push(Action::Decide(Decision {
            at: now,
            kind: Kind::Limit,
            subject: self.servers[index].name.clone(),
            stage: None,
            rule: Name::from("new_start"),
            choice: Name::from("cold"),
            values: vec![
                value(&Name::from("limit_before_calls"), u64::from(limit_before)),
                value(&self.labels.limit, u64::from(self.bounds.cold)),
            ],
            candidates: Vec::new(),
        }));
    }

    pub(super) fn handle_models(&mut self, server_name: &Name, models: Vec<Name>) {
        let Some(&index) = self.index_by_name.get(server_name) else {
            return;
        };
        for servers in self.servers_by_model.values_mut() {
            servers.retain(|other| *other != index);
        }
        for model in &models {
            self.servers_by_model
                .entry(model.clone())
                .or_default()
                .push(index);
        }
        self.servers[index].models = Some(models.into_iter().collect());
    }
}
