//! Tests of server-sent events, in whatever pieces they come.

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
fn push_cut_anywhere() {
    for cut in 0..=TEXT.len() {
        let mut parser = Parser::default();
        let mut got = parser.push(&TEXT[..cut]).expect("the text is right");
        got.extend(parser.push(&TEXT[cut..]).expect("the text is right"));
        assert_eq!(got, events(), "cut at {cut}");
    }
}

#[test]
fn push_endless_line() {
    let mut parser = Parser::default();
    let line = vec![b'x'; 300_000];
    assert_eq!(parser.push(&line), Err(Error::TooLong));
}

#[test]
fn push_not_text() {
    assert_eq!(Parser::default().push(b"data: \xff\n"), Err(Error::NotText));
}

proptest! {
    #[test]
    fn push_any_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..500)) {
        let _ = Parser::default().push(&bytes);
    }
}
