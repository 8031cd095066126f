//! Connections that fall silent for good between callers and hosts, and between two hosts.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::Ordering, //
    },
    time::Duration,
};

use ntex::{
    rt,
    time::sleep, //
};
use teaselchute::options::config::Limits;

use crate::{
    callers::{
        Callers,
        SLOW, //
    },
    run,
    stand_ins::{
        caller::{
            Caller,
            Outcome, //
        },
        cluster::{
            CREDENTIAL,
            Cluster, //
        },
        proxy::Proxy,
        server::Pace,
    },
};

/// Long enough answers for frames between hosts to need their connections.
const LONG: Pace = Pace {
    pad_bytes: 200,
    ..SLOW
};

fn silenced(proxies: &[Arc<Proxy>]) -> u64 {
    let silenced = proxies.iter();
    silenced
        .map(|proxy| proxy.silenced.load(Ordering::SeqCst))
        .sum()
}

/// Returns a proxy before each host, and which host each stands for.
fn detours(hosts: &[SocketAddr]) -> (Vec<Arc<Proxy>>, BTreeMap<SocketAddr, SocketAddr>) {
    let proxies: Vec<_> = hosts.iter().map(|&host| Proxy::spawn(host)).collect();
    let addresses = proxies.iter().map(|proxy| proxy.address);
    let detours = hosts.iter().copied().zip(addresses).collect();
    (proxies, detours)
}

#[test]
fn callers_of_silent_host() {
    run(async {
        let cluster = Cluster::start(SLOW, Limits::default()).await;
        let (proxies, detours) = detours(&cluster.addresses());
        let callers = Callers::spawn(SLOW, &cluster.addresses(), &detours);
        let caller = Caller::new(cluster.addresses(), "sorters", CREDENTIAL).await;
        let caller = caller.with_detours(detours);
        let silencing = proxies.clone();
        let servers = cluster.servers.clone();
        rt::spawn(async move {
            // A connection that opens later isn't silent.
            while !servers.iter().any(|it| it.ran().contains_key("moved-1")) {
                sleep(Duration::from_millis(5)).await;
            }
            silencing.iter().for_each(|proxy| proxy.silence());
        });
        let outcome = caller.ask("notes", "moved-1", r#"{"prompt":"lot"}"#).await;
        assert_eq!(outcome, Outcome::Answer(SLOW.whole_answer("moved-1")));
        let tried = caller.tried.borrow().clone();
        assert!(
            tried.iter().any(|host| *host != tried[0]),
            "it went elsewhere: {tried:?}"
        );
        callers.check(&cluster).await;
        assert!(silenced(&proxies) > 0, "connections were open");
    });
}

#[test]
fn hosts_silent_to_each_other() {
    run(async {
        let cluster = Cluster::start_apart(LONG, Limits::default()).await;
        let callers = Callers::spawn(LONG, &cluster.addresses(), &BTreeMap::new());
        callers.check(&cluster).await;
        cluster
            .peer_proxies
            .iter()
            .for_each(|proxy| proxy.silence());
        let callers = Callers::spawn(LONG, &cluster.addresses(), &BTreeMap::new());
        let first = cluster.addresses()[0];
        cluster.drain(first, "out-1", "astana-a", true).await;
        for address in cluster.addresses() {
            cluster.wait_drained(address, "astana-a").await;
        }
        callers.check(&cluster).await;
        assert!(silenced(&cluster.peer_proxies) > 0, "connections were open");
    });
}
