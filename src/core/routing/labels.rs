//! The words of routing decisions, made once so that a decision allocates little.

use crate::{
    core::decision::Value,
    names::Name, //
};

/// All words of one pool.
pub struct Labels {
    /// Rule: the lowest score among the sampled servers with room.
    pub lowest_score: Name,
    /// Rule of the baselines.
    pub baseline: Name,
    /// Reason: a candidate had a higher score.
    pub higher_score: Name,
    /// Reason: a candidate failed this call before.
    pub failed_before: Name,
    /// Reason: a candidate is taken out.
    pub drained: Name,
    /// Reason: this host's news is too old for work in the candidate's data centre.
    pub stale_state: Name,
    /// Reason: a candidate hasn't loaded the model.
    pub no_model: Name,
    /// Reason: a candidate has no room in this host's share.
    pub no_room: Name,
    /// Value: the score.
    pub score: Name,
    /// Value: slots that this host may use.
    pub allowed: Name,
    /// Value: slots that this host uses.
    pub used: Name,
    /// Value: what the server carries.
    pub limit: Name,
    /// Value: calls on the server, estimated.
    pub estimated: Name,
    /// Value: time spent in the queue.
    pub waited: Name,
    /// Value: time to the deadline.
    pub left: Name,
    /// Value: calls that wait.
    pub queued: Name,
    /// Value: share of the prefix that is cached, 0 or 1.
    pub cached: Name,
}

impl Labels {
    /// Makes the words.
    pub fn new() -> Self {
        Self {
            lowest_score: Name::from("lowest_score"),
            baseline: Name::from("baseline"),
            higher_score: Name::from("higher_score"),
            failed_before: Name::from("failed_before"),
            drained: Name::from("drained"),
            stale_state: Name::from("stale_news"),
            no_model: Name::from("model_not_loaded"),
            no_room: Name::from("no_room_in_share"),
            score: Name::from("score_us"),
            allowed: Name::from("allowed_calls"),
            used: Name::from("used_calls"),
            limit: Name::from("limit_calls"),
            estimated: Name::from("estimated_calls"),
            waited: Name::from("waited_ms"),
            left: Name::from("left_ms"),
            queued: Name::from("queued_calls"),
            cached: Name::from("prefix_cached"),
        }
    }
}

impl Default for Labels {
    fn default() -> Self {
        Self::new()
    }
}

/// Makes a value from a word, without allocation.
pub fn value(label: &Name, value: u64) -> Value {
    Value {
        name: label.clone(),
        value: i64::try_from(value).unwrap_or(i64::MAX),
    }
}
