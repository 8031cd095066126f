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

/// Events that came together with a wrong one were dropped, but counted as passed on, so that they were missing in
/// the resumed stream.
#[test]
fn push_events_before_wrong_one() {
    let mut framer = Framer::resume_after(Some(4));
    let wrong = b"id: 97\ndata: \xef\xbf\xbdo~9 7#\n\n";
    let bytes = [b"id: 5\ndata: x\n\n".as_slice(), wrong].concat();
    assert_eq!(framer.push(&bytes), Ok(b"id: 5\ndata: x\n\n".to_vec()));
    let error = Error::Order { id: 97, last: 5 };
    assert_eq!(framer.error(), Some(error));
    assert_eq!(framer.resume_id(), Some(5));
    assert_eq!(framer.push(b"id: 6\n\n"), Err(error), "nothing follows it");
    assert_eq!(framer.resume_id(), Some(5));
    assert!(!framer.is_at_boundary(), "it must not look complete");
}

#[test]
fn push_events_before_oversized_one() {
    let mut framer = Framer::default();
    let bytes = [b"id: 1\n\n".as_slice(), &vec![b'x'; 300 * 1024]].concat();
    assert_eq!(framer.push(&bytes), Ok(b"id: 1\n\n".to_vec()));
    assert_eq!(framer.error(), Some(Error::TooLong));
    assert_eq!(framer.resume_id(), Some(1));
}

#[test]
fn push_events_before_unnumbered_bytes() {
    let mut framer = Framer::default();
    let comment = format!(": {}\n\n", "x".repeat(300 * 1024));
    let bytes = [b"id: 1\n\n".as_slice(), comment.as_bytes()].concat();
    assert_eq!(framer.push(&bytes), Ok(b"id: 1\n\n".to_vec()));
    assert_eq!(framer.error(), Some(Error::Unnumbered));
    assert_eq!(framer.resume_id(), Some(1));
}

/// An event that is wrong behind its id isn't passed on, so it must not count either.
#[test]
fn push_wrong_line_behind_id() {
    let mut framer = Framer::resume_after(Some(4));
    let error = Error::Order { id: 97, last: 5 };
    assert_eq!(framer.push(b"id: 5\nid: 97\n\n"), Err(error));
    assert_eq!(framer.resume_id(), Some(4));
}

/// Wrong bytes in the place of the first event contradict nothing before them. A server that continues after their id
/// would leave out events.
#[test]
fn resume_id_unconfirmed() {
    let mut framer = Framer::default();
    assert!(framer.push(b"id: 97\n\n").is_ok());
    assert_eq!(framer.resume_id(), None);
    let error = Error::Order { id: 2, last: 97 };
    assert_eq!(framer.push(b"id: 2\n\n"), Err(error));
    assert_eq!(framer.resume_id(), None);
}

#[test]
fn resume_id_confirmed() {
    for (last, first) in [(None, 0), (None, 1), (Some(96), 97)] {
        let mut framer = Framer::resume_after(last);
        assert!(framer.push(format!("id: {first}\n\n").as_bytes()).is_ok());
        assert_eq!(framer.resume_id(), Some(first));
    }
    let mut framer = Framer::default();
    assert!(framer.push(b"id: 12\n\nid: 13\n\n").is_ok());
    assert_eq!(framer.resume_id(), Some(13), "the ids confirm each other");
}

#[test]
fn push_largest_id() {
    let mut framer = Framer::default();
    let last = u64::MAX;
    let bytes = format!("id: {last}\n\nid: 0\n\n");
    assert_eq!(
        framer.push(bytes.as_bytes()),
        Ok(format!("id: {last}\n\n").into_bytes())
    );
    assert_eq!(framer.error(), Some(Error::Order { id: 0, last }));
}

proptest! {
    /// Whatever arrives together, a stream is resumed after the last event that was returned.
    #[test]
    fn resume_id_is_last_returned(
        cuts in proptest::collection::vec(1_usize..40, 1..30),
        wrong in 2_u64..12,
        crlf in any::<bool>(),
    ) {
        let end = if crlf { "\r\n\r\n" } else { "\n\n" };
        let id = |id: u64| if id == wrong { id + 50 } else { id };
        let text: String = (1..=12).map(|n| format!("id: {}\ndata: {n}{end}", id(n))).collect();
        let mut framer = Framer::default();
        let mut passed = Vec::new();
        let mut rest = text.as_bytes();
        for cut in cuts.iter().cycle() {
            if rest.is_empty() || framer.error().is_some() {
                break;
            }
            let (chunk, after) = rest.split_at((*cut).min(rest.len()));
            rest = after;
            passed.extend(framer.push(chunk).unwrap_or_default());
        }
        let sound: String = (1..wrong).map(|n| format!("id: {n}\ndata: {n}{end}")).collect();
        prop_assert_eq!(passed, sound.into_bytes());
        prop_assert_eq!(framer.resume_id(), Some(wrong - 1));
        prop_assert!(framer.error().is_some());
    }
}
