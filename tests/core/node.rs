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

/// Returns the ended calls and the busy time of the only model, `None` if nothing is reported.
fn take_report(meter: &Meter, ms: u64) -> Option<(u64, u64)> {
    let events = meter.take_report(at(ms));
    let reports = events.into_iter().map(|event| match event {
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
    let reports: Vec<_> = reports.collect();
    assert!(reports.len() <= 1, "one event for each model");
    reports.first().copied()
}

#[test]
fn take_report_ended_calls_reported_once() {
    let meter = Meter::default();
    meter.record_sent(at(0), &model_call(1));
    meter.record_sent(at(100), &model_call(2));
    meter.record_ended(at(400), call::Id(1));
    meter.record_ended(at(600), call::Id(2));
    assert_eq!(take_report(&meter, 999), None, "no report is due yet");
    assert_eq!(take_report(&meter, 1_000), Some((2, 900)));
    assert_eq!(take_report(&meter, 1_999), None);
    assert_eq!(
        take_report(&meter, 2_000),
        Some((0, 0)),
        "absent demand is reported too"
    );
}

#[test]
fn record_ended_twice_or_unknown_counted_once() {
    let meter = Meter::default();
    meter.record_sent(at(0), &model_call(1));
    meter.record_ended(at(400), call::Id(1));
    meter.record_ended(at(700), call::Id(1));
    meter.record_ended(at(700), call::Id(2));
    assert_eq!(take_report(&meter, 1_000), Some((1, 400)));
}

#[test]
fn record_sent_without_model_not_counted() {
    let meter = Meter::default();
    meter.record_sent(at(0), &some_call(1));
    meter.record_ended(at(400), call::Id(1));
    assert_eq!(take_report(&meter, 1_000), None);
}

#[test]
fn take_report_running_call_accrued() {
    let meter = Meter::default();
    meter.record_sent(at(500), &model_call(1));
    assert_eq!(take_report(&meter, 1_000), Some((0, 500)));
    assert_eq!(take_report(&meter, 2_000), Some((0, 1_000)));
    meter.record_ended(at(2_300), call::Id(1));
    assert_eq!(take_report(&meter, 3_000), Some((1, 300)));
}

#[test]
fn take_report_long_call_counted_as_one_running() {
    let meter = Meter::default();
    let mut demand = Demand::default();
    let mut max_milli = 0;
    meter.record_sent(at(0), &model_call(1));
    for second in 1..=700 {
        if second == 600 {
            meter.record_ended(at(second * 1_000), call::Id(1));
        }
        if let Some((_, busy_ms)) = take_report(&meter, second * 1_000) {
            demand.record(at(second * 1_000), &Name::from(MODEL), busy_ms);
        }
        max_milli = max_milli.max(demand.running_milli(&Name::from(MODEL)));
    }
    assert!(max_milli <= 1_000, "{max_milli} of one call");
}
