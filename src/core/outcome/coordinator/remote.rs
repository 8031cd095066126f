//! Requests of other homes that callers submit here, and answers of other hosts that they fetch.
//!
//! This host never runs these requests. It queries the home and, if the home doesn't reply, the
//! witness. Once the witness has sealed a request, the request never runs.

use super::{
    Context,
    Coordinator,
    Policy,
    Recipient,
    Waiter,
    answer_dropped,
    backup,
    id_reused,
    non_idempotent::ticket_evicted, //
};
use crate::{
    core::{
        call::Request,
        decision::{
            Kind,
            value, //
        },
        host,
        outcome::{
            Message,
            Outcome,
            Status,
            Submission,
            Ticket,
            answers::Digest,
            plan, //
        },
        refusal::{
            Code,
            Execution,
            Refusal,
            Remedy, //
        },
    },
    time::Instant,
};

/// Time without a reply of the home after which the witness is queried, in milliseconds.
const HOME_TIMEOUT_MS: u64 = 300;

/// Time after which home, witness and backup hosts are queried again, in milliseconds, doubled each
/// time.
const QUERY_RETRY_MS: u64 = 100;

/// Longest time between two such queries, in milliseconds.
const MAX_QUERY_RETRY_MS: u64 = 1_000;

/// Time for which hosts are queried past the request's deadline, in milliseconds.
const DEADLINE_GRACE_MS: u64 = 500;

/// Time after which a caller's fetch gives up, in milliseconds.
const FETCH_TIMEOUT_MS: u64 = 1_000;

/// Time for which this host waits on after a reply that the request runs, in milliseconds.
const RUNNING_EXTENSION_MS: u64 = 3_000;

/// A request of another host for which callers wait here.
pub(super) struct Remote {
    waiters: Vec<Waiter>,
    /// The submission, `None` if callers only fetch the answer.
    submission: Option<Box<Submission>>,
    digest: Option<Digest>,
    ticket: Option<Ticket>,
    /// Backup hosts, except those that replied without an outcome.
    backup_hosts: Vec<host::Id>,
    /// Time of the home's last reply, or of the first query.
    home_seen_at: Instant,
    /// When the hosts are queried again.
    retry_at: Instant,
    backoff_ms: u64,
    give_up_at: Instant,
    /// Whether the witness acknowledged the request, which may therefore have run.
    witness_prepared: bool,
    /// Whether the records of the ticket's generation were evicted.
    evicted: bool,
}

impl Coordinator {
    /// Handles the submission of a request that only another host may run.
    pub(super) fn submit_remote(
        &mut self,
        cx: &mut Context<'_>,
        waiter: Waiter,
        submission: Box<Submission>,
        digest: Digest,
    ) {
        if matches!(waiter.recipient, Recipient::Host(_)) {
            self.counters.unexpected += 1;
            return;
        }
        let request = submission.request.clone();
        let plan = plan::plan(&cx.view.document, &submission);
        let deadline_ms = plan.map_or(0, |plan| plan.deadline_ms);
        let give_up_at = cx.now.after_ms(deadline_ms + DEADLINE_GRACE_MS);
        if let Some(remote) = self.remote.get_mut(&request) {
            if remote.digest.is_some_and(|known| known != digest) {
                return self.refuse(cx, &request, &waiter, "id_reused", id_reused());
            }
            remote.waiters.push(waiter);
            remote.submission = Some(submission);
            remote.digest = Some(digest);
            remote.give_up_at = remote.give_up_at.max(give_up_at);
            return;
        }
        let ticket = submission.ticket.clone();
        let remote = Remote {
            submission: Some(submission),
            digest: Some(digest),
            ..new_remote(cx, &request, waiter, ticket, give_up_at)
        };
        let values = vec![value("wait_ms", deadline_ms + DEADLINE_GRACE_MS)];
        cx.log_decision(Kind::Admission, &request, "other_home", "ask_home", values);
        self.remote.insert(request.clone(), remote);
        self.query_hosts(cx, &request);
    }

    /// Handles a caller's fetch of an answer.
    pub(super) fn fetch(
        &mut self,
        cx: &mut Context<'_>,
        waiter: Waiter,
        request: Request,
        ticket: Option<Ticket>,
    ) {
        if self.running.contains_key(&request) {
            return self.join(cx, &request, waiter);
        }
        let status = self.status(cx.now, cx.view, &request, ticket.as_ref(), None);
        if let Some(outcome) = final_outcome(&status) {
            cx.log_decision(Kind::Outcome, &request, "fetch", "answered", Vec::new());
            return cx.deliver(&request, &waiter, 0, &outcome);
        }
        if let Some(remote) = self.remote.get_mut(&request) {
            remote.waiters.push(waiter);
            return;
        }
        let give_up_at = cx.now.after_ms(FETCH_TIMEOUT_MS);
        let remote = new_remote(cx, &request, waiter, ticket, give_up_at);
        cx.log_decision(Kind::Admission, &request, "fetch", "ask_around", Vec::new());
        self.remote.insert(request.clone(), remote);
        self.query_hosts(cx, &request);
    }

    /// Queries home, witness and backup hosts once.
    fn query_hosts(&mut self, cx: &mut Context<'_>, request: &Request) {
        let Some(remote) = self.remote.get_mut(request) else {
            return;
        };
        remote.retry_at = cx.now.after_ms(remote.backoff_ms);
        remote.backoff_ms = (remote.backoff_ms * 2).min(MAX_QUERY_RETRY_MS);
        let query = Message::Query {
            request: request.clone(),
            ticket: remote.ticket.clone(),
            digest: remote.digest,
        };
        for backup_host in &remote.backup_hosts {
            cx.send(backup_host, query.clone());
        }
        let Some(ticket) = remote.ticket.clone() else {
            return;
        };
        let home_known = cx.view.member(&ticket.home).is_some();
        if home_known {
            let message = match &remote.submission {
                Some(submission) => Message::Forward(submission.clone()),
                None => query.clone(),
            };
            cx.send(&ticket.home, message);
        }
        let silent_ms = cx.now.since_ms(remote.home_seen_at);
        if (!home_known || silent_ms >= HOME_TIMEOUT_MS) && self.policy != Policy::HomeOnly {
            self.query_witness(cx, request, &ticket, query);
        }
    }

    fn query_witness(
        &mut self,
        cx: &mut Context<'_>,
        request: &Request,
        ticket: &Ticket,
        query: Message,
    ) {
        let Some(remote) = self.remote.get(request) else {
            return;
        };
        let seal_digest = remote.submission.as_ref().and(remote.digest);
        if ticket.witness == cx.view.own.id {
            let status = match seal_digest {
                Some(digest) => self.seal(cx.now, cx.view, request, ticket, digest),
                None => self.status(cx.now, cx.view, request, Some(ticket), remote.digest),
            };
            let own = cx.view.own.id.clone();
            return self.handle_status(cx, &own, request, status);
        }
        let message = match seal_digest {
            Some(digest) => Message::Seal {
                request: request.clone(),
                ticket: ticket.clone(),
                digest,
            },
            None => query,
        };
        cx.send(&ticket.witness, message);
    }

    /// Handles the status of a request from another host.
    pub(super) fn handle_status(
        &mut self,
        cx: &mut Context<'_>,
        from: &host::Id,
        request: &Request,
        status: Status,
    ) {
        if self.running.contains_key(request) {
            return self.handle_backup_status(cx, from, request, status);
        }
        let Some(remote) = self.remote.get_mut(request) else {
            self.counters.late += 1;
            return;
        };
        let ticket = remote.ticket.as_ref();
        let is_home = ticket.is_some_and(|ticket| ticket.home == *from);
        let is_witness = ticket.is_some_and(|ticket| ticket.witness == *from);
        let is_backup_host = remote.backup_hosts.contains(from);
        if !is_home && !is_witness && !is_backup_host {
            self.counters.unexpected += 1;
            return;
        }
        if is_home {
            remote.home_seen_at = cx.now;
        }
        match &status {
            Status::Running => {
                remote.give_up_at = remote.give_up_at.max(cx.now.after_ms(RUNNING_EXTENSION_MS));
            }
            Status::Prepared => remote.witness_prepared = true,
            Status::Evicted => remote.evicted = true,
            // Keep waiting for the home: it replies to a forwarded submission with the outcome.
            Status::Unknown | Status::Stage { .. } => {
                remote
                    .backup_hosts
                    .retain(|backup_host| backup_host != from);
            }
            Status::Sealed | Status::Ended(_) => {}
        }
        let ended = matches!(&status, Status::Ended(_));
        if !is_home && !is_witness && !ended {
            return;
        }
        if let Some(outcome) = final_outcome(&status) {
            self.finish_remote(cx, request, outcome);
        }
    }

    fn finish_remote(&mut self, cx: &mut Context<'_>, request: &Request, outcome: Outcome) {
        let Some(remote) = self.remote.remove(request) else {
            return;
        };
        let choice = match &outcome {
            Outcome::Answered(_) | Outcome::AnswerDropped => "ran",
            Outcome::Refused(refusal) if refusal.run == Execution::NotRun => "not_run",
            Outcome::Refused(_) => "may_have_run",
        };
        let values = vec![
            value("home_silent_ms", cx.now.since_ms(remote.home_seen_at)),
            value("witness_prepared", i64::from(remote.witness_prepared)),
            value("witness_forgot", i64::from(remote.evicted)),
        ];
        cx.log_decision(Kind::Outcome, request, "elsewhere", choice, values);
        for waiter in &remote.waiters {
            cx.deliver(request, waiter, 0, &outcome);
        }
    }

    pub(super) fn remove_remote_waiter(&mut self, recipient: &Recipient) {
        for remote in self.remote.values_mut() {
            remote
                .waiters
                .retain(|waiter| waiter.recipient != *recipient);
        }
        self.remote.retain(|_, remote| !remote.waiters.is_empty());
    }

    pub(super) fn tick_remote(&mut self, cx: &mut Context<'_>) {
        let requests: Vec<Request> = self.remote.keys().cloned().collect();
        for request in &requests {
            let Some(remote) = self.remote.get(request) else {
                continue;
            };
            if cx.now >= remote.give_up_at {
                let refusal = timeout_refusal(cx, remote);
                self.finish_remote(cx, request, Outcome::Refused(refusal));
            } else if cx.now >= remote.retry_at {
                self.query_hosts(cx, request);
            }
        }
    }
}

fn new_remote(
    cx: &Context<'_>,
    request: &Request,
    waiter: Waiter,
    ticket: Option<Ticket>,
    give_up_at: Instant,
) -> Remote {
    Remote {
        waiters: vec![waiter],
        submission: None,
        digest: None,
        ticket,
        backup_hosts: backup::backup_hosts(cx.view, request),
        home_seen_at: cx.now,
        retry_at: cx.now,
        backoff_ms: QUERY_RETRY_MS,
        give_up_at,
        witness_prepared: false,
        evicted: false,
    }
}

/// Returns the outcome if the status is final.
fn final_outcome(status: &Status) -> Option<Outcome> {
    match status {
        Status::Ended(outcome) => match &**outcome {
            Outcome::AnswerDropped => Some(Outcome::Refused(answer_dropped())),
            outcome => Some(outcome.clone()),
        },
        Status::Sealed => {
            let detail = "the id is sealed: its home was silent, and may not run it any more";
            let refusal = Refusal::not_run(Code::Sealed, Remedy::NewId, detail);
            Some(Outcome::Refused(refusal))
        }
        _ => None,
    }
}

/// Returns the refusal of a request whose outcome neither home nor witness reported in time.
fn timeout_refusal(cx: &Context<'_>, remote: &Remote) -> Refusal {
    if remote.evicted {
        return ticket_evicted();
    }
    if remote.submission.is_none() && !remote.witness_prepared {
        let detail = "no host that was asked knows the request";
        return Refusal::may_have_run(Code::Unknown, Remedy::Wait, detail);
    }
    let silent_ms = cx.now.since_ms(remote.home_seen_at);
    let witness = if remote.witness_prepared {
        "acknowledged the request"
    } else {
        "did not answer"
    };
    let detail = format!("the home was silent for {silent_ms} ms, the witness {witness}");
    Refusal::may_have_run(Code::AnswerLost, Remedy::Wait, detail)
}
