//! Runs the pieces of stages, on this host or through the owner: the host that batches the calls of
//! a service in a data centre.

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
    rollouts::Hold, //
};
use crate::{
    core::gateway::{
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

/// Timeout of a call that reports progress, in milliseconds.
const PROGRESS_TIMEOUT_MS: u64 = 400;

/// Change of the estimated completion time that is reported to other data centres at once, in
/// milliseconds.
const MIN_PROGRESS_CHANGE_MS: u64 = 40;

/// Interval at which progress is reported without such a change, in milliseconds.
const MAX_PROGRESS_INTERVAL_MS: u64 = 350;

/// Total size of inputs from which pieces run in the data centre that holds them, in bytes.
const LARGE_INPUT_BYTES: u64 = 300_000;

/// Maximum size of a server's response, in bytes.
const MAX_ANSWER_BYTES: usize = 1024 * 1024;

/// Results of a stage, and the host that batched its calls.
#[derive(Clone, Debug)]
pub(super) struct Output {
    /// The service.
    pub(super) service: Name,
    /// The owner, which is last_sent when the results can be freed. `None` for this host.
    pub(super) owner: Option<SocketAddr>,
    /// The results, in the order of their pieces.
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
    let data_centre = input_data_centre(gateway, &pieces);
    let data_centre = data_centre.unwrap_or_else(|| gateway.identity.data_centre.clone());
    let owner = owner(gateway, service, &data_centre).filter(|(owner, _)| *owner != own);
    if let Some((owner, address)) = owner {
        match ask_owner(gateway, address, service, &pieces, false).await {
            Ok(ran) => return (owner, ran),
            Err(error) => gateway.suspect(&owner, &error),
        }
    }
    (own, run_as_owner(gateway, service, pieces, true).await)
}

/// Returns the data centre that holds the inputs of the pieces, if moving them costs more than a call
/// to its owner.
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

/// Holds the server with a result: it is needed until the result is freed.
pub(super) fn hold(gateway: &Rc<Gateway>, result: &str) -> Option<Hold> {
    let holder = gateway.adapter.holder(result)?;
    let server = gateway.servers.borrow().by_address(holder)?;
    Hold::new(gateway, &server)
}

async fn ask_owner(
    gateway: &Rc<Gateway>,
    address: SocketAddr,
    service: &Name,
    pieces: &[Piece],
    is_forwarded: bool,
) -> Result<RunResult, peers::Error> {
    let now = gateway.now();
    let Some(mut batch) = peers::Batch::new(now, service, pieces) else {
        return Ok(Ok((None, Vec::new())));
    };
    batch.is_forwarded = is_forwarded;
    let timeout_ms = pieces
        .first()
        .map_or(0, |piece| piece.deadline.since_ms(now));
    match peers::run_pieces(gateway, address, &batch, timeout_ms).await? {
        Reply::Results { results, owner } if results.len() == pieces.len() => {
            Ok(Ok((Some(owner.unwrap_or(address)), results)))
        }
        Reply::Results { .. } => Ok(Err(Failure::Failed)),
        Reply::Failed(failure) => Ok(Err(failure.into())),
    }
}

/// Runs pieces as the owner of this data centre, or forwards them to the owner of one that would
/// complete them earlier.
pub(super) async fn run_as_owner(
    gateway: &Rc<Gateway>,
    service: &Name,
    pieces: Vec<Piece>,
    may_forward: bool,
) -> RunResult {
    let remote = if may_forward {
        choose_remote(gateway, service, &pieces)
    } else {
        None
    };
    if let Some(address) = remote
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
    let done_ms = batcher.queue.borrow().estimate_ms(
        now,
        &stages,
        &servers,
        pieces.len(),
        first.result_bytes,
    );
    let request = spillover::Request {
        pieces: pieces.len(),
        result_bytes: first.result_bytes,
        input_bytes: first.input_bytes,
        piece_ms: stages.piece_ms as u64,
        local_done_ms: done_ms,
    };
    gateway.spillover.borrow_mut().choose(now, service, request)
}

/// Records the progress that the owner of another data centre reports.
pub(super) fn record_progress(gateway: &Gateway, progress: peers::Progress) {
    let remote = spillover::Remote {
        owner: progress.owner,
        done_ms: progress.done_ms,
        free_bytes: progress.free_bytes,
        received_at: gateway.now(),
    };
    let mut map = gateway.spillover.borrow_mut();
    map.record(progress.service, progress.data_centre, remote);
}

/// Returns the owner of a service in a data centre, by rendezvous hashing over its larger hosts.
fn owner(gateway: &Gateway, service: &Name, data_centre: &Name) -> Option<(Name, SocketAddr)> {
    let hosts = gateway.hosts.borrow();
    let owners = hosts.coordinators(gateway.now(), service, |heartbeat| {
        heartbeat.data_centre == *data_centre
    });
    let owner = *owners.first()?;
    Some((owner.host.clone(), owner.peer_address))
}

/// Runs the periodic work: sends calls that have become due, and reports progress to other data
/// centres.
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

/// Reports progress to the owners of other data centres, if this host is the owner of its own.
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
        free_bytes: queue.free_bytes(stages, &servers),
    };
    drop(queue);
    if !batcher.should_send(now, &progress) {
        return;
    }
    let data_centres: Vec<Name> = gateway.options.borrow().regions.keys().cloned().collect();
    for data_centre in data_centres
        .iter()
        .filter(|data_centre| **data_centre != own.data_centre)
    {
        let Some((_, address)) = owner(gateway, service, data_centre) else {
            continue;
        };
        let gateway = gateway.clone();
        let progress = progress.clone();
        tokio::task::spawn_local(async move {
            // A failed report isn't retried: it is stale soon, and the next one follows.
            let _ = peers::send_progress(&gateway, address, &progress, PROGRESS_TIMEOUT_MS).await;
        });
    }
}

impl Batcher {
    /// Returns whether this progress is to be reported to other data centres, and records it as sent if
    /// so.
    fn should_send(&self, now: Instant, progress: &peers::Progress) -> bool {
        let mut last_sent = self.sent_progress.borrow_mut();
        if let Some((at, before)) = &*last_sent {
            let change_ms = progress.done_ms.abs_diff(before.done_ms);
            let age_ms = now.since_ms(*at);
            if change_ms < MIN_PROGRESS_CHANGE_MS && age_ms < MAX_PROGRESS_INTERVAL_MS {
                return false;
            }
        }
        *last_sent = Some((now, progress.clone()));
        true
    }
}
