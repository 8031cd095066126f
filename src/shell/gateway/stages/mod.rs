//! Runs pieces of stages: on this host, or on the one that gathers the calls of a service.

use std::{
    net::SocketAddr,
    rc::Rc, //
};

use opentelemetry::KeyValue;

use crate::shell::gateway::{
    Gateway,
    log::Event,
    peers::{
        self,
        Reply, //
    },
};
use crate::{
    core::gateway::{
        balance,
        batch::Piece,
        config::{
            Role,
            Stages, //
        },
        plan::Input,
        spillover,
    },
    edges::gateway::Failure,
    names::Name,
    time::Instant,
};

mod batcher;
mod free;

pub(super) use batcher::Batcher;
use batcher::{
    batcher,
    dispatch,
    local_servers,
    run_local,
    stages_of, //
};
pub(super) use free::{
    FreeQueue,
    free,
    free_local, //
};

/// Time that news of progress may take, in milliseconds.
const PROGRESS_TIMEOUT_MS: u64 = 400;

/// Change of the expected time from which other data centres hear of it, in milliseconds.
const MIN_PROGRESS_CHANGE_MS: u64 = 40;

/// Time after which they hear of it without a change, in milliseconds.
const MAX_PROGRESS_INTERVAL_MS: u64 = 350;

/// Size of inputs from which pieces go to where they lie, in bytes.
const LARGE_INPUT_BYTES: u64 = 300_000;

/// Largest answer of a server, in bytes.
const MAX_ANSWER_BYTES: usize = 1024 * 1024;

/// Results of a stage, and who gathered the calls.
#[derive(Clone, Debug)]
pub(super) struct Output {
    /// The service.
    pub(super) service: Name,
    /// The host that has to learn when they aren't needed, `None` for this one.
    pub(super) owner: Option<SocketAddr>,
    /// The results, in order of their pieces.
    pub(super) results: Vec<Name>,
}

/// Runs all pieces of one stage of a request.
pub(super) async fn run(
    gateway: &Rc<Gateway>,
    service: &Name,
    pieces: Vec<Piece>,
) -> Result<Output, Failure> {
    let start = gateway.now();
    let request = pieces.first().map(|piece| piece.request.clone());
    let count = pieces.len();
    let (owner, result) = run_at_owner(gateway, service, pieces).await;
    let ms = gateway.now().since_ms(start);
    gateway
        .metrics
        .stage_ms
        .record(ms, &[KeyValue::new("service", service.to_string())]);
    let outcome = match &result {
        Ok(_) => "done".to_string(),
        Err(failure) => format!("{failure:?}"),
    };
    gateway.log.write(&Event::Stage {
        request: request.as_deref().unwrap_or_default(),
        service,
        owner: &owner,
        pieces: count,
        outcome: &outcome,
        ms,
    });
    let (owner, results) = result?;
    Ok(Output {
        service: service.clone(),
        owner,
        results,
    })
}

type RunResult = Result<(Option<SocketAddr>, Vec<Name>), Failure>;

async fn run_at_owner(
    gateway: &Rc<Gateway>,
    service: &Name,
    pieces: Vec<Piece>,
) -> (Name, RunResult) {
    let own = gateway.identity.host.clone();
    let place = input_data_centre(gateway, &pieces);
    let place = place.unwrap_or_else(|| gateway.identity.data_centre.clone());
    let owner = owner(gateway, service, &place).filter(|(owner, _)| *owner != own);
    if let Some((owner, address)) = owner {
        match ask_owner(gateway, address, service, &pieces, false).await {
            Ok(ran) => return (owner, ran),
            Err(error) => gateway.suspect(&owner, &error),
        }
    }
    (own, run_as_owner(gateway, service, pieces, true).await)
}

/// Returns the data centre in which the results lie that pieces work on, where moving them costs more
/// than asking there.
fn input_data_centre(gateway: &Gateway, pieces: &[Piece]) -> Option<Name> {
    let first = pieces.first()?;
    if first.input_bytes * (pieces.len() as u64) < LARGE_INPUT_BYTES {
        return None;
    }
    let Input::Results(inputs) = &first.input else {
        return None;
    };
    result_data_centre(gateway, inputs.first()?)
}

/// Returns the data centre of the server that holds a result.
pub(super) fn result_data_centre(gateway: &Gateway, result: &str) -> Option<Name> {
    let holder = gateway.adapter.holder(result)?;
    let servers = gateway.servers.borrow();
    let server = servers.get(&servers.by_address(holder)?)?;
    Some(server.entry.data_centre.clone())
}

async fn ask_owner(
    gateway: &Rc<Gateway>,
    address: SocketAddr,
    service: &Name,
    pieces: &[Piece],
    is_forwarded: bool,
) -> Result<RunResult, peers::Error> {
    let now = gateway.now();
    let Some(mut ask) = peers::Ask::new(now, service, pieces) else {
        return Ok(Ok((None, Vec::new())));
    };
    ask.is_forwarded = is_forwarded;
    let limit_ms = pieces
        .first()
        .map_or(0, |piece| piece.deadline.since_ms(now));
    match peers::run_pieces(gateway, address, &ask, limit_ms).await? {
        Reply::Results { results, owner } if results.len() == pieces.len() => {
            Ok(Ok((Some(owner.unwrap_or(address)), results)))
        }
        Reply::Results { .. } => Ok(Err(Failure::Failed)),
        Reply::Failed(failure) => Ok(Err(failure.into())),
    }
}

/// Runs pieces as the host that gathers the calls of this data centre: here, or in another one that is
/// less behind.
pub(super) async fn run_as_owner(
    gateway: &Rc<Gateway>,
    service: &Name,
    pieces: Vec<Piece>,
    may_forward: bool,
) -> RunResult {
    let far = if may_forward {
        choose_remote(gateway, service, &pieces)
    } else {
        None
    };
    if let Some(address) = far
        && let Ok(ran) = ask_owner(gateway, address, service, &pieces, true).await
    {
        return ran;
    }
    let results = run_local(gateway, service, pieces).await?;
    Ok((None, results))
}

fn choose_remote(gateway: &Gateway, service: &Name, pieces: &[Piece]) -> Option<SocketAddr> {
    let first = pieces.first()?;
    let stages = stages_of(gateway, service)?;
    let now = gateway.now();
    let servers = local_servers(gateway, service);
    let batcher = batcher(gateway, service);
    let own_done_ms = batcher.queue.borrow().estimate_ms(
        now,
        &stages,
        &servers,
        pieces.len(),
        first.result_bytes,
    );
    let ask = spillover::Request {
        pieces: pieces.len(),
        result_bytes: first.result_bytes,
        input_bytes: first.input_bytes,
        piece_ms: stages.piece_ms as u64,
        local_done_ms: own_done_ms,
    };
    gateway.spillover.borrow_mut().choose(now, service, ask)
}

/// Takes news of another data centre.
pub(super) fn record_progress(gateway: &Gateway, progress: peers::Progress) {
    let far = spillover::Remote {
        owner: progress.owner,
        done_ms: progress.done_ms,
        free_bytes: progress.room_bytes,
        received_at: gateway.now(),
    };
    let mut map = gateway.spillover.borrow_mut();
    map.record(progress.service, progress.data_centre, far);
}

/// Returns the host that gathers calls of a service in a data centre.
fn owner(gateway: &Gateway, service: &Name, data_centre: &Name) -> Option<(Name, SocketAddr)> {
    let hosts = gateway.hosts.borrow();
    let near = hosts
        .reachable(gateway.now())
        .filter(|host| host.heartbeat.serving && host.heartbeat.data_centre == *data_centre);
    let owner = near.max_by_key(|host| balance::hash(&[&host.heartbeat.host, service]))?;
    Some((owner.heartbeat.host.clone(), owner.heartbeat.peer_address))
}

/// Does what falls due with time: sends what became free to be sent, and tells other data centres how
/// far this one is.
pub(super) fn tick(gateway: &Rc<Gateway>) {
    let batchers: Vec<_> = gateway.batchers.borrow().values().cloned().collect();
    for batcher in batchers {
        if !batcher.queue.borrow().is_empty() {
            dispatch(gateway, &batcher);
        }
    }
    let Some(config) = gateway.config() else {
        return;
    };
    for service in config.services.values() {
        if let Role::Stages(stages) = service.role {
            send_progress(gateway, &service.name, &stages);
        }
    }
}

/// Tells the owners of other data centres how far this one is, if this host is its owner.
fn send_progress(gateway: &Rc<Gateway>, service: &Name, stages: &Stages) {
    let own = &gateway.identity;
    let is_owner =
        owner(gateway, service, &own.data_centre).is_some_and(|(name, _)| name == own.host);
    if !is_owner {
        return;
    }
    let now = gateway.now();
    let servers = local_servers(gateway, service);
    let batcher = batcher(gateway, service);
    let queue = batcher.queue.borrow();
    let Some(done_ms) = queue.estimate_ms(now, stages, &servers, 1, 0) else {
        return;
    };
    let progress = peers::Progress {
        service: service.clone(),
        data_centre: own.data_centre.clone(),
        owner: gateway.options.borrow().listen.peers,
        done_ms,
        room_bytes: queue.free_bytes(stages, &servers),
    };
    drop(queue);
    if !batcher.should_send(now, &progress) {
        return;
    }
    let places: Vec<Name> = gateway.options.borrow().regions.keys().cloned().collect();
    for place in places.iter().filter(|place| **place != own.data_centre) {
        let Some((_, address)) = owner(gateway, service, place) else {
            continue;
        };
        let gateway = gateway.clone();
        let progress = progress.clone();
        tokio::task::spawn_local(async move {
            // News that is lost is followed by more, and is stale soon anyway.
            let _ = peers::send_progress(&gateway, address, &progress, PROGRESS_TIMEOUT_MS).await;
        });
    }
}

impl Batcher {
    /// Returns whether other data centres should hear of this progress, and notes that they did.
    fn should_send(&self, now: Instant, progress: &peers::Progress) -> bool {
        let mut told = self.sent_progress.borrow_mut();
        if let Some((at, before)) = &*told {
            let change_ms = progress.done_ms.abs_diff(before.done_ms);
            let age_ms = now.since_ms(*at);
            if change_ms < MIN_PROGRESS_CHANGE_MS && age_ms < MAX_PROGRESS_INTERVAL_MS {
                return false;
            }
        }
        *told = Some((now, progress.clone()));
        true
    }
}
