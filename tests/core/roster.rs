//! Tests of roster changes and of the timing of proposals.

use teaselchute::{
    core::{
        host::{
            Host,
            Id, //
        },
        roster::{
            self,
            Progress,
            Proposer, //
        },
        state::Roster,
        view::{
            Health,
            Member, //
        },
    },
    names::Name,
    time::Instant,
};

fn id(name: &str, incarnation: u64) -> Id {
    Id {
        name: Name::from(name),
        incarnation,
    }
}

fn member(name: &str, incarnation: u64, health: Health) -> Member {
    Member {
        host: Host {
            id: id(name, incarnation),
            data_centre: Name::from("zone"),
            region: Name::from("north"),
            http: ([127, 0, 0, 1], 1).into(),
            peer: ([127, 0, 0, 1], 2).into(),
            weight: 1,
        },
        health,
        roster_epoch: 0,
        ticket_generation: 0,
        serving_since: Some(Instant::ZERO),
    }
}

fn current_roster() -> Roster {
    Roster {
        epoch: 3,
        members: vec![id("a", 1), id("b", 1)],
    }
}

#[test]
fn next_unchanged_members() {
    let serving = [member("a", 1, Health::Alive), member("b", 1, Health::Alive)];
    assert_eq!(
        roster::next(&current_roster(), true, &serving, |_| false),
        None
    );
}

#[test]
fn next_restarted_member() {
    let serving = [member("a", 2, Health::Alive), member("b", 1, Health::Alive)];
    assert_eq!(
        roster::next(&current_roster(), true, &serving, |_| false),
        None
    );
}

#[test]
fn next_new_and_gone_member() {
    let serving = [member("a", 1, Health::Alive), member("c", 1, Health::Alive)];
    let proposal = roster::next(&current_roster(), true, &serving, |gone| {
        *gone == id("b", 1)
    });
    let proposal = proposal.expect("the members changed");
    assert_eq!(proposal.members, vec![id("a", 1), id("c", 1)]);
    assert_eq!((proposal.added, proposal.dropped), (1, 1));
}

#[test]
fn next_new_member_suspect() {
    let serving = [member("c", 1, Health::Suspect)];
    assert_eq!(
        roster::next(&current_roster(), true, &serving, |_| false),
        None
    );
}

#[test]
fn next_new_member_not_serving() {
    let mut starting = member("c", 1, Health::Alive);
    starting.serving_since = None;
    assert_eq!(
        roster::next(&current_roster(), true, &[starting], |_| false),
        None
    );
}

#[test]
fn next_previous_roster_in_use() {
    let serving = [member("c", 1, Health::Alive)];
    assert_eq!(
        roster::next(&current_roster(), false, &serving, |_| false),
        None
    );
}

#[test]
fn merge_other_epoch() {
    let mut progress = Progress::new(4, 3);
    let mut other = Progress::new(3, 3);
    other.set_left(1);
    assert!(!progress.merge(&other));
    assert!(!progress.has_left(1));
}

#[test]
fn merge_completes_progress() {
    let mut progress = Progress::new(4, 9);
    let mut other = Progress::new(4, 9);
    (0..5).for_each(|index| progress.set_left(index));
    (5..9).for_each(|index| other.set_left(index));
    assert!(!progress.is_complete(9));
    assert!(progress.merge(&other));
    assert!(progress.is_complete(9));
}

#[test]
fn is_due_lower_rank_first() {
    let serving = [member("c", 1, Health::Alive)];
    let proposal = roster::next(&current_roster(), true, &serving, |_| false);
    let mut first = Proposer::default();
    let mut second = Proposer::default();
    let due = |proposer: &mut Proposer, ms, rank| {
        proposer.is_due(Instant::from_ms(ms), 3, rank, proposal.as_ref())
    };
    assert!(!due(&mut first, 0, 0));
    assert!(!due(&mut second, 0, 1));
    assert!(due(&mut first, 5_000, 0));
    assert!(!due(&mut second, 5_000, 1));
    assert!(
        !due(&mut first, 6_000, 0),
        "a proposal isn't repeated at once"
    );
    assert!(due(&mut second, 6_000, 1));
}
