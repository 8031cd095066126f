//! Open exchanges with callers: where the answers of the core go.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{
            AtomicU64,
            Ordering, //
        },
    },
    task::{
        Context,
        Poll, //
    },
};

use parking_lot::Mutex;
use tokio::sync::mpsc;

use super::Shell;
use crate::core::{
    call::{
        Body,
        Request, //
    },
    node,
    outcome::{
        self,
        Caller, //
    },
    refusal::Refusal,
};

/// Number of shards of exchanges.
const SHARDS: usize = 16;

/// What a caller is given.
#[derive(Clone, Debug)]
pub enum Reply {
    /// A piece of the answer.
    Piece {
        /// Its index.
        index: u64,
        /// Its bytes.
        piece: Body,
    },
    /// The whole answer, or the end of the pieces.
    Answer {
        /// The request that it answers.
        request: Request,
        /// The answer.
        body: Body,
    },
    /// A refusal.
    Refuse {
        /// The request.
        request: Request,
        /// Why.
        refusal: Refusal,
    },
}

struct Open {
    replies: mpsc::Sender<Reply>,
    wants_pieces: bool,
}

/// All open exchanges of a daemon, in shards.
pub struct Exchanges {
    next: AtomicU64,
    shards: Vec<Mutex<HashMap<Caller, Open>>>,
}

impl Default for Exchanges {
    fn default() -> Self {
        Self {
            next: AtomicU64::new(1),
            shards: (0..SHARDS).map(|_| Mutex::default()).collect(),
        }
    }
}

impl Exchanges {
    fn shard(&self, caller: Caller) -> &Mutex<HashMap<Caller, Open>> {
        &self.shards[caller.0 as usize % SHARDS]
    }

    /// Returns the count of open exchanges.
    pub fn count(&self) -> usize {
        self.shards.iter().map(|shard| shard.lock().len()).sum()
    }

    /// Gives a caller what the core has for it.
    ///
    /// A caller too slow for its pieces loses its exchange: it sees no end, and resumes by the
    /// index of its last piece.
    pub fn give(&self, caller: Caller, reply: Reply) {
        let mut shard = self.shard(caller).lock();
        let Some(open) = shard.get(&caller) else {
            return;
        };
        let is_piece = matches!(reply, Reply::Piece { .. });
        if is_piece && !open.wants_pieces {
            return;
        }
        let given = open.replies.try_send(reply);
        if given.is_err() || !is_piece {
            shard.remove(&caller);
        }
    }

    /// Closes all exchanges, whose callers see no end.
    pub fn close(&self) {
        for shard in &self.shards {
            shard.lock().clear();
        }
    }
}

/// One open exchange. Dropping it before its end tells the core that the caller has gone.
pub struct Exchange {
    shell: Arc<Shell>,
    caller: Caller,
    replies: mpsc::Receiver<Reply>,
}

impl Exchange {
    /// Opens an exchange.
    pub fn open(shell: &Arc<Shell>, wants_pieces: bool) -> Self {
        let capacity = shell.options.config.limits.waiting_pieces;
        let (sender, replies) = mpsc::channel(capacity);
        let exchanges = &shell.exchanges;
        let caller = Caller(exchanges.next.fetch_add(1, Ordering::Relaxed));
        let open = Open {
            replies: sender,
            wants_pieces,
        };
        exchanges.shard(caller).lock().insert(caller, open);
        Self {
            shell: shell.clone(),
            caller,
            replies,
        }
    }

    /// Returns the number under which the core knows the caller.
    pub fn caller(&self) -> Caller {
        self.caller
    }

    /// Waits for the next reply, `None` where the exchange was closed.
    pub async fn next(&mut self) -> Option<Reply> {
        self.replies.recv().await
    }

    /// Polls for the next reply.
    pub fn poll_next(&mut self, context: &mut Context<'_>) -> Poll<Option<Reply>> {
        self.replies.poll_recv(context)
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        let exchanges = &self.shell.exchanges;
        let open = exchanges.shard(self.caller).lock().remove(&self.caller);
        // An exchange that isn't there has ended, or was closed for slowness.
        if open.is_some() || !self.replies.is_closed() {
            let event = outcome::Event::CallerDisconnected(self.caller);
            self.shell.step(node::Event::Caller(event));
        }
    }
}
