//! Tests of the parser of server-sent events, with chunks that end at any byte.

use proptest::prelude::*;
use teaselchute::edges::http::sse::{
    Error,
    Event,
    Parser, //
};

const TEXT: &[u8] =
    b": hello\r\nid: 0\r\ndata: {\"a\":1}\r\n\r\nid:1\nevent: end\ndata: x\ndata: y\n\n";

fn events() -> Vec<Event> {
    let event = |id: &str, kind: &str, data: &str| Event {
        id: id.to_string(),
        kind: kind.to_string(),
        data: data.to_string(),
    };
    vec![event("0", "", "{\"a\":1}"), event("1", "end", "x\ny")]
}

#[test]
fn push_split_at_any_byte() {
    for split in 0..=TEXT.len() {
        let mut parser = Parser::default();
        let mut parsed = parser
            .push(&TEXT[..split])
            .expect("the stream is well-formed");
        parsed.extend(
            parser
                .push(&TEXT[split..])
                .expect("the stream is well-formed"),
        );
        assert_eq!(parsed, events(), "split at {split}");
    }
}

#[test]
fn push_line_too_long() {
    let mut parser = Parser::default();
    let line = vec![b'x'; 300_000];
    assert_eq!(parser.push(&line), Err(Error::TooLong));
}

#[test]
fn push_invalid_utf8() {
    assert_eq!(Parser::default().push(b"data: \xff\n"), Err(Error::NotUtf8));
}

proptest! {
    #[test]
    fn push_any_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..500)) {
        let _ = Parser::default().push(&bytes);
    }
}
