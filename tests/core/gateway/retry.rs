use teaselchute::core::gateway::{
    config::Kind,
    retry::{
        Action,
        Outcome,
        decide,
        exhausted, //
    },
};

const RESUMES: Kind = Kind::Stream { resumes: true };
const ONCE: Kind = Kind::Stream { resumes: false };

#[test]
fn next_lost_unsafe() {
    for kind in [Kind::Unsafe, ONCE] {
        assert_eq!(decide(kind, Outcome::Lost, true), Action::Fail);
    }
}

#[test]
fn next_lost_repeatable() {
    for kind in [Kind::Safe, RESUMES] {
        assert_eq!(decide(kind, Outcome::Lost, true), Action::Retry);
    }
}

#[test]
fn next_not_run() {
    for kind in [Kind::Safe, Kind::Unsafe, RESUMES, ONCE] {
        assert_eq!(decide(kind, Outcome::NotRun, false), Action::Retry);
        assert_eq!(decide(kind, Outcome::NotSent, false), Action::Retry);
    }
}

#[test]
fn next_not_run_after_it_may_have_run() {
    // Whatever the second server says, the first may have run the order.
    assert_eq!(decide(Kind::Unsafe, Outcome::NotRun, true), Action::Fail);
    assert_eq!(decide(Kind::Unsafe, Outcome::NotSent, true), Action::Fail);
}

#[test]
fn next_promise_without_proof() {
    // These statuses promise that nothing ran, but the server did not say so.
    for status in [408, 421, 429, 503] {
        let end = Outcome::Answered(status);
        assert_eq!(decide(Kind::Unsafe, end, true), Action::Fail);
        assert_eq!(decide(Kind::Safe, end, true), Action::Retry);
    }
}

#[test]
fn next_failure_of_server() {
    assert_eq!(
        decide(Kind::Unsafe, Outcome::Answered(500), true),
        Action::Deliver
    );
    assert_eq!(
        decide(Kind::Safe, Outcome::Answered(500), true),
        Action::Retry
    );
    assert_eq!(
        decide(Kind::Safe, Outcome::Answered(404), true),
        Action::Deliver
    );
    assert_eq!(
        decide(Kind::Unsafe, Outcome::Answered(200), true),
        Action::Deliver
    );
}

#[test]
fn give_up_says_the_truth() {
    assert_eq!(exhausted(false), Action::Refuse);
    assert_eq!(exhausted(true), Action::Fail);
}
