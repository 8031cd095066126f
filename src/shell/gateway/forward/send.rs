//! Sending a request to one server.

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
    Flight,
    place::Place,
    reply::{
        HOP_HEADERS,
        text, //
    },
    stream::Stream,
};
use crate::{
    core::gateway::retry::Outcome,
    names::Name,
    shell::gateway::{
        log::Event,
        upstream::{
            self,
            Reuse, //
        },
    },
};

/// Longest time for which a connection may have been idle before it carries what may run only once,
/// in milliseconds. Servers drop idle connections without notice.
pub(super) const YOUNG_MS: u64 = 500;

/// An attempt that brought no answer.
pub(super) struct Miss {
    pub(super) end: Outcome,
    pub(super) reason: String,
    pub(super) server: Option<Name>,
}

/// What an attempt brought.
pub(super) enum Answer {
    Whole(Response<Bytes>),
    Stream(Box<Stream>),
}

impl Flight {
    /// Sends the request to one server. `resume` is the event after which a stream goes on.
    pub(super) async fn attempt(&self, resume: Option<u64>) -> Result<Answer, Miss> {
        let place = self.place().await?;
        let server = place.server();
        self.tried.borrow_mut().push(server.clone());
        let result = self.send(place, resume).await;
        if let Err(miss) = &result {
            self.gateway
                .metrics
                .count_attempt(&self.service, &miss.reason);
            self.gateway.log.write(&Event::Failed {
                request: &self.id,
                server: miss.server.as_ref().unwrap_or(&server),
                end: &miss.reason,
                next: if self.route.kind.is_repeatable() {
                    "repeatable"
                } else {
                    "once"
                },
                ms: self.ms(),
            });
        }
        result
    }

    pub(super) async fn send(&self, place: Place, resume: Option<u64>) -> Result<Answer, Miss> {
        let server = place.server();
        let entry = self
            .gateway
            .servers
            .borrow()
            .get(&server)
            .map(|server| server.entry.clone());
        let miss = |end: Outcome, reason: String| Miss {
            end,
            reason,
            server: Some(server.clone()),
        };
        let Some(entry) = entry else {
            return Err(miss(Outcome::NotSent, "server gone".to_string()));
        };
        let request = self
            .request(&server, place.source(), resume)
            .ok_or_else(|| miss(Outcome::NotSent, "request can't be written".to_string()))?;
        let reuse = if self.route.kind.is_repeatable() {
            Reuse::Any
        } else {
            Reuse::Young(YOUNG_MS)
        };
        self.attempts.set(self.attempts.get().saturating_add(1));
        if self.attempts.get() == 1 {
            let now = self.gateway.now();
            self.gateway
                .budget
                .borrow_mut()
                .record_request(now, &self.service);
        }
        let hosts = self.gateway.sharers().size();
        // Until the answer says otherwise, and also if nobody waits for it any more.
        let before = self.may_have_run.replace(true);
        let sent = self
            .gateway
            .pool
            .send(
                &server,
                entry.address,
                request,
                reuse,
                self.connections(hosts),
            )
            .await;
        let (response, lease) = match sent {
            Ok(sent) => sent,
            Err(upstream::Error::NotSent(reason)) => {
                self.may_have_run.set(before);
                place.end(true);
                return Err(miss(Outcome::NotSent, reason));
            }
            Err(upstream::Error::Lost(reason)) => {
                place.end(true);
                return Err(miss(Outcome::Lost, reason));
            }
        };
        self.receive(place, response, lease, before, resume).await
    }

    pub(super) fn request(
        &self,
        server: &Name,
        source: Option<Name>,
        resume: Option<u64>,
    ) -> Option<Request<Full<Bytes>>> {
        let names = self.gateway.adapter.headers();
        let mut headers = HeaderMap::with_capacity(self.headers.len() + 4);
        let nominated = text(&self.headers, &header::CONNECTION).to_ascii_lowercase();
        let is_nominated = |name: &HeaderName| {
            let mut nominated = nominated.split(',');
            nominated.any(|text| text.trim() == name.as_str())
        };
        let set_here = [
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
            let stays = HOP_HEADERS.contains(name)
                || set_here.contains(&name)
                || names.reserved.contains(name)
                || is_nominated(name);
            if !stays {
                headers.append(name, value.clone());
            }
        }
        let value = |text: &str| HeaderValue::from_str(text).ok();
        let left_ms = self.deadline.since_ms(self.gateway.now());
        headers.insert(&names.time_left, HeaderValue::from(left_ms));
        headers.insert(&names.expected_server, value(server)?);
        headers.insert(
            &names.priority,
            HeaderValue::from(u16::from(self.priority())),
        );
        if let Some(organisation) = &self.organisation {
            headers.insert(&names.organisation, value(&organisation.name)?);
        }
        if let Some(source) = source
            && let Some(server) = self.gateway.servers.borrow().get(&source)
        {
            let address = value(&server.entry.address.to_string())?;
            headers.insert(&names.cache_source, address);
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
