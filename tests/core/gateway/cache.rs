use teaselchute::core::gateway::{
    balance::Segment,
    cache::{
        Directory,
        key, //
    },
};

use super::at;

fn prompt(ids: &[&str]) -> Vec<Segment> {
    let part = |&id: &&str| Segment {
        id: id.into(),
        tokens: 1_000,
    };
    ids.iter().map(part).collect()
}

fn place(directory: &mut Directory, now_ms: u64, prompt: &[Segment], server: &str) {
    for part in prompt {
        directory.record(at(now_ms), key(part), &server.into());
    }
}

#[test]
fn cached_stops_at_the_first_gap() {
    let mut directory = Directory::default();
    place(&mut directory, 0, &prompt(&["a", "c"]), "s1");
    assert_eq!(directory.cached(at(1), &prompt(&["a", "b", "c"]), "s1"), 1);
    assert_eq!(directory.cached(at(1), &prompt(&["a", "c"]), "s1"), 2);
    assert_eq!(directory.cached(at(1), &prompt(&["a", "c"]), "s2"), 0);
}

#[test]
fn cached_not_after_long() {
    let mut directory = Directory::default();
    place(&mut directory, 0, &prompt(&["a"]), "s1");
    assert_eq!(directory.cached(at(24_000), &prompt(&["a"]), "s1"), 1);
    assert_eq!(directory.cached(at(26_000), &prompt(&["a"]), "s1"), 0);
}

#[test]
fn source_has_the_most_parts() {
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
fn source_not_while_it_reads() {
    let mut directory = Directory::default();
    let all = prompt(&["a"]);
    place(&mut directory, 0, &all, "s1");
    assert_eq!(directory.source(at(100), &all, 0, |_| true), None);
}

#[test]
fn forget_a_server_that_restarted() {
    let mut directory = Directory::default();
    let all = prompt(&["a"]);
    place(&mut directory, 0, &all, "s1");
    directory.forget("s1");
    assert_eq!(directory.cached(at(1), &all, "s1"), 0);
}
