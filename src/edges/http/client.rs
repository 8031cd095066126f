//! HTTP client of one thread, with bounds on time and memory.

use std::{
    net::SocketAddr,
    rc::Rc, //
};

use ntex::{
    client::{
        self,
        ClientResponse,
        Connector,
        error::{
            ClientError,
            ConnectError, //
        }, //
    },
    http::Method,
    io::IoConfig,
    service::cfg::SharedCfg,
    time::{
        Millis,
        Seconds,
        timeout, //
    },
};
use serde::{
    Serialize,
    de::DeserializeOwned, //
};

use super::super::Error;
use crate::options::config::Limits;

/// Time for which an idle connection is kept, in seconds.
const KEEP_ALIVE_S: u16 = 10;

/// Limit of open connections of one thread. `ntex` takes 0 as no limit, but then doesn't wake
/// requests that wait while another connection to the same address opens.
const MAX_CONNECTIONS: usize = 65_536;

/// Maximal age of a connection, in seconds. It replaces connections that a middlebox has forgotten.
const LIFETIME_S: u16 = 300;

/// HTTP client, cheap to clone.
#[derive(Clone)]
pub(super) struct Client(Rc<Inner>);

struct Inner {
    pooled: client::Client,
    fresh: client::Client,
    limits: Limits,
}

impl Client {
    /// Creates the client for the current thread.
    pub(super) async fn open(limits: &Limits) -> Result<Self, Error> {
        Ok(Self(Rc::new(Inner {
            pooled: build(limits, Seconds(KEEP_ALIVE_S)).await?,
            fresh: build(limits, Seconds::ZERO).await?,
            limits: limits.clone(),
        })))
    }

    pub(super) fn limits(&self) -> &Limits {
        &self.0.limits
    }

    /// Returns a request that may reuse a pooled connection.
    pub(super) fn request(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
    ) -> client::ClientRequest {
        self.0
            .pooled
            .request(method, format!("http://{address}{path}"))
    }

    /// Returns a request on a new connection.
    ///
    /// A server may close a pooled connection just as a request is sent, which can't be told from a
    /// lost response. Requests that must not run twice avoid this.
    pub(super) fn fresh_request(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
    ) -> client::ClientRequest {
        self.0
            .fresh
            .request(method, format!("http://{address}{path}"))
            .force_close()
    }

    /// Sends JSON and reads a JSON response, within the platform's timeout.
    pub(super) async fn exchange<T: DeserializeOwned>(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Option<&impl Serialize>,
    ) -> Result<T, Error> {
        let limit = Millis(u32::try_from(self.0.limits.platform_timeout_ms).unwrap_or(u32::MAX));
        let request = self.request(method, address, path);
        let work = async {
            let response = match body {
                Some(body) => request.send_json(body).await,
                None => request.send().await,
            };
            let response = response.map_err(|error| Error::NoAnswer(error.to_string()))?;
            let status = response.status();
            let bytes = self.body(&response, self.0.limits.document_bytes).await?;
            if !status.is_success() {
                return Err(Error::Refused {
                    status: status.as_u16(),
                });
            }
            serde_json::from_slice(&bytes).map_err(|error| Error::Malformed(error.to_string()))
        };
        match timeout(limit, work).await {
            Ok(result) => result,
            Err(()) => Err(Error::NoAnswer(format!("{} ms passed", limit.0))),
        }
    }

    /// Reads a complete body. The caller has to bound the time.
    pub(super) async fn body(
        &self,
        response: &ClientResponse,
        limit_bytes: usize,
    ) -> Result<Vec<u8>, Error> {
        let body = response.body().limit(limit_bytes).timeout(Millis::ZERO);
        match body.await {
            Ok(bytes) => Ok(bytes.to_vec()),
            Err(error) => Err(Error::NoAnswer(error.to_string())),
        }
    }
}

/// Returns whether an error proves that no part of the request was sent.
pub(super) fn is_not_sent(error: &ClientError) -> bool {
    match error {
        // A disconnect without a cause can also happen after the request was written.
        ClientError::Connect(ConnectError::Disconnected(None)) => false,
        ClientError::Connect(_) | ClientError::Url(_) => true,
        _ => false,
    }
}

async fn build(limits: &Limits, idle: Seconds) -> Result<client::Client, Error> {
    let io = IoConfig::new().set_connect_timeout(Millis(limits.connect_timeout_ms));
    let connector = Connector::default()
        .limit(MAX_CONNECTIONS)
        .keep_alive(idle)
        .lifetime(Seconds(LIFETIME_S));
    client::Client::builder()
        .connector::<()>(connector)
        .disable_redirects()
        .disable_timeout()
        .no_default_headers()
        .build(SharedCfg::new("teaselchute").add(io))
        .await
        .map_err(|error| Error::NoAnswer(error.to_string()))
}
