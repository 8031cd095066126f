//! Target placement of the models of a group, and the engines that it may use.

use std::collections::BTreeSet;

use super::group::Group;
use crate::{
    core::{
        document::Pool,
        placement::{
            self, Target,
            demand::{
                self,
                Demand, //
            },
        },
        view::View,
    },
    names::Name,
    time::Instant,
};

/// Returns the target placement of each model of a group.
pub(super) fn targets(
    demand: &mut Demand,
    now: Instant,
    view: &View,
    name: &Name,
    group: &Group,
) -> Vec<Target> {
    let document = &view.document;
    let Some(pool) = document.pools.get(&group.pool) else {
        return Vec::new();
    };
    // Callers spread over the hosts, so the total demand is estimated as that of this host times
    // the number of hosts.
    let hosts = view.members.len() as u64 + 1;
    let data_centres: BTreeSet<&Name> = pool
        .servers
        .values()
        .map(|server| &server.data_centre)
        .collect();
    let models = document.models.iter();
    models
        .filter(|(_, model)| model.pool == group.pool)
        .map(|(model_name, model)| {
            let running_milli = demand.running_milli(model_name) * hosts;
            let required =
                demand::required_replicas(running_milli, pool.full_limit, data_centres.len());
            let required = required.max(model.least_replicas);
            Target {
                model: model_name.clone(),
                version: model.version.clone(),
                adapters: model.adapters.clone(),
                memory_mb: model.memory_mb,
                weights_mb: model.weights_mb,
                replicas: demand.damped_replicas(now, name, model_name, required),
                pinned: model.pinned.clone(),
                forbidden: model.forbidden.clone(),
            }
        })
        .collect()
}

/// Returns the engines on which models may be placed, or `None` while one has not been read since
/// its last order.
///
/// Drained and unavailable engines are left out, so that their models are placed on others. They
/// keep the models that they have.
pub(super) fn placeable_engines(
    now: Instant,
    view: &View,
    group: &Group,
    pool: &Pool,
) -> Option<Vec<placement::Engine>> {
    let mut engines = Vec::new();
    for (server, engine) in &group.engines {
        if view.is_drained(&group.pool, server, &group.data_centre) || engine.is_down(now) {
            continue;
        }
        if engine.has_open_order() {
            return None;
        }
        let report = engine.report.as_ref()?;
        engines.push(placement::Engine {
            server: server.clone(),
            memory_mb: pool
                .servers
                .get(server)
                .map_or(0, |server| server.memory_mb),
            loaded: report.models.clone(),
        });
    }
    Some(engines)
}
