//! Tickets: which host alone may run a non-idempotent request, and who witnesses it.
//!
//! Why an id is bound to one ticket, and what generations are for: see `docs/outcome-design.md`.

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

/// Time for which a host gives the same generation, in milliseconds.
pub const GENERATION_MS: u64 = 60_000;

/// Generations back for which a witness still lets requests start.
pub const MAX_START_AGE_GENERATIONS: u64 = 10;

/// Generations back of which a witness and a home remember what became of requests.
pub const RETENTION_GENERATIONS: u64 = 20;

/// Hexadecimal digits of a ticket's tag.
const TAG_DIGITS: usize = 16;

/// Names the host that alone may run a request, and its witness.
///
/// Callers get it with the address answer and send it with each non-idempotent request, whose id
/// starts with the ticket's [tag](Ticket::tag).
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ticket {
    /// The host that runs the request.
    pub home: Id,
    /// The host that must acknowledge before the call is sent.
    pub witness: Id,
    /// Generation of the witness's memory, which it forgets as a whole.
    pub generation: u64,
}

impl Ticket {
    /// Returns the tag with which the ids of all requests under this ticket start.
    ///
    /// It binds an id to one ticket, so that the same id can't be run under two of them.
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

    /// Returns the id of a request under this ticket, from the number or name that the caller has
    /// for it.
    pub fn request_id(&self, suffix: &str) -> Name {
        Name::from(format!("{}-{suffix}", self.tag()))
    }

    /// Returns whether an id belongs to this ticket.
    pub fn covers(&self, id: &Name) -> bool {
        is_tagged(id) && id.starts_with(self.tag().as_str())
    }
}

/// Returns whether an id may belong to any ticket. A request with another id never ran.
pub fn is_tagged(id: &Name) -> bool {
    let bytes = id.as_bytes();
    bytes.len() > TAG_DIGITS
        && bytes[TAG_DIGITS] == b'-'
        && bytes[..TAG_DIGITS].iter().all(u8::is_ascii_hexdigit)
}

/// Returns the generation of a host's memory at an instant on its own clock.
pub fn generation(now: Instant) -> u64 {
    now.as_ms() / GENERATION_MS
}

/// Makes a ticket for requests that `home` shall run, or nothing where no other host is alive.
///
/// The witness stands in another data centre where there is one, in the home's region where that
/// is so, and is else chosen by a hash, so that the homes of one data centre spread over witnesses.
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

/// Returns a host's place in the order that is particular to a key: the lowest is preferred.
pub(super) fn rendezvous_weight(key: &str, host: &str) -> u64 {
    xxh3_64(&[key.as_bytes(), b"/", host.as_bytes()].concat())
}
