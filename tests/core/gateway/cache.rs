use teaselchute::core::gateway::{
    balance::Segment,
    cache::{
        Directory,
        key, //
    },
};

use super::at;

fn prompt(ids: &[&str]) -> Vec<Segment> {
    let segment = |&id: &&str| Segment {
        id: id.into(),
        tokens: 1_000,
    };
    ids.iter().map(segment).collect()
}

fn place(directory: &mut Directory, now_ms: u64, prompt: &[Segment], server: &str) {
    for segment in prompt {
        directory.record(at(now_ms), key(segment), &server.into());
    }
}

#[test]
fn cached_segments_prefix_only() {
    let mut directory = Directory::default();
    place(&mut directory, 0, &prompt(&["a", "c"]), "s1");
    assert_eq!(
        directory.cached_segments(at(1), &prompt(&["a", "b", "c"]), "s1"),
        1
    );
    assert_eq!(
        directory.cached_segments(at(1), &prompt(&["a", "c"]), "s1"),
        2
    );
    assert_eq!(
        directory.cached_segments(at(1), &prompt(&["a", "c"]), "s2"),
        0
    );
}

#[test]
fn cached_segments_expire() {
    let mut directory = Directory::default();
    place(&mut directory, 0, &prompt(&["a"]), "s1");
    assert_eq!(
        directory.cached_segments(at(24_000), &prompt(&["a"]), "s1"),
        1
    );
    assert_eq!(
        directory.cached_segments(at(26_000), &prompt(&["a"]), "s1"),
        0
    );
}

#[test]
fn source_longest_prefix() {
    let mut directory = Directory::default();
    let all = prompt(&["a", "b", "c"]);
    place(&mut directory, 0, &all[..1], "few");
    place(&mut directory, 0, &all[..2], "more");
    let source = directory.source(at(1_000), &all, 0, |_| true);
    assert_eq!(source, Some(("more".into(), 2)));
    let source = directory.source(at(1_000), &all, 0, |name| &**name != "more");
    assert_eq!(source, Some(("few".into(), 1)));
}

#[test]
fn source_during_prefill() {
    let mut directory = Directory::default();
    let all = prompt(&["a"]);
    place(&mut directory, 0, &all, "s1");
    assert_eq!(directory.source(at(100), &all, 0, |_| true), None);
}

#[test]
fn forget_restarted_server() {
    let mut directory = Directory::default();
    let all = prompt(&["a"]);
    place(&mut directory, 0, &all, "s1");
    directory.forget("s1");
    assert_eq!(directory.cached_segments(at(1), &all, "s1"), 0);
}
