//! Tests of the records of witness and home, which are evicted by whole generations.

use teaselchute::{
    core::{
        call::Request,
        host::Id,
        outcome::{
            Rejection, Status, Ticket,
            home::{
                End,
                Home,
                RETENTION_MS,
                Record, //
            },
            ticket::{
                GENERATION_MS,
                MAX_START_AGE_GENERATIONS,
                RETENTION_GENERATIONS, //
            },
            witness::Witness,
        },
    },
    names::Name,
    time::Instant,
};

const DIGEST: [u8; 32] = [7; 32];

#[test]
fn prepare_twice() {
    let mut witness = Witness::new(10);
    let ticket = ticket(0);
    assert_eq!(prepare(&mut witness, 0, &ticket, 1), Ok(()));
    assert_eq!(prepare(&mut witness, 0, &ticket, 1), Ok(()));
    assert_eq!(
        prepare(&mut witness, 0, &ticket, 2),
        Err(Rejection::Conflict)
    );
    assert_eq!(witness.seal(at(0), &request(1), &ticket), Status::Prepared);
}

#[test]
fn prepare_sealed() {
    let mut witness = Witness::new(10);
    let ticket = ticket(0);
    assert_eq!(witness.seal(at(0), &request(1), &ticket), Status::Sealed);
    assert_eq!(prepare(&mut witness, 0, &ticket, 1), Err(Rejection::Sealed));
    witness.complete(&request(1), &ticket, None);
    assert_eq!(witness.status(at(0), &request(1), &ticket), Status::Sealed);
}

#[test]
fn prepare_expired() {
    let mut witness = Witness::new(10);
    let ticket = ticket(0);
    let late = MAX_START_AGE_GENERATIONS + 1;
    assert_eq!(
        prepare(&mut witness, late, &ticket, 1),
        Err(Rejection::Expired)
    );
    assert_eq!(
        witness.status(at(late), &request(1), &ticket),
        Status::Sealed
    );
}

#[test]
fn prepare_evicted() {
    let mut witness = Witness::new(10);
    let ticket = ticket(0);
    let late = RETENTION_GENERATIONS + 1;
    assert_eq!(prepare(&mut witness, 0, &ticket, 1), Ok(()));
    assert_eq!(
        prepare(&mut witness, late, &ticket, 2),
        Err(Rejection::Evicted)
    );
    assert_eq!(
        witness.seal(at(late), &request(1), &ticket),
        Status::Evicted
    );
    assert!(witness.is_empty());
}

#[test]
fn prepare_full() {
    let mut witness = Witness::new(2);
    for number in 1..=2 {
        let answer = witness.prepare(at(5), &request(number), &ticket(5), 1, DIGEST);
        assert_eq!(answer, Ok(()));
    }
    let third = witness.prepare(at(5), &request(3), &ticket(5), 1, DIGEST);
    assert_eq!(third, Err(Rejection::Full));
    // A later generation evicts the whole earlier one, whose tickets are refused from then on.
    let later = witness.prepare(at(6), &request(3), &ticket(6), 1, DIGEST);
    assert_eq!(later, Ok(()));
    let earlier = witness.prepare(at(6), &request(4), &ticket(5), 1, DIGEST);
    assert_eq!(earlier, Err(Rejection::Evicted));
}

#[test]
fn evict_expired_waits_for_all() {
    let mut home = Home::new(10);
    for number in 1..=2 {
        assert!(home.insert(&request(number), record(0)));
    }
    home.complete(Instant::ZERO, &request(1), End::Ran);
    home.evict_expired(Instant::from_ms(RETENTION_MS + 1));
    assert_eq!(home.len(), 2);
    assert!(!home.is_evicted(&ticket(0)));
    home.complete(Instant::from_ms(1), &request(2), End::Ran);
    home.evict_expired(Instant::from_ms(RETENTION_MS + 2));
    assert!(home.is_empty());
    assert!(home.is_evicted(&ticket(0)));
    assert!(!home.is_evicted(&ticket(1)));
}

#[test]
fn insert_full() {
    let mut home = Home::new(2);
    assert!(home.insert(&request(1), record(0)));
    assert!(home.insert(&request(2), record(1)));
    // No request has ended, so nothing may be evicted.
    assert!(!home.insert(&request(3), record(1)));
    home.complete(Instant::ZERO, &request(1), End::Ran);
    assert!(home.insert(&request(3), record(1)));
    assert!(home.is_evicted(&ticket(0)));
}

fn prepare(
    witness: &mut Witness,
    generation: u64,
    ticket: &Ticket,
    nonce: u64,
) -> Result<(), Rejection> {
    witness.prepare(at(generation), &request(1), ticket, nonce, DIGEST)
}

fn at(generation: u64) -> Instant {
    Instant::from_ms(generation * GENERATION_MS)
}

fn record(generation: u64) -> Record {
    Record {
        ticket: ticket(generation),
        digest: DIGEST,
        end: None,
    }
}

fn ticket(generation: u64) -> Ticket {
    let id = |name| Id {
        name: Name::from(name),
        incarnation: 1,
    };
    Ticket {
        home: id("home"),
        witness: id("witness"),
        generation,
    }
}

fn request(number: usize) -> Request {
    Request {
        organisation: Name::from("stalls"),
        id: Name::from(format!("request-{number}")),
    }
}
