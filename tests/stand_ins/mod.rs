//! Small stand-ins for the platform, backend servers and callers, for the demo and the tests.
#![allow(dead_code, reason = "each program uses its own part of the stand-ins")]

pub mod caller;
pub mod cluster;
pub mod platform;
pub mod proxy;
pub mod server;

use std::{
    collections::BTreeMap,
    net::{
        SocketAddr,
        TcpListener, //
    },
    sync::{
        Arc,
        mpsc, //
    },
    thread,
};

use ntex::{
    rt::{
        DefaultRuntime,
        System, //
    },
    web::{
        self, App, HttpRequest, HttpResponse, HttpServer,
        types::{
            Payload,
            State, //
        },
    },
};

/// What answers at one address.
pub enum StandIn {
    /// The platform's log.
    Log(platform::Log),
    /// The platform's host list.
    Hosts(platform::Hosts),
    /// The platform's weight store.
    Weights,
    /// A backend server.
    Server(Arc<server::Server>),
}

/// All stand-ins of one program, by port, behind one HTTP server.
pub struct StandIns {
    by_port: BTreeMap<u16, StandIn>,
}

/// Binds any free port.
pub fn free_port() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
    let address = listener
        .local_addr()
        .expect("a bound socket has an address");
    (listener, address)
}

impl StandIns {
    /// Serves stand-ins at their ports, for as long as the program runs. Requests that came through
    /// a proxy name its port.
    pub fn spawn(
        parts: Vec<(TcpListener, StandIn)>,
        proxied: Vec<(u16, Arc<server::Server>)>,
    ) -> Arc<Self> {
        let proxied = proxied.into_iter();
        let mut by_port: BTreeMap<_, _> = proxied
            .map(|(port, server)| (port, StandIn::Server(server)))
            .collect();
        let mut listeners = Vec::new();
        for (listener, stand_in) in parts {
            let address = listener
                .local_addr()
                .expect("a bound socket has an address");
            by_port.insert(address.port(), stand_in);
            listeners.push(listener);
        }
        let stand_ins = Arc::new(Self { by_port });
        let shared = stand_ins.clone();
        let (ready, is_ready) = mpsc::channel();
        thread::spawn(move || {
            System::new("stand-ins", DefaultRuntime).block_on(async move {
                let mut server = HttpServer::new(async move || {
                    App::new()
                        .state(shared.clone())
                        .default_service(web::to(answer))
                });
                for listener in listeners {
                    server = server.listen(listener).expect("the listener is bound");
                }
                let server = server.workers(2).disable_signals().run();
                ready.send(()).expect("the spawner waits");
                server.await
            })
        });
        is_ready.recv().expect("the stand-ins start");
        stand_ins
    }

    /// Returns the log.
    pub fn log(&self) -> &platform::Log {
        let log = self.by_port.values().find_map(|stand_in| match stand_in {
            StandIn::Log(log) => Some(log),
            _ => None,
        });
        log.expect("each program has a log")
    }
}

async fn answer(
    request: HttpRequest,
    payload: Payload,
    stand_ins: State<Arc<StandIns>>,
) -> HttpResponse {
    let host = request.headers().get("host");
    let port = host
        .and_then(|host| host.to_str().ok())
        .and_then(|host| host.rsplit(':').next())
        .and_then(|port| port.parse().ok())
        .unwrap_or(0);
    match stand_ins.by_port.get(&port) {
        Some(StandIn::Log(log)) => log.answer(&request, payload).await,
        Some(StandIn::Hosts(hosts)) => hosts.answer(&request, payload).await,
        Some(StandIn::Weights) => HttpResponse::Ok().json(&serde_json::json!({ "size_mb": 100 })),
        Some(StandIn::Server(server)) => server.answer(&request, payload).await,
        None => HttpResponse::NotFound().finish(),
    }
}

/// Reads a JSON body.
pub async fn read_json(mut payload: Payload) -> serde_json::Value {
    let mut body = Vec::new();
    while let Some(Ok(chunk)) = ntex::util::stream_recv(&mut payload).await {
        body.extend_from_slice(&chunk);
    }
    serde_json::from_slice(&body).unwrap_or_default()
}
