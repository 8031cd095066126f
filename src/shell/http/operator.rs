//! What operators ask and order: see `docs/cli.md`.

use std::{
    sync::Arc,
    sync::atomic::Ordering,
    time::Duration, //
};

use ntex::web::{
    self, HttpRequest, HttpResponse, ServiceConfig,
    types::{
        Path,
        Payload, //
    },
};
use serde::{
    Deserialize,
    de::DeserializeOwned, //
};
use serde_json::{
    json,
    value::RawValue, //
};
use tokio::sync::oneshot;

use super::{
    Shared,
    answer,
    filter::{
        credential_fits,
        read_body, //
    },
    requests::find_why, //
};
use crate::{
    core::{
        document::{
            self,
            Edit, //
        },
        node::Event,
        refusal::{
            Code,
            Refusal,
            Remedy, //
        },
        replica::{
            Answer,
            Asker, //
        },
        state::{
            Change,
            Record,
            State,
            Target,
            Verdict,
            publish, //
        },
    },
    names::Name,
    shell::Shell,
};

/// Time for which an operator waits for a verdict.
const VERDICT_WAIT: Duration = Duration::from_secs(10);

pub(super) fn routes(config: &mut ServiceConfig) {
    config
        .route("/status", web::get().to(status))
        .route("/hosts", web::get().to(hosts))
        .route("/servers", web::get().to(servers))
        .route("/why/{id}*", web::get().to(why))
        .route("/drains", web::post().to(drain))
        .route("/environments/{name}/document", web::get().to(read))
        .route("/environments/{name}/changes", web::post().to(change));
}

/// Refuses whoever isn't an operator.
fn authorise(shell: &Shell, request: &HttpRequest) -> Result<(), HttpResponse> {
    let digest = &shell.options.config.operator_digest;
    if credential_fits(request.headers(), digest) {
        return Ok(());
    }
    let detail = "the operators' credential is missing or wrong";
    let refusal = Refusal::not_run(Code::Forbidden, Remedy::ChangeRequest, detail);
    Err(answer::refuse(None, &refusal))
}

fn bad(detail: impl Into<Name>) -> HttpResponse {
    let refusal = Refusal::not_run(Code::BadRequest, Remedy::ChangeRequest, detail);
    answer::refuse(None, &refusal)
}

async fn status(request: HttpRequest, shell: Shared) -> HttpResponse {
    if let Err(refused) = authorise(&shell, &request) {
        return refused;
    }
    let view = shell.node.view();
    let environments = shell.node.with_control(|control| {
        let environments = control.replica().state().environments.iter();
        environments
            .map(|(name, environment)| (name.to_string(), environment.revision.into()))
            .collect::<serde_json::Map<String, serde_json::Value>>()
    });
    HttpResponse::Ok().json(&json!({
        "host": view.own.id.name,
        "incarnation": view.own.id.incarnation,
        "data_centre": view.own.data_centre,
        "region": view.own.region,
        "environment": shell.options.config.environment,
        "serving": view.serving,
        "leaving": view.leaving,
        "position": view.position,
        "news_age_ms": shell.now().since_ms(view.fresh_at),
        "environments": environments,
        "drained": view.drained.iter().map(target_json).collect::<Vec<_>>(),
        "roster": view.roster,
        "open_exchanges": shell.exchanges.count(),
    }))
}

fn target_json(target: &Target) -> serde_json::Value {
    match target {
        Target::DataCentre(name) => json!({ "data_centre": name }),
        Target::BackendServer(pool, server) => json!({ "pool": pool, "server": server }),
    }
}

async fn hosts(request: HttpRequest, shell: Shared) -> HttpResponse {
    if let Err(refused) = authorise(&shell, &request) {
        return refused;
    }
    let view = shell.node.view();
    let row = |host: &crate::core::host::Host, health: String, is_own| {
        json!({
            "host": host.id.name,
            "incarnation": host.id.incarnation,
            "data_centre": host.data_centre,
            "region": host.region,
            "http": host.http,
            "peer": host.peer,
            "health": health,
            "own": is_own,
            "on_roster": view.roster.members.contains(&host.id),
        })
    };
    let own_health = if view.leaving { "leaving" } else { "alive" };
    let mut rows = vec![row(&view.own, own_health.to_string(), true)];
    for member in &view.members {
        let health = format!("{:?}", member.health).to_lowercase();
        rows.push(row(&member.host, health, false));
    }
    HttpResponse::Ok().json(&rows)
}

async fn servers(request: HttpRequest, shell: Shared) -> HttpResponse {
    if let Err(refused) = authorise(&shell, &request) {
        return refused;
    }
    let view = shell.node.view();
    let statuses = shell.statuses.lock();
    let mut rows = Vec::new();
    for (pool_name, pool) in &view.document.pools {
        for (name, server) in &pool.servers {
            let status = statuses.get(&(pool_name.clone(), name.clone()));
            rows.push(json!({
                "pool": pool_name,
                "server": name,
                "address": server.address,
                "data_centre": server.data_centre,
                "drained": view.is_drained(pool_name, name, &server.data_centre),
                "load": status.map(|status| status.load),
                "models": status.map(|status| status.models.clone()),
            }));
        }
    }
    HttpResponse::Ok().json(&rows)
}

async fn why(request: HttpRequest, id: Path<String>, shell: Shared) -> HttpResponse {
    if let Err(refused) = authorise(&shell, &request) {
        return refused;
    }
    let why = find_why(&shell, id.as_str().into(), id.as_str());
    HttpResponse::Ok().json(&why)
}

async fn read(request: HttpRequest, name: Path<String>, shell: Shared) -> HttpResponse {
    if let Err(refused) = authorise(&shell, &request) {
        return refused;
    }
    let environment = shell.node.with_control(|control| {
        let environments = &control.replica().state().environments;
        environments.get(name.as_str()).cloned()
    });
    match environment {
        Some(environment) => HttpResponse::Ok().json(&environment),
        None => {
            let detail = format!("no environment {:?} yet", name.as_str());
            let refusal = Refusal::not_run(Code::Unknown, Remedy::ChangeRequest, detail);
            answer::refuse(None, &refusal)
        }
    }
}

async fn read_json<T: DeserializeOwned>(
    shell: &Shell,
    payload: &mut Payload,
) -> Result<T, HttpResponse> {
    let limit = shell.options.config.limits.document_bytes;
    let body = read_body(shell, payload, limit).await;
    let body = body.map_err(|refusal| answer::refuse(None, &refusal))?;
    let mut reader = serde_json::Deserializer::from_slice(&body);
    serde_path_to_error::deserialize(&mut reader)
        .map_err(|error| bad(format!("{}: {}", error.path(), error.inner())))
}

/// A change of an environment: the whole document that is wanted, single edits, or another
/// environment's document.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ChangeBody {
    id: Name,
    based_on: u64,
    #[serde(default)]
    document: Option<Box<RawValue>>,
    #[serde(default)]
    edits: Option<Vec<Edit>>,
    #[serde(default)]
    promote: Option<Promote>,
}

/// The environment whose document is wanted, at the revision that was tried.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Promote {
    from: Name,
    tried: u64,
}

async fn change(
    request: HttpRequest,
    name: Path<String>,
    mut payload: Payload,
    shell: Shared,
) -> HttpResponse {
    if let Err(refused) = authorise(&shell, &request) {
        return refused;
    }
    let limit = shell.options.config.limits.document_bytes;
    let body = match read_body(&shell, &mut payload, limit).await {
        Ok(body) => body,
        Err(refusal) => return answer::refuse(None, &refusal),
    };
    let wanted: ChangeBody = match serde_json::from_slice(&body) {
        Ok(wanted) => wanted,
        Err(error) => return bad(error.to_string()),
    };
    let id = wanted.id.clone();
    match make_change(&shell, name.as_str().into(), wanted) {
        Ok(change) => propose(&shell, &id, Record::Change(change)).await,
        Err(response) => response,
    }
}

fn make_change(
    shell: &Shell,
    environment: Name,
    wanted: ChangeBody,
) -> Result<Change, HttpResponse> {
    let (id, based_on) = (wanted.id, wanted.based_on);
    let made = match (wanted.document, wanted.edits, wanted.promote) {
        (Some(text), None, None) => {
            let document = document::check(text.get()).map_err(problems)?;
            with_state(shell, |state| {
                state.publication(id.clone(), environment, based_on, &document)
            })
        }
        (None, Some(edits), None) => with_state(shell, |state| {
            let known = state.environments.get(&environment);
            let mut document = known
                .map(|known| (*known.document).clone())
                .unwrap_or_default();
            edits.iter().for_each(|edit| document.apply(edit));
            let found = document.problems();
            if !found.is_empty() {
                return Err(publish::Error::Problems(found));
            }
            state.publication(id.clone(), environment, based_on, &document)
        }),
        (None, None, Some(promote)) => with_state(shell, |state| {
            let Promote { from, tried } = promote;
            state.promotion(id.clone(), &from, tried, environment, based_on)
        }),
        _ => return Err(bad("one of document, edits and promote is needed")),
    };
    made.map_err(|error| unpublished(&id, error))
}

fn with_state<T>(shell: &Shell, read: impl FnOnce(&State) -> T) -> T {
    shell
        .node
        .with_control(|control| read(control.replica().state()))
}

/// Tells why no change could be made, or what became of it before.
fn unpublished(id: &Name, error: publish::Error) -> HttpResponse {
    match error {
        publish::Error::Known(verdict) => verdict_response(id, &Answer::Verdict(verdict)),
        publish::Error::Problems(found) => problems(found),
        error @ publish::Error::Behind { .. } => {
            // An earlier attempt under the same id may still land.
            let detail = error.to_string();
            let refusal = Refusal::may_have_run(Code::StaleNews, Remedy::AnotherHost, detail);
            answer::refuse(None, &refusal)
        }
        error => {
            let reason = error.to_string();
            HttpResponse::Conflict().json(&json!({ "id": id, "verdict": "void", "reason": reason }))
        }
    }
}

fn problems(found: Vec<document::Problem>) -> HttpResponse {
    let detail = format!("the document has {} problems", found.len());
    let refusal = Refusal::not_run(Code::BadRequest, Remedy::ChangeRequest, detail);
    HttpResponse::BadRequest().json(&json!({ "refusal": refusal, "problems": found }))
}

/// What operators take out or bring back.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct DrainBody {
    id: Name,
    out: bool,
    #[serde(default)]
    data_centre: Option<Name>,
    #[serde(default)]
    pool: Option<Name>,
    #[serde(default)]
    server: Option<Name>,
}

async fn drain(request: HttpRequest, mut payload: Payload, shell: Shared) -> HttpResponse {
    if let Err(refused) = authorise(&shell, &request) {
        return refused;
    }
    let wanted: DrainBody = match read_json(&shell, &mut payload).await {
        Ok(wanted) => wanted,
        Err(refused) => return refused,
    };
    let target = match (wanted.data_centre, wanted.pool, wanted.server) {
        (Some(name), None, None) => Target::DataCentre(name),
        (None, Some(pool), Some(server)) => Target::BackendServer(pool, server),
        _ => return bad("either data_centre, or pool and server are needed"),
    };
    let record = Record::Drain {
        id: wanted.id.clone(),
        target,
        out: wanted.out,
    };
    propose(&shell, &wanted.id, record).await
}

/// Proposes a record and waits for its verdict.
async fn propose(shell: &Arc<Shell>, id: &Name, record: Record) -> HttpResponse {
    let asker = Asker(shell.next_asker.fetch_add(1, Ordering::Relaxed));
    let (sender, answer) = oneshot::channel();
    shell.askers.lock().insert(asker, sender);
    shell.step(Event::Propose {
        asker,
        record: Box::new(record),
    });
    let answer = tokio::time::timeout(VERDICT_WAIT, answer).await;
    shell.askers.lock().remove(&asker);
    match answer {
        Ok(Ok(answer)) => verdict_response(id, &answer),
        _ => verdict_response(id, &Answer::Unknown),
    }
}

fn verdict_response(id: &Name, known: &Answer) -> HttpResponse {
    match known {
        Answer::Verdict(Verdict::Accepted(position)) => HttpResponse::Ok()
            .json(&json!({ "id": id, "verdict": "accepted", "position": position })),
        Answer::Verdict(Verdict::Void(reason)) => {
            HttpResponse::Conflict().json(&json!({ "id": id, "verdict": "void", "reason": reason }))
        }
        Answer::Unavailable(reason) => {
            // An earlier attempt under the same id may still land.
            let reason = reason.clone();
            let refusal = Refusal::may_have_run(Code::StaleNews, Remedy::AnotherHost, reason);
            answer::refuse(None, &refusal)
        }
        Answer::Verdict(Verdict::Forgotten) => HttpResponse::Conflict().json(&json!({
            "id": id,
            "verdict": "forgotten",
            "reason": "the id's verdict is no longer known: look at the environment itself",
        })),
        Answer::Unknown => HttpResponse::Accepted().json(&json!({
            "id": id,
            "verdict": "unknown",
            "reason": "send it again with the same id to learn the verdict",
        })),
    }
}
