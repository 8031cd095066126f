use teaselchute::core::gateway::{
    config::Kind,
    retry::{
        End,
        Next,
        give_up,
        next, //
    },
};

const RESUMES: Kind = Kind::Stream { resumes: true };
const ONCE: Kind = Kind::Stream { resumes: false };

#[test]
fn next_lost_unsafe() {
    for kind in [Kind::Unsafe, ONCE] {
        assert_eq!(next(kind, End::Lost, true), Next::Fail);
    }
}

#[test]
fn next_lost_repeatable() {
    for kind in [Kind::Safe, RESUMES] {
        assert_eq!(next(kind, End::Lost, true), Next::Retry);
    }
}

#[test]
fn next_not_run() {
    for kind in [Kind::Safe, Kind::Unsafe, RESUMES, ONCE] {
        assert_eq!(next(kind, End::NotRun, false), Next::Retry);
        assert_eq!(next(kind, End::NotSent, false), Next::Retry);
    }
}

#[test]
fn next_not_run_after_it_may_have_run() {
    // Whatever the second server says, the first may have run the order.
    assert_eq!(next(Kind::Unsafe, End::NotRun, true), Next::Fail);
    assert_eq!(next(Kind::Unsafe, End::NotSent, true), Next::Fail);
}

#[test]
fn next_promise_without_proof() {
    // These statuses promise that nothing ran, but the server did not say so.
    for status in [408, 421, 429, 503] {
        let end = End::Answered(status);
        assert_eq!(next(Kind::Unsafe, end, true), Next::Fail);
        assert_eq!(next(Kind::Safe, end, true), Next::Retry);
    }
}

#[test]
fn next_failure_of_server() {
    assert_eq!(next(Kind::Unsafe, End::Answered(500), true), Next::Deliver);
    assert_eq!(next(Kind::Safe, End::Answered(500), true), Next::Retry);
    assert_eq!(next(Kind::Safe, End::Answered(404), true), Next::Deliver);
    assert_eq!(next(Kind::Unsafe, End::Answered(200), true), Next::Deliver);
}

#[test]
fn give_up_says_the_truth() {
    assert_eq!(give_up(false), Next::Refuse);
    assert_eq!(give_up(true), Next::Fail);
}
