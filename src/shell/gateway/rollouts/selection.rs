//! Selects the versions to which one request may go.

use std::{
    collections::BTreeSet,
    rc::Rc, //
};

use super::{
    Permission,
    choose_trial,
    is_active,
    version_key,
    version_of, //
};
use crate::{
    core::gateway::{
        dispatch::Constraint,
        servers::Entry, //
    },
    names::Name,
    shell::gateway::Gateway,
};

/// The servers among which one attempt chooses, by their versions.
#[derive(Clone, Debug)]
pub(in crate::shell::gateway) enum Selection {
    /// All servers: versions aren't told apart.
    All,
    /// The trial servers of the target of an order.
    Trial {
        target: Name,
        servers: Rc<BTreeSet<Name>>,
    },
    /// Servers of these versions. `constraint` says the same to dispatchers.
    Versions {
        versions: Vec<Name>,
        constraint: Constraint,
    },
}

impl Selection {
    /// Returns whether a server is among them.
    pub(in crate::shell::gateway) fn admits(&self, entry: &Entry) -> bool {
        match self {
            Self::All => true,
            Self::Trial { target, servers } => {
                version_of(entry) == *target && servers.contains(&entry.id)
            }
            Self::Versions { versions, .. } => {
                let version = entry.version.as_deref().unwrap_or_default();
                versions.iter().any(|it| &**it == version)
            }
        }
    }

    /// Returns what a dispatcher is told.
    pub(in crate::shell::gateway) fn constraint(&self) -> Constraint {
        match self {
            Self::All => Constraint::Any,
            Self::Trial { target, .. } => Constraint::Only(version_key(target)),
            Self::Versions { constraint, .. } => *constraint,
        }
    }
}

/// Returns the selections for an attempt at a service, the one to try first at the front.
///
/// A request that was tried before isn't used for a trial: a second failure would cost its caller more
/// than the trial is worth.
pub(in crate::shell::gateway) fn selections(
    gateway: &Gateway,
    service: &Name,
    is_repeated: bool,
) -> Vec<Selection> {
    if !is_active(gateway) {
        return vec![Selection::All];
    }
    let now = gateway.now();
    let mut services = gateway.rollouts.services.borrow_mut();
    let Some(known) = services.get_mut(service) else {
        return vec![Selection::All];
    };
    let with = |permission: Permission| -> Vec<Name> {
        let versions = known.seen_at.keys();
        versions
            .filter(|version| known.versions.permission(now, version) == permission)
            .cloned()
            .collect()
    };
    let (any, fallback, trial) = (
        with(Permission::Any),
        with(Permission::Fallback),
        with(Permission::Trial),
    );
    let mut selections = Vec::new();
    let order = known.rollout.as_mut();
    if let Some(rollout) = order
        && !is_repeated
        && !trial.is_empty()
        && rollout.ledger.may_send(now)
    {
        choose_trial(gateway, now, service, rollout);
        selections.push(Selection::Trial {
            target: rollout.order.target.clone(),
            servers: rollout.trial.clone(),
        });
    }
    let order = known.rollout.as_ref().filter(|it| it.gone_at.is_none());
    let target = order.map(|rollout| &rollout.order.target);
    let key = target.map(|target| version_key(target));
    let constraint = match (target, key) {
        (Some(target), Some(key)) if !any.contains(target) => Constraint::Not(key),
        (Some(_), Some(key)) if any.len() == 1 => Constraint::Only(key),
        _ => Constraint::Any,
    };
    selections.push(Selection::Versions {
        versions: any,
        constraint,
    });
    if !fallback.is_empty() {
        selections.push(Selection::Versions {
            versions: fallback,
            constraint: key.map_or(Constraint::Any, Constraint::Not),
        });
    }
    selections
}

/// Returns the trial servers for a call with pieces, if one is due.
pub(in crate::shell::gateway) fn trial_servers(
    gateway: &Gateway,
    service: &Name,
) -> Option<Rc<BTreeSet<Name>>> {
    let mut selections = selections(gateway, service, false).into_iter();
    selections.find_map(|selection| match selection {
        Selection::Trial { servers, .. } => Some(servers),
        Selection::All | Selection::Versions { .. } => None,
    })
}
