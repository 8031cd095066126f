use teaselchute::{
    core::gateway::batch::{
        Call,
        Outcome,
        Piece,
        Queue,
        Ticket, //
    },
    names::Name,
};

use super::{
    STAGES,
    at,
    names,
    piece, //
};

fn results(call: &Call, prefix: &str) -> Vec<Option<Name>> {
    let ids = 0..call.pieces.len();
    ids.map(|id| Some(format!("{prefix}{id}").into())).collect()
}

fn ran(results: &[Option<Name>]) -> Outcome<'_> {
    Outcome::Ran {
        results,
        is_full: false,
    }
}

#[test]
fn next_call_waiting_pieces_batched() {
    let mut queue = Queue::default();
    let servers = names(&["s1"]);
    queue.enqueue(piece("first", 0));
    let call = queue
        .next_call(at(0), &STAGES, &servers)
        .expect("a server is free");
    assert_eq!(call.pieces.len(), 1);
    for request in 0..15 {
        queue.enqueue(piece(&format!("r{request}"), 0));
    }
    assert_eq!(
        queue.next_call(at(50), &STAGES, &servers),
        None,
        "the server has one slot"
    );
    queue.complete_call(at(210), &STAGES, &call, ran(&results(&call, "a")));
    let call = queue
        .next_call(at(210), &STAGES, &servers)
        .expect("free again");
    assert_eq!(call.pieces.len(), 10, "a full call");
    assert_eq!(queue.len(), 5);
}

#[test]
fn next_call_stage_not_split() {
    let mut queue = Queue::default();
    for request in ["a", "b"] {
        for index in 0..6 {
            queue.enqueue(Piece {
                index,
                ..piece(request, 0)
            });
        }
    }
    let call = queue
        .next_call(at(0), &STAGES, &names(&["s1"]))
        .expect("free");
    let requests: Vec<&str> = call
        .pieces
        .iter()
        .map(|(_, piece)| &*piece.request)
        .collect();
    assert_eq!(requests, ["a"; 6]);
}

#[test]
fn next_call_large_stage_split() {
    let mut queue = Queue::default();
    for index in 0..12 {
        queue.enqueue(Piece {
            index,
            ..piece("large", 0)
        });
    }
    let call = queue
        .next_call(at(0), &STAGES, &names(&["s1"]))
        .expect("free");
    assert_eq!(call.pieces.len(), 10);
}

/// Results occupy the memory of their server until their requests run.
#[test]
fn next_call_waits_for_memory() {
    let mut queue = Queue::default();
    let servers = names(&["s1"]);
    let large = |request: &str| Piece {
        result_bytes: 600,
        ..piece(request, 0)
    };
    queue.enqueue(large("a"));
    let call = queue
        .next_call(at(0), &STAGES, &servers)
        .expect("memory for one");
    queue.complete_call(at(210), &STAGES, &call, ran(&results(&call, "a")));
    queue.enqueue(large("b"));
    queue.enqueue(piece("small", 0));
    let call = queue
        .next_call(at(210), &STAGES, &servers)
        .expect("memory for the small one");
    assert_eq!(&*call.pieces[0].1.request, "small");
    queue.complete_call(at(420), &STAGES, &call, ran(&results(&call, "s")));
    assert_eq!(queue.next_call(at(420), &STAGES, &servers), None);
    queue.release("a0");
    let call = queue
        .next_call(at(421), &STAGES, &servers)
        .expect("memory again");
    assert_eq!(&*call.pieces[0].1.request, "b");
}

#[test]
fn next_call_results_of_other_hosts() {
    let mut queue = Queue::default();
    let servers = names(&["s1"]);
    queue.enqueue(piece("a", 0));
    let call = queue.next_call(at(0), &STAGES, &servers).expect("free");
    let outcome = Outcome::Ran {
        results: &[None],
        is_full: true,
    };
    queue.complete_call(at(210), &STAGES, &call, outcome);
    queue.enqueue(piece("b", 0));
    assert_eq!(queue.next_call(at(210), &STAGES, &servers), None);
    queue.expire(at(900), &STAGES, &servers);
    assert!(queue.next_call(at(900), &STAGES, &servers).is_some());
}

/// A server whose memory is full of results of other hosts refuses all pieces of a call
/// immediately. Without a backoff, the pieces would exhaust their retries there.
#[test]
fn next_call_full_server_avoided() {
    let mut queue = Queue::default();
    let servers = names(&["s1", "s2"]);
    for request in ["a", "b", "c"] {
        queue.enqueue(piece(request, 0));
    }
    let call = queue.next_call(at(0), &STAGES, &servers).expect("free");
    let full = call.server.clone();
    let outcome = Outcome::Ran {
        results: &[None, None, None],
        is_full: true,
    };
    queue.complete_call(at(2), &STAGES, &call, outcome);
    for (ticket, piece) in call.pieces {
        queue.requeue(ticket, piece);
    }
    let call = queue
        .next_call(at(2), &STAGES, &servers)
        .expect("the other server is free");
    assert_ne!(call.server, full);
    queue.enqueue(piece("d", 2));
    assert_eq!(queue.next_call(at(2), &STAGES, &servers), None);
}

/// After a burst, most of the waiting pieces are already late.
#[test]
fn next_call_late_pieces_last() {
    let mut queue = Queue::default();
    for request in 0..10 {
        queue.enqueue(piece(&format!("late{request}"), 0));
    }
    queue.enqueue(piece("fresh", 900));
    let call = queue
        .next_call(at(950), &STAGES, &names(&["s1"]))
        .expect("free");
    assert_eq!(&*call.pieces[0].1.request, "fresh");
}

#[test]
fn next_call_urgent_pieces_first() {
    let mut queue = Queue::default();
    queue.enqueue(Piece {
        priority: 2,
        ..piece("idle", 0)
    });
    queue.enqueue(piece("urgent", 100));
    let call = queue
        .next_call(at(100), &STAGES, &names(&["s1"]))
        .expect("free");
    assert_eq!(&*call.pieces[0].1.request, "urgent");
}

/// Under overload, pieces that can't meet their deadline expire immediately.
#[test]
fn expire_unreachable_deadlines() {
    let mut queue = Queue::default();
    let servers = names(&["s1"]);
    for request in 0..400 {
        queue.enqueue(piece(&format!("r{request}"), 0));
    }
    let lost = queue.expire(at(0), &STAGES, &servers);
    // 5.9 s hold 19 calls of 300 ms with 10 pieces each.
    assert_eq!(queue.len(), 190);
    assert_eq!(lost.len(), 210);
}

#[test]
fn expire_no_server() {
    let mut queue = Queue::default();
    queue.enqueue(piece("a", 0));
    assert!(
        queue.expire(at(0), &STAGES, &[]).is_empty(),
        "a server may return"
    );
    assert_eq!(queue.expire(at(5_800), &STAGES, &[]).len(), 1);
}

#[test]
fn estimate_ms_counts_queue() {
    let mut queue = Queue::default();
    let servers = names(&["s1"]);
    let estimate = |queue: &Queue| queue.estimate_ms(at(0), &STAGES, &servers, 1, 10);
    assert_eq!(estimate(&queue), Some(210));
    for request in 0..10 {
        queue.enqueue(piece(&format!("r{request}"), 0));
    }
    assert_eq!(estimate(&queue), Some(510));
    assert_eq!(queue.estimate_ms(at(0), &STAGES, &[], 1, 10), None);
}

#[test]
fn complete_call_failure_backoff() {
    let mut queue = Queue::default();
    let servers = names(&["s1"]);
    queue.enqueue(piece("a", 0));
    let call = queue.next_call(at(0), &STAGES, &servers).expect("free");
    queue.complete_call(at(100), &STAGES, &call, Outcome::Failed);
    queue.enqueue(piece("b", 0));
    assert_eq!(queue.next_call(at(200), &STAGES, &servers), None);
    assert!(queue.next_call(at(1_200), &STAGES, &servers).is_some());
}

/// Simulates a quiet day in virtual time: 60 requests per second with 3 pieces each, and 5 servers.
/// Compares one host that batches all pieces with nine hosts that send their own calls.
#[test]
fn replay_one_queue_faster_than_many() {
    let single_ms = replay(1);
    let separate_ms = replay(9);
    assert!(
        single_ms * 2 < separate_ms,
        "{single_ms} ms with one queue, {separate_ms} ms with nine"
    );
}

/// Returns the mean latency of a piece, in milliseconds.
fn replay(hosts: usize) -> u64 {
    let servers = names(&["s1", "s2", "s3", "s4", "s5"]);
    let mut queues: Vec<Queue> = (0..hosts).map(|_| Queue::default()).collect();
    // End of the last call of each server. A server runs its calls one after the other.
    let mut free_at = [0_u64; 5];
    let mut running: Vec<(u64, usize, Call)> = Vec::new();
    let (mut sum, mut count) = (0, 0);
    for now in 0..10_000_u64 {
        if now % 17 == 0 {
            let request = format!("r{now}");
            for index in 0..3 {
                queues[(now / 17) as usize % hosts].enqueue(Piece {
                    index,
                    deadline: at(now + 60_000),
                    ..piece(&request, now)
                });
            }
        }
        running.retain(|(end, host, call)| {
            if *end > now {
                return true;
            }
            queues[*host].complete_call(
                at(now),
                &STAGES,
                call,
                ran(&vec![None; call.pieces.len()]),
            );
            for (_, piece) in &call.pieces {
                sum += now - (piece.objective.as_ms() - 1_000);
                count += 1;
            }
            false
        });
        for (host, queue) in queues.iter_mut().enumerate() {
            while let Some(call) = queue.next_call(at(now), &STAGES, &servers) {
                let server = servers.iter().position(|name| *name == call.server);
                let server = server.expect("one of the servers");
                let start = free_at[server].max(now);
                free_at[server] = start + 200 + 10 * call.pieces.len() as u64;
                running.push((free_at[server], host, call));
            }
        }
    }
    sum / count
}

#[test]
fn is_repeated_copy_of_earlier_answer() {
    let mut queue = Queue::default();
    let server: Name = "s1".into();
    let (first, second) = (names(&["a", "b"]), names(&["c"]));
    assert!(!queue.is_repeated(&server, &first));
    assert!(!queue.is_repeated(&server, &second));
    assert!(queue.is_repeated(&server, &first));
    assert!(queue.is_repeated(&server, &second));
    assert!(!queue.is_repeated(&"s2".into(), &first), "another server");
    assert!(!queue.is_repeated(&server, &[]), "no piece has a result");
    assert!(!queue.is_repeated(&server, &[]));
}

/// A paused server gets no call, and pieces go to the other one. While all are paused, pieces that can't meet their
/// objective are given up at once, and the others wait.
#[test]
fn next_call_beside_pauses() {
    let mut queue = Queue::default();
    let servers = names(&["s1", "s2"]);
    let call = |queue: &mut Queue, ms| queue.next_call(at(ms), &STAGES, &servers);
    // Both have run a call.
    let mut calls = Vec::new();
    for request in ["a", "b"] {
        queue.enqueue(piece(request, 0));
        calls.push(call(&mut queue, 0).expect("a server is free"));
    }
    for (index, call) in calls.iter().enumerate() {
        let results = results(call, &format!("r{index}"));
        queue.complete_call(at(200), &STAGES, call, ran(&results));
    }
    queue.record_pause(&"s1".into(), at(1_000));
    queue.enqueue(piece("c", 300));
    let other = call(&mut queue, 300).expect("one is free");
    assert_eq!(&*other.server, "s2");
    queue.enqueue(piece("d", 300));
    assert!(call(&mut queue, 300).is_none(), "the free one is paused");
    let failed = Outcome::Failed;
    queue.complete_call(at(300), &STAGES, &other, failed);
    queue.cancel(Ticket(3));
    queue.record_pause(&"s2".into(), at(3_000));
    queue.set_paused(true);
    // The pause ends in 700 ms. A call takes 210 ms, and the later stages 100 ms.
    let soon = queue.enqueue(piece("e", 300));
    let mut later = piece("f", 300);
    later.objective = at(3_000);
    let later = queue.enqueue(later);
    let expired = queue.expire(at(300), &STAGES, &servers);
    assert_eq!(expired, [soon], "its objective is at 1,300 ms");
    assert!(call(&mut queue, 300).is_none());
    queue.set_paused(false);
    let next = call(&mut queue, 1_000).expect("the first pause is over");
    assert_eq!(next.pieces[0].0, later);
}
