//! Memory for the bytes that a host holds of responses and of other bodies: see [`crate::core::gateway::holding`].

use std::{
    collections::BTreeMap,
    pin::pin,
    sync::{
        Arc,
        atomic::{
            AtomicU64,
            AtomicUsize,
            Ordering, //
        },
    },
};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::core::gateway::holding::{
    self,
    Growth,
    Held,
    Purpose,
    Unfinished, //
};

/// Why a body could not be read to its end.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// It is larger than the limit.
    #[error("longer than {limit} bytes")]
    TooLong {
        /// The limit, in bytes.
        limit: usize,
    },
    /// Bodies of unknown size took too much memory together, and this was the largest of them.
    #[error("given up as the largest of the bodies that were read")]
    Crowded,
    /// It broke off.
    #[error("{0}")]
    Broken(String),
}

/// Bytes that the host holds.
pub struct Memory {
    limit: usize,
    all: AtomicUsize,
    waiting: AtomicUsize,
    freed: Notify,
    unfinished: Mutex<Readings>,
    last_id: AtomicU64,
    given_up: AtomicU64,
}

/// The bodies of unknown size that are being read.
#[derive(Default)]
struct Readings {
    by_id: BTreeMap<u64, Reading>,
    // Sum over all of them.
    bytes: usize,
}

/// A body of unknown size that is being read.
struct Reading {
    purpose: Purpose,
    bytes: usize,
    is_given_up: bool,
    given_up: Arc<Notify>,
}

impl Memory {
    /// Creates the memory of a process that has `memory_mb` megabytes.
    pub fn new(memory_mb: u64) -> Arc<Self> {
        Arc::new(Self {
            limit: holding::limit(memory_mb),
            all: AtomicUsize::default(),
            waiting: AtomicUsize::default(),
            freed: Notify::new(),
            unfinished: Mutex::default(),
            last_id: AtomicU64::default(),
            given_up: AtomicU64::default(),
        })
    }

    /// Opens a share, which holds nothing yet.
    pub fn open(self: &Arc<Self>) -> Share {
        Share {
            memory: self.clone(),
            own: AtomicUsize::default(),
        }
    }

    /// Opens the share of a body of unknown size, which holds nothing yet.
    pub fn open_unfinished(self: &Arc<Self>, purpose: Purpose) -> Growing {
        let id = self.last_id.fetch_add(1, Ordering::Relaxed);
        let given_up: Arc<Notify> = Arc::default();
        let reading = Reading {
            purpose,
            bytes: 0,
            is_given_up: false,
            given_up: given_up.clone(),
        };
        self.unfinished.lock().by_id.insert(id, reading);
        Growing {
            registration: Registration {
                memory: self.clone(),
                id,
            },
            share: self.open(),
            given_up,
        }
    }

    /// Returns the number of bytes that are held.
    pub fn bytes(&self) -> usize {
        self.all.load(Ordering::Acquire)
    }

    /// Returns the number of bodies that were given up since the last call.
    pub fn take_given_up(&self) -> u64 {
        self.given_up.swap(0, Ordering::Relaxed)
    }

    /// Reads a body of unknown size to its end. What it takes is held until the returned bytes are dropped.
    ///
    /// Its bytes are copied as they arrive: the parts that the HTTP library hands out may be as short as a byte each,
    /// and keep its read buffer allocated.
    ///
    /// # Errors
    ///
    /// [`Error`], where the body is longer than `max_bytes`, breaks off or is given up.
    pub async fn collect<B>(
        self: &Arc<Self>,
        purpose: Purpose,
        body: B,
        max_bytes: usize,
    ) -> Result<Bytes, Error>
    where
        B: Body<Data = Bytes>,
        B::Error: std::fmt::Display,
    {
        let mut body = pin!(body);
        let growing = self.open_unfinished(purpose);
        let mut buffer = Vec::new();
        loop {
            let frame = tokio::select! {
                biased;
                () = growing.given_up() => return Err(Error::Crowded),
                frame = body.frame() => frame,
            };
            let Some(frame) = frame else {
                return Ok(growing.finish().attach(buffer));
            };
            let frame = frame.map_err(|error| Error::Broken(error.to_string()))?;
            // Trailers aren't used.
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let needed = buffer.len() + data.len();
            if needed > max_bytes {
                return Err(Error::TooLong { limit: max_bytes });
            }
            if needed > buffer.capacity() {
                let capacity = holding::next_capacity(buffer.capacity(), needed, max_bytes);
                growing.add(capacity - buffer.capacity()).await?;
                // The gateway has one thread, so that only one buffer at a time is held twice while it is copied.
                buffer.reserve_exact(capacity - buffer.len());
            }
            buffer.extend_from_slice(&data);
        }
    }

    /// Reads a body that has `length` bytes, once they may be held. See [`Self::collect`].
    ///
    /// # Errors
    ///
    /// [`Error`], where the body breaks off or is longer.
    pub async fn collect_exact<B>(
        self: &Arc<Self>,
        mut body: B,
        length: usize,
    ) -> Result<Bytes, Error>
    where
        B: Body<Data = Bytes> + Unpin,
        B::Error: std::fmt::Display,
    {
        let share = self.open();
        share.add_whole(length).await;
        let mut buffer = Vec::with_capacity(length);
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| Error::Broken(error.to_string()))?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if buffer.len() + data.len() > length {
                return Err(Error::TooLong { limit: length });
            }
            buffer.extend_from_slice(&data);
        }
        Ok(share.attach(buffer))
    }
}

/// Reads a body to its end and drops it, where only its end matters. Returns whether it ended soundly within
/// `max_bytes`.
pub async fn skip<B>(mut body: B, max_bytes: usize) -> bool
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut length = 0;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return false;
        };
        length += frame.data_ref().map_or(0, Bytes::len);
        if length > max_bytes {
            return false;
        }
    }
    true
}

/// Bytes that are held of one response or call, released on drop.
pub struct Share {
    memory: Arc<Memory>,
    own: AtomicUsize,
}

impl Share {
    /// Adds bytes that are held already.
    pub fn add(&self, bytes: usize) {
        self.own.fetch_add(bytes, Ordering::AcqRel);
        self.memory.all.fetch_add(bytes, Ordering::AcqRel);
    }

    /// Waits until a part of a stream may be held, and adds it.
    pub async fn add_part(&self, bytes: usize) {
        self.add_when(bytes, Held::admits_part).await;
    }

    /// Waits until a whole response of a known length may be read, and adds it.
    pub async fn add_whole(&self, bytes: usize) {
        self.add_when(bytes, Held::admits_whole).await;
    }

    async fn add_when(&self, bytes: usize, admits: fn(Held, usize, usize) -> bool) {
        let memory = &self.memory;
        loop {
            let freed = memory.freed.notified();
            tokio::pin!(freed);
            // What is freed from here on ends the wait.
            freed.as_mut().enable();
            let held = Held {
                own: self.own.load(Ordering::Acquire),
                all: memory.all.load(Ordering::Acquire),
            };
            if admits(held, bytes, memory.limit) {
                return self.add(bytes);
            }
            let _waiting = Waiting::new(memory);
            freed.await;
        }
    }

    /// Releases bytes that are no longer held.
    pub fn release(&self, bytes: usize) {
        self.own.fetch_sub(bytes, Ordering::AcqRel);
        self.memory.all.fetch_sub(bytes, Ordering::AcqRel);
        if self.memory.waiting.load(Ordering::Acquire) > 0 {
            self.memory.freed.notify_waiters();
        }
    }

    /// Attaches the share to the buffer that it counts, until the last part of the buffer is dropped.
    fn attach(self, buffer: Vec<u8>) -> Bytes {
        if buffer.is_empty() {
            return Bytes::new();
        }
        Bytes::from_owner(Owned {
            buffer,
            _share: self,
        })
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.release(self.own.load(Ordering::Acquire));
    }
}

/// A buffer and the share that counts it.
struct Owned {
    buffer: Vec<u8>,
    // Dropped after the buffer.
    _share: Share,
}

impl AsRef<[u8]> for Owned {
    fn as_ref(&self) -> &[u8] {
        &self.buffer
    }
}

/// Bytes that are held of a body of unknown size while it is read, released on drop.
pub struct Growing {
    registration: Registration,
    share: Share,
    given_up: Arc<Notify>,
}

impl Growing {
    /// Waits until more bytes may be held, and adds them.
    ///
    /// # Errors
    ///
    /// [`Error::Crowded`] where this body is given up.
    pub async fn add(&self, bytes: usize) -> Result<(), Error> {
        let memory = &self.registration.memory;
        loop {
            let freed = memory.freed.notified();
            tokio::pin!(freed);
            // What is freed from here on ends the wait.
            freed.as_mut().enable();
            if self.try_add(bytes)? {
                return Ok(());
            }
            let _waiting = Waiting::new(memory);
            tokio::select! {
                () = freed => {}
                () = self.given_up() => return Err(Error::Crowded),
            }
        }
    }

    /// Adds bytes if they may be held now. Otherwise it may have another body given up.
    fn try_add(&self, bytes: usize) -> Result<bool, Error> {
        let Registration { memory, id } = &self.registration;
        let mut unfinished = memory.unfinished.lock();
        let Readings { by_id, bytes: all } = &mut *unfinished;
        let Some(own) = by_id.get_mut(id) else {
            return Err(Error::Crowded);
        };
        if own.is_given_up {
            return Err(Error::Crowded);
        }
        let held = Unfinished {
            own: own.bytes,
            all: *all,
            held: memory.bytes(),
        };
        match held.growth(own.purpose, bytes, memory.limit) {
            Growth::Admitted => {
                own.bytes += bytes;
                *all += bytes;
                self.share.add(bytes);
                return Ok(true);
            }
            Growth::Later => return Ok(false),
            Growth::Crowded => {}
        }
        // What is given up already is freed at once.
        if by_id.values().any(|reading| reading.is_given_up) {
            return Ok(false);
        }
        let bodies = by_id
            .iter()
            .map(|(&id, reading)| (id, reading.purpose, reading.bytes));
        let victim = holding::victim(*id, bytes, bodies);
        memory.given_up.fetch_add(1, Ordering::Relaxed);
        if victim == *id {
            return Err(Error::Crowded);
        }
        if let Some(reading) = by_id.get_mut(&victim) {
            reading.is_given_up = true;
            reading.given_up.notify_one();
        }
        Ok(false)
    }

    /// Waits until this body is given up.
    pub async fn given_up(&self) {
        self.given_up.notified().await;
    }

    /// Releases bytes that are no longer held.
    pub fn release(&self, bytes: usize) {
        let Registration { memory, id } = &self.registration;
        let mut unfinished = memory.unfinished.lock();
        if let Some(own) = unfinished.by_id.get_mut(id) {
            own.bytes -= bytes;
            unfinished.bytes -= bytes;
        }
        drop(unfinished);
        self.share.release(bytes);
    }

    /// Ends the reading: the body is complete, and its size is known.
    fn finish(self) -> Share {
        let Self {
            registration,
            share,
            ..
        } = self;
        drop(registration);
        share
    }
}

/// Entry of a body among the unfinished ones, removed on drop.
struct Registration {
    memory: Arc<Memory>,
    id: u64,
}

impl Drop for Registration {
    fn drop(&mut self) {
        let mut unfinished = self.memory.unfinished.lock();
        if let Some(reading) = unfinished.by_id.remove(&self.id) {
            unfinished.bytes -= reading.bytes;
        }
    }
}

/// Counts a response or body as waiting until this is dropped.
struct Waiting<'a>(&'a Memory);

impl<'a> Waiting<'a> {
    fn new(memory: &'a Memory) -> Self {
        memory.waiting.fetch_add(1, Ordering::AcqRel);
        Self(memory)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.waiting.fetch_sub(1, Ordering::AcqRel);
    }
}
