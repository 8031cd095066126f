//! Delivery of responses to callers: which connections still have something to deliver.
//!
//! The HTTP library drops a response once it is in a buffer, and the system accepts more bytes than have reached
//! the caller. A process that exits then truncates large responses, so a stop asks for both here.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::BTreeMap,
    rc::Rc,
    time::Duration,
};

use tokio::sync::Notify;

use crate::shell::gateway::net::Socket;

/// Interval at which a closed connection is checked for bytes in its socket's send buffer, in milliseconds.
const POLL_MS: u64 = 20;

/// Time for which a connection that the HTTP library has closed keeps its socket for what is in the send buffer, in
/// milliseconds. A host is stopped within as much, and callers that read nothing must not keep sockets for longer.
const MAX_CLOSING_MS: u64 = 10_000;

/// Connection of a caller.
pub(super) struct Connection {
    pub(super) socket: Rc<Socket>,
    /// Whether a response has begun whose bytes aren't all handed to the system.
    is_unflushed: Cell<bool>,
    has_request: Cell<bool>,
    first_request: Notify,
}

impl Connection {
    pub(super) fn new(socket: Rc<Socket>) -> Rc<Self> {
        Rc::new(Self {
            socket,
            is_unflushed: Cell::default(),
            has_request: Cell::default(),
            first_request: Notify::new(),
        })
    }

    /// Records that a request was read, whose response is to be delivered.
    pub(super) fn record_request(&self) {
        self.is_unflushed.set(true);
        if !self.has_request.replace(true) {
            self.first_request.notify_one();
        }
    }

    /// Returns whether a request was read.
    pub(super) fn has_request(&self) -> bool {
        self.has_request.get()
    }

    /// Waits until a request was read.
    pub(super) async fn first_request(&self) {
        self.first_request.notified().await;
    }

    /// Records that nothing more will be handed to the system.
    pub(super) fn record_flush(&self) {
        self.is_unflushed.set(false);
    }

    fn has_undelivered(&self) -> bool {
        self.is_unflushed.get() || self.socket.has_unacknowledged()
    }
}

/// Connections of callers.
#[derive(Default)]
pub(in crate::shell::gateway) struct Connections {
    open: RefCell<BTreeMap<u64, Rc<Connection>>>,
    next: Cell<u64>,
}

impl Connections {
    /// Lists a connection until the result is dropped.
    pub(super) fn insert(&self, connection: &Rc<Connection>) -> Listed<'_> {
        let number = self.next.get();
        self.next.set(number + 1);
        let mut open = self.open.borrow_mut();
        open.insert(number, connection.clone());
        Listed {
            connections: self,
            number,
        }
    }

    /// Returns the number of connections with responses that their callers don't have completely.
    pub(in crate::shell::gateway) fn undelivered(&self) -> usize {
        let open = self.open.borrow();
        let undelivered = open.values().filter(|it| it.has_undelivered());
        undelivered.count()
    }
}

/// A connection in the list.
pub(super) struct Listed<'a> {
    connections: &'a Connections,
    number: u64,
}

impl Drop for Listed<'_> {
    fn drop(&mut self) {
        self.connections.open.borrow_mut().remove(&self.number);
    }
}

/// Waits until what the HTTP library handed to the system has reached the caller, with the socket open: the send
/// buffer of a closed one can't be read.
pub(super) async fn finish(connection: &Connection) {
    connection.record_flush();
    let mut waited_ms = 0;
    while waited_ms < MAX_CLOSING_MS && connection.socket.has_unacknowledged() {
        tokio::time::sleep(Duration::from_millis(POLL_MS)).await;
        waited_ms += POLL_MS;
    }
}
