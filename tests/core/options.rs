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
        Ok(_) => panic!("the settings were accepted"),
        Err(error) => error.to_string(),
    }
}

fn error_after_replacing(from: &str, to: &str) -> String {
    assert!(SAMPLE.contains(from), "{from} is in the sample");
    read_error(&SAMPLE.replacen(from, to, 1))
}

#[test]
fn read_config_wrong_type() {
    let message = error_after_replacing("\"threads\": 2", "\"threads\": \"two\"");
    assert!(message.starts_with("line 24"), "{message}");
    assert!(message.contains("threads"), "{message}");
}

#[test]
fn read_config_nested_field() {
    let message = error_after_replacing("\"log\": \"127.0.0.1:9001\"", "\"log\": \"somewhere\"");
    assert!(message.contains("line 10"), "{message}");
    assert!(message.contains("platform.log"), "{message}");
}

#[test]
fn read_config_missing_field() {
    let message = error_after_replacing("  \"region\": \"almaty\",\n", "");
    assert!(message.contains("region"), "{message}");
}

#[test]
fn read_config_text_after_end() {
    let message = read_error(&format!("{SAMPLE}{{"));
    assert!(message.contains("trailing"), "{message}");
}

#[test]
fn check_invalid_values() {
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
        let message = error_after_replacing(from, to);
        assert!(message.starts_with(field), "{message}");
    }
}

#[test]
fn secret_both_key_and_file() {
    let mut config: Config = config::read_config(SAMPLE).expect("the sample is valid");
    config.cluster_key_file = Some(PathBuf::from("key"));
    assert!(matches!(config.secret(), Err(Error::Value { .. })));
}

#[test]
fn parse_log_level() {
    let words = ["--settings", "a.json", "--log-level", "debug"].map(String::from);
    let parsed = args::parse(&words).expect("the arguments are valid");
    assert_eq!(parsed.command, Command::Run("a.json".into()));
    assert_eq!(parsed.log_level, Some(LogLevel::Debug));
    let wrong = ["--settings", "a.json", "--log-level", "loud"].map(String::from);
    assert!(args::parse(&wrong).is_err());
}

#[test]
fn hex_round_trip_and_invalid() {
    assert_eq!(
        hex::decode(&hex::encode(&[0, 127, 255])),
        Some(vec![0, 127, 255])
    );
    assert_eq!(hex::decode("abc"), None);
    assert_eq!(hex::decode("zz"), None);
}
