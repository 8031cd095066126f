//! Claims on groups of engines, and when a host makes one.

use std::collections::BTreeMap;

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
        log::Offset,
        view::{
            Health,
            View, //
        },
    },
    names::Name,
    time::Instant,
};

/// Time for which a holder must be silent before its claim is replaced, in milliseconds.
const SILENT_MS: u64 = 60_000;

/// Time for which a holder must be unknown before its claim is replaced, in milliseconds.
const UNKNOWN_MS: u64 = 30_000;

/// Shortest time between seeing that a claim is wanted and claiming, in milliseconds.
const WAIT_MS: u64 = 2_000;

/// Time that each further host in rank waits longer, in milliseconds.
const RANK_MS: u64 = 2_000;

/// Rank from which on hosts wait no longer.
const LAST_RANK: u64 = 10;

/// Range of the random part of the waiting time, in milliseconds.
pub(super) const JITTER_MS: u64 = 500;

/// Time after which a claim whose fate isn't known is repeated, in milliseconds.
const REPEAT_MS: u64 = 30_000;

/// A claim of a controller on a group of engines. Its offset in the log is the fencing number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The group of engines, such as all of one pool in one data centre.
    pub group: Name,
    /// Who claims.
    pub controller: Id,
    /// Fencing number of the claim that it replaces, `None` for the first.
    pub replaces: Option<Offset>,
}

/// The holder of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// Who holds it.
    pub controller: Id,
    /// Fencing number.
    pub fence: Offset,
}

/// Claims in force, by group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claims {
    /// Holders by group.
    pub holders: BTreeMap<Name, Holder>,
}

/// Why a group should have another holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reason {
    Vacant,
    Restarted,
    Leaving,
    Silent,
    Unknown,
}

impl Reason {
    pub(super) fn rule(self) -> &'static str {
        match self {
            Self::Vacant => "claim_vacant",
            Self::Restarted => "claim_holder_restarted",
            Self::Leaving => "claim_holder_leaving",
            Self::Silent => "claim_holder_silent",
            Self::Unknown => "claim_holder_unknown",
        }
    }

    /// Returns how long the reason must hold before it counts.
    fn lasts_ms(self) -> u64 {
        match self {
            Self::Vacant | Self::Restarted | Self::Leaving => 0,
            Self::Silent => SILENT_MS,
            Self::Unknown => UNKNOWN_MS,
        }
    }
}

/// One host's wish to claim one group.
#[derive(Default)]
pub(super) struct Claimer {
    wanted: Option<(Reason, Option<u64>, Instant)>,
    proposed: Option<(Option<u64>, Instant)>,
}

impl Claimer {
    /// Returns the claim that this host should append now, and why.
    pub(super) fn due(
        &mut self,
        now: Instant,
        view: &View,
        (group, data_centre): (&Name, &Name),
        holder: Option<&Holder>,
        jitter_ms: u64,
        is_hasty: bool,
    ) -> Option<(Claim, Reason)> {
        let replaces = holder.map(|holder| holder.fence);
        let Some(reason) = reason(view, holder) else {
            self.wanted = None;
            return None;
        };
        let since = match self.wanted {
            Some((known, fence, since)) if known == reason && fence == replaces => since,
            _ => now,
        };
        self.wanted = Some((reason, replaces, since));
        let rank = rank(view, group, data_centre).min(LAST_RANK);
        let lasts_ms = if is_hasty { 0 } else { reason.lasts_ms() };
        let wait_ms = lasts_ms + WAIT_MS + RANK_MS * rank + jitter_ms;
        if now.since_ms(since) < wait_ms {
            return None;
        }
        // A claim in flight may still land, and a second one beside it would be an append for
        // nothing.
        let in_flight = self
            .proposed
            .is_some_and(|(fence, at)| fence == replaces && now.since_ms(at) < REPEAT_MS);
        if in_flight {
            return None;
        }
        self.proposed = Some((replaces, now));
        let claim = Claim {
            group: group.clone(),
            controller: view.own.id.clone(),
            replaces,
        };
        Some((claim, reason))
    }
}

fn reason(view: &View, holder: Option<&Holder>) -> Option<Reason> {
    let Some(holder) = holder else {
        return Some(Reason::Vacant);
    };
    let id = &holder.controller;
    if *id == view.own.id {
        return None;
    }
    if id.name == view.own.id.name {
        return Some(Reason::Restarted);
    }
    if let Some(member) = view.member(id) {
        return match member.health {
            Health::Alive => None,
            Health::Suspect => Some(Reason::Silent),
            Health::Leaving => Some(Reason::Leaving),
        };
    }
    let is_newer = |host: &Host| host.id.name == id.name && host.id.incarnation > id.incarnation;
    match view.members.iter().any(|member| is_newer(&member.host)) {
        true => Some(Reason::Restarted),
        false => Some(Reason::Unknown),
    }
}

/// Returns how many hosts should claim the group before this one: those of its data centre come
/// first, in an order that is particular to the group.
fn rank(view: &View, group: &Name, data_centre: &Name) -> u64 {
    let key = |host: &Host| {
        let is_far = host.data_centre != *data_centre;
        (is_far, weight(group, &host.id), host.id.clone())
    };
    let own = key(&view.own);
    let others = view.members.iter();
    let before = others
        .filter(|member| member.health == Health::Alive && member.serving_since.is_some())
        .filter(|member| key(&member.host) < own);
    before.count() as u64
}

fn weight(group: &Name, id: &Id) -> u64 {
    xxh3_64(&[group.as_bytes(), b"/", id.name.as_bytes()].concat())
}
