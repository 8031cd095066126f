//! Tests of frames and tickets as bytes.

use std::net::SocketAddr;

use proptest::prelude::*;
use teaselchute::{
    core::{
        host::{
            Host,
            Id, //
        },
        outcome::Ticket,
    },
    names::Name,
    wire::{
        Frame,
        MAX_FRAME_BYTES,
        Message,
        VERSION,
        codec::{
            self,
            Error,
            HEADER_BYTES,
            Key, //
        },
        ticket, //
    },
};

fn id(name: &str) -> Id {
    Id {
        name: name.into(),
        incarnation: 7,
    }
}

fn frame() -> Frame {
    let address: SocketAddr = "127.0.0.1:9".parse().expect("an address");
    Frame {
        from: Host {
            id: id("entry-1"),
            data_centre: "almaty-a".into(),
            region: "almaty".into(),
            http: address,
            peer: address,
            weight: 1,
        },
        to: id("entry-2"),
        message: Message::Cold("engines".into(), "engine-1".into(), 3),
    }
}

fn key() -> Key {
    Key::new(&[5; 32])
}

fn encoded() -> Vec<u8> {
    codec::encode(&key(), &frame()).expect("the frame is small")
}

#[test]
fn encode_decode() {
    assert_eq!(codec::decode(&key(), &encoded()), Ok(frame()));
}

#[test]
fn decode_other_key() {
    let other = Key::new(&[6; 32]);
    assert_eq!(codec::decode(&other, &encoded()), Err(Error::Tag));
}

#[test]
fn decode_other_version() {
    let mut bytes = encoded();
    bytes[0] = VERSION + 1;
    let version = VERSION + 1;
    assert_eq!(
        codec::decode(&key(), &bytes),
        Err(Error::Version { version })
    );
}

#[test]
fn decode_truncated_everywhere() {
    let bytes = encoded();
    for length in 0..bytes.len() {
        let cut = codec::decode(&key(), &bytes[..length]);
        assert!(
            matches!(cut, Err(Error::Truncated { .. } | Error::Tag)),
            "{length}"
        );
    }
}

#[test]
fn decode_changed_everywhere() {
    let bytes = encoded();
    for at in 1..bytes.len() {
        let mut changed = bytes.clone();
        changed[at] ^= 1;
        assert_eq!(codec::decode(&key(), &changed), Err(Error::Tag), "{at}");
    }
}

#[test]
fn decode_too_large() {
    let bytes = vec![VERSION; MAX_FRAME_BYTES + 1];
    let decoded = codec::decode(&key(), &bytes);
    assert!(matches!(decoded, Err(Error::TooLarge { .. })));
}

#[test]
fn encode_too_large() {
    let name = Name::from("x".repeat(MAX_FRAME_BYTES));
    let mut frame = frame();
    frame.message = Message::Cold(name.clone(), name, 1);
    let encoded = codec::encode(&key(), &frame);
    assert!(matches!(encoded, Err(Error::TooLarge { .. })));
}

fn a_ticket() -> Ticket {
    Ticket {
        home: id("entry-1"),
        witness: id("entry-2"),
        generation: 4,
    }
}

#[test]
fn ticket_encode_decode() {
    let text = ticket::encode(&key(), &a_ticket());
    assert_eq!(ticket::decode(&key(), &text), Ok(a_ticket()));
}

#[test]
fn ticket_forged() {
    let text = ticket::encode(&Key::new(&[6; 32]), &a_ticket());
    assert!(ticket::decode(&key(), &text).is_err());
}

proptest! {
    #[test]
    fn decode_any_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..2_000)) {
        prop_assert!(codec::decode(&key(), &bytes).is_err());
    }

    /// Bytes whose tag fits come from another build, and must not break this one either.
    #[test]
    fn decode_any_body(body in proptest::collection::vec(any::<u8>(), 0..2_000)) {
        let _ = postcard::from_bytes::<Frame>(&body);
        let mut bytes = encoded();
        bytes.truncate(HEADER_BYTES);
        bytes.extend(body);
        let _ = codec::decode(&key(), &bytes);
    }

    #[test]
    fn ticket_any_text(text in ".{0,200}") {
        prop_assert!(ticket::decode(&key(), &text).is_err());
    }
}
