//! Tests of settings and of the daemon's command line.

use std::path::PathBuf;

use teaselchute::{
    options::{
        args::{
            self,
            Command, //
        },
        config::{
            self,
            Config,
            Error,
            LogLevel, //
        },
    },
    utils::hex,
};

const SAMPLE: &str = include_str!("../../docs/samples/settings.json");

fn read_error(text: &str) -> String {
    let read = config::read_config(text).and_then(|config| {
        config.check()?;
        config.secret()?;
        Ok(config)
    });
    match read {
        Ok(_) => panic!("the settings are wrong"),
        Err(error) => error.to_string(),
    }
}

fn changed(from: &str, to: &str) -> String {
    assert!(SAMPLE.contains(from), "{from} is in the sample");
    read_error(&SAMPLE.replacen(from, to, 1))
}

#[test]
fn read_config_wrong_type() {
    let said = changed("\"threads\": 2", "\"threads\": \"two\"");
    assert!(said.starts_with("line 24"), "{said}");
    assert!(said.contains("threads"), "{said}");
}

#[test]
fn read_config_nested_field() {
    let said = changed("\"log\": \"127.0.0.1:9001\"", "\"log\": \"somewhere\"");
    assert!(said.contains("line 10"), "{said}");
    assert!(said.contains("platform.log"), "{said}");
}

#[test]
fn read_config_missing_field() {
    let said = changed("  \"region\": \"almaty\",\n", "");
    assert!(said.contains("region"), "{said}");
}

#[test]
fn read_config_text_after_end() {
    let said = read_error(&format!("{SAMPLE}{{"));
    assert!(said.contains("trailing"), "{said}");
}

#[test]
fn check_values() {
    for (from, to, field) in [
        ("\"threads\": 2", "\"threads\": 0", "threads"),
        (
            "\"body_bytes\": 1048576",
            "\"body_bytes\": 0",
            "limits.body_bytes",
        ),
        ("\"host\": \"entry-almaty-1\"", "\"host\": \"\"", "host"),
        ("\"af1349", "\"xf1349", "operator_digest"),
        ("\"0123", "\"123", "cluster_key"),
    ] {
        let said = changed(from, to);
        assert!(said.starts_with(field), "{said}");
    }
}

#[test]
fn secret_key_and_file() {
    let mut config: Config = config::read_config(SAMPLE).expect("the sample is right");
    config.cluster_key_file = Some(PathBuf::from("key"));
    assert!(matches!(config.secret(), Err(Error::Value { .. })));
}

#[test]
fn parse_log_level() {
    let words = ["--settings", "a.json", "--log-level", "debug"].map(String::from);
    let parsed = args::parse(&words).expect("the words are right");
    assert_eq!(parsed.command, Command::Run("a.json".into()));
    assert_eq!(parsed.log_level, Some(LogLevel::Debug));
    let wrong = ["--settings", "a.json", "--log-level", "loud"].map(String::from);
    assert!(args::parse(&wrong).is_err());
}

#[test]
fn hex_round_and_wrong() {
    assert_eq!(
        hex::decode(&hex::encode(&[0, 127, 255])),
        Some(vec![0, 127, 255])
    );
    assert_eq!(hex::decode("abc"), None);
    assert_eq!(hex::decode("zz"), None);
}
