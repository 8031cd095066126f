//! Tests of the edits between two documents.

use std::sync::Arc;

use teaselchute::core::document::{
    self,
    Document,
    diff, //
};

/// Returns the text of a small document without problems.
pub fn example() -> String {
    let digest = "0123456789abcdef".repeat(4);
    format!(
        r#"{{
  "data_centres": {{
    "north-a": {{ "region": "north" }},
    "south-a": {{ "region": "south" }}
  }},
  "pools": {{
    "engines": {{
      "kind": "engine", "cold_limit": 2, "full_limit": 8, "warm_up_ms": 30000,
      "call_timeout_ms": 8000,
      "servers": {{
        "engine-1": {{ "address": "10.0.0.1:80", "data_centre": "north-a", "memory_mb": 64000 }},
        "engine-2": {{ "address": "10.0.0.2:80", "data_centre": "south-a" }}
      }}
    }},
    "orders": {{
      "kind": "service", "cold_limit": 1, "full_limit": 4, "warm_up_ms": 1000,
      "call_timeout_ms": 5000,
      "servers": {{
        "order-1": {{ "address": "10.0.0.3:80", "data_centre": "north-a" }}
      }}
    }}
  }},
  "models": {{
    "small": {{
      "pool": "engines", "version": "1", "memory_mb": 8000, "weights_mb": 7000,
      "pinned": ["engine-1"]
    }}
  }},
  "pipelines": {{
    "notes": {{
      "stages": [{{ "name": "generate", "pool": "engines", "model": "small" }}],
      "deadline_ms": 4000
    }}
  }},
  "services": {{
    "order": {{ "pool": "orders", "deadline_ms": 3000 }}
  }},
  "organisations": {{
    "tannery": {{
      "credential_digest": "{digest}",
      "pipelines": {{ "notes": {{ "priority": 1 }} }},
      "services": ["order"]
    }}
  }}
}}"#
    )
}

/// Applies the edits between two documents to the old one.
fn apply_diff(old: &Document, new: &Document) -> Document {
    let mut document = old.clone();
    for edit in diff(old, new) {
        document.apply(&edit);
    }
    document
}

#[test]
fn diff_empty_document() {
    let empty = Document::default();
    let example = document::check(&example()).expect("the example is valid");
    assert_eq!(apply_diff(&empty, &example), example);
    assert_eq!(apply_diff(&example, &empty), empty);
    assert_eq!(diff(&example, &example), []);
}

#[test]
fn diff_one_server() {
    let old = document::check(&example()).expect("the example is valid");
    let mut new = old.clone();
    let pool = new.pools.get_mut("engines").expect("the pool exists");
    Arc::make_mut(pool).servers.remove("engine-2");
    assert_eq!(diff(&old, &new).len(), 1);
    assert_eq!(apply_diff(&old, &new), new);
}

#[test]
fn diff_pool_limit() {
    let old = document::check(&example()).expect("the example is valid");
    let mut new = old.clone();
    let pool = new.pools.get_mut("engines").expect("the pool exists");
    Arc::make_mut(pool).full_limit = 9;
    assert_eq!(diff(&old, &new).len(), 1);
    assert_eq!(apply_diff(&old, &new), new);
}

#[test]
fn apply_shares_unchanged_parts() {
    let old = document::check(&example()).expect("the example is valid");
    let mut new = old.clone();
    new.organisations.remove("tannery");
    let new = apply_diff(&old, &new);
    assert!(Arc::ptr_eq(&old.pools["engines"], &new.pools["engines"]));
}
