//! Receives responses of servers and checks them before anything is forwarded.

use http::{
    Response,
    header, //
};
use hyper::body::Body as _;

use super::{
    Exchange,
    assign::Slot,
    held::Whole,
    reply::header_text,
    send::{
        Answer,
        Error, //
    },
    stream::{
        Chunk,
        Source,
        Stream, //
    },
};
use crate::{
    core::gateway::{
        config::Kind,
        holding::Purpose,
        placement::load::Load,
        retry::Outcome,
        servers::Entry,
        stream::Framer, //
    },
    shell::gateway::{
        departures, limits,
        log::Progress,
        memory, pauses, quarantines,
        rollouts::Observation,
        upstream::{
            self,
            Lease, //
        },
    },
    time::Instant,
};

/// Maximum size of a response that isn't a stream, in bytes.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// Maximum size of a server's refusal, in bytes. Its body isn't used, and a longer one isn't read to its end.
const MAX_REFUSAL_BYTES: usize = 64 * 1024;

/// Response of a server whose body is unread.
pub(super) struct Received {
    pub(super) response: Response<upstream::Body>,
    pub(super) lease: Lease,
    pub(super) sent_unix_ms: u64,
    pub(super) sent_at: Instant,
    pub(super) observation: Option<Observation>,
}

impl Exchange {
    /// Checks the head of a response and reads its body, or the first events of a stream.
    ///
    /// `may_have_run_before` is restored where the server says that it didn't run the request.
    pub(super) async fn receive(
        &self,
        slot: Slot,
        entry: &Entry,
        mut received: Received,
        may_have_run_before: bool,
        resume: Option<u64>,
    ) -> Result<Answer, Error> {
        let observation = received.observation.take();
        let response = &received.response;
        let server = slot.server();
        let names = self.gateway.adapter.headers();
        let failure = |outcome: Outcome, reason: String| Error {
            outcome,
            reason,
            server: Some(server.clone()),
            progress: Progress::Head,
        };
        let status = response.status();
        let echo = header_text(response.headers(), &names.request);
        // A second response to an earlier request that names none can't be told from the response to this one. So it
        // is accepted on a new connection only, which isn't used again. A refusal does no harm to a request that may
        // run twice.
        let is_named = !echo.is_empty();
        let is_refusal = response.headers().contains_key(&names.not_run) || status.as_u16() == 421;
        let foreign = if is_named && echo != &*self.id {
            Some("answer to another request")
        } else if !is_named
            && received.lease.is_reused()
            && !(is_refusal && self.route.kind.is_repeatable())
        {
            Some("answer that may be to an earlier request")
        } else {
            None
        };
        if let Some(reason) = foreign {
            Observation::finish(observation, true);
            slot.release(true);
            return Err(failure(Outcome::Lost, reason.to_string()));
        }
        departures::observe(&self.gateway, entry, status, response.headers());
        let sent_at = received.sent_at;
        pauses::observe(&self.gateway, entry, sent_at, status, response.headers());
        // Another server than the one expected answers 421.
        if status.as_u16() != 421 {
            let sent = received.sent_unix_ms;
            limits::observe(&self.gateway, entry, sent, response.headers());
        }
        if is_refusal {
            // A second refusal by the same server may be a late copy of the first, while the request runs.
            let is_conclusive = !self.refused_by.borrow().contains(&server);
            self.refused_by.borrow_mut().push(server.clone());
            if is_conclusive {
                self.may_have_run.set(may_have_run_before);
            }
            Observation::discard(observation);
            let has_ended = memory::skip(received.response.into_body(), MAX_REFUSAL_BYTES).await;
            // Otherwise the server may be at work on the request, and the end of the connection tells it to stop.
            if has_ended && is_named && is_conclusive {
                received.lease.finish();
            }
            slot.release(status.as_u16() == 421);
            return Err(failure(
                Outcome::NotRun,
                format!("not run, status {}", status.as_u16()),
            ));
        }
        let is_signed = response.headers().contains_key(&names.signature);
        let is_encoded = response.headers().contains_key(header::CONTENT_ENCODING);
        if status.is_success() && (!is_signed || is_encoded || echo.is_empty()) {
            Observation::finish(observation, true);
            slot.release(true);
            return Err(failure(
                Outcome::Lost,
                "success without the server's mark".to_string(),
            ));
        }
        if self.route.kind.is_stream() && status.is_success() {
            received.observation = observation;
            return self.receive_stream(slot, received, resume).await;
        }
        let Received {
            response,
            lease,
            sent_unix_ms,
            ..
        } = received;
        let (head, body) = response.into_parts();
        match self.read_whole(body).await {
            Ok(whole) => {
                if is_named {
                    lease.finish();
                }
                Observation::finish(observation, status.is_server_error());
                slot.release(status.is_server_error());
                if status.is_success() {
                    quarantines::observe_answer(&self.gateway, sent_unix_ms, &self.content);
                }
                Ok(Answer::Whole(Response::from_parts(head, whole)))
            }
            Err(error) => {
                Observation::finish(observation, true);
                slot.release(true);
                Err(failure(Outcome::Lost, format!("answer broke off: {error}")))
            }
        }
    }

    /// Reads a whole response, as far as the host may hold it for its callers.
    async fn read_whole(&self, body: upstream::Body) -> Result<Whole, memory::Error> {
        let held = &self.gateway.held;
        let length = body.size_hint().exact();
        let bytes = match length.map(usize::try_from) {
            Some(Ok(length)) if length <= MAX_ANSWER_BYTES => {
                held.collect_exact(body, length).await?
            }
            Some(_) => {
                let limit = MAX_ANSWER_BYTES;
                return Err(memory::Error::TooLong { limit });
            }
            None => {
                held.collect(Purpose::Request, body, MAX_ANSWER_BYTES)
                    .await?
            }
        };
        Ok(Whole::new(bytes))
    }

    /// Returns the last event that the caller has of a stream which it resumes itself.
    fn callers_last_event(&self) -> Option<u64> {
        let last = header_text(&self.headers, &self.gateway.adapter.headers().last_event);
        let resumes = self.route.kind == Kind::Stream { resumes: true };
        last.trim().parse().ok().filter(|_| resumes)
    }

    pub(super) async fn receive_stream(
        &self,
        slot: Slot,
        received: Received,
        resume: Option<u64>,
    ) -> Result<Answer, Error> {
        let server = slot.server();
        let (head, body) = received.response.into_parts();
        let is_unframed = body.is_unframed();
        let mut source = Source {
            body,
            lease: Some(received.lease),
            slot,
            sent_unix_ms: received.sent_unix_ms,
            begun_at: self.gateway.now(),
            observation: received.observation,
            framer: Framer::resume_after(resume.or_else(|| self.callers_last_event())),
            held: self.gateway.held.open_unfinished(Purpose::Request),
        };
        match source.next().await {
            Chunk::Events(first) => {
                source.begun_at = self.gateway.now();
                let names = self.gateway.adapter.headers();
                let load = header_text(&head.headers, &names.server_load);
                source.slot.finish_prefill(Load::parse(load));
                let ms = self.elapsed_ms().saturating_sub(self.stages_ms.get());
                self.gateway
                    .durations
                    .borrow_mut()
                    .record(&self.service, ms);
                // The server fetches the stage results before it reads the prompt, so they can be
                // freed.
                self.results.free();
                Ok(Answer::Stream(Box::new(Stream {
                    head,
                    first,
                    source,
                })))
            }
            // A server that crashes may end its connection like one that has sent all.
            Chunk::End(_) if is_unframed && resume.is_none() => {
                source.finish_observation(true);
                source.slot.release(true);
                Err(Error {
                    outcome: Outcome::Lost,
                    reason: "ended before the first event".to_string(),
                    server: Some(server),
                    progress: Progress::Head,
                })
            }
            Chunk::End(rest) => {
                source.finish_observation(false);
                let whole = Whole::new(rest);
                Ok(Answer::Whole(Response::from_parts(head, whole)))
            }
            Chunk::Lost(reason) => {
                source.finish_observation(true);
                source.slot.release(true);
                Err(Error {
                    outcome: Outcome::Lost,
                    reason,
                    server: Some(server),
                    progress: Progress::Head,
                })
            }
        }
    }
}
