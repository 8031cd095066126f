//! Server side of the calls between hosts.

use std::{
    net::SocketAddr,
    rc::Rc, //
};

use http::{
    HeaderValue,
    Request,
    Response,
    StatusCode, //
};
use hyper::body::Incoming;

use super::{
    MAC_HEADER, MAX_BODY_BYTES, Path, bootstrap,
    message::{
        Batch,
        Free,
        Recent,
        Reply, //
    },
};
use crate::{
    core::gateway::holding::Purpose,
    shell::gateway::{
        Gateway,
        forward::Body,
        front::with_status,
        log::Event,
        stages,
        store, //
    },
};

/// Handles a call of another host.
pub(in crate::shell::gateway) async fn serve(
    gateway: &Rc<Gateway>,
    from: SocketAddr,
    request: Request<Incoming>,
) -> Response<Body> {
    let Some(path) = Path::parse(request.uri().path()) else {
        return with_status(StatusCode::NOT_FOUND, "");
    };
    let mac = super::read_mac(request.headers());
    // Whoever sent it isn't known before its MAC is checked.
    let body = request.into_body();
    let body = gateway.held.collect(Purpose::Request, body, MAX_BODY_BYTES);
    let Ok(body) = body.await else {
        return with_status(StatusCode::BAD_REQUEST, "body broke off");
    };
    if path == Path::Snapshot {
        return bootstrap::serve_snapshot(gateway, from);
    }
    // Cloned, since no cell may stay borrowed across an await.
    let Some(key) = gateway.key.get().cloned() else {
        return with_status(StatusCode::SERVICE_UNAVAILABLE, "no key yet");
    };
    let expected_mac = super::request_mac(&key, path, &body);
    if mac != Some(expected_mac) {
        gateway.log.write(&Event::Unsealed {
            from,
            what: path.text(),
        });
        return with_status(StatusCode::UNAUTHORIZED, "not sealed with this host's key");
    }
    match answer(gateway, path, &body).await {
        Ok(body) => {
            let mac = super::response_mac(&key, &expected_mac, &body).to_hex();
            let mut response = with_status(StatusCode::OK, body);
            if let Ok(mac) = HeaderValue::from_str(&mac) {
                response.headers_mut().insert(MAC_HEADER, mac);
            }
            response
        }
        Err(error) => with_status(StatusCode::BAD_REQUEST, error.to_string()),
    }
}

async fn answer(
    gateway: &Rc<Gateway>,
    path: Path,
    body: &[u8],
) -> Result<Vec<u8>, postcard::Error> {
    match path {
        Path::Pieces => {
            let batch = postcard::from_bytes(body)?;
            postcard::to_allocvec(&run_pieces(gateway, batch).await)
        }
        Path::Free => {
            let free: Free = postcard::from_bytes(body)?;
            stages::free_local(gateway, &free.service, free.results).await;
            Ok(Vec::new())
        }
        Path::Progress => {
            stages::record_progress(gateway, postcard::from_bytes(body)?);
            Ok(Vec::new())
        }
        Path::Relay => {
            let relay = postcard::from_bytes(body)?;
            postcard::to_allocvec(&store::relay(gateway, relay).await)
        }
        Path::Recent => {
            let recent: Recent = postcard::from_bytes(body)?;
            postcard::to_allocvec(&store::recent(gateway, recent).await)
        }
        Path::Config => {
            let config = gateway.store.config.borrow().clone();
            postcard::to_allocvec(&config)
        }
        // Snapshots are sent without a MAC, before it would be checked.
        Path::Ping | Path::Snapshot => Ok(Vec::new()),
    }
}

async fn run_pieces(gateway: &Rc<Gateway>, batch: Batch) -> Reply {
    let service = batch.service.clone();
    let may_forward = !batch.is_forwarded;
    let pieces = batch.pieces(gateway.now());
    match stages::run_as_owner(gateway, &service, pieces, may_forward).await {
        Ok((owner, results)) => Reply::Results { results, owner },
        Err(failure) => Reply::Failed(failure.into()),
    }
}
