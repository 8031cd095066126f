//! Tests of how records change the state.

use teaselchute::core::{
    document::{
        self,
        Document,
        Edit,
        Policies, //
    },
    host::Id,
    orders::Claim,
    state::{
        Change,
        Position,
        Record,
        State,
        Target,
        Verdict,
        publish, //
    },
};

use crate::edits::example;

fn change(id: &str, based_on: u64) -> Record {
    Record::Change(Change {
        id: id.into(),
        environment: "production".into(),
        based_on,
        edits: vec![Edit::Policies(Policies::default())],
    })
}

fn position(next: u64) -> Position {
    Position {
        generation: 0,
        next,
    }
}

#[test]
fn apply_change_on_same_base() {
    let mut state = State::default();
    assert_eq!(
        state.apply(position(1), &change("a", 0)),
        Verdict::Accepted(position(1))
    );
    assert!(matches!(
        state.apply(position(2), &change("b", 0)),
        Verdict::Void(_)
    ));
    assert_eq!(
        state.apply(position(3), &change("c", 1)),
        Verdict::Accepted(position(3))
    );
}

#[test]
fn apply_same_record_twice() {
    let mut state = State::default();
    state.apply(position(1), &change("a", 0));
    assert_eq!(
        state.apply(position(2), &change("a", 0)),
        Verdict::Accepted(position(1))
    );
    assert_eq!(state.revision(&"production".into()), 1);
}

#[test]
fn apply_id_of_another_record() {
    let mut state = State::default();
    state.apply(position(1), &change("a", 0));
    let other = Record::Drain {
        id: "a".into(),
        target: Target::DataCentre("north-a".into()),
        drained: true,
    };
    assert!(matches!(state.apply(position(2), &other), Verdict::Void(_)));
    assert!(state.drained.is_empty());
}

#[test]
fn apply_evicted_id() {
    let mut state = State::default();
    for number in 0..3_000 {
        let id = format!("change-{number}");
        let verdict = state.apply(position(number + 1), &change(&id, number));
        assert!(matches!(verdict, Verdict::Accepted(_)));
    }
    // The verdict is no longer known, and reporting the change as void would be wrong.
    let again = state.apply(position(3_001), &change("change-0", 0));
    assert_eq!(again, Verdict::Forgotten);
    let late = state.apply(position(3_002), &change("late", 2_999));
    assert!(matches!(late, Verdict::Void(_)));
}

#[test]
fn apply_drain_and_back() {
    let mut state = State::default();
    let target = Target::DataCentre("north-a".into());
    for (number, out) in [true, false, true].into_iter().enumerate() {
        let record = Record::Drain {
            id: format!("drain-{number}").into(),
            target: target.clone(),
            drained: out,
        };
        state.apply(position(number as u64 + 1), &record);
        assert_eq!(state.drained.contains_key(&target), out);
    }
}

#[test]
fn apply_roster_old_epoch() {
    let mut state = State::default();
    let member = Id {
        name: "host-1".into(),
        incarnation: 1,
    };
    let roster = |based_on, members| Record::Roster { based_on, members };
    state.apply(position(1), &roster(0, vec![member]));
    assert!(matches!(
        state.apply(position(2), &roster(0, Vec::new())),
        Verdict::Void(_)
    ));
    assert_eq!((state.roster.epoch, state.roster.members.len()), (1, 1));
}

#[test]
fn apply_claim_replaces_named_fence() {
    let mut state = State::default();
    let claim = |incarnation, replaces| {
        Record::Claim(Claim {
            group: "engines".into(),
            controller: Id {
                name: "host-1".into(),
                incarnation,
            },
            replaces,
        })
    };
    state.apply(position(1), &claim(1, None));
    assert!(matches!(
        state.apply(position(2), &claim(2, None)),
        Verdict::Void(_)
    ));
    let fence = state.claims.holders["engines"].fence;
    state.apply(position(3), &claim(3, Some(fence)));
    // The offset decreases in a new generation, but the fencing token has to increase.
    let next_generation = Position {
        generation: 1,
        next: 2,
    };
    let before = state.claims.holders["engines"].fence;
    state.apply(next_generation, &claim(4, Some(before)));
    assert!(state.claims.holders["engines"].fence > before);
}

#[test]
fn promotion_copies_tested_revision() {
    let mut state = State::default();
    let tested = document::check(&example()).expect("the example is valid");
    let change = state
        .publication("a".into(), "trial".into(), 0, &tested)
        .expect("the trial environment is new");
    state.apply(position(1), &Record::Change(change));
    let promotion = |state: &State, revision| {
        state.promotion(
            "b".into(),
            &"trial".into(),
            revision,
            "production".into(),
            0,
        )
    };
    assert!(matches!(
        promotion(&state, 0),
        Err(publish::Error::RevisionChanged { is: 1, .. })
    ));
    let change = promotion(&state, 1).expect("the environment is at revision 1");
    state.apply(position(2), &Record::Change(change));
    assert_eq!(*state.environments["production"].document, tested);
}

#[test]
fn publication_duplicate_stale_behind() {
    let mut state = State::default();
    let publication = |state: &State, id: &str, based_on| {
        let document = Document::default();
        state.publication(id.into(), "production".into(), based_on, &document)
    };
    let change = publication(&state, "a", 0).expect("the environment is new");
    state.apply(position(1), &Record::Change(change));
    let duplicate = publish::Error::Duplicate(Verdict::Accepted(position(1)));
    assert_eq!(publication(&state, "a", 0), Err(duplicate));
    assert!(matches!(
        publication(&state, "b", 0),
        Err(publish::Error::Stale { .. })
    ));
    assert!(matches!(
        publication(&state, "c", 2),
        Err(publish::Error::Behind { .. })
    ));
}
