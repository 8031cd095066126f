//! Tests of the queue of waiting calls.

use teaselchute::{
    core::{
        call,
        routing::queue::{
            Entry,
            Queue, //
        },
    },
    names::Name,
    time::Instant,
};

use super::some_call;

fn entry(number: u64, priority: u8, organisation: &str) -> Entry {
    let mut call = some_call(number);
    call.priority = priority;
    call.request.organisation = Name::from(organisation);
    Entry {
        send_by: call.deadline,
        call,
        offered_at: Instant::ZERO,
        weight: 1,
    }
}

fn pop_id(queue: &mut Queue) -> Option<u64> {
    queue.pop().map(|entry| entry.call.id.0)
}

#[test]
fn pop_priority_first() {
    let mut queue = Queue::default();
    queue.push(entry(1, 2, "o1"));
    queue.push(entry(2, 0, "o1"));
    assert_eq!(pop_id(&mut queue), Some(2));
    assert_eq!(pop_id(&mut queue), Some(1));
}

#[test]
fn pop_earliest_deadline_first() {
    let mut queue = Queue::default();
    let mut later = entry(1, 1, "o1");
    later.call.deadline = Instant::from_ms(5_000);
    queue.push(later);
    queue.push(entry(2, 1, "o1"));
    assert_eq!(pop_id(&mut queue), Some(2));
}

#[test]
fn pop_many_urgent_calls_beside_one() {
    let mut queue = Queue::default();
    for number in 0..100 {
        queue.push(entry(number, 0, "flood"));
    }
    queue.push(entry(100, 9, "small"));
    let first: Vec<_> = (0..2).filter_map(|_| pop_id(&mut queue)).collect();
    assert!(first.contains(&100));
}

#[test]
fn pop_many_calls_beside_one() {
    let mut queue = Queue::default();
    for number in 0..100 {
        queue.push(entry(number, 1, "flood"));
    }
    queue.push(entry(100, 1, "small"));
    let first: Vec<_> = (0..2).filter_map(|_| pop_id(&mut queue)).collect();
    assert!(first.contains(&100));
}

#[test]
fn pop_weighted() {
    let mut queue = Queue::default();
    for number in 0..100 {
        queue.push(entry(number, 1, "light"));
        let mut heavy = entry(1_000 + number, 1, "heavy");
        heavy.weight = 3;
        queue.push(heavy);
    }
    let heavy = (0..40)
        .filter(|_| pop_id(&mut queue) >= Some(1_000))
        .count();
    assert!((29..=31).contains(&heavy), "{heavy}");
}

#[test]
fn pop_least_urgent_does_not_starve() {
    let mut queue = Queue::default();
    for number in 0..100 {
        queue.push(entry(number, 0, "o1"));
    }
    queue.push(entry(100, 9, "o1"));
    assert!((0..20).any(|_| pop_id(&mut queue) == Some(100)));
}

#[test]
fn evict_largest_backlog() {
    let mut queue = Queue::default();
    queue.push(entry(1, 1, "small"));
    for number in 2..10 {
        queue.push(entry(number, 1, "flood"));
    }
    let evicted = queue.evict().unwrap();
    assert_eq!(&*evicted.call.request.organisation, "flood");
}

#[test]
fn evict_keeps_late_answer_wanted() {
    let mut queue = Queue::default();
    let mut late_entry = entry(1, 9, "o1");
    late_entry.call.late_answer_wanted = true;
    queue.push(late_entry);
    assert!(queue.evict().is_none());
}

#[test]
fn expire_keeps_late_answer_wanted() {
    let mut queue = Queue::default();
    let mut late_entry = entry(1, 1, "o1");
    late_entry.call.late_answer_wanted = true;
    queue.push(late_entry);
    queue.push(entry(2, 1, "o1"));
    let now = Instant::from_ms(4_000);
    assert_eq!(queue.expire(now).map(|entry| entry.call.id.0), Some(2));
    assert!(queue.expire(now).is_none());
    assert_eq!(pop_id(&mut queue), Some(1));
}

#[test]
fn remove_last_call_of_class() {
    let mut queue = Queue::default();
    queue.push(entry(1, 1, "o1"));
    assert!(queue.remove(call::Id(1)).is_some());
    assert!(queue.is_empty());
    assert!(queue.pop().is_none());
}

#[test]
fn put_back_keeps_turn() {
    let mut queue = Queue::default();
    queue.push(entry(1, 1, "a"));
    queue.push(entry(2, 1, "a"));
    queue.push(entry(3, 1, "b"));
    let first = queue.pop().unwrap();
    let id = first.call.id;
    queue.put_back(first, Instant::ZERO);
    assert_eq!(queue.len(), 3);
    assert_eq!(queue.pop().unwrap().call.id, id);
}
