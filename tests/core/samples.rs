//! Tests that the samples and schemas in `docs/samples` match the code.

use std::path::PathBuf;

use schemars::{
    Schema,
    schema_for, //
};
use teaselchute::{
    core::document,
    options::config::{
        self,
        Config, //
    }, //
};

/// Environment variable that makes the tests regenerate the schemas.
const WRITE_VARIABLE: &str = "TEASELCHUTE_WRITE_SCHEMAS";

fn path(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("docs/samples")
        .join(name)
}

fn read(name: &str) -> String {
    std::fs::read_to_string(path(name)).expect("the file is in the repository")
}

fn assert_up_to_date(name: &str, schema: &Schema) {
    let text = serde_json::to_string_pretty(schema).expect("a schema is JSON") + "\n";
    if std::env::var_os(WRITE_VARIABLE).is_some() {
        std::fs::write(path(name), &text).expect("the file can be written");
    }
    assert_eq!(read(name), text, "run the tests with {WRITE_VARIABLE}=1");
}

#[test]
fn settings_schema_up_to_date() {
    assert_up_to_date("settings.schema.json", &schema_for!(Config));
}

#[test]
fn document_schema_up_to_date() {
    assert_up_to_date("document.schema.json", &document::schema());
}

#[test]
fn settings_sample_checked() {
    let config = config::read_config(&read("settings.json")).expect("the sample is valid");
    config.check().expect("its values are valid");
    config.secret().expect("its key is valid");
}

#[test]
fn document_sample_checked() {
    document::check(&read("document.json")).expect("the sample is valid");
}
