//! Clients of the platform's services over HTTP.

use std::net::SocketAddr;

use ntex::http::Method;
use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    super::{
        self as edges,
        Error,
        Page,
        Pending, //
    },
    client::Client, //
};
use crate::{
    core::{
        log::Offset,
        membership::Registration,
        state::Record, //
    },
    names::Name,
    utils::hex,
};

/// Body of a request without one.
const NO_BODY: Option<&()> = None;

#[derive(Serialize)]
struct Append {
    record: String,
}

#[derive(Deserialize)]
struct Appended {
    offset: Offset,
}

#[derive(Deserialize)]
struct Records {
    first: Offset,
    end: Offset,
    entries: Vec<Entry>,
}

#[derive(Deserialize)]
struct Entry {
    offset: Offset,
    record: String,
}

/// Client of the append-only log. Records are `postcard`, hex-encoded and opaque to the log.
pub(super) struct Log {
    client: Client,
    address: SocketAddr,
}

impl Log {
    pub(super) fn new(client: Client, address: SocketAddr) -> Self {
        Self { client, address }
    }

    async fn append(&self, record: &Record) -> Result<Offset, Error> {
        let bytes =
            postcard::to_stdvec(record).map_err(|error| Error::Malformed(error.to_string()))?;
        let body = Append {
            record: hex::encode(&bytes),
        };
        let appended: Appended = self
            .client
            .exchange(Method::POST, self.address, "/records", Some(&body))
            .await?;
        Ok(appended.offset)
    }

    async fn read(&self, from: Offset) -> Result<Page, Error> {
        let path = format!("/records?from={from}");
        let records: Records = self
            .client
            .exchange(Method::GET, self.address, &path, NO_BODY)
            .await?;
        let entries = records.entries.into_iter().map(decode);
        Ok(Page {
            first: records.first,
            end: records.end,
            entries: entries.collect::<Result<_, _>>()?,
        })
    }
}

fn decode(entry: Entry) -> Result<(Offset, Record), Error> {
    let malformed =
        |message: String| Error::Malformed(format!("record {}: {message}", entry.offset));
    let bytes =
        hex::decode(&entry.record).ok_or_else(|| malformed("not hexadecimal".to_string()))?;
    let record = postcard::from_bytes(&bytes).map_err(|error| malformed(error.to_string()))?;
    Ok((entry.offset, record))
}

impl edges::Log for Log {
    fn append<'a>(&'a self, record: &'a Record) -> Pending<'a, Result<Offset, Error>> {
        Box::pin(Self::append(self, record))
    }

    fn read(&self, from: Offset) -> Pending<'_, Result<Page, Error>> {
        Box::pin(Self::read(self, from))
    }
}

/// Client of the list of live and leaving hosts.
pub(super) struct Hosts {
    client: Client,
    address: SocketAddr,
}

impl Hosts {
    pub(super) fn new(client: Client, address: SocketAddr) -> Self {
        Self { client, address }
    }
}

impl edges::HostList for Hosts {
    fn register<'a>(&'a self, host: &'a Registration) -> Pending<'a, Result<(), Error>> {
        Box::pin(async move {
            let path = format!("/hosts/{}", host.host.id.name);
            let _: serde_json::Value = self
                .client
                .exchange(Method::PUT, self.address, &path, Some(host))
                .await?;
            Ok(())
        })
    }

    fn hosts(&self) -> Pending<'_, Result<Vec<Registration>, Error>> {
        Box::pin(
            self.client
                .exchange(Method::GET, self.address, "/hosts", NO_BODY),
        )
    }
}

/// Client of the weight store.
pub(super) struct Weights {
    client: Client,
    address: SocketAddr,
}

#[derive(Deserialize)]
struct Size {
    size_mb: u64,
}

impl Weights {
    pub(super) fn new(client: Client, address: SocketAddr) -> Self {
        Self { client, address }
    }
}

impl edges::WeightStore for Weights {
    fn size_mb<'a>(
        &'a self,
        model: &'a Name,
        version: &'a Name,
    ) -> Pending<'a, Result<u64, Error>> {
        Box::pin(async move {
            let path = format!("/weights/{model}/{version}");
            let size: Size = self
                .client
                .exchange(Method::GET, self.address, &path, NO_BODY)
                .await?;
            Ok(size.size_mb)
        })
    }
}
