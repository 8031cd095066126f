//! Measured days of the gateway: what they were worth, and where the rest went.
//!
//! An adapter translates a bench's reports into these types. See `docs/platform-rounds.md`.

use std::{
    collections::BTreeMap,
    fmt, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::names::Name;

/// One played day.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Day {
    /// When it was played, as text that sorts by time.
    pub at: String,
    /// Id of the run.
    pub run: Name,
    /// The deployment.
    pub site: Name,
    /// The day.
    pub day: Name,
    /// Whether it was one of a whole score.
    pub is_scored: bool,
    /// What it was worth, less prices.
    pub worth: f64,
    /// What the worth is made of, before prices.
    pub parts: Vec<Part>,
    /// What was taken off.
    pub prices: Vec<Price>,
    /// Kinds of requests, where the report tells them.
    pub kinds: Vec<Kind>,
    /// Rules that were broken.
    pub broken: Vec<Name>,
}

/// A part of a day's worth.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Part {
    /// Its name.
    pub name: Name,
    /// Its weight.
    pub weight: f64,
    /// What was reached, from 0 to 1.
    pub reached: f64,
}

/// Something that is paid for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Price {
    /// Its name.
    pub name: Name,
    /// Worth that it cost.
    pub worth: f64,
}

/// How requests of one kind went.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Kind {
    /// Its name.
    pub name: Name,
    /// Requests.
    pub requests: u64,
    /// Answered after their objective.
    pub late: u64,
    /// Ended by a refusal.
    pub refused: u64,
    /// Ended otherwise without an answer.
    pub failed: u64,
    /// Credit earned, from 0 to 1.
    pub earned: f64,
}

/// Where the worth of days went, largest first.
#[derive(Clone, Debug, PartialEq)]
pub struct Loss(pub Vec<(Name, f64)>);

impl Loss {
    /// Takes the mean over days.
    pub fn of(days: &[&Day]) -> Self {
        let mut all: BTreeMap<Name, f64> = BTreeMap::new();
        for day in days {
            for part in &day.parts {
                *all.entry(part.name.clone()).or_default() += part.weight * (1.0 - part.reached);
            }
            for price in &day.prices {
                let name = format!("price: {}", price.name);
                *all.entry(name.into()).or_default() += price.worth;
            }
        }
        let count = days.len().max(1) as f64;
        let mut all: Vec<(Name, f64)> = all
            .into_iter()
            .map(|(name, worth)| (name, worth / count))
            .filter(|(_, worth)| *worth >= LEAST)
            .collect();
        all.sort_by(|one, other| other.1.total_cmp(&one.1));
        Self(all)
    }
}

/// Least worth that is shown. Days differ by more from run to run.
const LEAST: f64 = 0.001;

impl fmt::Display for Loss {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (name, worth) in &self.0 {
            writeln!(formatter, "  {worth:.3}  {name}")?;
        }
        Ok(())
    }
}

/// Returns the days by site and name, in the order of time.
pub fn by_day(days: &[Day]) -> BTreeMap<(Name, Name), Vec<&Day>> {
    let mut all: BTreeMap<(Name, Name), Vec<&Day>> = BTreeMap::new();
    for day in days {
        let key = (day.site.clone(), day.day.clone());
        all.entry(key).or_default().push(day);
    }
    for days in all.values_mut() {
        days.sort_by(|one, other| one.at.cmp(&other.at));
    }
    all
}
