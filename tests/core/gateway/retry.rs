use teaselchute::core::gateway::{
    config::Kind,
    retry::{
        Action,
        Outcome,
        decide,
        exhausted,
        may_return, //
    },
};

const RESUMABLE: Kind = Kind::Stream { resumes: true };
const NOT_RESUMABLE: Kind = Kind::Stream { resumes: false };

#[test]
fn decide_lost_unsafe() {
    for kind in [Kind::Unsafe, NOT_RESUMABLE] {
        assert_eq!(decide(kind, Outcome::Lost, true), Action::Fail);
    }
}

#[test]
fn decide_lost_repeatable() {
    for kind in [Kind::Safe, RESUMABLE] {
        assert_eq!(decide(kind, Outcome::Lost, true), Action::Retry);
    }
}

#[test]
fn decide_not_run() {
    for kind in [Kind::Safe, Kind::Unsafe, RESUMABLE, NOT_RESUMABLE] {
        assert_eq!(decide(kind, Outcome::NotRun, false), Action::Retry);
        assert_eq!(decide(kind, Outcome::NotSent, false), Action::Retry);
    }
}

#[test]
fn decide_not_run_after_possible_run() {
    // The first server may have run the request, whatever the second one reports.
    assert_eq!(decide(Kind::Unsafe, Outcome::NotRun, true), Action::Fail);
    assert_eq!(decide(Kind::Unsafe, Outcome::NotSent, true), Action::Fail);
}

#[test]
fn decide_unconfirmed_not_run_status() {
    // These statuses guarantee to callers that nothing ran, but the server didn't state that.
    for status in [408, 421, 429, 503] {
        let outcome = Outcome::Answered(status);
        assert_eq!(decide(Kind::Unsafe, outcome, true), Action::Fail);
        assert_eq!(decide(Kind::Safe, outcome, true), Action::Retry);
    }
}

#[test]
fn decide_server_error() {
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
fn exhausted_reports_possible_run() {
    assert_eq!(exhausted(false), Action::Refuse);
    assert_eq!(exhausted(true), Action::Fail);
}

/// A copy of a refusal passed for the answer to a second attempt at the same server.
#[test]
fn may_return_repeatable_only() {
    assert!(!may_return(Kind::Unsafe));
    assert!(!may_return(Kind::Stream { resumes: false }));
    assert!(may_return(Kind::Safe));
    assert!(may_return(Kind::Stream { resumes: true }));
}
