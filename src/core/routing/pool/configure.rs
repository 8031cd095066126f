//! Configuration from the document: the servers of the pool, and which of them have room.

use std::sync::Arc;

use super::{
    super::{
        limit::Bounds,
        policy::Policy,
        server::{
            Distance,
            Server, //
        },
    },
    Pool, //
};
use crate::{
    core::view::View,
    names::Name,
    time::Instant, //
};

impl Pool {
    /// Applies the servers and limits of the document if they have changed.
    pub(super) fn apply_document(&mut self, now: Instant, view: &View) {
        let Some(definition) = view.document.pools.get(&self.name) else {
            if self.definition.take().is_some() {
                for index in 0..self.servers.len() {
                    self.servers[index].listed = false;
                    self.refresh(now, view, index);
                }
            }
            return;
        };
        let is_same = self
            .definition
            .as_ref()
            .is_some_and(|known| Arc::ptr_eq(known, definition));
        if is_same {
            return;
        }
        let is_equal = self.definition.as_ref() == Some(definition);
        self.definition = Some(definition.clone());
        if is_equal {
            return;
        }
        self.bounds = Bounds {
            cold: definition.cold_limit.min(definition.full_limit),
            full: definition.full_limit,
            warm_up_ms: definition.warm_up_ms,
        };
        for server in &mut self.servers {
            server.listed = definition.servers.contains_key(&server.name);
        }
        for (name, server_definition) in &definition.servers {
            let index = match self.index_by_name.get(name) {
                Some(&index) => index,
                None => {
                    let server = Server::new(name.clone(), server_definition.data_centre.clone());
                    self.servers.push(server);
                    self.index_by_name
                        .insert(name.clone(), self.servers.len() - 1);
                    self.servers.len() - 1
                }
            };
            let server = &mut self.servers[index];
            server.data_centre = server_definition.data_centre.clone();
            let data_centre = view
                .document
                .data_centres
                .get(&server_definition.data_centre);
            server.distance = distance(view, &server_definition.data_centre);
            server.egress_price_milli = data_centre.map_or(0, |dc| dc.egress_price_milli);
        }
        for index in 0..self.servers.len() {
            self.refresh(now, view, index);
        }
    }

    /// Updates the list of servers with room for one server.
    pub(super) fn refresh(&mut self, now: Instant, view: &View, index: usize) {
        let timeout_ms = self
            .definition
            .as_ref()
            .map_or(0, |pool| pool.call_timeout_ms);
        let server = &mut self.servers[index];
        self.shared.with_rosters(|rosters| {
            server.update_positions(now, &self.name, &view.own.id, rosters, timeout_ms);
        });
        let has_room = match self.policy {
            Policy::Teaselchute => server.has_room(now, &self.bounds),
            _ => server.listed && server.in_flight < self.bounds.full,
        };
        match (has_room, server.open_index) {
            (true, None) => {
                server.open_index = Some(self.open_servers.len());
                self.open_servers.push(index);
            }
            (false, Some(position)) => {
                server.open_index = None;
                self.open_servers.swap_remove(position);
                if let Some(&moved) = self.open_servers.get(position) {
                    self.servers[moved].open_index = Some(position);
                }
            }
            _ => {}
        }
    }
}

fn distance(view: &View, data_centre: &Name) -> Distance {
    if *data_centre == view.own.data_centre {
        return Distance::SameDataCentre;
    }
    match view.document.data_centres.get(data_centre) {
        Some(definition) if definition.region == view.own.region => Distance::SameRegion,
        _ => Distance::OtherRegion,
    }
}
