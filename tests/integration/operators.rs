//! The operators' command line against running daemons.

use std::{
    io::{
        Read,
        Write, //
    },
    process::Command, //
};

use serde_json::Value;
use teaselchute::options::config::Limits;

use crate::{
    run,
    stand_ins::{
        cluster::{
            Cluster,
            OPERATOR, //
        },
        free_port,
        server::Pace,
    },
};

const DOCUMENT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/docs/samples/document.json");

/// Runs a subcommand and returns its exit code and the JSON that it printed.
async fn teaselchute(hosts: &str, args: &[&str]) -> (Option<i32>, Value) {
    let credential = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("operator-credential");
    std::fs::write(&credential, OPERATOR).expect("the target folder can be written");
    let mut command = Command::new(env!("CARGO_BIN_EXE_teaselchute"));
    command
        .args(args)
        .arg("--json")
        .env("TEASELCHUTE_HOSTS", hosts)
        .env("TEASELCHUTE_CREDENTIAL_FILE", credential);
    let running = std::thread::spawn(move || command.output().expect("the program runs"));
    while !running.is_finished() {
        ntex::time::sleep(std::time::Duration::from_millis(10)).await;
    }
    let output = running.join().expect("the program ends");
    // Without an answer, what the program says of it tells why.
    let printed = serde_json::from_slice(&output.stdout)
        .unwrap_or_else(|_| Value::from(String::from_utf8_lossy(&output.stderr).to_string()));
    (output.status.code(), printed)
}

#[test]
fn subcommands_against_daemons() {
    run(async {
        let cluster = Cluster::start(Pace::default(), Limits::default()).await;
        let hosts: Vec<_> = cluster
            .addresses()
            .iter()
            .map(ToString::to_string)
            .collect();
        let hosts = hosts.join(",");
        let run = async |args: &[&str]| teaselchute(&hosts, args).await;

        let (code, tried) = run(&["try", "trial", DOCUMENT, "--id", "t-1"]).await;
        assert_eq!(
            (code, &tried["verdict"]),
            (Some(0), &"accepted".into()),
            "{tried}"
        );
        let (code, again) = run(&["try", "trial", DOCUMENT, "--id", "t-1"]).await;
        assert_eq!(
            (code, &again["verdict"]),
            (Some(0), &"accepted".into()),
            "{again}"
        );
        let (code, edits) = run(&["diff", "trial", DOCUMENT]).await;
        assert_eq!((code, edits), (Some(0), Value::Array(Vec::new())));
        let (code, promoted) = run(&["promote", "trial", "staging"]).await;
        assert_eq!(
            (code, &promoted["verdict"]),
            (Some(0), &"accepted".into()),
            "{promoted}"
        );

        let (code, drained) = run(&["drain", "astana-a"]).await;
        assert_eq!(
            (code, &drained["verdict"]),
            (Some(0), &"accepted".into()),
            "{drained}"
        );
        let (code, servers) = run(&["servers"]).await;
        assert_eq!(code, Some(0));
        let servers = servers.as_array().expect("a list of servers");
        let drained = servers.iter().filter(|server| server["drained"] == true);
        assert_eq!(drained.count(), 6, "all servers of the data centre");
        let (code, _) = run(&["undrain", "astana-a"]).await;
        assert_eq!(code, Some(0));

        let (code, status) = run(&["status"]).await;
        assert_eq!(
            (code, status.as_array().map(Vec::len)),
            (Some(0), Some(3)),
            "{status}"
        );
        let (code, hosts) = run(&["hosts"]).await;
        assert_eq!(
            (code, hosts.as_array().map(Vec::len)),
            (Some(0), Some(3)),
            "{hosts}"
        );
        let host = hosts[0]["host"].as_str().expect("a host's name");
        let (code, why) = run(&["why", host]).await;
        assert_eq!(code, Some(0), "others tell that {host} joined: {why}");
        let (code, why) = run(&["why", "sorters/warm-0"]).await;
        assert_eq!(code, Some(0), "{why}");
        let (code, _) = run(&["why", "sorters/nobody-asked-this"]).await;
        assert_eq!(code, Some(1));
    });
}

/// Answers every request with a status, and from the third on with an empty list.
fn host_that_is_stale_at_first() -> String {
    let (listener, address) = free_port();
    std::thread::spawn(move || {
        for (count, stream) in listener.incoming().flatten().enumerate() {
            let status = if count < 2 {
                "503 Unavailable"
            } else {
                "200 OK"
            };
            let mut head = [0; 4096];
            // The head of a request without a body comes in one piece.
            let _ = (&stream).read(&mut head);
            let answer =
                format!("HTTP/1.1 {status}\r\nContent-Length: 2\r\nConnection: close\r\n\r\n[]");
            let _ = (&stream).write_all(answer.as_bytes());
        }
    });
    address.to_string()
}

#[test]
fn hosts_asked_again_while_none_can_serve() {
    run(async {
        let (code, hosts) = teaselchute(&host_that_is_stale_at_first(), &["hosts"]).await;
        assert_eq!((code, hosts), (Some(0), Value::Array(Vec::new())));
    });
}
