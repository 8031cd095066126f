//! Answers to other hosts' calls.

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
use http_body_util::{
    BodyExt,
    Limited, //
};
use hyper::body::Incoming;

use super::{
    MAX_BODY_BYTES, Path, SEAL_HEADER, learn,
    message::{
        Ask,
        Free,
        Recent,
        Reply, //
    },
};
use crate::shell::gateway::{
    Gateway,
    forward::Body,
    front::with_status,
    log::Event,
    stages,
    store, //
};

/// Answers a call of another host.
pub(in crate::shell::gateway) async fn serve(
    gateway: &Rc<Gateway>,
    from: SocketAddr,
    request: Request<Incoming>,
) -> Response<Body> {
    let Some(path) = Path::parse(request.uri().path()) else {
        return with_status(StatusCode::NOT_FOUND, "");
    };
    let seal = super::read_seal(request.headers());
    let body = Limited::new(request.into_body(), MAX_BODY_BYTES).collect();
    let Ok(body) = body.await else {
        return with_status(StatusCode::BAD_REQUEST, "body broke off");
    };
    let body = body.to_bytes();
    if path == Path::Known {
        return learn::tell(gateway, from);
    }
    // Cloned, since nothing may be borrowed across the waits below.
    let Some(key) = gateway.key.get().cloned() else {
        return with_status(StatusCode::SERVICE_UNAVAILABLE, "no key yet");
    };
    let ask = super::seal_ask(&key, path, &body);
    if seal != Some(ask) {
        gateway.log.write(&Event::Unsealed {
            from,
            what: path.text(),
        });
        return with_status(StatusCode::UNAUTHORIZED, "not sealed with this host's key");
    }
    match answer(gateway, path, &body).await {
        Ok(body) => {
            let seal = super::seal_answer(&key, &ask, &body).to_hex();
            let mut response = with_status(StatusCode::OK, body);
            if let Ok(seal) = HeaderValue::from_str(&seal) {
                response.headers_mut().insert(SEAL_HEADER, seal);
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
            let ask = postcard::from_bytes(body)?;
            postcard::to_allocvec(&run_pieces(gateway, ask).await)
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
            postcard::to_allocvec(&store::recent(gateway, recent))
        }
        // What is known is told without a seal, before it would be checked.
        Path::Ping | Path::Known => Ok(Vec::new()),
    }
}

async fn run_pieces(gateway: &Rc<Gateway>, ask: Ask) -> Reply {
    let service = ask.service.clone();
    let may_forward = !ask.is_forwarded;
    let pieces = ask.pieces(gateway.now());
    match stages::run_as_owner(gateway, &service, pieces, may_forward).await {
        Ok((owner, results)) => Reply::Results { results, owner },
        Err(failure) => Reply::Failed(failure.into()),
    }
}
