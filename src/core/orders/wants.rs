//! What is wanted on the engines of a group, and which of them can have it.

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

/// Returns the models that are wanted on the engines of a group.
pub(super) fn wants(
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
    // Callers spread over the hosts, so that this host's part stands for that of the others.
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
            let wanted =
                demand::required_replicas(running_milli, pool.full_limit, data_centres.len());
            let wanted = wanted.max(model.least_replicas);
            Target {
                model: model_name.clone(),
                version: model.version.clone(),
                adapters: model.adapters.clone(),
                memory_mb: model.memory_mb,
                weights_mb: model.weights_mb,
                replicas: demand.damped_replicas(now, name, model_name, wanted),
                pinned: model.pinned.clone(),
                forbidden: model.forbidden.clone(),
            }
        })
        .collect()
}

/// Returns the engines on which models may be placed, or nothing while one isn't read yet.
///
/// An engine that leaves is left out, so that its models are placed elsewhere. It keeps what it
/// has.
pub(super) fn usable(
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
        if engine.is_ordered() {
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
