//! Judgement of a version by its answers, compared with those of the other versions.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use super::evidence::{
    Cell,
    Cells,
    Evidence,
    Pair,
    Time, //
};
use crate::names::Name;

/// Number of answers of the target, in total and of each route with a considerable part of them, at which
/// a bad share of 10% shows with 99% power. Measured by `judge_power_at_enough_answers`.
pub const ENOUGH: u64 = 160;

/// Probability of a difference by chance for which a version is bad, for all tests of a repeated look
/// together. Looks at growing evidence depend on each other, so that few of them count as separate ones.
const REPEATED_LEVEL: f64 = 2e-4;

/// The same for the last look. A bad version that is promoted costs about as much as a good one that is
/// reverted, so one look may err more often than each of many.
const LAST_LEVEL: f64 = 5e-3;

/// Probability by chance of the difference that remains without the worst moments, for a repeated look.
/// Otherwise the difference may be one crash of a server, whose answers fail together.
const REPEATED_REST_LEVEL: f64 = 1e-3;

/// The same for the last look.
const LAST_REST_LEVEL: f64 = 1e-2;

/// Number of slices, each worse than the worst one of the other versions, for which a target is bad that
/// gets all requests. There is nothing to compare of the same time, and most trouble ends earlier.
const SUSTAINED_SLICES: usize = 3;

/// Minimum number of the other versions' slices for that.
const MIN_SLICES: usize = 3;

/// Minimum number of answers of the other versions in a slice for that.
const MIN_SLICE_ANSWERS: u64 = 20;

/// Factor by which such a slice must be worse.
const SUSTAINED_FACTOR: u64 = 2;

/// Fractions of the other versions' answers that are slower than the limit of a test of latency. Faults
/// in a part of the answers show in the tail; servers of uneven speeds of all versions are within it.
const SLOW_FRACTIONS: [f64; 3] = [0.1, 0.03, 0.01];

/// Number of buckets by which an answer of the target must exceed the limit to count as slow, a factor of
/// 1.4. Bad versions are several times slower, and somewhat slower ones aren't bad.
const SLOW_BUCKETS: u8 = 2;

/// Minimum part of the target's answers for which a route is judged by itself.
const ROUTE_PART: u64 = 20;

/// Fraction of the time that is judged by itself as its newest part, for faults that begin later.
const NEWEST_PART: u16 = 3;

/// Number of standard deviations below which the probability of a difference isn't computed. All levels
/// above need more.
const MIN_DEVIATIONS: f64 = 2.0;

/// Number of known bad answers of the target at which a host stops by itself. Callers tolerate 50 before
/// the time of the rollback starts.
pub const STOP_BAD: u64 = 40;

/// How often a verdict is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Look {
    /// Again and again while answers arrive.
    Repeated,
    /// Before a version is promoted early. What may be a burst or the beginning of a fault counts.
    Early,
    /// Once, at the end of the time for trials, when a version is promoted unless it is bad.
    Last,
}

/// Numbers of answers of a version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// All answers.
    pub answers: u64,
    /// Those that failed or were slow.
    pub bad: u64,
}

/// A significant difference between versions.
#[derive(Clone, Debug, PartialEq)]
pub struct Difference {
    /// Route of the answers, `None` for all routes together.
    pub route: Option<Name>,
    /// Answers of the target.
    pub target: Count,
    /// Answers of other versions of the same time.
    pub others: Count,
    /// Probability of a difference that is as large or larger if the versions are alike.
    pub probability: f64,
}

/// Why a version is bad.
#[derive(Clone, Debug, PartialEq)]
pub enum Reason {
    /// More of its answers are failures.
    Failures(Difference),
    /// More of its answers are slow.
    Latency(Difference),
}

/// Judgement of a version.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// There is no significant difference, and there are too few answers to exclude one.
    Undecided {
        /// Number of answers of the target.
        answers: u64,
        /// Number of those that aren't failures.
        good: u64,
    },
    /// A bad version would have shown.
    Sound,
    /// The version is bad.
    Bad(Reason),
}

/// Judges the target of an order.
pub fn judge(evidence: &Evidence, look: Look) -> Verdict {
    let cells = evidence.cells();
    if let Some(reason) = find_difference(&cells, look) {
        return Verdict::Bad(reason);
    }
    let target = cells.values().map(|pair| &pair.target);
    let (mut answers, mut failed) = (0, 0);
    for cell in target {
        answers += cell.answers;
        failed += cell.failed;
    }
    let others: u64 = cells.values().map(|pair| pair.others.answers).sum();
    let routes = routes(&cells);
    let major = routes
        .values()
        .filter(|count| *count * ROUTE_PART >= answers);
    let has_enough = answers.min(others) >= ENOUGH && major.into_iter().all(|&it| it >= ENOUGH);
    if has_enough {
        Verdict::Sound
    } else {
        Verdict::Undecided {
            answers,
            good: answers - failed,
        }
    }
}

/// Returns why a host must stop requests to the target without waiting for the decider, if it must.
pub fn must_stop(evidence: &Evidence) -> Option<Reason> {
    let cells = evidence.cells();
    let bad = known_bad(&cells);
    if bad < STOP_BAD {
        return None;
    }
    find_difference(&cells, Look::Repeated)
}

/// Returns the number of the target's answers by route.
fn routes(cells: &Cells) -> BTreeMap<&Name, u64> {
    let mut routes = BTreeMap::new();
    for ((route, _), pair) in cells {
        *routes.entry(route).or_default() += pair.target.answers;
    }
    routes
}

/// Returns the number of the target's answers that are failures or slower than nearly all answers of
/// other versions.
fn known_bad(cells: &Cells) -> u64 {
    let limits = Limits::new(cells.iter());
    let bad = cells.iter().map(|((route, _), pair)| {
        let slow = limits
            .get(route)
            .map_or(0, |limits| slow(pair, limits[RAREST]).bad);
        pair.target.failed + slow
    });
    bad.sum()
}

/// Returns the first significant difference to the disadvantage of the target.
fn find_difference(cells: &Cells, look: Look) -> Option<Reason> {
    let routes = routes(cells);
    let answers: u64 = routes.values().sum();
    let major = routes
        .iter()
        .filter(|&(_, &count)| count > 0 && count * ROUTE_PART >= answers)
        // A single route is judged by the test of all.
        .filter(|_| routes.len() > 1);
    let mut scopes = vec![None];
    scopes.extend(major.map(|(&route, _)| Some(route)));
    let tests = scopes.len() * 2 * (1 + SLOW_FRACTIONS.len());
    let (level, rest_level) = match look {
        Look::Repeated => (REPEATED_LEVEL, REPEATED_REST_LEVEL),
        Look::Early => (LAST_LEVEL, 1.0),
        Look::Last => (LAST_LEVEL, LAST_REST_LEVEL),
    };
    let level = level / tests as f64;
    // With so many bad answers, waiting for others costs more than an error.
    let rest_level = if known_bad(cells) >= STOP_BAD {
        1.0
    } else {
        rest_level
    };
    let newest_from = newest_from(cells);
    for from in [0, newest_from] {
        let is_in_time = |time: Time| match time {
            Time::UpTo(_) => from == 0,
            Time::Slice(slice) => slice >= from,
        };
        let selected = || cells.iter().filter(|((_, time), _)| is_in_time(*time));
        let limits = Limits::new(selected());
        for kind in Kind::ALL {
            let tables: Vec<(&Name, Table)> = selected()
                .filter_map(|((route, time), pair)| {
                    let table = match kind {
                        Kind::Failures => failures(pair),
                        Kind::Slow(index) => slow(pair, limits.get(route)?[index]),
                    };
                    let time = *time;
                    Some((route, Table { time, ..table }))
                })
                .collect();
            for &route in &scopes {
                let tables: Vec<Table> = tables
                    .iter()
                    .filter(|table| route.is_none_or(|route| route == table.0))
                    .map(|table| table.1)
                    .collect();
                if let Some(probability) = significance(&tables, level, rest_level) {
                    return Some(kind.reason(difference(&tables, route, probability)));
                }
            }
        }
    }
    find_sustained(cells, level)
}

/// Returns the difference between a target that gets all requests and the worst slice of the other
/// versions before, if it is significant in several slices.
///
/// Trouble of all versions that begins after the promotion and lasts as long looks the same.
fn find_sustained(cells: &Cells, level: f64) -> Option<Reason> {
    let limits = Limits::new(cells.iter());
    for kind in [Kind::Failures, Kind::Slow(RAREST)] {
        let mut slices: BTreeMap<Time, Table> = BTreeMap::new();
        for ((route, time), pair) in cells {
            let table = match kind {
                Kind::Failures => failures(pair),
                Kind::Slow(index) => match limits.get(route) {
                    Some(limits) => slow(pair, limits[index]),
                    None => continue,
                },
            };
            let sum = slices.entry(*time).or_insert(Table {
                time: *time,
                ..Table::default()
            });
            sum.bad += table.bad;
            sum.answers += table.answers;
            sum.others_bad += table.others_bad;
            sum.others += table.others;
        }
        let known = slices
            .values()
            .filter(|slice| slice.others >= MIN_SLICE_ANSWERS);
        let known: Vec<&Table> = known.collect();
        let rate = |table: &Table| table.others_bad as f64 / table.others as f64;
        let worst = known.iter().max_by(|a, b| rate(a).total_cmp(&rate(b)));
        let Some(&&worst) = worst.filter(|_| known.len() >= MIN_SLICES) else {
            continue;
        };
        // Where requests still go to other versions, those are compared instead.
        let alone = slices
            .values()
            .filter(|slice| slice.answers > 0 && slice.others * ROUTE_PART <= slice.answers);
        let compared = alone.map(|slice| Table {
            others_bad: worst.others_bad,
            others: worst.others,
            ..*slice
        });
        let bad: Vec<Table> = compared
            .filter(|table| {
                let is_worse =
                    table.bad * table.others > SUSTAINED_FACTOR * table.others_bad * table.answers;
                is_worse && probability(&[*table]) <= level
            })
            .collect();
        if bad.len() >= SUSTAINED_SLICES {
            let probability = probability(&bad);
            return Some(kind.reason(difference(&bad, None, probability)));
        }
    }
    None
}

/// Returns the first slice of the newest part of the time.
fn newest_from(cells: &Cells) -> u16 {
    let times: BTreeSet<Time> = cells.keys().map(|(_, time)| *time).collect();
    let newest = times.iter().filter_map(|time| match *time {
        Time::Slice(slice) => Some(slice),
        Time::UpTo(_) => None,
    });
    let newest = newest.max().unwrap_or(0);
    newest - newest / NEWEST_PART
}

/// What counts as a bad answer.
#[derive(Clone, Copy, Debug)]
enum Kind {
    /// A failure.
    Failures,
    /// One above the limit of [`SLOW_FRACTIONS`] at an index.
    Slow(usize),
}

/// Index of the smallest of the fractions of slow answers.
const RAREST: usize = SLOW_FRACTIONS.len() - 1;

impl Kind {
    const ALL: [Self; 1 + SLOW_FRACTIONS.len()] =
        [Self::Failures, Self::Slow(0), Self::Slow(1), Self::Slow(2)];

    fn reason(self, difference: Difference) -> Reason {
        match self {
            Self::Failures => Reason::Failures(difference),
            Self::Slow(_) => Reason::Latency(difference),
        }
    }
}

/// Answers of both versions of a route and a time.
#[derive(Clone, Copy, Debug)]
struct Table {
    time: Time,
    bad: u64,
    answers: u64,
    others_bad: u64,
    others: u64,
}

impl Default for Table {
    fn default() -> Self {
        Self {
            time: Time::Slice(0),
            bad: 0,
            answers: 0,
            others_bad: 0,
            others: 0,
        }
    }
}

fn failures(pair: &Pair) -> Table {
    Table {
        bad: pair.target.failed,
        answers: pair.target.answers,
        others_bad: pair.others.failed,
        others: pair.others.answers,
        ..Table::default()
    }
}

/// Counts slow answers. Those of the target must exceed the limit by far.
fn slow(pair: &Pair, limit: u8) -> Table {
    Table {
        bad: pair.target.above(limit.saturating_add(SLOW_BUCKETS)),
        answers: pair.target.timed(),
        others_bad: pair.others.above(limit),
        others: pair.others.timed(),
        ..Table::default()
    }
}

/// By route, the latencies above which there are [`SLOW_FRACTIONS`] of the other versions' answers.
struct Limits<'a>(BTreeMap<&'a Name, [u8; SLOW_FRACTIONS.len()]>);

impl<'a> Limits<'a> {
    fn new(cells: impl Iterator<Item = (&'a (Name, Time), &'a Pair)>) -> Self {
        let mut others: BTreeMap<&Name, Cell> = BTreeMap::new();
        for ((route, _), pair) in cells {
            *others.entry(route).or_default() += &pair.others;
        }
        let limits = others.into_iter().filter_map(|(route, others)| {
            let mut limits = [0; SLOW_FRACTIONS.len()];
            for (limit, fraction) in limits.iter_mut().zip(SLOW_FRACTIONS) {
                *limit = others.quantile(fraction)?;
            }
            Some((route, limits))
        });
        Self(limits.collect())
    }

    fn get(&self, route: &Name) -> Option<&[u8; SLOW_FRACTIONS.len()]> {
        self.0.get(route)
    }
}

/// Returns the probability of the difference by chance if it is significant.
fn significance(tables: &[Table], level: f64, rest_level: f64) -> Option<f64> {
    let probability = probability(tables);
    let is_significant = probability <= level
        && (rest_level >= 1.0 || self::probability(&without_worst(tables)) <= rest_level);
    is_significant.then_some(probability)
}

fn difference(tables: &[Table], route: Option<&Name>, probability: f64) -> Difference {
    let mut difference = Difference {
        route: route.cloned(),
        target: Count::default(),
        others: Count::default(),
        probability,
    };
    for table in tables {
        difference.target.answers += table.answers;
        difference.target.bad += table.bad;
        difference.others.answers += table.others;
        difference.others.bad += table.others_bad;
    }
    difference
}

/// Leaves out the slice with most bad answers of the target, and the worse of its neighbours, since a
/// burst may span the end of a slice.
fn without_worst(tables: &[Table]) -> Vec<Table> {
    let mut bad: BTreeMap<u16, u64> = BTreeMap::new();
    for table in tables {
        if let Time::Slice(slice) = table.time {
            *bad.entry(slice).or_default() += table.bad;
        }
    }
    let count = |slice: u16| bad.get(&slice).copied().unwrap_or(0);
    let pairs = bad
        .keys()
        .map(|&slice| (slice, slice.saturating_add(1)))
        .max_by_key(|&(first, second)| count(first) + count(second));
    let Some((first, second)) = pairs else {
        return tables.to_vec();
    };
    let is_kept =
        |table: &&Table| table.time != Time::Slice(first) && table.time != Time::Slice(second);
    tables.iter().filter(is_kept).copied().collect()
}

/// Returns the probability that the target has as many bad answers or more if each bad answer is equally
/// likely at each request of the same route and time: the exact test of two proportions, stratified.
fn probability(tables: &[Table]) -> f64 {
    let (mut observed, mut mean, mut variance) = (0, 0.0, 0.0);
    let mut informative = Vec::new();
    for table in tables {
        let (answers, others) = (table.answers as f64, table.others as f64);
        let (all, bad) = (answers + others, (table.bad + table.others_bad) as f64);
        if answers == 0.0 || others == 0.0 || bad == 0.0 {
            continue;
        }
        observed += table.bad;
        mean += bad * answers / all;
        variance += bad * answers * others * (all - bad) / (all * all * (all - 1.0).max(1.0));
        informative.push(table);
    }
    if observed as f64 <= mean + MIN_DEVIATIONS * variance.sqrt() {
        return 1.0;
    }
    // Probabilities of 0, 1, .. bad answers, up to one less than observed.
    let length = observed as usize;
    let mut fewer = vec![1.0];
    for table in informative {
        let single = hypergeometric(table);
        let mut sum = vec![0.0; (fewer.len() + single.len() - 1).min(length)];
        for (i, left) in fewer.iter().enumerate() {
            for (j, right) in single.iter().enumerate().take(length - i) {
                sum[i + j] += left * right;
            }
        }
        fewer = sum;
    }
    (1.0 - fewer.iter().sum::<f64>()).max(0.0)
}

/// Returns the probabilities of 0, 1, .. bad answers of the target if the bad answers are drawn from all.
fn hypergeometric(table: &Table) -> Vec<f64> {
    let (answers, others) = (table.answers, table.others);
    let bad = table.bad + table.others_bad;
    let (min, max) = (bad.saturating_sub(others), bad.min(answers));
    // Ratio of the probabilities of `count + 1` and `count`.
    let ratio = |count: u64| {
        let ways = (bad - count) as f64 * (answers - count) as f64;
        ways / ((count + 1) as f64 * (others + count + 1 - bad) as f64)
    };
    // The largest weight is 1, so that none overflows.
    let mode = (bad + 1) as f64 * (answers + 1) as f64 / (answers + others + 2) as f64;
    let mode = (mode as u64).clamp(min, max);
    let mut weights = vec![0.0; max as usize + 1];
    weights[mode as usize] = 1.0;
    for count in mode..max {
        weights[count as usize + 1] = weights[count as usize] * ratio(count);
    }
    for count in (min..mode).rev() {
        weights[count as usize] = weights[count as usize + 1] / ratio(count);
    }
    let sum: f64 = weights.iter().sum();
    weights.iter_mut().for_each(|weight| *weight /= sum);
    weights
}
