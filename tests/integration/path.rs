//! The whole path: callers, entry hosts, backend servers.

use teaselchute::options::config::Limits;

use crate::{
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
        server::{
            Pace,
            whole_answer, //
        },
    },
};

#[test]
fn pipeline_four_stages() {
    run(async {
        let pace = Pace::default();
        let cluster = Cluster::start(pace, Limits::default()).await;
        let caller = Caller::new(cluster.addresses(), "sorters", CREDENTIAL).await;
        let answer = caller.ask("notes", "n-1", r#"{"prompt":"lot 7"}"#).await;
        assert_eq!(answer, Outcome::Answer(whole_answer("n-1", pace.pieces)));
    });
}

#[test]
fn service_order() {
    run(async {
        let cluster = Cluster::start(Pace::default(), Limits::default()).await;
        let caller = Caller::new(cluster.addresses(), "sorters", CREDENTIAL).await;
        let (id, outcome) = caller.order("orders", "o-1", r#"{"hides":3}"#).await;
        assert!(matches!(outcome, Outcome::Answer(_)), "{outcome:?}");
        assert_eq!(cluster.orders().get(&id), Some(&1));
    });
}
