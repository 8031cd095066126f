//! Asking entry hosts over HTTP.

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

/// Time in which a host has to answer. It waits for a verdict itself.
const TIMEOUT: Millis = Millis(15_000);

/// Status of a host that can't serve now.
const UNAVAILABLE: u16 = 503;

/// Time for which hosts that can't serve are asked again: longer than the age of news that hosts
/// bear, so that one pause of theirs is outlasted.
const PATIENCE: Duration = Duration::from_secs(6);

/// Pause before hosts are asked again.
const PAUSE: Duration = Duration::from_millis(200);

/// Largest answer, in bytes.
const ANSWER_BYTES: usize = 64 << 20;

/// A client with the operators' credential.
pub struct Client {
    http: Http,
    hosts: Vec<SocketAddr>,
    credential: String,
}

/// What a host answered.
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
            .response_timeout(TIMEOUT)
            .build(ntex::SharedCfg::new("operator"))
            .await?;
        Ok(Self {
            http,
            hosts: command.hosts.clone(),
            credential: credential.trim().to_string(),
        })
    }

    /// Asks the hosts in their order until one answers, again and again for a while where none can
    /// serve: a host whose news is old for a moment is right again a moment later.
    ///
    /// A change is sent again with the same id, under which it lands once at most.
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
            if !is_unavailable || start.elapsed() >= PATIENCE {
                return answer;
            }
            sleep(PAUSE).await;
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
                // A host that starts or leaves sends operators elsewhere.
                Ok(answer) if answer.status == UNAVAILABLE => last = Some(Ok(answer)),
                Ok(answer) => return Ok(answer),
                Err(error) => last = Some(Err(error)),
            }
        }
        last.context("no host to ask")?
    }

    /// Asks one host.
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
            let body = response.body().limit(ANSWER_BYTES).await?;
            anyhow::Ok(Answer {
                status,
                body: serde_json::from_slice(&body)?,
            })
        };
        let answer = timeout(TIMEOUT, exchange).await;
        let Ok(answer) = answer else {
            bail!("{host} did not answer within {} ms", TIMEOUT.0);
        };
        answer.with_context(|| format!("no answer from {host}"))
    }

    /// Returns the addresses of all hosts that the asked one knows.
    pub async fn all_hosts(&self) -> anyhow::Result<Vec<SocketAddr>> {
        let answer = self.ask(Method::GET, "/v1/operator/hosts", None).await?;
        let rows = answer.body.as_array().cloned().unwrap_or_default();
        let addresses = rows.iter().filter_map(|row| row["http"].as_str());
        Ok(addresses.filter_map(|text| text.parse().ok()).collect())
    }
}
