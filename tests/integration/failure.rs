//! Daemons that die, connections that fall silent, callers that read slowly or half-close.

use std::{
    collections::BTreeMap,
    io::{
        Read,
        Write, //
    },
    net::{
        Shutdown,
        SocketAddr,
        TcpStream, //
    },
    sync::atomic::Ordering,
    thread,
    time::Duration,
};

use ntex::time::sleep;
use teaselchute::options::config::Limits;

use crate::{
    callers::{
        Callers,
        SLOW, //
    },
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

#[test]
fn stop_abruptly_one_of_three() {
    run(async {
        let cluster = Cluster::start(SLOW, Limits::default()).await;
        let callers = Callers::spawn(SLOW, &cluster.addresses(), &BTreeMap::new());
        sleep(Duration::from_millis(250)).await;
        let killed = cluster.daemons[2].clone();
        let stopping = thread::spawn(move || killed.stop_abruptly());
        callers.check(&cluster).await;
        stopping.join().expect("the daemon stops");
        let address = cluster.daemons[2].addresses().http;
        assert!(
            TcpStream::connect(address).is_err(),
            "its sockets are closed"
        );
    });
}

#[test]
fn connections_silent_to_servers() {
    run(async {
        let limits = Limits {
            progress_timeout_ms: 500,
            ..Limits::default()
        };
        let cluster = Cluster::start_behind(SLOW, limits, &["engines", "orders"]).await;
        let callers = Callers::spawn(SLOW, &cluster.addresses(), &BTreeMap::new());
        sleep(Duration::from_millis(250)).await;
        cluster.proxies.iter().for_each(|proxy| proxy.silence());
        callers.check(&cluster).await;
        let silenced = cluster.proxies.iter();
        let silenced: u64 = silenced
            .map(|proxy| proxy.silenced.load(Ordering::SeqCst))
            .sum();
        assert!(silenced > 0, "connections were open when they fell silent");
    });
}

fn request(path: &str, id: &str, extra: &str, body: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: entry\r\nx-organisation: sorters\r\n\
         authorization: Bearer {CREDENTIAL}\r\nx-request-id: {id}\r\n{extra}\
         content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Reads a stream a few bytes at a time until its end event, its connection's end or silence.
fn read_slowly(address: SocketAddr, id: &str) -> String {
    let mut stream = TcpStream::connect(address).expect("the host listens");
    let timeout = Duration::from_secs(10);
    stream
        .set_read_timeout(Some(timeout))
        .expect("a timeout can be set");
    let path = "/v1/pipelines/notes/requests";
    let text = request(
        path,
        id,
        "accept: text/event-stream\r\n",
        r#"{"prompt":"lot"}"#,
    );
    stream
        .write_all(text.as_bytes())
        .expect("the request is sent");
    let mut got = Vec::new();
    let mut buffer = [0; 64];
    while let Ok(length) = stream.read(&mut buffer) {
        if length == 0 {
            break;
        }
        got.extend_from_slice(&buffer[..length]);
        if got.ends_with(b"0\r\n\r\n") {
            break;
        }
        thread::sleep(Duration::from_millis(2));
    }
    String::from_utf8_lossy(&got).into_owned()
}

#[test]
fn stream_waits_with_heartbeats() {
    run(async {
        let pace = Pace {
            call_ms: 1,
            pieces: 1,
            piece_ms: 1_500,
            pad_bytes: 0,
        };
        let cluster = Cluster::start(pace, Limits::default()).await;
        let address = cluster.addresses()[0];
        let waiting = thread::spawn(move || read_slowly(address, "wait-1"));
        while !waiting.is_finished() {
            sleep(Duration::from_millis(20)).await;
        }
        let got = waiting.join().expect("the caller ends");
        assert!(got.contains(": waiting\n"), "{got}");
        assert!(got.contains("event: end\n"), "{got}");
    });
}

#[test]
fn callers_slow_and_half_closed() {
    run(async {
        let cluster = Cluster::start(SLOW, Limits::default()).await;
        let address = cluster.addresses()[0];
        let slow = thread::spawn(move || read_slowly(address, "slow-1"));
        let half = thread::spawn(move || {
            let mut stream = TcpStream::connect(address).expect("the host listens");
            let path = "/v1/pipelines/notes/requests";
            let text = request(path, "half-1", "", r#"{"prompt":"lot"}"#);
            stream
                .write_all(text.as_bytes())
                .expect("the request is sent");
            stream.shutdown(Shutdown::Write).expect("half is closed");
            let mut got = Vec::new();
            let _ = stream.read_to_end(&mut got);
        });
        let caller = Caller::new(cluster.addresses(), "sorters", CREDENTIAL).await;
        let whole = |id: &str| Outcome::Answer(whole_answer(id, SLOW.pieces));
        let body = r#"{"prompt":"lot"}"#;
        assert_eq!(caller.ask("notes", "other-1", body).await, whole("other-1"));
        while !half.is_finished() || !slow.is_finished() {
            sleep(Duration::from_millis(20)).await;
        }
        half.join().expect("the half-closed caller ends");
        // Whatever became of the half-closed connection, the id has its whole answer.
        assert_eq!(caller.ask("notes", "half-1", body).await, whole("half-1"));
        let got = slow.join().expect("the slow caller ends");
        for index in 0..SLOW.pieces {
            assert!(
                got.contains(&format!("id: {index}\n")),
                "piece {index} is there"
            );
        }
        assert!(got.contains("event: end\n"), "the end is seen");
    });
}
