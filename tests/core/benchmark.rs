use teaselchute::core::benchmark::{
    Day,
    Loss,
    Part,
    Price,
    by_day, //
};

fn day(at: &str, name: &str, reached: f64, price: f64) -> Day {
    Day {
        at: at.to_string(),
        run: "run".into(),
        site: "site".into(),
        day: name.into(),
        is_scored: true,
        worth: reached - price,
        parts: vec![Part {
            name: "whole day".into(),
            weight: 0.4,
            reached,
        }],
        prices: vec![Price {
            name: "memory".into(),
            worth: price,
        }],
        kinds: Vec::new(),
        broken: Vec::new(),
    }
}

#[test]
fn mean_over_days() {
    let days = [day("1", "quiet", 0.9, 0.02), day("2", "burst", 0.5, 0.0)];
    let loss = Loss::mean(&days.iter().collect::<Vec<_>>());
    insta::assert_snapshot!(loss.to_string(), @r"
      0.120  whole day
      0.010  price: memory
    ");
}

#[test]
fn mean_without_days() {
    assert_eq!(Loss::mean(&[]), Loss(Vec::new()));
}

#[test]
fn by_day_sorted_by_time() {
    let days = [day("2", "quiet", 0.9, 0.0), day("1", "quiet", 0.5, 0.0)];
    let groups = by_day(&days);
    let times: Vec<_> = groups.values().flatten().map(|day| &*day.at).collect();
    assert_eq!(times, ["1", "2"]);
}
