//! Stand-ins and three daemons in three data centres, in one process.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use ntex::{
    client::Client,
    http::Method,
    time::{
        Millis,
        sleep,
        timeout, //
    }, //
};
use serde_json::{
    Value,
    json, //
};
use teaselchute::{
    options::{
        Options,
        config::{
            Config,
            Limits,
            LogLevel,
            Platform, //
        }, //
    },
    shell::{
        daemon::{
            self,
            Daemon, //
        },
        logging, //
    },
};

use super::{
    StandIn, StandIns,
    caller::{
        Caller,
        Outcome, //
    },
    free_port,
    platform::{
        Hosts,
        Log, //
    },
    proxy::Proxy,
    server::{
        Pace,
        Server, //
    },
};

/// The data centres, each with its region.
pub const DATA_CENTRES: [(&str, &str); 3] = [
    ("almaty-a", "almaty"),
    ("astana-a", "astana"),
    ("shymkent-a", "shymkent"),
];

/// The organisation's credential.
pub const CREDENTIAL: &str = "sorters-secret";

/// The operators' credential.
pub const OPERATOR: &str = "operator-secret";

/// Longest time to wait for the daemons to serve.
const START: Duration = Duration::from_secs(30);

/// Stages, with the kind of their pools.
const POOLS: [(&str, &str, u32); 5] = [
    ("encoders", "encoder", 1),
    ("retrievers", "retriever", 1),
    ("rerankers", "reranker", 1),
    ("engines", "engine", 2),
    ("orders", "service", 1),
];

/// Daemons, stand-ins and where all of them are.
pub struct Cluster {
    /// The daemons, in the order of their data centres.
    pub daemons: Vec<Daemon>,
    /// The platform.
    pub stand_ins: Arc<StandIns>,
    /// All backend servers.
    pub servers: Vec<Arc<Server>>,
    /// Proxies before the servers of the pools that were named for it.
    pub proxies: Vec<Arc<Proxy>>,
    /// Proxies between the hosts, one before each daemon, where they were wanted.
    pub peer_proxies: Vec<Arc<Proxy>>,
    platform: Platform,
    document: Value,
    limits: Limits,
}

/// Returns the digest of a credential, as documents and settings hold it.
pub fn digest(credential: &str) -> String {
    blake3::hash(credential.as_bytes()).to_hex().to_string()
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

impl Cluster {
    /// Starts stand-ins and daemons, and publishes the document.
    pub async fn start(pace: Pace, limits: Limits) -> Self {
        Self::start_behind(pace, limits, &[]).await
    }

    /// Starts all with a proxy before each server of some pools.
    pub async fn start_behind(pace: Pace, limits: Limits, proxied: &[&str]) -> Self {
        let mut cluster = Self::make(pace, limits, proxied);
        for index in 0..DATA_CENTRES.len() {
            let daemon = cluster.spawn(index);
            cluster.daemons.push(daemon);
        }
        cluster.publish().await;
        cluster
    }

    /// Starts all with a proxy before each daemon's address for other hosts.
    pub async fn start_apart(pace: Pace, limits: Limits) -> Self {
        let mut cluster = Self::make(pace, limits, &[]);
        for index in 0..DATA_CENTRES.len() {
            let proxy = Proxy::spawn_for_peer();
            let daemon = cluster.spawn_at(index, proxy.address, Some(any_port()));
            proxy.set_target(daemon.addresses().peer);
            cluster.daemons.push(daemon);
            cluster.peer_proxies.push(proxy);
        }
        cluster.publish().await;
        cluster
    }

    /// Starts stand-ins, without daemons.
    fn make(pace: Pace, limits: Limits, proxied: &[&str]) -> Self {
        let mut parts = Vec::new();
        let mut add = |stand_in| {
            let (listener, address) = free_port();
            parts.push((listener, stand_in));
            address
        };
        let platform = Platform {
            log: add(StandIn::Log(Log::default())),
            host_list: add(StandIn::Hosts(Hosts::default())),
            weight_store: add(StandIn::Weights),
        };
        let mut servers = Vec::new();
        let mut proxies = Vec::new();
        let mut proxied_servers = Vec::new();
        let mut pools = json!({});
        for (pool, kind, count) in POOLS {
            pools[pool] = pool_json(kind);
            for (data_centre, _) in DATA_CENTRES {
                for number in 0..count {
                    let name = format!("{pool}-{data_centre}-{number}");
                    let server = Arc::new(Server::new(name.clone(), kind, data_centre, pace));
                    let mut address = add(StandIn::Server(server.clone()));
                    if proxied.contains(&pool) {
                        let proxy = Proxy::spawn(address);
                        address = proxy.address;
                        proxied_servers.push((address.port(), server.clone()));
                        proxies.push(proxy);
                    }
                    servers.push(server);
                    pools[pool]["servers"][&name] =
                        json!({ "address": address, "data_centre": data_centre });
                }
            }
        }
        let stand_ins = StandIns::spawn(parts, proxied_servers);
        Self {
            daemons: Vec::new(),
            stand_ins,
            servers,
            proxies,
            peer_proxies: Vec::new(),
            platform,
            document: document(pools),
            limits,
        }
    }

    /// Starts a daemon in the data centre of an index.
    pub fn spawn(&self, index: usize) -> Daemon {
        self.spawn_at(index, any_port(), None)
    }

    fn spawn_at(&self, index: usize, peer: SocketAddr, peer_listen: Option<SocketAddr>) -> Daemon {
        let (data_centre, region) = DATA_CENTRES[index];
        let config = Config {
            host: format!("entry-{data_centre}").into(),
            data_centre: data_centre.into(),
            region: region.into(),
            weight: 1,
            environment: "production".into(),
            http: any_port(),
            peer,
            http_listen: None,
            peer_listen,
            platform: self.platform.clone(),
            cluster_key: Some("5a".repeat(32)),
            cluster_key_file: None,
            operator_digest: digest(OPERATOR).into(),
            limits: self.limits.clone(),
            log_level: LogLevel::Info,
            threads: 2,
        };
        let options = Options::new(config).expect("the settings are right");
        let logger = match std::env::var_os("TEASELCHUTE_LOG") {
            Some(_) => logging::open(std::io::stderr(), LogLevel::Debug),
            None => logging::discard(),
        };
        daemon::spawn_with(options, logger, None).expect("the daemon starts")
    }

    /// Returns where the daemons listen for callers.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        let addresses = self.daemons.iter().map(|daemon| daemon.addresses().http);
        addresses.collect()
    }

    /// Publishes the document and waits until it's in force everywhere.
    async fn publish(&self) {
        let start = Instant::now();
        let body = json!({ "id": "first", "based_on": 0, "document": self.document });
        let path = "/v1/operator/environments/production/changes";
        let first = self.addresses()[0];
        loop {
            let answer = operate(Method::POST, first, path, Some(&body)).await;
            if answer["verdict"] == "accepted" {
                break;
            }
            assert!(start.elapsed() < START, "not accepted: {answer}");
            sleep(Duration::from_millis(100)).await;
        }
        for address in self.addresses() {
            wait_ready(address).await;
        }
        self.wait_warm().await;
    }

    /// Waits until each host has brought a request through all stages.
    async fn wait_warm(&self) {
        for (number, address) in self.addresses().into_iter().enumerate() {
            let caller = Caller::new(vec![address], "sorters", CREDENTIAL).await;
            let id = format!("warm-{number}");
            let outcome = caller.ask("notes", &id, r#"{"prompt":"warm"}"#).await;
            assert!(matches!(outcome, Outcome::Answer(_)), "{id}: {outcome:?}");
        }
    }

    /// Takes a data centre out, or brings it back.
    pub async fn drain(&self, host: SocketAddr, id: &str, data_centre: &str, out: bool) {
        let body = json!({ "id": id, "data_centre": data_centre, "out": out });
        let start = Instant::now();
        loop {
            let answer = operate(Method::POST, host, "/v1/operator/drains", Some(&body)).await;
            if answer["verdict"] == "accepted" {
                return;
            }
            // As operators do: the same id again until the verdict is known.
            let is_open =
                answer["verdict"] == "unknown" || answer["refusal"]["run"] == "may_have_run";
            assert!(
                is_open && start.elapsed() < START,
                "the drain lands: {answer}"
            );
            sleep(Duration::from_millis(100)).await;
        }
    }

    /// Waits until a daemon knows that a data centre is out.
    pub async fn wait_drained(&self, host: SocketAddr, data_centre: &str) {
        let start = Instant::now();
        let wanted = json!({ "data_centre": data_centre });
        loop {
            let status = operate(Method::GET, host, "/v1/operator/status", None).await;
            let drained = status["drained"].as_array();
            if drained.is_some_and(|drained| drained.contains(&wanted)) {
                return;
            }
            assert!(start.elapsed() < START, "not drained: {status}");
            sleep(Duration::from_millis(100)).await;
        }
    }

    /// Returns the calls that ran in a data centre so far.
    pub fn calls_in(&self, data_centre: &str) -> u64 {
        let servers = self.servers.iter();
        let servers = servers.filter(|server| server.data_centre == data_centre);
        servers.map(|server| server.calls()).sum()
    }

    /// Returns how often each order ran, over all servers.
    pub fn orders(&self) -> std::collections::BTreeMap<String, u64> {
        let mut all = std::collections::BTreeMap::new();
        for server in self
            .servers
            .iter()
            .filter(|server| server.kind == "service")
        {
            for (id, count) in server.ran() {
                *all.entry(id).or_default() += count;
            }
        }
        all
    }
}

/// Waits until a daemon serves the document.
pub async fn wait_ready(address: SocketAddr) {
    let start = Instant::now();
    loop {
        let status = operate(Method::GET, address, "/v1/operator/status", None).await;
        let is_in_force = status["environments"]["production"].as_u64() >= Some(1);
        let knows_others = operate(Method::GET, address, "/v1/operator/hosts", None).await;
        let others = knows_others.as_array().map_or(0, Vec::len);
        if status["serving"] == true && is_in_force && others >= 2 {
            return;
        }
        assert!(
            start.elapsed() < START,
            "not ready: {status} {knows_others}"
        );
        sleep(Duration::from_millis(100)).await;
    }
}

/// Asks a daemon as an operator. Null where it doesn't answer.
pub async fn operate(method: Method, host: SocketAddr, path: &str, body: Option<&Value>) -> Value {
    let client = Client::new().await;
    let request = client
        .request(method, format!("http://{host}{path}"))
        .header("authorization", format!("Bearer {OPERATOR}"))
        .timeout(Millis(15_000));
    let body = body.map(Value::to_string).unwrap_or_default();
    let Ok(Ok(response)) = timeout(Millis(15_000), request.send_body(body)).await else {
        return Value::Null;
    };
    match response.body().limit(16 << 20).await {
        Ok(body) => serde_json::from_slice(&body).unwrap_or_default(),
        Err(_) => Value::Null,
    }
}

fn pool_json(kind: &str) -> Value {
    json!({
        "kind": kind,
        "cold_limit": 16,
        "full_limit": 64,
        "warm_up_ms": 1_000,
        "call_timeout_ms": 5_000,
        "servers": {},
    })
}

fn document(pools: Value) -> Value {
    let data_centres = DATA_CENTRES
        .iter()
        .map(|(name, region)| (name.to_string(), json!({ "region": region })));
    let stages: Vec<_> = POOLS[..4]
        .iter()
        .map(|(pool, kind, _)| match *kind {
            "engine" => json!({ "name": "generate", "pool": pool, "model": "writer" }),
            kind => json!({ "name": kind, "pool": pool }),
        })
        .collect();
    json!({
        "data_centres": data_centres.collect::<serde_json::Map<_, _>>(),
        "pools": pools,
        "models": {
            "writer": { "pool": "engines", "version": "1", "memory_mb": 10, "weights_mb": 10 },
        },
        "pipelines": {
            "notes": { "stages": stages, "deadline_ms": 15_000, "late_answer_wanted": true },
        },
        "services": {
            "orders": { "pool": "orders", "idempotent": false, "deadline_ms": 5_000 },
        },
        "organisations": {
            "sorters": {
                "credential_digest": digest(CREDENTIAL),
                "pipelines": { "notes": {} },
                "services": ["orders"],
            },
        },
    })
}
