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
fn take_ready_in_order_of_dependencies() {
    // An independent stage, and a chain of two.
    let stages = stages(&[&[], &[], &[1]]);
    let mut plan = Plan::new(&stages, &[1, 1, 2], "key".into()).expect("fits");
    let key = Input::Key("key".into());
    // The independent stage starts with the last stage of the chain.
    assert_eq!(plan.take_ready(), [(1, 1, key.clone())]);
    assert!(plan.take_ready().is_empty());
    plan.finish(1, names(&["b"]));
    let results = Input::Results(names(&["b"]));
    assert_eq!(plan.take_ready(), [(0, 1, key), (2, 2, results)]);
    assert!(!plan.is_consumed(1), "the next stage still needs it");
    plan.finish(2, names(&["c", "d"]));
    assert!(plan.is_consumed(1));
    assert!(!plan.is_done());
    plan.finish(0, names(&["a"]));
    assert!(plan.is_done());
    assert_eq!(plan.request_inputs(), names(&["a", "c", "d"]));
}

#[test]
fn take_ready_chain_skipped() {
    let stages = stages(&[&[], &[], &[1]]);
    let mut plan = Plan::new(&stages, &[2, 0, 0], "key".into()).expect("fits");
    assert_eq!(plan.take_ready(), [(0, 2, Input::Key("key".into()))]);
}

#[test]
fn take_ready_dependency_skipped() {
    let stages = stages(&[&[], &[0]]);
    let mut plan = Plan::new(&stages, &[0, 3], "key".into()).expect("fits");
    assert_eq!(plan.take_ready(), [(1, 3, Input::Key("key".into()))]);
}

#[test]
fn new_invalid_counts() {
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
fn new_cyclic_stages() {
    let stages = stages(&[&[1], &[0]]);
    let error = Plan::new(&stages, &[1, 1], "key".into()).err();
    assert_eq!(error, Some(Error::Cycle));
}

#[test]
fn mean_ms_converges() {
    let mut durations = Durations::default();
    assert_eq!(durations.mean_ms("s", 300), 300);
    for _ in 0..60 {
        durations.record(&"s".into(), 700);
    }
    assert_eq!(durations.mean_ms("s", 300), 700);
}

#[test]
fn piece_deadline_input_retention() {
    // The request has six seconds left, and the inputs expire in four.
    assert_eq!(
        plan::piece_deadline(at(1_000), at(7_000), 4_000, 500),
        at(5_500)
    );
    assert_eq!(
        plan::piece_deadline(at(1_000), at(3_000), 4_000, 500),
        at(3_000)
    );
}
