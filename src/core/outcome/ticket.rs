//! Tickets, which name the only host that may run a non-idempotent request, and its witness.
//!
//! Why a request id is bound to one ticket, and why tickets have generations: see
//! `docs/outcome-design.md`.

use serde::{
    Deserialize,
    Serialize, //
};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    core::{
        host::{
            Host,
            Id, //
        },
        view::{
            Health,
            View, //
        },
    },
    names::Name,
    time::Instant,
};

/// Length of a ticket generation, in milliseconds.
pub const GENERATION_MS: u64 = 60_000;

/// Greatest age of a ticket under which a witness lets a request start, in generations.
pub const MAX_START_AGE_GENERATIONS: u64 = 10;

/// Age up to which a witness and a home retain records of requests, in generations.
pub const RETENTION_GENERATIONS: u64 = 20;

/// Hexadecimal digits of a ticket's tag.
const TAG_DIGITS: usize = 16;

/// Names the only host that may run a request, and its witness.
///
/// Callers get it with the reply to an address lookup and send it with each non-idempotent request,
/// whose id starts with the ticket's [tag](Ticket::tag).
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ticket {
    /// Host that runs the request.
    pub home: Id,
    /// Host that must acknowledge the request before its call is sent.
    pub witness: Id,
    /// Generation by the witness's clock, whose records the witness evicts as a whole.
    pub generation: u64,
}

impl Ticket {
    /// Returns the prefix of the ids of all requests under this ticket.
    ///
    /// It binds an id to one ticket, so that the same id can't run under two tickets.
    pub fn tag(&self) -> Name {
        let mut hash = blake3::Hasher::new();
        for id in [&self.home, &self.witness] {
            hash.update(&(id.name.len() as u64).to_le_bytes());
            hash.update(id.name.as_bytes());
            hash.update(&id.incarnation.to_le_bytes());
        }
        hash.update(&self.generation.to_le_bytes());
        let digits = hash.finalize().to_hex();
        Name::from(&digits[..TAG_DIGITS])
    }

    /// Returns the id of a request under this ticket, with a suffix that the caller chooses.
    pub fn request_id(&self, suffix: &str) -> Name {
        Name::from(format!("{}-{suffix}", self.tag()))
    }

    /// Returns whether an id belongs to this ticket.
    pub fn covers(&self, id: &Name) -> bool {
        is_tagged(id) && id.starts_with(self.tag().as_str())
    }
}

/// Returns whether an id has the form of an id under some ticket. A non-idempotent request with
/// any other id never ran.
pub fn is_tagged(id: &Name) -> bool {
    let bytes = id.as_bytes();
    bytes.len() > TAG_DIGITS
        && bytes[TAG_DIGITS] == b'-'
        && bytes[..TAG_DIGITS].iter().all(u8::is_ascii_hexdigit)
}

/// Returns the generation of an instant on a host's own clock.
pub fn generation(now: Instant) -> u64 {
    now.as_ms() / GENERATION_MS
}

/// Returns a ticket for requests that `home` runs, or `None` if no other host is alive.
///
/// The witness is preferably in another data centre, then preferably in the home's region. Ties are
/// broken by rendezvous hashing, which spreads the homes of one data centre over the witnesses.
pub fn issue(now: Instant, view: &View, home: &Host) -> Option<Ticket> {
    let others = view
        .members
        .iter()
        .filter(|member| member.health == Health::Alive)
        .map(|member| (&member.host, member.ticket_generation));
    let own = std::iter::once((&view.own, generation(now))).filter(|_| !view.leaving);
    let (witness, generation) = others
        .chain(own)
        .filter(|(host, _)| host.id.name != home.id.name)
        .min_by_key(|(host, _)| {
            (
                host.data_centre == home.data_centre,
                host.region != home.region,
                rendezvous_weight(&home.id.name, &host.id.name),
                &host.id,
            )
        })?;
    Some(Ticket {
        home: home.id.clone(),
        witness: witness.id.clone(),
        generation,
    })
}

/// Returns the rendezvous hash of a key and a host. The host with the lowest value is preferred.
pub(super) fn rendezvous_weight(key: &str, host: &str) -> u64 {
    xxh3_64(&[key.as_bytes(), b"/", host.as_bytes()].concat())
}
