use teaselchute::core::gateway::{
    config::Stage,
    plan::{
        self,
        Durations,
        Error,
        Input,
        Plan, //
    },
};

use super::{
    at,
    names, //
};

fn stages(after: &[&[usize]]) -> Vec<Stage> {
    let stage = |after: &&[usize]| Stage {
        service: "s".into(),
        dependencies: after.to_vec(),
        result_bytes: 10,
    };
    after.iter().map(stage).collect()
}

#[test]
fn start_in_order_of_needs() {
    // One stage alone, and a chain of two.
    let stages = stages(&[&[], &[], &[1]]);
    let mut plan = Plan::new(&stages, &[1, 1, 2], "key".into()).expect("fits");
    let key = Input::Key("key".into());
    // The stage alone is wanted no earlier than the end of the chain.
    assert_eq!(plan.take_ready(), [(1, 1, key.clone())]);
    assert!(plan.take_ready().is_empty());
    plan.finish(1, names(&["b"]));
    let results = Input::Results(names(&["b"]));
    assert_eq!(plan.take_ready(), [(0, 1, key), (2, 2, results)]);
    assert!(!plan.is_consumed(1), "the next stage still reads it");
    plan.finish(2, names(&["c", "d"]));
    assert!(plan.is_consumed(1));
    assert!(!plan.is_done());
    plan.finish(0, names(&["a"]));
    assert!(plan.is_done());
    assert_eq!(plan.request_inputs(), names(&["a", "c", "d"]));
}

#[test]
fn start_alone_where_the_chain_is_left_out() {
    let stages = stages(&[&[], &[], &[1]]);
    let mut plan = Plan::new(&stages, &[2, 0, 0], "key".into()).expect("fits");
    assert_eq!(plan.take_ready(), [(0, 2, Input::Key("key".into()))]);
}

#[test]
fn start_without_left_out_stages() {
    let stages = stages(&[&[], &[0]]);
    let mut plan = Plan::new(&stages, &[0, 3], "key".into()).expect("fits");
    assert_eq!(plan.take_ready(), [(1, 3, Input::Key("key".into()))]);
}

#[test]
fn new_counts_do_not_fit() {
    let stages = stages(&[&[], &[0]]);
    let error = Plan::new(&stages, &[1], "key".into()).err();
    assert_eq!(
        error,
        Some(Error::Counts {
            counts: 1,
            stages: 2
        })
    );
    let error = Plan::new(&stages, &[usize::MAX, 2], "key".into()).err();
    assert!(matches!(error, Some(Error::TooMany { .. })));
}

#[test]
fn new_stages_in_a_circle() {
    let stages = stages(&[&[1], &[0]]);
    let error = Plan::new(&stages, &[1, 1], "key".into()).err();
    assert_eq!(error, Some(Error::Cycle));
}

#[test]
fn mean_follows_measurements() {
    let mut times = Durations::default();
    assert_eq!(times.mean_ms("s", 300), 300);
    for _ in 0..60 {
        times.record(&"s".into(), 700);
    }
    assert_eq!(times.mean_ms("s", 300), 700);
}

#[test]
fn latest_while_inputs_are_kept() {
    // A piece of a request with six seconds left, whose inputs go in four.
    assert_eq!(
        plan::piece_deadline(at(1_000), at(7_000), 4_000, 500),
        at(5_500)
    );
    assert_eq!(
        plan::piece_deadline(at(1_000), at(3_000), 4_000, 500),
        at(3_000)
    );
}
