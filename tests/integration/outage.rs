//! The platform's log answers nobody for a while.

use std::{
    collections::BTreeMap,
    sync::atomic::Ordering, //
};

use ntex::http::Method;
use serde_json::json;
use teaselchute::options::config::Limits;

use crate::{
    callers::{
        Callers,
        SLOW, //
    },
    run,
    stand_ins::{
        caller::Outcome,
        cluster::{
            Cluster,
            operate, //
        },
    },
};

#[test]
fn log_down_and_back() {
    run(async {
        let cluster = Cluster::start(SLOW, Limits::default()).await;
        let first = cluster.addresses()[0];
        let log = cluster.stand_ins.log();
        log.is_down.store(true, Ordering::Relaxed);
        let callers = Callers::spawn(SLOW, &cluster.addresses(), &BTreeMap::new());
        let body = json!({ "id": "out-1", "data_centre": "astana-a", "out": true });
        let path = "/v1/operator/drains";
        let answer = operate(Method::POST, first, path, Some(&body)).await;
        let is_open = answer["verdict"] == "unknown" || answer["refusal"]["run"] == "may_have_run";
        assert!(is_open, "nothing is promised without the log: {answer}");
        for (id, outcome) in callers.check(&cluster).await {
            assert!(matches!(outcome, Outcome::Answer(_)), "{id}: {outcome:?}");
        }
        log.is_down.store(false, Ordering::Relaxed);
        cluster.drain(first, "out-1", "astana-a", true).await;
        for address in cluster.addresses() {
            cluster.wait_drained(address, "astana-a").await;
        }
    });
}
