//! Tests of the validation of documents.

use proptest::prelude::*;
use teaselchute::core::document::{
    self,
    Document,
    Problem, //
};

use crate::edits::example;

/// Returns the problems of the example after one text replacement.
fn problems_with(old: &str, new: &str) -> Vec<Problem> {
    let text = example();
    assert!(text.contains(old), "{old} is in the example");
    document::check(&text.replacen(old, new, 1)).expect_err("the document has problems")
}

fn paths(problems: &[Problem]) -> Vec<&str> {
    problems
        .iter()
        .map(|problem| problem.path.as_str())
        .collect()
}

#[test]
fn check_example() {
    let document = document::check(&example()).expect("the example is valid");
    assert_eq!(document.pools.len(), 2);
}

#[test]
fn check_duplicate_key() {
    let problems = problems_with(
        "\"cold_limit\": 2,",
        "\"cold_limit\": 2, \"cold_limit\": 3,",
    );
    assert_eq!(paths(&problems), ["pools.engines.cold_limit"]);
}

#[test]
fn check_unknown_field() {
    let problems = problems_with("\"cold_limit\"", "\"cold_limt\"");
    assert_eq!(paths(&problems), ["pools.engines.cold_limt"]);
    assert_eq!(problems[0].remedy, "write \"cold_limit\"");
}

#[test]
fn check_unknown_section() {
    let problems = problems_with("\"services\"", "\"service\"");
    assert_eq!(paths(&problems), ["service"]);
    assert_eq!(problems[0].remedy, "write \"services\"");
}

#[test]
fn check_missing_field() {
    let problems = problems_with("\"region\": \"north\"", "");
    assert_eq!(paths(&problems), ["data_centres.north-a"]);
    assert_eq!(problems[0].remedy, "add \"region\"");
}

#[test]
fn check_unknown_name() {
    let problems = problems_with("\"model\": \"small\"", "\"model\": \"smal\"");
    assert_eq!(paths(&problems), ["pipelines.notes.stages[0].model"]);
    assert!(problems[0].remedy.starts_with("write \"small\""));
}

#[test]
fn check_impossible_deadline() {
    let problems = problems_with("\"deadline_ms\": 4000", "\"deadline_ms\": 3");
    assert_eq!(paths(&problems), ["pipelines.notes.deadline_ms"]);
    assert_eq!(problems[0].remedy, "write at least 10");
}

#[test]
fn check_cold_limit_above_full_limit() {
    let problems = problems_with("\"cold_limit\": 2,", "\"cold_limit\": 9,");
    assert_eq!(paths(&problems), ["pools.engines.cold_limit"]);
    assert_eq!(problems[0].remedy, "write at most 8");
}

#[test]
fn check_multiple_problems() {
    let text = example()
        .replace("\"cold_limit\": 2,", "\"cold_limit\": 9,")
        .replace("\"pool\": \"orders\"", "\"pool\": \"order\"");
    let problems = document::check(&text).expect_err("the document has problems");
    assert_eq!(
        paths(&problems),
        ["pools.engines.cold_limit", "services.order.pool"]
    );
}

#[test]
fn check_not_json() {
    let problems = document::check("{\"pools\": ").expect_err("the text is cut off");
    assert!(problems[0].found.contains("line 1"));
}

#[test]
fn schema_contains_sections() {
    let schema = serde_json::to_value(document::schema()).expect("a schema is JSON");
    for section in ["data_centres", "pools", "models", "policies"] {
        assert!(schema["properties"].get(section).is_some(), "{section}");
    }
}

/// Generates arbitrary JSON whose keys are often those of documents.
fn arbitrary_json() -> impl Strategy<Value = serde_json::Value> {
    let leaf = prop_oneof![
        Just(serde_json::Value::Null),
        any::<bool>().prop_map(Into::into),
        any::<i64>().prop_map(Into::into),
        any::<f64>().prop_map(Into::into),
        "[a-z-]{0,8}".prop_map(Into::into),
    ];
    let key = prop_oneof![
        prop::sample::select(vec![
            "pools",
            "pipelines",
            "models",
            "servers",
            "stages",
            "deadline_ms",
            "pool",
        ])
        .prop_map(str::to_owned),
        ".{0,4}",
    ];
    leaf.prop_recursive(5, 64, 6, move |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..6).prop_map(Into::into),
            prop::collection::btree_map(key.clone(), inner, 0..6)
                .prop_map(|map| serde_json::Value::Object(map.into_iter().collect())),
        ]
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        failure_persistence: None,
        rng_seed: prop::test_runner::RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    #[test]
    fn check_arbitrary_json(value in arbitrary_json()) {
        let _ = document::check(&value.to_string());
    }

    #[test]
    fn check_arbitrary_text(text in ".{0,64}") {
        let _ = document::check(&text);
    }

    #[test]
    fn check_truncated_example(at in 0_usize..2_000) {
        let text = example();
        let end = at.min(text.len());
        prop_assert!(end == text.len() || document::check(&text[..end]).is_err());
    }
}

#[test]
fn check_serialised_document() {
    let document = document::check(&example()).expect("the example is valid");
    let text = serde_json::to_string(&document).expect("a document is JSON");
    assert_eq!(document::check(&text), Ok(document));
    assert_eq!(document::check("{}"), Ok(Document::default()));
}
