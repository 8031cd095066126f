//! Edits: the differences between two documents, and their application.

use std::{
    collections::BTreeMap,
    sync::Arc, //
};

use super::{
    BackendServer,
    Document,
    Edit,
    Pool, //
};
use crate::names::Name;

type Parts<T> = BTreeMap<Name, Arc<T>>;

impl Document {
    /// Applies one edit. All other parts stay shared with clones of the document.
    ///
    /// An edit of a server has no effect if its pool doesn't exist.
    pub fn apply(&mut self, edit: &Edit) {
        match edit {
            Edit::DataCentre(name, part) => set(&mut self.data_centres, name, part.as_ref()),
            Edit::Pool(name, part) => self.set_pool(name, part.as_ref()),
            Edit::BackendServer(pool, name, part) => self.set_server(pool, name, part.as_ref()),
            Edit::Model(name, part) => set(&mut self.models, name, part.as_ref()),
            Edit::Pipeline(name, part) => set(&mut self.pipelines, name, part.as_ref()),
            Edit::Service(name, part) => set(&mut self.services, name, part.as_ref()),
            Edit::Organisation(name, part) => set(&mut self.organisations, name, part.as_ref()),
            Edit::Policies(policies) => self.policies = policies.clone(),
        }
    }

    fn set_pool(&mut self, name: &Name, part: Option<&Pool>) {
        let servers = match self.pools.get(name) {
            Some(pool) => pool.servers.clone(),
            None => BTreeMap::new(),
        };
        let part = part.map(|pool| Pool {
            servers,
            ..pool.clone()
        });
        set(&mut self.pools, name, part.as_ref());
    }

    fn set_server(&mut self, pool: &Name, name: &Name, part: Option<&BackendServer>) {
        if let Some(pool) = self.pools.get_mut(pool) {
            set(&mut Arc::make_mut(pool).servers, name, part);
        }
    }
}

fn set<T: Clone>(parts: &mut Parts<T>, name: &Name, part: Option<&T>) {
    match part {
        Some(part) => parts.insert(name.clone(), Arc::new(part.clone())),
        None => parts.remove(name),
    };
}

/// Returns the edits that turn one document into another.
///
/// Parts that both share by pointer are skipped without being compared.
pub fn diff(old: &Document, new: &Document) -> Vec<Edit> {
    let mut edits = Vec::new();
    diff_parts(&old.data_centres, &new.data_centres, |name, part| {
        edits.push(Edit::DataCentre(name, part));
    });
    diff_pools(old, new, &mut edits);
    diff_parts(&old.models, &new.models, |name, part| {
        edits.push(Edit::Model(name, part));
    });
    diff_parts(&old.pipelines, &new.pipelines, |name, part| {
        edits.push(Edit::Pipeline(name, part));
    });
    diff_parts(&old.services, &new.services, |name, part| {
        edits.push(Edit::Service(name, part));
    });
    diff_parts(&old.organisations, &new.organisations, |name, part| {
        edits.push(Edit::Organisation(name, part));
    });
    if old.policies != new.policies {
        edits.push(Edit::Policies(new.policies.clone()));
    }
    edits
}

fn diff_pools(old: &Document, new: &Document, edits: &mut Vec<Edit>) {
    let no_servers = Parts::new();
    diff_parts(&old.pools, &new.pools, |name, part| {
        let old_pool = old.pools.get(&name);
        let Some(pool) = part else {
            edits.push(Edit::Pool(name, None));
            return;
        };
        let without_servers = Pool {
            servers: Parts::new(),
            ..pool.clone()
        };
        let old_without_servers = old_pool.map(|pool| Pool {
            servers: Parts::new(),
            ..pool.as_ref().clone()
        });
        if old_without_servers.as_ref() != Some(&without_servers) {
            edits.push(Edit::Pool(name.clone(), Some(without_servers)));
        }
        let old_servers = old_pool.map_or(&no_servers, |pool| &pool.servers);
        diff_parts(old_servers, &pool.servers, |server, part| {
            edits.push(Edit::BackendServer(name.clone(), server, part));
        });
    });
}

fn diff_parts<T: Clone + PartialEq>(
    old: &Parts<T>,
    new: &Parts<T>,
    mut push: impl FnMut(Name, Option<T>),
) {
    for name in old.keys().filter(|name| !new.contains_key(*name)) {
        push(name.clone(), None);
    }
    for (name, part) in new {
        let is_unchanged = old
            .get(name)
            .is_some_and(|old_part| Arc::ptr_eq(old_part, part) || old_part == part);
        if !is_unchanged {
            push(name.clone(), Some(part.as_ref().clone()));
        }
    }
}
