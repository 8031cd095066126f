//! Results of benchmark runs of the gateway: scores, and where points were lost.
//!
//! Each run replays the load of a simulated day. An adapter converts the reports of a benchmark to
//! these types. See `docs/platform-rounds.md`.

use std::{
    collections::BTreeMap,
    fmt, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::names::Name;

/// Result of one run of a simulated day.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Day {
    /// Time of the run, as text that sorts by time.
    pub at: String,
    /// Id of the run.
    pub run: Name,
    /// Deployment that was tested.
    pub site: Name,
    /// Name of the simulated day.
    pub day: Name,
    /// Whether it was part of a complete score.
    pub is_scored: bool,
    /// Score of the run after the deduction of prices.
    pub worth: f64,
    /// Components of the score before the deduction of prices.
    pub parts: Vec<Part>,
    /// Deductions from the score.
    pub prices: Vec<Price>,
    /// Results by kind of request, if the report has them.
    pub kinds: Vec<Kind>,
    /// Rules that were violated.
    pub broken: Vec<Name>,
}

/// A component of a score.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Part {
    /// Its name.
    pub name: Name,
    /// Weight in the score.
    pub weight: f64,
    /// Result, from 0 to 1.
    pub reached: f64,
}

/// A deduction for the use of a resource.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Price {
    /// Its name.
    pub name: Name,
    /// Points that are deducted.
    pub worth: f64,
}

/// Results of one kind of request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Kind {
    /// Its name.
    pub name: Name,
    /// Number of requests.
    pub requests: u64,
    /// Number of answers that missed the latency objective.
    pub late: u64,
    /// Number of refusals.
    pub refused: u64,
    /// Number of other requests without an answer.
    pub failed: u64,
    /// Credit, from 0 to 1.
    pub earned: f64,
}

/// Points that were lost, by cause, largest first.
#[derive(Clone, Debug, PartialEq)]
pub struct Loss(pub Vec<(Name, f64)>);

impl Loss {
    /// Returns the mean loss over days.
    pub fn mean(days: &[&Day]) -> Self {
        let mut losses: BTreeMap<Name, f64> = BTreeMap::new();
        for day in days {
            for part in &day.parts {
                *losses.entry(part.name.clone()).or_default() += part.weight * (1.0 - part.reached);
            }
            for price in &day.prices {
                let name = format!("price: {}", price.name);
                *losses.entry(name.into()).or_default() += price.worth;
            }
        }
        let count = days.len().max(1) as f64;
        let mut losses: Vec<(Name, f64)> = losses
            .into_iter()
            .map(|(name, worth)| (name, worth / count))
            .filter(|(_, worth)| *worth >= MIN_LOSS)
            .collect();
        losses.sort_by(|one, other| other.1.total_cmp(&one.1));
        Self(losses)
    }
}

/// Minimum loss that is shown. The variance between runs is larger.
const MIN_LOSS: f64 = 0.001;

impl fmt::Display for Loss {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (name, worth) in &self.0 {
            writeln!(formatter, "  {worth:.3}  {name}")?;
        }
        Ok(())
    }
}

/// Groups the days by site and name, each group in the order of time.
pub fn by_day(days: &[Day]) -> BTreeMap<(Name, Name), Vec<&Day>> {
    let mut groups: BTreeMap<(Name, Name), Vec<&Day>> = BTreeMap::new();
    for day in days {
        let key = (day.site.clone(), day.day.clone());
        groups.entry(key).or_default().push(day);
    }
    for days in groups.values_mut() {
        days.sort_by(|one, other| one.at.cmp(&other.at));
    }
    groups
}
