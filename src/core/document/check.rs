//! Validation of documents before publication, which reports all problems and their remedies.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use super::{
    Document, Kind, Model, Organisation, Pipeline, Pool, Service, Stage, json,
    problem::{
        Problem,
        Problems, //
    },
};
use crate::names::Name;

/// Minimum time in which a stage can answer over the network, in milliseconds.
const MIN_STAGE_MS: u64 = 10;

/// Maximum length of a name, in bytes.
const NAME_LIMIT: usize = 128;

/// Number of hexadecimal digits of a credential digest.
const DIGEST_DIGITS: usize = 64;

/// Parses and validates a document.
///
/// # Errors
///
/// Returns all problems, sorted by path. References between parts are checked only if the whole
/// document could be parsed.
pub fn check(text: &str) -> Result<Document, Vec<Problem>> {
    let mut problems = Problems::default();
    let document = json::parse(text, &mut problems);
    if problems.is_empty() {
        document.check(&mut problems);
    }
    if problems.is_empty() {
        Ok(document)
    } else {
        Err(problems.into_sorted())
    }
}

impl Document {
    /// Returns all problems of a parsed document, such as one that results from edits.
    pub fn problems(&self) -> Vec<Problem> {
        let mut problems = Problems::default();
        self.check(&mut problems);
        problems.into_sorted()
    }

    fn check(&self, problems: &mut Problems) {
        self.check_names(problems);
        for (name, data_centre) in &self.data_centres {
            check_name(
                &format!("data_centres.{name}.region"),
                &data_centre.region,
                problems,
            );
        }
        self.check_addresses(problems);
        for (name, pool) in &self.pools {
            self.check_pool(&format!("pools.{name}"), pool, problems);
        }
        for (name, model) in &self.models {
            self.check_model(&format!("models.{name}"), model, problems);
        }
        for (name, pipeline) in &self.pipelines {
            self.check_pipeline(&format!("pipelines.{name}"), pipeline, problems);
        }
        for (name, service) in &self.services {
            self.check_service(&format!("services.{name}"), service, problems);
        }
        self.check_credentials(problems);
        for (name, organisation) in &self.organisations {
            self.check_organisation(&format!("organisations.{name}"), organisation, problems);
        }
        self.check_policies(problems);
    }

    fn check_names(&self, problems: &mut Problems) {
        check_keys("data_centres", &self.data_centres, problems);
        check_keys("pools", &self.pools, problems);
        check_keys("models", &self.models, problems);
        check_keys("pipelines", &self.pipelines, problems);
        check_keys("services", &self.services, problems);
        check_keys("organisations", &self.organisations, problems);
    }

    fn check_addresses(&self, problems: &mut Problems) {
        let mut paths = BTreeMap::new();
        for (pool, servers) in self.pools.iter().map(|(name, pool)| (name, &pool.servers)) {
            for (name, server) in servers {
                let path = format!("pools.{pool}.servers.{name}.address");
                let address = server.address;
                if address.port() == 0 || address.ip().is_unspecified() {
                    let found = format!("nothing can be reached at {address}");
                    problems.add(path, found, "write the server's own IP number and port");
                } else if let Some(other) = paths.insert(address, path.clone()) {
                    let found = format!("{address} stands at {other} too");
                    problems.add(path, found, "give each server its own address");
                }
            }
        }
    }

    fn check_pool(&self, path: &str, pool: &Pool, problems: &mut Problems) {
        check_keys(&format!("{path}.servers"), &pool.servers, problems);
        if pool.cold_limit == 0 {
            let found = "a cold server that carries nothing never warms up";
            problems.add(format!("{path}.cold_limit"), found, "write at least 1");
        }
        if pool.cold_limit > pool.full_limit {
            let found = format!(
                "{} is more than full_limit, {}",
                pool.cold_limit, pool.full_limit
            );
            let remedy = format!("write at most {}", pool.full_limit);
            problems.add(format!("{path}.cold_limit"), found, remedy);
        }
        if pool.call_timeout_ms == 0 {
            let found = "every call would time out at once";
            let remedy = "write the longest time that a call may run, in milliseconds";
            problems.add(format!("{path}.call_timeout_ms"), found, remedy);
        }
        for (name, server) in &pool.servers {
            if !self.data_centres.contains_key(&server.data_centre) {
                let path = format!("{path}.servers.{name}.data_centre");
                let known = names(&self.data_centres);
                problems.add_unknown_name(path, "data centre", &server.data_centre, known);
            }
        }
    }

    /// Returns the pool with this name, or adds a problem if there is none.
    fn pool(&self, path: &str, name: &Name, problems: &mut Problems) -> Option<&Pool> {
        let pool = self.pools.get(name);
        if pool.is_none() {
            problems.add_unknown_name(path, "pool", name, names(&self.pools));
        }
        pool.map(AsRef::as_ref)
    }

    fn check_model(&self, path: &str, model: &Model, problems: &mut Problems) {
        check_name(&format!("{path}.version"), &model.version, problems);
        let pool_path = format!("{path}.pool");
        let Some(pool) = self.pool(&pool_path, &model.pool, problems) else {
            return;
        };
        if pool.kind != Kind::Engine {
            let found = format!("the servers of {:?} don't load models", model.pool);
            problems.add(pool_path, found, "write a pool of kind \"engine\"");
            return;
        }
        let lists = [("pinned", &model.pinned), ("forbidden", &model.forbidden)];
        for (list, servers) in lists {
            for (index, server) in servers.iter().enumerate() {
                if !pool.servers.contains_key(server) {
                    let path = format!("{path}.{list}[{index}]");
                    let known = names(&pool.servers);
                    problems.add_unknown_name(path, "server of the pool", server, known);
                }
            }
        }
        for (index, server) in model.pinned.iter().enumerate() {
            let path = format!("{path}.pinned[{index}]");
            if model.forbidden.contains(server) {
                let found = format!("{server:?} is forbidden too");
                problems.add(path.clone(), found, "remove it from one of the two lists");
            }
            let memory_mb = pool
                .servers
                .get(server)
                .map_or(0, |server| server.memory_mb);
            if memory_mb > 0 && memory_mb < model.memory_mb {
                let found = format!(
                    "{server:?} has {memory_mb} MB, the model takes {}",
                    model.memory_mb
                );
                problems.add(path, found, "pin it to a server with enough memory");
            }
        }
    }

    fn check_pipeline(&self, path: &str, pipeline: &Pipeline, problems: &mut Problems) {
        if pipeline.stages.is_empty() {
            let found = "a pipeline without stages answers nothing";
            problems.add(format!("{path}.stages"), found, "add at least one stage");
        }
        check_deadline(
            &format!("{path}.deadline_ms"),
            pipeline.deadline_ms,
            pipeline,
            problems,
        );
        let mut seen = BTreeSet::new();
        for (index, stage) in pipeline.stages.iter().enumerate() {
            let path = format!("{path}.stages[{index}]");
            if !seen.insert(&stage.name) {
                let found = format!("the stage {:?} stands twice", stage.name);
                problems.add(
                    format!("{path}.name"),
                    found,
                    "give each stage its own name",
                );
            }
            self.check_stage(&path, stage, problems);
        }
    }

    fn check_stage(&self, path: &str, stage: &Stage, problems: &mut Problems) {
        check_name(&format!("{path}.name"), &stage.name, problems);
        let pool_path = format!("{path}.pool");
        let Some(pool) = self.pool(&pool_path, &stage.pool, problems) else {
            return;
        };
        let model_path = format!("{path}.model");
        match (&stage.model, pool.kind) {
            (_, Kind::Service) => {
                let found = format!("{:?} is a pool of plain services", stage.pool);
                problems.add(pool_path, found, "write a pool of another kind");
            }
            (None, Kind::Engine) => {
                let found = "an engine has to be told which model runs the stage";
                problems.add(model_path, found, "add \"model\"");
            }
            (Some(_), Kind::Encoder | Kind::Retriever | Kind::Reranker) => {
                let found = format!("the servers of {:?} don't load models", stage.pool);
                problems.add(model_path, found, "remove \"model\"");
            }
            (Some(model), Kind::Engine) => match self.models.get(model) {
                None => problems.add_unknown_name(model_path, "model", model, names(&self.models)),
                Some(known) if known.pool != stage.pool => {
                    let found = format!(
                        "{model:?} is loaded by {:?}, the stage runs in {:?}",
                        known.pool, stage.pool
                    );
                    problems.add(model_path, found, "write a model of the stage's pool");
                }
                Some(_) => (),
            },
            (None, _) => (),
        }
    }

    fn check_service(&self, path: &str, service: &Service, problems: &mut Problems) {
        let deadline_path = format!("{path}.deadline_ms");
        if service.deadline_ms < MIN_STAGE_MS {
            add_impossible_deadline(&deadline_path, service.deadline_ms, MIN_STAGE_MS, problems);
        }
        let pool_path = format!("{path}.pool");
        let Some(pool) = self.pool(&pool_path, &service.pool, problems) else {
            return;
        };
        if pool.kind != Kind::Service {
            let found = format!("{:?} isn't a pool of plain services", service.pool);
            problems.add(pool_path, found, "write a pool of kind \"service\"");
        }
        if service.deadline_ms > pool.call_timeout_ms {
            let found = format!(
                "{} is longer than the pool's call_timeout_ms, {}",
                service.deadline_ms, pool.call_timeout_ms
            );
            let remedy = format!("write at most {}", pool.call_timeout_ms);
            problems.add(deadline_path, found, remedy);
        }
    }

    fn check_credentials(&self, problems: &mut Problems) {
        let mut owners = BTreeMap::new();
        for (name, organisation) in &self.organisations {
            let digest = &organisation.credential_digest;
            let path = format!("organisations.{name}.credential_digest");
            let is_digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
            if digest.len() != DIGEST_DIGITS || !digest.bytes().all(is_digit) {
                let found = "not a BLAKE3 digest";
                let remedy = "write 64 hexadecimal digits in lower case";
                problems.add(path, found, remedy);
            } else if let Some(other) = owners.insert(digest, name) {
                let found = format!("organisation {other:?} has the same credential");
                problems.add(path, found, "give each organisation its own credential");
            }
        }
    }

    fn check_organisation(&self, path: &str, organisation: &Organisation, problems: &mut Problems) {
        if organisation.weight == 0 {
            let found = "an organisation without weight is never served";
            problems.add(format!("{path}.weight"), found, "write at least 1");
        }
        if organisation.requests_per_second == Some(0) {
            let found = "an organisation that may ask nothing is never served";
            let remedy = "write at least 1, or remove the organisation";
            problems.add(format!("{path}.requests_per_second"), found, remedy);
        }
        for (name, binding) in &organisation.pipelines {
            let path = format!("{path}.pipelines.{name}");
            match (self.pipelines.get(name), binding.deadline_ms) {
                (None, _) => {
                    problems.add_unknown_name(path, "pipeline", name, names(&self.pipelines));
                }
                (Some(pipeline), Some(deadline_ms)) => {
                    let path = format!("{path}.deadline_ms");
                    check_deadline(&path, deadline_ms, pipeline, problems);
                }
                (Some(_), None) => (),
            }
        }
        for (index, name) in organisation.services.iter().enumerate() {
            if !self.services.contains_key(name) {
                let path = format!("{path}.services[{index}]");
                problems.add_unknown_name(path, "service", name, names(&self.services));
            }
        }
    }

    fn check_policies(&self, problems: &mut Problems) {
        let policies = &self.policies;
        if policies.retry_percent > 100 {
            let found = format!("{} retries for each hundred calls", policies.retry_percent);
            problems.add("policies.retry_percent", found, "write at most 100");
        }
        if policies.weight_store_mb_per_second == 0 {
            let path = "policies.weight_store_mb_per_second";
            let found = "no model could ever be loaded";
            problems.add(path, found, "write the store's rate, at least 1");
        }
    }
}

fn names<T>(parts: &BTreeMap<Name, T>) -> impl Iterator<Item = &str> {
    parts.keys().map(Name::as_str)
}

fn check_keys<T>(path: &str, parts: &BTreeMap<Name, T>, problems: &mut Problems) {
    for name in parts.keys() {
        check_name(&format!("{path}.{name}"), name, problems);
    }
}

fn check_name(path: &str, name: &Name, problems: &mut Problems) {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.:".contains(c);
    if name.is_empty() || name.len() > NAME_LIMIT || !name.chars().all(is_allowed) {
        let remedy = format!(
            "write 1 to {NAME_LIMIT} letters of the Latin alphabet, digits, '-', '_', '.' and ':'"
        );
        problems.add(path, "not a name", remedy);
    }
}

fn check_deadline(path: &str, deadline_ms: u64, pipeline: &Pipeline, problems: &mut Problems) {
    let min_ms = MIN_STAGE_MS * pipeline.stages.len().max(1) as u64;
    if deadline_ms < min_ms {
        add_impossible_deadline(path, deadline_ms, min_ms, problems);
    }
}

fn add_impossible_deadline(path: &str, deadline_ms: u64, least_ms: u64, problems: &mut Problems) {
    let found = format!("no answer can come within {deadline_ms} ms");
    problems.add(path, found, format!("write at least {least_ms}"));
}
