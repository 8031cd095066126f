//! What operators ask and order: see `docs/cli.md`.

mod change;

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
use serde_json::json;
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
        node::Event,
        refusal::{
            Code,
            Refusal,
            Remedy, //
        },
        replica::{
            Answer,
            Requester, //
        },
        state::{
            Record,
            Target,
            Verdict, //
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
    let wanted: change::Wanted = match serde_json::from_slice(&body) {
        Ok(wanted) => wanted,
        Err(error) => return bad(error.to_string()),
    };
    let id = wanted.id.clone();
    match change::make(&shell, name.as_str().into(), wanted) {
        Ok(change) => propose(&shell, &id, Record::Change(change)).await,
        Err(response) => response,
    }
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
        drained: wanted.out,
    };
    propose(&shell, &wanted.id, record).await
}

/// Proposes a record and waits for its verdict.
async fn propose(shell: &Arc<Shell>, id: &Name, record: Record) -> HttpResponse {
    let requester = Requester(shell.next_requester.fetch_add(1, Ordering::Relaxed));
    let (sender, answer) = oneshot::channel();
    shell.requesters.lock().insert(requester, sender);
    shell.step(Event::Propose {
        requester,
        record: Box::new(record),
    });
    let answer = tokio::time::timeout(VERDICT_WAIT, answer).await;
    shell.requesters.lock().remove(&requester);
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
