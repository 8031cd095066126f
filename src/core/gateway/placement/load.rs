//! Load that a server states in its responses.

/// Maximum number of requests that a stated count may name. No server runs as many, so a higher count is
/// an error in the header.
const MAX_REQUESTS: u32 = 100_000;

/// Range of the stated duration of work, in percent of the usual one. Values outside of it are errors:
/// the slowest spells known take a few times the usual time.
const PACE_PERCENT: std::ops::RangeInclusive<u32> = 10..=2_000;

/// Load that a server stated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Running requests of all hosts.
    pub running: u32,
    /// Waiting requests of all hosts.
    pub waiting: u32,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// How long work takes there now, in percent of the usual duration.
    pub pace_percent: Option<u32>,
}

impl Load {
    /// Parses a list of three or four numbers. Returns `None` if one of the first three is missing or not a
    /// plausible count. An implausible fourth is ignored by itself.
    pub fn parse(text: &str) -> Option<Self> {
        let mut numbers = text.split(',').map(|text| text.trim().parse::<u32>().ok());
        let mut count = || numbers.next().flatten().filter(|&it| it <= MAX_REQUESTS);
        let (running, waiting, slots) = (count()?, count()?, count()?);
        let pace = numbers.next().flatten();
        Some(Self {
            running,
            waiting,
            slots,
            pace_percent: pace.filter(|pace| PACE_PERCENT.contains(pace)),
        })
    }
}
