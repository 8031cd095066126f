//! Subcommands that read files and ask no host.

use std::{
    path::PathBuf,
    process::Command, //
};

/// Writes a file of a test and returns its path.
fn write(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("the target folder can be written");
    path
}

/// Runs a subcommand and returns its exit code and what it printed.
fn teaselchute(args: &[&str]) -> (Option<i32>, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_teaselchute"))
        .args(args)
        .output()
        .expect("the program runs");
    let printed = [output.stdout, output.stderr].concat();
    (
        output.status.code(),
        String::from_utf8_lossy(&printed).to_string(),
    )
}

const DAYS: &str = r#"[
{"at":"1","run":"a","site":"shop","day":"quiet","is_scored":true,"worth":0.4,
"parts":[{"name":"whole day","weight":1.0,"reached":0.5}],"prices":[],"kinds":[],"broken":[]},
{"at":"2","run":"b","site":"shop","day":"quiet","is_scored":true,"worth":0.7,
"parts":[{"name":"whole day","weight":1.0,"reached":0.8}],
"prices":[{"name":"memory","worth":0.1}],"kinds":[],"broken":[]}]"#;

#[test]
fn why_from_the_logs_of_two_hosts() {
    let one = write(
        "edge-1.log",
        r#"{"message":"refused","at":5000,"ms":20,"status":503,"reason":"no server may be used","request":"r1"}"#,
    );
    let two = write("edge-2.log", r#"{"message":"paused","at":4990,"ms":1200}"#);
    let (one, two) = (one.display().to_string(), two.display().to_string());
    let (code, printed) = teaselchute(&["why", "r1", "--log", &one, "--log", &two]);
    assert_eq!(code, Some(0), "{printed}");
    assert!(printed.contains("edge-1 refused"), "{printed}");
    assert!(
        !printed.contains("paused"),
        "another host's pause: {printed}"
    );
    assert!(printed.contains("503 after 20 ms, has not run: no server may be used"));
    let (code, printed) = teaselchute(&["why", "r9", "--log", &one]);
    assert_eq!(code, Some(1), "{printed}");
    assert!(printed.contains("none about \"r9\""), "{printed}");
}

#[test]
fn report_draws_the_scored_days() {
    let days = write("days.json", DAYS).display().to_string();
    let page = write("rounds.html", "").display().to_string();
    let (code, printed) = teaselchute(&["report", &days, "--out", &page]);
    assert_eq!(code, Some(0), "{printed}");
    let page = std::fs::read_to_string(page).expect("it was written");
    assert!(page.contains("<svg") && page.contains("<h1>shop</h1>"));
    assert!(
        page.contains("<tr><td>quiet<td>2<td>0.400<td>0.700<td>0"),
        "{page}"
    );
}

#[test]
fn credit_lists_what_was_lost() {
    let days = write("lost.json", DAYS).display().to_string();
    let (code, printed) = teaselchute(&["credit", &days]);
    assert_eq!(code, Some(0));
    insta::assert_snapshot!(printed, @r"
    shop quiet: worth 0.550, mean of 2; lost:
      0.350  whole day
      0.050  price: memory
    ");
    let (code, _) = teaselchute(&["credit", "no such file"]);
    assert_eq!(code, Some(1));
}
