use teaselchute::{
    core::gateway::batch::{
        Call,
        Outcome,
        Piece,
        Queue, //
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
fn next_gathers_what_waited() {
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
        "one call at a time"
    );
    queue.complete_call(at(210), &STAGES, &call, ran(&results(&call, "a")));
    let call = queue
        .next_call(at(210), &STAGES, &servers)
        .expect("free again");
    assert_eq!(call.pieces.len(), 10, "a full call");
    assert_eq!(queue.len(), 5);
}

#[test]
fn next_pieces_of_a_request_go_together() {
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
fn next_request_larger_than_a_call() {
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

/// The load pattern: results lie at their servers until their requests run, and fill the room.
#[test]
fn next_waits_for_room() {
    let mut queue = Queue::default();
    let servers = names(&["s1"]);
    let large = |request: &str| Piece {
        result_bytes: 600,
        ..piece(request, 0)
    };
    queue.enqueue(large("a"));
    let call = queue
        .next_call(at(0), &STAGES, &servers)
        .expect("room for one");
    queue.complete_call(at(210), &STAGES, &call, ran(&results(&call, "a")));
    queue.enqueue(large("b"));
    queue.enqueue(piece("small", 0));
    let call = queue
        .next_call(at(210), &STAGES, &servers)
        .expect("room for the small one");
    assert_eq!(&*call.pieces[0].1.request, "small");
    queue.complete_call(at(420), &STAGES, &call, ran(&results(&call, "s")));
    assert_eq!(queue.next_call(at(420), &STAGES, &servers), None);
    queue.release("a0");
    let call = queue
        .next_call(at(421), &STAGES, &servers)
        .expect("room again");
    assert_eq!(&*call.pieces[0].1.request, "b");
}

#[test]
fn next_results_left_by_others() {
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

/// The load pattern: a server is full of results that this host doesn't know of, and refuses a whole
/// call at once. Sent there again and again, the pieces would use up all their tries in no time.
#[test]
fn next_pieces_without_room_go_elsewhere() {
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
        .expect("the other");
    assert_ne!(call.server, full);
    queue.enqueue(piece("d", 2));
    assert_eq!(queue.next_call(at(2), &STAGES, &servers), None);
}

/// The load pattern: a burst after which most of what waits is late already.
#[test]
fn next_in_time_before_late() {
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
fn next_urgent_before_others() {
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

/// The load pattern: more comes than can be done by any deadline. What can't be done is known at once.
#[test]
fn expire_hopeless_at_once() {
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
fn expire_without_a_server() {
    let mut queue = Queue::default();
    queue.enqueue(piece("a", 0));
    assert!(
        queue.expire(at(0), &STAGES, &[]).is_empty(),
        "one may come back"
    );
    assert_eq!(queue.expire(at(5_800), &STAGES, &[]).len(), 1);
}

#[test]
fn estimate_counts_what_is_ahead() {
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
fn finished_failed_server_is_left_alone() {
    let mut queue = Queue::default();
    let servers = names(&["s1"]);
    queue.enqueue(piece("a", 0));
    let call = queue.next_call(at(0), &STAGES, &servers).expect("free");
    queue.complete_call(at(100), &STAGES, &call, Outcome::Failed);
    queue.enqueue(piece("b", 0));
    assert_eq!(queue.next_call(at(200), &STAGES, &servers), None);
    assert!(queue.next_call(at(1_200), &STAGES, &servers).is_some());
}

/// The pattern of a quiet day, in virtual time: 60 requests a second with 3 pieces each, 5 servers.
/// One host that gathers is compared with nine hosts that each send their own calls.
#[test]
fn replay_one_gatherer_against_each_host_its_own() {
    let gathered = replay(1);
    let scattered = replay(9);
    assert!(
        gathered * 2 < scattered,
        "{gathered} ms against {scattered} ms"
    );
}

/// Returns the mean time of a piece, in milliseconds.
fn replay(hosts: usize) -> u64 {
    let servers = names(&["s1", "s2", "s3", "s4", "s5"]);
    let mut queues: Vec<Queue> = (0..hosts).map(|_| Queue::default()).collect();
    // When each server ends what it was sent: it runs one call after the other.
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
