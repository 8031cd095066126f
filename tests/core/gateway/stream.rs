use proptest::prelude::*;
use teaselchute::core::gateway::stream::{
    Error,
    Framer, //
};

#[test]
fn push_complete_events_only() {
    let mut framer = Framer::default();
    assert_eq!(framer.push(b"id: 1\nda"), Ok(Vec::new()));
    assert!(!framer.is_at_boundary());
    assert_eq!(
        framer.push(b"ta: x\n\nid: 2"),
        Ok(b"id: 1\ndata: x\n\n".to_vec())
    );
    assert_eq!(framer.last_id(), Some(1));
    assert_eq!(framer.push(b"\n\n"), Ok(b"id: 2\n\n".to_vec()));
    assert!(framer.is_at_boundary());
}

#[test]
fn push_out_of_order() {
    let mut framer = Framer::resume_after(Some(4));
    assert_eq!(
        framer.push(b"id: 4\n\n"),
        Err(Error::Order { id: 4, last: 4 })
    );
    let mut framer = Framer::resume_after(Some(4));
    assert_eq!(
        framer.push(b"id: 6\n\n"),
        Err(Error::Order { id: 6, last: 4 })
    );
}

#[test]
fn push_oversized_event() {
    let mut framer = Framer::default();
    let chunk = vec![b'x'; 64 * 1024];
    let result = (0..10).try_for_each(|_| framer.push(&chunk).map(|_| ()));
    assert_eq!(result, Err(Error::TooLong));
}

proptest! {
    #[test]
    fn push_arbitrary_chunks(cuts in proptest::collection::vec(1_usize..9, 1..60)) {
        let text: String = (1..=20).map(|id| format!("id: {id}\ndata: {id}\n\n")).collect();
        let mut framer = Framer::default();
        let mut passed = Vec::new();
        let mut rest = text.as_bytes();
        for cut in cuts.iter().cycle() {
            if rest.is_empty() {
                break;
            }
            let (chunk, after) = rest.split_at((*cut).min(rest.len()));
            rest = after;
            passed.extend(framer.push(chunk).expect("in order"));
        }
        prop_assert_eq!(passed, text.into_bytes());
    }

    #[test]
    fn push_arbitrary_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let mut framer = Framer::default();
        let _ = framer.push(&bytes);
    }
}

/// A faulty server sends bytes with ends of events, but no ids.
#[test]
fn push_without_ids() {
    let mut framer = Framer::default();
    assert!(framer.push(b"id: 1\ndata: x\n\n").is_ok());
    let comment = [b": still here\n\n".as_slice(); 100].concat();
    let mut pushed = 0;
    let error = loop {
        match framer.push(&comment) {
            Ok(_) => pushed += comment.len(),
            Err(error) => break error,
        }
        assert!(pushed < 1_000_000, "{pushed} bytes are passed on");
    };
    assert_eq!(error, Error::Unnumbered);
    let mut framer = Framer::default();
    for id in 1..2_000_u64 {
        let event = format!(": still here\n\nid: {id}\ndata: {}\n\n", "x".repeat(300));
        assert!(framer.push(event.as_bytes()).is_ok());
    }
}
