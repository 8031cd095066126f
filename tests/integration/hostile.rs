//! Bad input at every port: typed errors, and nobody else harmed.

use std::{
    io::{
        Read,
        Write, //
    },
    net::{
        SocketAddr,
        TcpStream,
        UdpSocket, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use serde_json::Value;
use teaselchute::{
    options::config::Limits,
    shell::daemon::Addresses, //
};

use crate::{
    run,
    stand_ins::{
        caller::{
            Caller,
            Outcome, //
        },
        cluster::{
            CREDENTIAL,
            Cluster, //
        },
        server::{
            Pace,
            whole_answer, //
        },
    },
};

const BODY_BYTES: usize = 4_096;

/// Longest time to wait for the host to count bad frames.
const COUNTED: Duration = Duration::from_secs(30);

/// Sends bytes as they are and returns all that comes back until the connection ends.
fn exchange(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).expect("the host listens");
    let timeout = Duration::from_secs(10);
    stream
        .set_read_timeout(Some(timeout))
        .expect("a timeout can be set");
    // The host may refuse before all is sent.
    let _ = stream.write_all(bytes);
    let mut got = Vec::new();
    let _ = stream.read_to_end(&mut got);
    String::from_utf8_lossy(&got).into_owned()
}

fn request(extra: &[u8], body: &[u8]) -> Vec<u8> {
    let head = format!(
        "POST /v1/pipelines/notes/requests HTTP/1.1\r\nhost: entry\r\nconnection: close\r\n\
         x-organisation: sorters\r\nauthorization: Bearer {CREDENTIAL}\r\n"
    );
    [head.as_bytes(), extra, b"\r\n", body].concat()
}

/// Returns status and refusal of a response.
fn refusal(response: &str) -> (u16, Value) {
    let status = response.get(9..12).and_then(|status| status.parse().ok());
    let body = response.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    let body: Value = serde_json::from_str(body).unwrap_or_default();
    (status.unwrap_or(0), body["refusal"].clone())
}

fn assert_refused(response: &str, status: u16, code: &str) {
    assert_refused_as(response, status, code, "not_run");
}

fn assert_refused_as(response: &str, status: u16, code: &str, run: &str) {
    let (got, refusal) = refusal(response);
    assert_eq!(got, status, "{response}");
    assert_eq!(refusal["code"], code, "{response}");
    assert_eq!(refusal["run"], run, "{response}");
    assert!(refusal["remedy"].is_string(), "{response}");
}

fn callers(address: SocketAddr) {
    let id = "x-request-id: bad-1\r\n";
    let large = format!("{id}content-length: {}\r\n", BODY_BYTES + 1);
    let large = request(large.as_bytes(), &vec![b' '; BODY_BYTES + 1]);
    assert_refused(&exchange(address, &large), 413, "too_large");

    let mut chunked = format!("{:x}\r\n", BODY_BYTES + 1).into_bytes();
    chunked.extend(vec![b' '; BODY_BYTES + 1]);
    chunked.extend(b"\r\n0\r\n\r\n");
    let chunked = request(
        format!("{id}transfer-encoding: chunked\r\n").as_bytes(),
        &chunked,
    );
    assert_refused(&exchange(address, &chunked), 413, "too_large");

    let text = request(
        format!("{id}content-length: 3\r\n").as_bytes(),
        b"\xff\xfe\xfd",
    );
    assert_refused(&exchange(address, &text), 400, "bad_request");

    let header = request(b"x-request-id: \xff\xfe\r\ncontent-length: 2\r\n", b"{}");
    assert_refused(&exchange(address, &header), 400, "bad_request");

    let missing = request(b"content-length: 2\r\n", b"{}");
    assert_refused(&exchange(address, &missing), 400, "bad_request");

    let ticket = format!("{id}x-ticket: 00ff\r\ncontent-length: 2\r\n");
    let ticket = request(ticket.as_bytes(), b"{}");
    assert_refused(&exchange(address, &ticket), 428, "ticket_required");

    // A body that never ends, and a head that never does: both end within the time-outs.
    let short = request(format!("{id}content-length: 100\r\n").as_bytes(), b"{");
    assert_refused(&exchange(address, &short), 400, "bad_request");
    let head = exchange(address, b"POST /v1/pipelines/notes/requ");
    assert!(!head.starts_with("HTTP/1.1 200"), "{head}");
}

fn queries(address: SocketAddr) {
    for query in ["data_center=almaty-a", "region=almaty&region=astana"] {
        let text =
            format!("GET /v1/address?{query} HTTP/1.1\r\nhost: entry\r\nconnection: close\r\n\r\n");
        assert_refused(&exchange(address, text.as_bytes()), 400, "bad_request");
    }
}

fn credentials(address: SocketAddr) {
    let wrong =
        b"POST /v1/pipelines/notes/requests HTTP/1.1\r\nhost: entry\r\nconnection: close\r\n\
        x-organisation: sorters\r\nauthorization: Bearer wrong\r\nx-request-id: a\r\n\
        content-length: 2\r\n\r\n{}";
    assert_refused(&exchange(address, wrong), 403, "forbidden");
    let operator = b"GET /v1/operator/status HTTP/1.1\r\nhost: entry\r\nconnection: close\r\n\r\n";
    assert_refused(&exchange(address, operator), 403, "forbidden");
}

fn send_frames(peer: SocketAddr) {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    let garbage: [&[u8]; 4] = [b"", b"\x01", &[9; 64], &[1; 1_200]];
    for bytes in garbage {
        socket.send_to(bytes, peer).expect("loopback takes it");
    }
    let prefixes: [&[u8]; 4] = [
        &u32::MAX.to_le_bytes(),
        &[64, 0, 0, 0, 1, 2],
        &[2, 0, 0, 0, 9, 9],
        &[0, 0],
    ];
    for bytes in prefixes {
        let mut stream = TcpStream::connect(peer).expect("the host listens");
        stream.write_all(bytes).expect("loopback takes it");
    }
}

/// Faults of the frames that are sent, by which the host counts them.
const FAULTS: [&str; 3] = ["truncated", "version", "tag"];

fn is_counted(metrics: &str, fault: &str) -> bool {
    let fault = format!("cause=\"{fault}\"");
    metrics
        .lines()
        .any(|line| line.starts_with("frames_dropped_total") && line.contains(&fault))
}

/// Sends frames until each fault was counted, as datagrams may be lost, and returns the metrics.
fn frames(addresses: Addresses) -> String {
    let start = Instant::now();
    loop {
        send_frames(addresses.peer);
        let request = b"GET /metrics HTTP/1.1\r\nhost: entry\r\nconnection: close\r\n\r\n";
        let metrics = exchange(addresses.http, request);
        let all_counted = FAULTS.iter().all(|fault| is_counted(&metrics, fault));
        if all_counted || start.elapsed() > COUNTED {
            return metrics;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
}

#[test]
fn bad_input_every_port() {
    run(async {
        let limits = Limits {
            body_bytes: BODY_BYTES,
            body_timeout_ms: 500,
            header_timeout_s: 1,
            ..Limits::default()
        };
        let pace = Pace::default();
        let cluster = Cluster::start(pace, limits).await;
        let addresses = cluster.daemons[0].addresses();
        let work = std::thread::spawn(move || {
            callers(addresses.http);
            queries(addresses.http);
            credentials(addresses.http);
            frames(addresses)
        });
        let caller = Caller::new(vec![addresses.http], "sorters", CREDENTIAL).await;
        let mut number = 0;
        while !work.is_finished() || number == 0 {
            let id = format!("good-{number}");
            let outcome = caller.ask("notes", &id, r#"{"prompt":"lot"}"#).await;
            assert_eq!(outcome, Outcome::Answer(whole_answer(&id, pace.pieces)));
            number += 1;
        }
        let metrics = work.join().expect("all was refused as it should");
        assert!(metrics.contains("requests_total"), "{metrics}");
        for fault in FAULTS {
            assert!(is_counted(&metrics, fault), "{fault}: {metrics}");
        }
    });
}

/// Sends each kind of request that the filters refuse, under the id of an order.
fn refused_later(address: SocketAddr, id: &str) {
    let named = format!("x-request-id: {id}\r\n");
    let refused = |extra: &str, body: &[u8], status: u16, code: &str, run: &str| {
        let length = body.len();
        let extra = format!("{extra}content-length: {length}\r\n");
        let response = exchange(address, &request(extra.as_bytes(), body));
        assert_refused_as(&response, status, code, run);
    };
    let large = vec![b' '; BODY_BYTES + 1];
    let may = "may_have_run";
    refused(&named, &large, 413, "too_large", may);
    refused(&named, b"{", 400, "bad_request", may);
    for (header, code, status) in [
        ("x-deadline-ms: 0", "bad_request", 400),
        ("x-priority: 256", "bad_request", 400),
        ("x-resume-from: 1", "bad_request", 400),
        ("x-ticket: 00ff", "ticket_required", 428),
    ] {
        refused(&format!("{named}{header}\r\n"), b"{}", status, code, may);
    }
    // No host takes such an id, so nothing can have run under it.
    let long = format!("x-request-id: {id}{}\r\n", "x".repeat(128));
    refused(&long, b"{}", 400, "bad_request", "not_run");

    // Each of these may be told of an earlier try with the right credential.
    for (method, path) in [
        ("POST", "/v1/services/orders/requests".to_string()),
        ("POST", "/v1/service/orders/requests".to_string()),
        ("GET", format!("/v1/requests/{id}")),
        ("GET", format!("/v1/requests/{id}/why")),
        ("GET", "/v1/requests/untagged".to_string()),
    ] {
        let text = format!(
            "{method} {path} HTTP/1.1\r\nhost: entry\r\nconnection: close\r\n\
             x-organisation: sorters\r\nauthorization: Bearer wrong\r\n{named}\
             content-length: 0\r\n\r\n"
        );
        let response = exchange(address, text.as_bytes());
        let (status, code) = match path.starts_with("/v1/service/") {
            true => (404, "unknown"),
            false => (403, "forbidden"),
        };
        assert_refused_as(&response, status, code, may);
    }
}

#[test]
fn refused_after_earlier_try() {
    run(async {
        let limits = Limits {
            body_bytes: BODY_BYTES,
            ..Limits::default()
        };
        let cluster = Cluster::start(Pace::default(), limits).await;
        let caller = Caller::new(cluster.addresses(), "sorters", CREDENTIAL).await;
        let (id, outcome) = caller.order("orders", "one", r#"{"hides":1}"#).await;
        assert!(matches!(outcome, Outcome::Answer(_)), "{outcome:?}");
        for address in cluster.addresses() {
            let id = id.clone();
            let work = std::thread::spawn(move || refused_later(address, &id));
            while !work.is_finished() {
                ntex::time::sleep(Duration::from_millis(10)).await;
            }
            work.join().expect("each word is true");
        }
    });
}
