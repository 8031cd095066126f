//! Answers of servers, checked before anything of them is passed on.

use bytes::Bytes;
use http::{
    Response,
    header, //
};
use http_body_util::{
    BodyExt,
    Limited, //
};
use hyper::body::Incoming;

use super::{
    Flight,
    place::Place,
    reply::text,
    send::{
        Answer,
        Miss, //
    },
    stream::{
        Chunk,
        Source,
        Stream, //
    },
};
use crate::{
    core::gateway::{
        retry::Outcome,
        stream::Framer, //
    },
    shell::gateway::upstream::Lease,
};

/// Largest answer that is no stream, in bytes.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

impl Flight {
    /// Checks the head of an answer and takes what follows it.
    pub(super) async fn receive(
        &self,
        place: Place,
        response: Response<Incoming>,
        lease: Lease,
        before: bool,
        resume: Option<u64>,
    ) -> Result<Answer, Miss> {
        let server = place.server();
        let names = self.gateway.adapter.headers();
        let miss = |end: Outcome, reason: String| Miss {
            end,
            reason,
            server: Some(server.clone()),
        };
        let status = response.status();
        let echo = text(response.headers(), &names.request);
        if !echo.is_empty() && echo != &*self.id {
            place.end(true);
            return Err(miss(Outcome::Lost, "answer to another request".to_string()));
        }
        if response.headers().contains_key(&names.not_run) || status.as_u16() == 421 {
            self.may_have_run.set(before);
            let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
            if body.collect().await.is_ok() {
                lease.finish();
            }
            place.end(status.as_u16() == 421);
            return Err(miss(
                Outcome::NotRun,
                format!("not run, status {}", status.as_u16()),
            ));
        }
        let is_signed = response.headers().contains_key(&names.signature);
        let is_encoded = response.headers().contains_key(header::CONTENT_ENCODING);
        if status.is_success() && (!is_signed || is_encoded || echo.is_empty()) {
            place.end(true);
            return Err(miss(
                Outcome::Lost,
                "success without the server's mark".to_string(),
            ));
        }
        if self.route.kind.is_stream() && status.is_success() {
            return self.receive_stream(place, response, lease, resume).await;
        }
        let (head, body) = response.into_parts();
        match Limited::new(body, MAX_ANSWER_BYTES).collect().await {
            Ok(body) => {
                lease.finish();
                place.end(status.is_server_error());
                Ok(Answer::Whole(Response::from_parts(head, body.to_bytes())))
            }
            Err(error) => {
                place.end(true);
                Err(miss(Outcome::Lost, format!("answer broke off: {error}")))
            }
        }
    }

    pub(super) async fn receive_stream(
        &self,
        place: Place,
        response: Response<Incoming>,
        lease: Lease,
        resume: Option<u64>,
    ) -> Result<Answer, Miss> {
        let server = place.server();
        let (head, body) = response.into_parts();
        let mut source = Source {
            body,
            lease: Some(lease),
            place,
            cutter: Framer::resume_after(resume),
        };
        match source.next().await {
            Chunk::Events(first) => {
                source.place.read();
                let ms = self.ms().saturating_sub(self.stages_ms.get());
                self.gateway.times.borrow_mut().record(&self.service, ms);
                // The server fetched the results before it read the prompt.
                self.results.free();
                Ok(Answer::Stream(Box::new(Stream {
                    head,
                    first,
                    source,
                })))
            }
            Chunk::End => Ok(Answer::Whole(Response::from_parts(head, Bytes::new()))),
            Chunk::Lost(reason) => {
                source.place.end(true);
                Err(Miss {
                    end: Outcome::Lost,
                    reason,
                    server: Some(server),
                })
            }
        }
    }
}
