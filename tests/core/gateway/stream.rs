use proptest::prelude::*;
use teaselchute::core::gateway::stream::{
    Error,
    Framer, //
};

#[test]
fn push_complete_events_only() {
    let mut framer = Framer::default();
    assert_eq!(framer.push(b"id: 1\nda"), Ok(Vec::new()));
    assert_eq!(framer.finish(), None, "it ended within an event");
    assert_eq!(
        framer.push(b"ta: x\n\nid: 2"),
        Ok(b"id: 1\ndata: x\n\n".to_vec())
    );
    assert_eq!(framer.resume_id(), Some(1));
    assert_eq!(framer.push(b"\n\n"), Ok(b"id: 2\n\n".to_vec()));
    assert_eq!(framer.finish(), Some(Vec::new()));
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

/// A faulty server sends comments without end.
#[test]
fn push_comments_without_end() {
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
    assert_eq!(error, Error::Comments);
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
    assert_eq!(framer.finish(), None, "it must not look complete");
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
fn push_events_before_comments() {
    let mut framer = Framer::default();
    let comment = format!(": {}\n\n", "x".repeat(300 * 1024));
    let bytes = [b"id: 1\n\n".as_slice(), comment.as_bytes()].concat();
    assert_eq!(framer.push(&bytes), Ok(b"id: 1\n\n".to_vec()));
    assert_eq!(framer.error(), Some(Error::Comments));
    assert_eq!(framer.resume_id(), Some(1));
}

/// A block without an id is no event. It was passed on, and the stream resumed behind it.
#[test]
fn push_block_without_id() {
    for wrong in [
        "data: wrong bytes\n\n",
        "event: end\n\n",
        "weight-versions: 3\n\n",
    ] {
        let mut framer = Framer::default();
        let sound = b"id: 1\ndata: x\n\n".as_slice();
        let pushed = framer.push(&[sound, wrong.as_bytes()].concat());
        assert_eq!(pushed, Ok(sound.to_vec()), "{wrong:?}");
        assert_eq!(framer.error(), Some(Error::Unnumbered), "{wrong:?}");
        assert_eq!(framer.resume_id(), Some(1));
        // Before the first event, nothing of the stream may be passed on.
        let mut framer = Framer::default();
        assert_eq!(framer.push(wrong.as_bytes()), Err(Error::Unnumbered));
    }
}

/// Bytes that are no field came with an event behind them.
#[test]
fn push_lines_that_are_no_fields() {
    for wrong in [
        "no field\n",
        "\u{fffd}o~9 7#: x\n",
        "id: x\n",
        "id: -4\n",
        "word\n",
    ] {
        let mut framer = Framer::resume_after(Some(3));
        let block = format!("{wrong}id: 4\ndata: x\n\n");
        assert_eq!(
            framer.push(block.as_bytes()),
            Err(Error::Malformed),
            "{wrong:?}"
        );
    }
}

#[test]
fn push_two_ids_in_event() {
    let mut framer = Framer::resume_after(Some(3));
    let error = Error::Order { id: 5, last: 4 };
    assert_eq!(framer.push(b"id: 4\nid: 5\ndata: x\n\n"), Err(error));
    assert_eq!(framer.resume_id(), Some(3));
}

/// Comments belong to the stream once an event of it follows. Those of a stream that breaks off are dropped.
#[test]
fn push_comment_with_next_event() {
    let mut framer = Framer::default();
    assert_eq!(framer.push(b": wait\n\n"), Ok(Vec::new()));
    assert_eq!(
        framer.push(b": more\n\nid: 1\n\n"),
        Ok(b": wait\n\n: more\n\nid: 1\n\n".to_vec())
    );
    assert_eq!(framer.push(b": wrong\n\n"), Ok(Vec::new()));
    assert_eq!(
        framer.push(b"id: 9\n\n"),
        Err(Error::Order { id: 9, last: 1 })
    );
}

/// The end of a stream shows that the comments before it belong to it, too.
#[test]
fn finish_returns_last_comments() {
    let mut framer = Framer::default();
    assert_eq!(
        framer.push(b"id: 1\n\n: end\n\n\n"),
        Ok(b"id: 1\n\n".to_vec())
    );
    assert_eq!(framer.finish(), Some(b": end\n\n\n".to_vec()));
    let mut framer = Framer::default();
    assert!(framer.push(b"id: 1\n\n: cut o").is_ok());
    assert_eq!(framer.finish(), None);
}

/// The version of the weights may precede the id of an event.
#[test]
fn push_field_before_id() {
    let mut framer = Framer::default();
    let event = b"weight-versions: 3\nid: 1\ndata: x\n\n";
    assert_eq!(framer.push(event), Ok(event.to_vec()));
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
    assert_eq!(framer.push(b"id: 97\n\n"), Ok(Vec::new()), "not passed on");
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
    assert_eq!(framer.push(b"id: 12\n\n"), Ok(Vec::new()));
    let both = b"id: 12\n\nid: 13\n\n".to_vec();
    assert_eq!(framer.push(b"id: 13\n\n"), Ok(both));
    assert_eq!(framer.resume_id(), Some(13), "the ids confirm each other");
    let mut framer = Framer::default();
    assert_eq!(framer.push(b"id: 12\n\n"), Ok(Vec::new()));
    assert_eq!(framer.finish(), Some(b"id: 12\n\n".to_vec()));
}

#[test]
fn push_largest_id() {
    let last = u64::MAX;
    let mut framer = Framer::resume_after(Some(last - 1));
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

proptest! {
    /// Whatever a server sends, what is returned consists of events in order and of comments between them.
    #[test]
    fn push_returns_events_and_comments_only(
        blocks in proptest::collection::vec(0_usize..6, 1..20),
        cuts in proptest::collection::vec(1_usize..30, 1..20),
    ) {
        let mut next = 0;
        let mut text = String::new();
        for block in blocks {
            next += 1;
            text.push_str(&match block {
                0 => ": comment\n\n".to_string(),
                1 => "data: wrong\n\n".to_string(),
                2 => "garbage\n".to_string(),
                _ => format!("id: {next}\ndata: x\n\n"),
            });
            if block <= 2 {
                next -= 1;
            }
        }
        let mut framer = Framer::default();
        let mut passed = Vec::new();
        let mut rest = text.as_bytes();
        for cut in cuts.iter().cycle() {
            if rest.is_empty() {
                break;
            }
            let (chunk, after) = rest.split_at((*cut).min(rest.len()));
            rest = after;
            passed.extend(framer.push(chunk).unwrap_or_default());
        }
        let passed = String::from_utf8(passed).expect("parts of the text");
        prop_assert!(text.starts_with(&passed));
        prop_assert!(!passed.contains("wrong") && !passed.contains("garbage"));
        prop_assert!(passed.is_empty() || passed.ends_with("data: x\n\n"), "{passed:?}");
    }
}
