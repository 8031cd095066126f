//! The programs as a new user meets them.

use std::process::{
    Command,
    Output, //
};

const DAEMON: &str = env!("CARGO_BIN_EXE_teaselchuted");

const CLI: &str = env!("CARGO_BIN_EXE_teaselchute");

const SETTINGS: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/docs/samples/settings.json");

const DOCUMENT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/docs/samples/document.json");

fn program(path: &str, args: &[&str]) -> Output {
    let mut command = Command::new(path);
    command.env_remove("TEASELCHUTE_HOSTS").args(args);
    command.output().expect("the program runs")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// Writes a file that goes with the test run.
fn file(name: &str, content: &str) -> String {
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, content).expect("the target folder can be written");
    path.to_string_lossy().into_owned()
}

#[test]
fn daemon_help() {
    let output = program(DAEMON, &["--help"]);
    assert!(output.status.success());
    let help = text(&output.stdout);
    for word in [
        "--settings",
        "--check-settings",
        "--log-level",
        "Exit codes",
    ] {
        assert!(help.contains(word), "{word} is in {help}");
    }
}

#[test]
fn daemon_without_arguments() {
    let output = program(DAEMON, &[]);
    assert_eq!(output.status.code(), Some(2));
    assert!(text(&output.stderr).contains("Usage:"));
}

#[test]
fn check_settings_sample() {
    let output = program(DAEMON, &["--check-settings", SETTINGS]);
    assert!(output.status.success(), "{}", text(&output.stderr));
}

#[test]
fn check_settings_wrong_field() {
    let sample = std::fs::read_to_string(SETTINGS).expect("the sample is there");
    let line = sample.lines().position(|line| line.contains("\"http\""));
    let line = line.expect("the sample has the field") + 1;
    let wrong = sample.replacen("\"http\": \"", "\"http\": \"nowhere ", 1);
    let path = file("wrong-settings.json", &wrong);
    let output = program(DAEMON, &["--check-settings", &path]);
    assert_eq!(output.status.code(), Some(2));
    let said = text(&output.stderr);
    assert!(said.contains(&format!("line {line}")), "{said}");
    assert!(said.contains("http"), "{said}");
}

#[test]
fn check_settings_unknown_field() {
    let sample = std::fs::read_to_string(SETTINGS).expect("the sample is there");
    let wrong = sample.replacen("\"body_bytes\"", "\"body_bites\"", 1);
    let path = file("unknown-settings.json", &wrong);
    let output = program(DAEMON, &["--check-settings", &path]);
    assert_eq!(output.status.code(), Some(2));
    let said = text(&output.stderr);
    assert!(said.contains("limits.body_bites"), "{said}");
}

#[test]
fn cli_help_each() {
    let all = text(&program(CLI, &["--help"]).stdout);
    for name in [
        "check", "try", "promote", "diff", "status", "drain", "undrain", "why", "hosts", "servers",
        "digest",
    ] {
        assert!(all.contains(name), "{name} is in {all}");
        let output = program(CLI, &[name, "--help"]);
        assert!(output.status.success(), "{name}");
        assert!(text(&output.stdout).contains(&format!("teaselchute {name}")));
    }
}

#[test]
fn cli_digest() {
    let path = file("credential", "sorters-secret\n");
    let output = program(CLI, &["digest", &path]);
    let digest = blake3::hash(b"sorters-secret").to_hex();
    assert_eq!(text(&output.stdout).trim(), digest.as_str());
}

#[test]
fn cli_wrong_subcommand() {
    assert_eq!(program(CLI, &["banish"]).status.code(), Some(2));
}

#[test]
fn cli_check_sample() {
    let output = program(CLI, &["check", DOCUMENT]);
    assert!(output.status.success(), "{}", text(&output.stdout));
}

#[test]
fn cli_check_wrong_name() {
    let sample = std::fs::read_to_string(DOCUMENT).expect("the sample is there");
    let wrong = sample.replacen("\"pool\": \"rerankers\"", "\"pool\": \"rerankerz\"", 1);
    let path = file("wrong-document.json", &wrong);
    let output = program(CLI, &["check", &path, "--json"]);
    assert_eq!(output.status.code(), Some(3));
    assert!(text(&output.stdout).contains("rerankerz"));
}
