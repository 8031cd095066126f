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

/// Time for which a holder must be suspected before its claim is replaced, in milliseconds.
const SUSPECT_TIMEOUT_MS: u64 = 60_000;

/// Time for which a holder must be unknown to membership before its claim is replaced, in
/// milliseconds.
const UNKNOWN_TIMEOUT_MS: u64 = 30_000;

/// Shortest delay before a needed claim is made, in milliseconds.
const BASE_DELAY_MS: u64 = 2_000;

/// Additional delay per rank, in milliseconds, so that usually one host alone claims.
const RANK_DELAY_MS: u64 = 2_000;

/// Rank above which the delay no longer grows.
const MAX_RANK: u64 = 10;

/// Upper bound of the random part of the delay, in milliseconds.
pub(super) const JITTER_MS: u64 = 500;

/// Time after which a claim that has not taken effect is made again, in milliseconds.
const RETRY_INTERVAL_MS: u64 = 30_000;

/// A claim of a controller on a group of engines. Its offset in the log is the fencing number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The group of engines: all of one pool in one data centre.
    pub group: Name,
    /// The host that claims.
    pub controller: Id,
    /// Fencing number of the claim that it replaces, `None` for the first.
    pub replaces: Option<Offset>,
}

/// Holder of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// The host that holds the claim.
    pub controller: Id,
    /// Fencing number of its orders.
    pub fence: Offset,
}

/// Claims in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claims {
    /// Holders by group name.
    pub holders: BTreeMap<Name, Holder>,
}

/// Reason why a group needs another holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reason {
    Vacant,
    Restarted,
    Leaving,
    Suspect,
    Unknown,
}

impl Reason {
    pub(super) fn rule(self) -> &'static str {
        match self {
            Self::Vacant => "claim_vacant",
            Self::Restarted => "claim_holder_restarted",
            Self::Leaving => "claim_holder_leaving",
            Self::Suspect => "claim_holder_silent",
            Self::Unknown => "claim_holder_unknown",
        }
    }

    /// Returns how long the reason must persist before the group is claimed.
    fn min_duration_ms(self) -> u64 {
        match self {
            Self::Vacant | Self::Restarted | Self::Leaving => 0,
            Self::Suspect => SUSPECT_TIMEOUT_MS,
            Self::Unknown => UNKNOWN_TIMEOUT_MS,
        }
    }
}

/// Decides when this host claims one group.
#[derive(Default)]
pub(super) struct Claimer {
    /// Reason to claim, the fencing number to replace, and since when both persist.
    observed: Option<(Reason, Option<u64>, Instant)>,
    /// Fencing number that the last claim replaces, and when it was made.
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
        is_eager: bool,
    ) -> Option<(Claim, Reason)> {
        let replaces = holder.map(|holder| holder.fence);
        let Some(reason) = reason(view, holder) else {
            self.observed = None;
            return None;
        };
        let since = match self.observed {
            Some((known, fence, since)) if known == reason && fence == replaces => since,
            _ => now,
        };
        self.observed = Some((reason, replaces, since));
        let rank = rank(view, group, data_centre).min(MAX_RANK);
        let duration_ms = if is_eager {
            0
        } else {
            reason.min_duration_ms()
        };
        let delay_ms = duration_ms + BASE_DELAY_MS + RANK_DELAY_MS * rank + jitter_ms;
        if now.since_ms(since) < delay_ms {
            return None;
        }
        // The claim may still take effect, so a second one would be a needless append.
        let in_flight = self
            .proposed
            .is_some_and(|(fence, at)| fence == replaces && now.since_ms(at) < RETRY_INTERVAL_MS);
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
            Health::Suspect => Some(Reason::Suspect),
            Health::Leaving => Some(Reason::Leaving),
        };
    }
    let is_newer = |host: &Host| host.id.name == id.name && host.id.incarnation > id.incarnation;
    match view.members.iter().any(|member| is_newer(&member.host)) {
        true => Some(Reason::Restarted),
        false => Some(Reason::Unknown),
    }
}

/// Returns how many hosts rank before this one. Hosts of the data centre of the group rank first,
/// and a hash gives each group its own order.
fn rank(view: &View, group: &Name, data_centre: &Name) -> u64 {
    let key = |host: &Host| {
        let is_remote = host.data_centre != *data_centre;
        (is_remote, rank_hash(group, &host.id), host.id.clone())
    };
    let own = key(&view.own);
    let others = view.members.iter();
    let earlier = others
        .filter(|member| member.health == Health::Alive && member.serving_since.is_some())
        .filter(|member| key(&member.host) < own);
    earlier.count() as u64
}

fn rank_hash(group: &Name, id: &Id) -> u64 {
    xxh3_64(&[group.as_bytes(), b"/", id.name.as_bytes()].concat())
}
