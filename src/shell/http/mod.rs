//! The HTTP server for callers and operators: see `docs/http.md`.

mod address;
mod answer;
mod filter;
mod operator;
mod requests;
mod stream;

use std::{
    io,
    net::TcpListener,
    sync::Arc, //
};

use ntex::{
    http::HttpServiceConfig,
    io::IoConfig,
    server::Server,
    service::cfg::SharedCfg,
    time::Seconds,
    web::{
        self,
        App,
        HttpRequest,
        HttpResponse,
        HttpServer,
        ServiceConfig,
        types::State, //
    },
};

use super::{
    Shell,
    perform, //
};
use crate::{
    core::refusal::{
        Code,
        Refusal,
        Remedy, //
    },
    edges::Factory,
};

/// The state of handlers.
type Shared = State<Arc<Shell>>;

/// Most headers of a request.
const MAX_HEADERS: usize = 64;

/// Largest head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// Time for which the last answers may be written while the server stops, in seconds.
const SHUTDOWN_S: u16 = 5;

/// Starts the server on the current thread's runtime.
pub(super) fn serve(
    shell: &Arc<Shell>,
    listener: TcpListener,
    factory: Arc<dyn Factory>,
) -> io::Result<Server> {
    let limits = &shell.options.config.limits;
    let threads = shell.options.config.threads;
    let timeout = Seconds(limits.header_timeout_s);
    let service = HttpServiceConfig::new()
        .set_max_headers(MAX_HEADERS)
        .set_max_buf_size(MAX_HEAD_BYTES)
        .set_keepalive_timeout(Seconds(limits.keep_alive_s))
        .set_headers_read_rate(timeout, timeout, 1);
    let config = SharedCfg::new("http").add(service).add(IoConfig::new());
    let app_shell = shell.clone();
    let server = HttpServer::new(async move || {
        let shell = app_shell.clone();
        if let Err(error) = perform::open_edges(factory.as_ref()).await {
            slog::error!(shell.logger, "edges not opened"; "error" => %error);
        }
        App::new()
            .state(shell)
            .configure(routes)
            .default_service(web::to(unknown))
    });
    let server = server
        .workers(threads)
        .maxconn(limits.connections)
        .disable_signals()
        .shutdown_timeout(Seconds(SHUTDOWN_S))
        .config(config)
        .listen(listener)?;
    Ok(server.run())
}

fn routes(config: &mut ServiceConfig) {
    config
        .route("/healthz", web::get().to(healthz))
        .route("/readyz", web::get().to(readyz))
        .route("/metrics", web::get().to(metrics))
        .route("/v1/address", web::get().to(address::lookup))
        .route(
            "/v1/pipelines/{name}/requests",
            web::post().to(requests::pipeline),
        )
        .route(
            "/v1/services/{name}/requests",
            web::post().to(requests::service),
        )
        .route("/v1/requests/{id}", web::get().to(requests::fetch))
        .route("/v1/requests/{id}/why", web::get().to(requests::why))
        .service(web::scope("/v1/operator").configure(operator::routes));
}

async fn healthz(shell: Shared) -> HttpResponse {
    if shell.is_healthy() {
        return HttpResponse::Ok().body("ok\n");
    }
    HttpResponse::ServiceUnavailable().body("no tick for too long\n")
}

async fn readyz(shell: Shared) -> HttpResponse {
    let view = shell.node.view();
    if view.leaving {
        return HttpResponse::ServiceUnavailable().body("leaving\n");
    }
    if !view.serving {
        return HttpResponse::ServiceUnavailable().body("starting\n");
    }
    HttpResponse::Ok().body("ready\n")
}

async fn metrics(shell: Shared) -> HttpResponse {
    HttpResponse::Ok()
        .content_type("text/plain; version=0.0.4")
        .body(shell.metrics.text())
}

async fn unknown(request: HttpRequest) -> HttpResponse {
    let detail = "no such path or method";
    let refusal = Refusal::not_run(Code::Unknown, Remedy::ChangeRequest, detail);
    answer::refuse(None, &filter::of_named_tries(request.headers(), refusal))
}
