//! Attempts of one request at servers.

use std::{
    rc::Rc,
    time::Duration, //
};

use bytes::Bytes;
use http::{
    HeaderMap,
    HeaderName,
    HeaderValue,
    Request,
    Response,
    header, //
};
use http_body_util::{
    BodyExt,
    Full,
    Limited, //
};
use hyper::body::Incoming;

use crate::shell::gateway::{
    Gateway,
    log::Event,
    news,
    upstream::{
        self,
        Lease,
        Reuse, //
    },
};
use crate::{
    core::gateway::{
        answer::End,
        balance::{
            self,
            Placed, //
        },
        stream::Cutter,
    },
    names::Name,
    time::Instant,
};

use super::{
    Flight, RUN_MS,
    reply::{
        HOP_HEADERS,
        text, //
    },
    stream::{
        Chunk,
        Source,
        Stream, //
    },
};

/// Largest answer that is no stream, in bytes.
pub(super) const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// Time after which a request asks again for a server when all are full, in milliseconds.
pub(super) const FULL_PAUSE_MS: u64 = 20;

/// Longest time for which a connection may have been idle before it carries what may run only once,
/// in milliseconds. Servers drop idle connections without notice.
pub(super) const YOUNG_MS: u64 = 500;

/// A place at a server, given back when it is dropped.
pub(super) struct Place {
    pub(super) gateway: Rc<Gateway>,
    pub(super) placed: Option<Placed>,
}

impl Place {
    pub(super) fn server(&self) -> Name {
        let placed = self.placed.as_ref();
        placed.map_or_else(|| "".into(), |placed| placed.server.clone())
    }

    pub(super) fn source(&self) -> Option<Name> {
        self.placed.as_ref()?.source.clone()
    }

    pub(super) fn read(&mut self) {
        if let Some(placed) = &mut self.placed {
            self.gateway.balancer.borrow_mut().read(placed);
        }
    }

    pub(super) fn end(mut self, failed: bool) {
        if let Some(placed) = self.placed.take() {
            let now = self.gateway.now();
            self.gateway
                .balancer
                .borrow_mut()
                .ended(now, placed, failed);
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        if let Some(placed) = self.placed.take() {
            let now = self.gateway.now();
            self.gateway.balancer.borrow_mut().ended(now, placed, false);
        }
    }
}

/// An attempt that brought no answer.
pub(super) struct Miss {
    pub(super) end: End,
    pub(super) reason: String,
    pub(super) server: Option<Name>,
}

/// What an attempt brought.
pub(super) enum Answer {
    Whole(Response<Bytes>),
    Stream(Box<Stream>),
}

impl Flight {
    /// Returns the connections that this host may have open to a server of the request's service.
    fn connections(&self) -> usize {
        let service = self.config.services.get(&self.service);
        let hosts = self.gateway.sharers().size();
        service.map_or(upstream::ANY_NUMBER, |service| {
            service.connections_for(hosts)
        })
    }

    /// Takes one more attempt, if the route and the budget of retries have one left.
    pub(super) fn may_retry(&self, end: End) -> bool {
        let now = self.gateway.now();
        if now >= self.deadline || self.attempts.get() >= self.route.max_attempts.max(1) {
            return false;
        }
        if end == End::NotSent {
            // Nothing arrived, so nothing is repeated.
            return true;
        }
        let hosts = self.gateway.sharers().size();
        self.gateway
            .budget
            .borrow_mut()
            .take(now, &self.service, hosts)
    }

    pub(super) async fn place(&self) -> Result<Place, Miss> {
        let miss = |reason: String| Miss {
            end: End::NotSent,
            reason,
            server: None,
        };
        let cold_per_s = self.config.services.get(&self.service);
        let cold_per_s = cold_per_s.map_or(0.0, |service| service.cold_per_s);
        let factor = self.gateway.options.borrow().bounds.cold_factor;
        loop {
            let now = self.gateway.now();
            let tried = self.tried.borrow().clone();
            let group = self.gateway.sharers();
            let ask = balance::Ask {
                service: &self.service,
                prompt: &self.prompt,
                tried: &tried,
                cold_per_s: cold_per_s * factor,
                group: &group,
                most_running: u32::try_from(self.connections()).unwrap_or(u32::MAX),
                near_hosts: self.gateway.near_hosts(),
            };
            let placed = self.gateway.balancer.borrow_mut().place(
                now,
                &self.gateway.servers.borrow(),
                &ask,
                &|server| self.is_allowed(&server.entry.data_centre),
                &|server| {
                    self.gateway.region_of(&server.entry.data_centre) == *self.region.borrow()
                },
            );
            match placed {
                Ok(placed) => {
                    self.log_placed(now, &placed);
                    news::placed(&self.gateway, &placed.server, &self.prompt);
                    return Ok(Place {
                        gateway: self.gateway.clone(),
                        placed: Some(placed),
                    });
                }
                Err(balance::Error::Full) if now.after_ms(RUN_MS) < self.deadline => {
                    tokio::time::sleep(Duration::from_millis(FULL_PAUSE_MS)).await;
                }
                Err(error) => {
                    // No server is left to try, so no attempt is either.
                    self.attempts.set(u32::MAX);
                    return Err(miss(error.to_string()));
                }
            }
        }
    }

    pub(super) fn log_placed(&self, now: Instant, placed: &Placed) {
        let gateway = &self.gateway;
        let servers = gateway.servers.borrow();
        let heard = servers.get(&placed.server).map(|server| server.heard);
        gateway.log.write(&Event::Placed {
            request: &self.id,
            server: &placed.server,
            attempt: self.attempts.get(),
            running: gateway.balancer.borrow().running(&placed.server),
            tokens: placed.tokens,
            age_ms: heard.map_or(0, |heard| now.since_ms(heard)),
        });
    }

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
        let miss = |end: End, reason: String| Miss {
            end,
            reason,
            server: Some(server.clone()),
        };
        let Some(entry) = entry else {
            return Err(miss(End::NotSent, "server gone".to_string()));
        };
        let request = self
            .request(&server, place.source(), resume)
            .ok_or_else(|| miss(End::NotSent, "request can't be written".to_string()))?;
        let reuse = if self.route.kind.is_repeatable() {
            Reuse::Any
        } else {
            Reuse::Young(YOUNG_MS)
        };
        self.attempts.set(self.attempts.get().saturating_add(1));
        if self.attempts.get() == 1 {
            let now = self.gateway.now();
            self.gateway.budget.borrow_mut().first(now, &self.service);
        }
        // Until the answer says otherwise, and also if nobody waits for it any more.
        let before = self.may_have_run.replace(true);
        let sent = self
            .gateway
            .pool
            .send(&server, entry.address, request, reuse, self.connections())
            .await;
        let (response, lease) = match sent {
            Ok(sent) => sent,
            Err(upstream::Error::NotSent(reason)) => {
                self.may_have_run.set(before);
                place.end(true);
                return Err(miss(End::NotSent, reason));
            }
            Err(upstream::Error::Lost(reason)) => {
                place.end(true);
                return Err(miss(End::Lost, reason));
            }
        };
        self.receive(place, response, lease, before, resume).await
    }

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
        let miss = |end: End, reason: String| Miss {
            end,
            reason,
            server: Some(server.clone()),
        };
        let status = response.status();
        let echo = text(response.headers(), &names.request);
        if !echo.is_empty() && echo != &*self.id {
            place.end(true);
            return Err(miss(End::Lost, "answer to another request".to_string()));
        }
        if response.headers().contains_key(&names.not_run) || status.as_u16() == 421 {
            self.may_have_run.set(before);
            let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
            if body.collect().await.is_ok() {
                lease.finish();
            }
            place.end(status.as_u16() == 421);
            return Err(miss(
                End::NotRun,
                format!("not run, status {}", status.as_u16()),
            ));
        }
        let is_signed = response.headers().contains_key(&names.signature);
        let is_encoded = response.headers().contains_key(header::CONTENT_ENCODING);
        if status.is_success() && (!is_signed || is_encoded || echo.is_empty()) {
            place.end(true);
            return Err(miss(
                End::Lost,
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
                Err(miss(End::Lost, format!("answer broke off: {error}")))
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
            cutter: Cutter::after(resume),
        };
        match source.next().await {
            Chunk::Events(first) => {
                source.place.read();
                let ms = self.ms().saturating_sub(self.stages_ms.get());
                self.gateway.times.borrow_mut().took(&self.service, ms);
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
                    end: End::Lost,
                    reason,
                    server: Some(server),
                })
            }
        }
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
