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
    time::Duration,
};

use serde_json::Value;
use teaselchute::options::config::Limits;

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
    let (got, refusal) = refusal(response);
    assert_eq!(got, status, "{response}");
    assert_eq!(refusal["code"], code, "{response}");
    assert_eq!(refusal["run"], "not_run", "{response}");
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

fn credentials(address: SocketAddr) {
    let wrong =
        b"POST /v1/pipelines/notes/requests HTTP/1.1\r\nhost: entry\r\nconnection: close\r\n\
        x-organisation: sorters\r\nauthorization: Bearer wrong\r\nx-request-id: a\r\n\
        content-length: 2\r\n\r\n{}";
    assert_refused(&exchange(address, wrong), 403, "forbidden");
    let operator = b"GET /v1/operator/status HTTP/1.1\r\nhost: entry\r\nconnection: close\r\n\r\n";
    assert_refused(&exchange(address, operator), 403, "forbidden");
}

fn frames(peer: SocketAddr) {
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
            credentials(addresses.http);
            frames(addresses.peer);
            exchange(
                addresses.http,
                b"GET /metrics HTTP/1.1\r\nhost: entry\r\nconnection: close\r\n\r\n",
            )
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
    });
}
