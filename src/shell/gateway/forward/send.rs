//! Sends a request to one server.

use bytes::Bytes;
use http::{
    HeaderMap,
    HeaderName,
    HeaderValue,
    Request,
    Response,
    header, //
};
use http_body_util::Full;

use super::{
    Exchange,
    assign::Slot,
    held::Whole,
    receive::Received,
    reply::{
        HOP_HEADERS,
        header_text, //
    },
    stream::Stream,
};
use crate::{
    core::gateway::{
        balance,
        retry::{
            self,
            Outcome, //
        },
        servers::Entry, //
    },
    names::Name,
    shell::gateway::{
        SERVER_UNUSABLE, clock,
        log::{
            Event,
            Progress, //
        },
        pauses, quarantines,
        rollouts::{
            self,
            Observation, //
        },
        upstream::{
            self,
            Reuse, //
        },
    },
    time::Instant,
};

/// Longest idle time of a connection that may carry a request which must run only once, in
/// milliseconds. Servers drop idle connections without notice.
pub(super) const MAX_ONCE_IDLE_MS: u64 = 500;

/// Why an attempt brought no response.
pub(super) struct Error {
    pub(super) outcome: Outcome,
    pub(super) reason: String,
    pub(super) server: Option<Name>,
    pub(super) progress: Progress,
}

/// A server's response to an attempt.
pub(super) enum Answer {
    Whole(Response<Whole>),
    Stream(Box<Stream>),
}

impl Exchange {
    /// Sends the request to one server. `resume` is the event id after which a stream resumes.
    pub(super) async fn attempt(&self, resume: Option<u64>) -> Result<Answer, Error> {
        loop {
            let slot = self.assign(resume.is_some()).await?;
            if quarantines::find(&self.gateway, &self.content).is_some() {
                // No server may get it, and the slot is released.
                return Err(self.quarantined());
            }
            if let Some(result) = self.attempt_at(slot, resume).await {
                return result;
            }
        }
    }

    /// Sends the request to the server of a slot. Returns `None` if it was held back, since the server asked for a
    /// pause after it was selected: that is no attempt.
    async fn attempt_at(&self, slot: Slot, resume: Option<u64>) -> Option<Result<Answer, Error>> {
        let server = slot.server();
        let entry = self.usable_entry(&server);
        let sent_at = match &entry {
            Some(entry) => pauses::claim(&self.gateway, entry)?,
            None => self.gateway.now(),
        };
        self.tried.borrow_mut().push(server.clone());
        let sent_unix_ms = clock::unix_ms();
        self.is_sent.set(true);
        let sent = self.send(slot, entry.as_ref(), sent_at, resume).await;
        self.is_sent.set(false);
        let is_paused = |entry: &Entry| pauses::is_paused(&self.gateway, entry);
        if let (Ok(None), Some(entry)) = (&sent, &entry)
            && is_paused(entry)
        {
            pauses::count(&self.gateway, &entry.service, "held_back");
        }
        let may_return = match &sent {
            Ok(answer) => answer.is_none(),
            Err(failure) => {
                failure.outcome == Outcome::NotRun && retry::may_return(self.route.kind)
            }
        };
        if may_return && entry.as_ref().is_some_and(is_paused) {
            // It didn't fail the request, which may run there after the pause.
            self.tried.borrow_mut().retain(|tried| *tried != server);
        }
        let result = sent.transpose()?;
        if let Err(failure) = &result {
            if failure.outcome == Outcome::Lost
                && let Some(entry) = entry
            {
                quarantines::observe_loss(&self.gateway, entry, sent_unix_ms, &self.content);
            }
            self.gateway
                .metrics
                .count_attempt(&self.service, &failure.reason);
            self.gateway.log.write(&Event::Failed {
                request: &self.id,
                content: self.content.whole(),
                server: failure.server.as_ref().unwrap_or(&server),
                end: &failure.reason,
                next: if self.route.kind.is_repeatable() {
                    "repeatable"
                } else {
                    "once"
                },
                progress: failure.progress,
                parts: balance::shared_segments(&self.prompt),
                ms: self.elapsed_ms(),
            });
        }
        Some(result)
    }

    async fn send(
        &self,
        mut slot: Slot,
        entry: Option<&Entry>,
        sent_at: Instant,
        resume: Option<u64>,
    ) -> Result<Option<Answer>, Error> {
        let server = slot.server();
        let failure = |outcome: Outcome, reason: String| Error {
            outcome,
            reason,
            server: Some(server.clone()),
            progress: Progress::None,
        };
        let Some(entry) = entry else {
            return Err(failure(Outcome::NotSent, SERVER_UNUSABLE.to_string()));
        };
        let request = self
            .request(&server, slot.source(), resume)
            .ok_or_else(|| failure(Outcome::NotSent, "request can't be written".to_string()))?;
        let reuse = if self.route.kind.is_repeatable() {
            Reuse::Any
        } else {
            Reuse::IdleAtMost(MAX_ONCE_IDLE_MS)
        };
        self.attempts.set(self.attempts.get().saturating_add(1));
        if !self.is_counted.replace(true) {
            let now = self.gateway.now();
            self.gateway
                .budget
                .borrow_mut()
                .record_request(now, &self.service);
        }
        let hosts = self.gateway.overview().group.size();
        // The request may run from here on, unless the response says otherwise. The flag has to be
        // set before the wait, which a deadline can cancel.
        let sent_unix_ms = clock::unix_ms();
        let counted = rollouts::record_sent(&self.gateway, entry);
        let observation = Observation::begin(
            &self.gateway,
            entry,
            &self.route.name,
            self.deadline,
            resume.is_some(),
        );
        if self.first_sent.get().is_none() {
            self.first_sent.set(Some(self.gateway.now()));
        }
        let may_have_run_before = self.may_have_run.replace(true);
        slot.mark_sent();
        let sent = self
            .gateway
            .pool
            .send(
                &server,
                entry.address,
                request,
                reuse,
                self.max_connections(hosts),
                &|| {
                    pauses::is_paused(&self.gateway, entry)
                        || rollouts::is_barred(&self.gateway, entry)
                },
            )
            .await;
        let (response, lease) = match sent {
            Ok(sent) => sent,
            Err(upstream::Error::NotSent(reason)) => {
                self.may_have_run.set(may_have_run_before);
                Observation::discard(observation);
                slot.release(true);
                return Err(failure(Outcome::NotSent, reason));
            }
            Err(upstream::Error::HeldBack) => {
                rollouts::record_held_back(&self.gateway, entry, counted);
                Observation::discard(observation);
                self.may_have_run.set(may_have_run_before);
                self.attempts.set(self.attempts.get().saturating_sub(1));
                return Ok(None);
            }
            Err(upstream::Error::Lost(reason)) => {
                Observation::finish(observation, true);
                slot.release(true);
                return Err(failure(Outcome::Lost, reason));
            }
        };
        let reply = Received {
            response,
            lease,
            sent_unix_ms,
            sent_at,
            observation,
        };
        self.receive(slot, entry, reply, may_have_run_before, resume)
            .await
            .map(Some)
    }

    pub(super) fn request(
        &self,
        server: &Name,
        source: Option<Name>,
        resume: Option<u64>,
    ) -> Option<Request<Full<Bytes>>> {
        let names = self.gateway.adapter.headers();
        let mut headers = HeaderMap::with_capacity(self.headers.len() + 4);
        let nominated = header_text(&self.headers, &header::CONNECTION).to_ascii_lowercase();
        let is_nominated = |name: &HeaderName| {
            let mut nominated = nominated.split(',');
            nominated.any(|text| text.trim() == name.as_str())
        };
        let replaced = [
            &names.time_left,
            &names.organisation,
            &names.expected_server,
            &names.priority,
            &names.inputs,
            &names.cache_source,
            &names.credential,
            &header::CONTENT_LENGTH,
            &header::EXPECT,
        ];
        for (name, value) in &self.headers {
            let is_dropped = HOP_HEADERS.contains(name)
                || replaced.contains(&name)
                || names.reserved.contains(name)
                || is_nominated(name);
            if !is_dropped {
                headers.append(name, value.clone());
            }
        }
        let value = |text: &str| HeaderValue::from_str(text).ok();
        let remaining_ms = self.deadline.since_ms(self.gateway.now());
        headers.insert(&names.time_left, HeaderValue::from(remaining_ms));
        headers.insert(&names.expected_server, value(server)?);
        headers.insert(
            &names.priority,
            HeaderValue::from(u16::from(self.priority())),
        );
        if let Some(organisation) = &self.organisation {
            headers.insert(&names.organisation, value(&organisation.name)?);
        }
        if let Some(source) = source
            && let Some(source) = self.usable_entry(&source)
        {
            headers.insert(&names.cache_source, value(&source.address.to_string())?);
        }
        let inputs = self.inputs.borrow();
        if !inputs.is_empty() {
            let inputs: Vec<&str> = inputs.iter().map(Name::as_str).collect();
            headers.insert(&names.inputs, value(&inputs.join(","))?);
        }
        if let Some(last) = resume {
            headers.insert(&names.last_event, HeaderValue::from(last));
        }
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(&self.path)
            .body(Full::new(self.body.clone()))
            .ok()?;
        *request.headers_mut() = headers;
        Some(request)
    }
}
