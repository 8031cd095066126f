//! A caller too slow for its pieces: it loses its connection, and nobody else loses anything.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use teaselchute::options::config::Limits;
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::{
        TcpSocket,
        TcpStream, //
    },
    time::sleep,
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
        server::Pace,
    },
};

/// On the wire far more than sockets and the host's queue hold, as the padding is escaped there.
const HEAVY: Pace = Pace {
    call_ms: 2,
    pieces: 50,
    piece_ms: 2,
    pad_bytes: 16 * 1024,
};

/// Bytes that the slow caller's socket takes in unread.
const RECEIVE_BYTES: u32 = 4_096;

const BODY: &str = r#"{"prompt":"lot"}"#;

/// Asks for a stream and doesn't read it.
async fn ask_unread(address: SocketAddr, id: &str) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("a socket opens");
    socket
        .set_recv_buffer_size(RECEIVE_BYTES)
        .expect("the size can be set");
    let mut stream = socket.connect(address).await.expect("the host listens");
    let text = format!(
        "POST /v1/pipelines/notes/requests HTTP/1.1\r\nhost: entry\r\n\
         x-organisation: sorters\r\nauthorization: Bearer {CREDENTIAL}\r\n\
         x-request-id: {id}\r\naccept: text/event-stream\r\ncontent-length: {}\r\n\r\n{BODY}",
        BODY.len()
    );
    let sent = stream.write_all(text.as_bytes()).await;
    sent.expect("the request is sent");
    stream
}

/// Returns the first words of an outcome, which may be long.
fn words(outcome: &Outcome) -> String {
    format!("{outcome:?}").chars().take(200).collect()
}

#[test]
fn queue_overflows() {
    run(async {
        let limits = Limits {
            waiting_pieces: 4,
            // The limit counts what comes over the wire.
            answer_bytes: 16 << 20,
            ..Limits::default()
        };
        let cluster = Cluster::start(HEAVY, limits).await;
        let address = cluster.addresses()[0];
        let mut unread = ask_unread(address, "slow-1").await;
        let caller = Caller::new(vec![address], "sorters", CREDENTIAL).await;
        let whole = |id: &str| Outcome::Answer(HEAVY.whole_answer(id));
        let other = caller.ask("notes", "other-1", BODY).await;
        assert!(other == whole("other-1"), "another caller is unharmed");
        // The answer ended while the slow caller read nothing, and is kept.
        let mut fetched = caller.fetch(address, "slow-1").await;
        for _ in 0..20 {
            if !matches!(fetched, Outcome::MayHaveRun(_)) {
                break;
            }
            sleep(Duration::from_millis(50)).await;
            fetched = caller.fetch(address, "slow-1").await;
        }
        assert!(
            fetched == whole("slow-1"),
            "not the whole answer: {}",
            words(&fetched)
        );
        let mut got = Vec::new();
        // Closed or reset: either way the connection ends.
        let _ = unread.read_to_end(&mut got).await;
        let got = String::from_utf8_lossy(&got);
        assert!(got.contains("id: 0\n"), "its first pieces came");
        assert!(!got.contains("event: end\n"), "it must not look whole");
    });
}
