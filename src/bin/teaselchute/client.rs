//! HTTP client of entry hosts.

use std::{
    net::SocketAddr,
    time::{
        Duration,
        Instant, //
    },
};

use anyhow::{
    Context,
    anyhow,
    bail, //
};
use ntex::{
    client::{
        Client as Http,
        Connector, //
    },
    http::Method,
    time::{
        Millis,
        sleep,
        timeout, //
    },
};
use serde_json::Value;

use crate::args::Command;

/// Timeout of a request to a host, which itself waits for the verdict of a change.
const REQUEST_TIMEOUT: Millis = Millis(15_000);

/// Status of a host that can't serve at the moment.
const UNAVAILABLE: u16 = 503;

/// Time for which requests to hosts that can't serve are retried. It exceeds the age up to which hosts
/// accept stale state, so that a single pause of theirs doesn't fail the command.
const RETRY_TIMEOUT: Duration = Duration::from_secs(6);

/// Delay before a retry.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Largest answer, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// A client with the operators' credential.
pub struct Client {
    http: Http,
    hosts: Vec<SocketAddr>,
    credential: String,
}

/// Response of a host.
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// The body.
    pub body: Value,
}

impl Client {
    /// Opens a client for a command.
    pub async fn open(command: &Command) -> anyhow::Result<Self> {
        if command.hosts.is_empty() {
            bail!("no host to ask: name one with --host or $TEASELCHUTE_HOSTS");
        }
        let Some(file) = &command.credential_file else {
            bail!("no credential: name its file with --credential-file");
        };
        let credential = std::fs::read_to_string(file)
            .with_context(|| format!("can't read {}", file.display()))?;
        let http = Http::builder()
            .connector::<()>(Connector::default())
            .response_timeout(REQUEST_TIMEOUT)
            .build(ntex::SharedCfg::new("operator"))
            .await?;
        Ok(Self {
            http,
            hosts: command.hosts.clone(),
            credential: credential.trim().to_string(),
        })
    }

    /// Sends a request to the hosts in order until one answers. Retries for a while if none can serve,
    /// since stale state on a host is usually short-lived.
    ///
    /// A retry of a change has the same id, so that the change is applied at most once.
    pub async fn ask(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> anyhow::Result<Answer> {
        let start = Instant::now();
        loop {
            let answer = self.ask_all(method.clone(), path, body).await;
            let is_unavailable = match &answer {
                Ok(answer) => answer.status == UNAVAILABLE,
                Err(_) => true,
            };
            if !is_unavailable || start.elapsed() >= RETRY_TIMEOUT {
                return answer;
            }
            sleep(RETRY_DELAY).await;
        }
    }

    async fn ask_all(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> anyhow::Result<Answer> {
        let mut last = None;
        for &host in &self.hosts {
            match self.ask_host(host, method.clone(), path, body).await {
                // A host that is starting or leaving can't serve, but others may.
                Ok(answer) if answer.status == UNAVAILABLE => last = Some(Ok(answer)),
                Ok(answer) => return Ok(answer),
                Err(error) => last = Some(Err(error)),
            }
        }
        last.context("no host to ask")?
    }

    /// Sends a request to one host.
    pub async fn ask_host(
        &self,
        host: SocketAddr,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> anyhow::Result<Answer> {
        let request = self
            .http
            .request(method, format!("http://{host}{path}"))
            .header("authorization", format!("Bearer {}", self.credential))
            .header("content-type", "application/json");
        let text = body.map(Value::to_string).unwrap_or_default();
        let exchange = async {
            let response = request
                .send_body(text)
                .await
                .map_err(|error| anyhow!(error.to_string()))?;
            let status = response.status().as_u16();
            let body = response.body().limit(MAX_ANSWER_BYTES).await?;
            anyhow::Ok(Answer {
                status,
                body: serde_json::from_slice(&body)?,
            })
        };
        let answer = timeout(REQUEST_TIMEOUT, exchange).await;
        let Ok(answer) = answer else {
            bail!("{host} did not answer within {} ms", REQUEST_TIMEOUT.0);
        };
        answer.with_context(|| format!("no answer from {host}"))
    }

    /// Returns the addresses of all hosts, as listed by the first host that answers.
    pub async fn all_hosts(&self) -> anyhow::Result<Vec<SocketAddr>> {
        let answer = self.ask(Method::GET, "/v1/operator/hosts", None).await?;
        let rows = answer.body.as_array().cloned().unwrap_or_default();
        let addresses = rows.iter().filter_map(|row| row["http"].as_str());
        Ok(addresses.filter_map(|text| text.parse().ok()).collect())
    }
}
