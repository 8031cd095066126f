//! Tests of the meter of demand for models.

use teaselchute::{
    core::{
        call::{
            self,
            Call, //
        },
        node::demand::Meter,
        orders::Event,
        placement::demand::Demand,
    },
    names::Name,
    time::Instant,
};

use crate::routing::some_call;

const MODEL: &str = "model";

fn at(ms: u64) -> Instant {
    Instant::from_ms(ms)
}

fn model_call(number: u64) -> Call {
    Call {
        model: Some(Name::from(MODEL)),
        ..some_call(number)
    }
}

/// Returns the ended calls and the busy time of the only model, `None` where nothing is told.
fn told(meter: &Meter, ms: u64) -> Option<(u64, u64)> {
    let events = meter.report(at(ms));
    let told = events.into_iter().map(|event| match event {
        Event::Demand {
            model,
            calls,
            busy_ms,
        } => {
            assert_eq!(&*model, MODEL);
            (calls, busy_ms)
        }
        event => panic!("not demand: {event:?}"),
    });
    let told: Vec<_> = told.collect();
    assert!(told.len() <= 1, "one event for each model");
    told.first().copied()
}

#[test]
fn report_ended_calls_told_once() {
    let meter = Meter::default();
    meter.sent(at(0), &model_call(1));
    meter.sent(at(100), &model_call(2));
    meter.ended(at(400), call::Id(1));
    meter.ended(at(600), call::Id(2));
    assert_eq!(told(&meter, 999), None, "no report is due yet");
    assert_eq!(told(&meter, 1_000), Some((2, 900)));
    assert_eq!(told(&meter, 1_999), None);
    assert_eq!(told(&meter, 2_000), Some((0, 0)), "a lull is told too");
}

#[test]
fn ended_twice_or_unknown_counted_once() {
    let meter = Meter::default();
    meter.sent(at(0), &model_call(1));
    meter.ended(at(400), call::Id(1));
    meter.ended(at(700), call::Id(1));
    meter.ended(at(700), call::Id(2));
    assert_eq!(told(&meter, 1_000), Some((1, 400)));
}

#[test]
fn sent_without_model_not_counted() {
    let meter = Meter::default();
    meter.sent(at(0), &some_call(1));
    meter.ended(at(400), call::Id(1));
    assert_eq!(told(&meter, 1_000), None);
}

#[test]
fn report_running_call_counted_as_it_runs() {
    let meter = Meter::default();
    meter.sent(at(500), &model_call(1));
    assert_eq!(told(&meter, 1_000), Some((0, 500)));
    assert_eq!(told(&meter, 2_000), Some((0, 1_000)));
    meter.ended(at(2_300), call::Id(1));
    assert_eq!(told(&meter, 3_000), Some((1, 300)));
}

#[test]
fn report_long_call_never_more_than_one_running() {
    let meter = Meter::default();
    let mut demand = Demand::default();
    let mut most_milli = 0;
    meter.sent(at(0), &model_call(1));
    for second in 1..=700 {
        if second == 600 {
            meter.ended(at(second * 1_000), call::Id(1));
        }
        if let Some((_, busy_ms)) = told(&meter, second * 1_000) {
            demand.record(at(second * 1_000), &Name::from(MODEL), busy_ms);
        }
        most_milli = most_milli.max(demand.running_milli(&Name::from(MODEL)));
    }
    assert!(most_milli <= 1_000, "{most_milli} of one call");
}
