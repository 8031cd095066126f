//! Speeds of servers, learnt from the time to the first event of requests.
//!
//! The servers of a service run the same model, so a line through all samples gives the usual time for a
//! number of tokens. Each server has a factor to that line: one that lasts, and one for the present.

use crate::time::Instant;

/// Time constant of a server's present factor, in milliseconds. Spells in which an engine is slow last
/// about this long.
const SPELL_MS: f64 = 600.0;

/// Number of samples after which an old one counts for 1/e of a new one in a server's lasting factor. At
/// one or two requests a second this is about 15 s, so that the noise of single samples averages out and a
/// lasting change shows within a minute.
const LASTING_SAMPLES: f64 = 24.0;

/// Time after which the lasting factor of a server without new samples counts for 1/e, in milliseconds. A
/// server that was found slow gets no requests while others are free, so that nothing else would show that
/// it has recovered.
const STALE_MS: f64 = 60_000.0;

/// Part of the deviation of one sample that counts as a spell. The rest is noise of the estimate.
const SPELL_GAIN: f64 = 0.7;

/// Weight that a sample keeps in the line of a service with each later one. 1/e after 1,000 samples, which
/// are some seconds of a service.
const LINE_DECAY: f64 = 0.999;

/// Weight of the samples below which the line is the default.
const MIN_LINE_SAMPLES: f64 = 12.0;

/// Time for a token and base time before any sample, in milliseconds. Both are at the slow end of the
/// engines known, so that a service without samples prefers cached prompts.
const DEFAULT_TOKEN_MS: f64 = 0.03;
const DEFAULT_BASE_MS: f64 = 50.0;

/// Bounds of the learnt time for a token, in milliseconds: a factor of 100 around known engines (0.009 to
/// 0.031). They keep a line through a few odd samples from deciding everything.
const TOKEN_MS: [f64; 2] = [0.000_3, 3.0];

/// Bounds of the ratio of one sample to the expected time. A larger one tells nothing about the speed of
/// work: the request waited for something else.
const RATIO: [f64; 2] = [0.2, 5.0];

/// Standard deviation of the logarithm of a server's factor before any sample: between the fastest and the
/// usual engines of a deployment lies a factor of 0.7.
const DEFAULT_SPREAD: f64 = 0.35;

/// Number of samples from which a server counts for how uneven a service is. With fewer, the estimate of the
/// noise itself is too uncertain.
const MIN_UNEVEN_SAMPLES: u32 = 6;

/// Number of such servers from which a service can count as uneven. Fewer may differ by chance.
const MIN_UNEVEN_SERVERS: usize = 6;

/// Weighted sums of the samples of a service.
#[derive(Clone, Copy, Debug, Default)]
struct Sums {
    weight: f64,
    tokens: f64,
    ms: f64,
    tokens_squared: f64,
    product: f64,
}

/// Usual time to the first event of a service's servers, as a line over the tokens to prefill.
#[derive(Clone, Copy, Debug)]
pub struct Line {
    sums: Sums,
    /// Time without any tokens, in milliseconds.
    pub base_ms: f64,
    /// Time for each token, in milliseconds.
    pub token_ms: f64,
}

impl Default for Line {
    fn default() -> Self {
        Self {
            sums: Sums::default(),
            base_ms: DEFAULT_BASE_MS,
            token_ms: DEFAULT_TOKEN_MS,
        }
    }
}

impl Line {
    /// Records the time to the first event after the prefill of this many tokens.
    pub fn observe(&mut self, tokens: f64, ms: f64) {
        let sums = &mut self.sums;
        let add = |sum: &mut f64, value: f64| *sum = *sum * LINE_DECAY + value;
        add(&mut sums.weight, 1.0);
        add(&mut sums.tokens, tokens);
        add(&mut sums.ms, ms);
        add(&mut sums.tokens_squared, tokens * tokens);
        add(&mut sums.product, tokens * ms);
        if sums.weight < MIN_LINE_SAMPLES {
            return;
        }
        let mean_tokens = sums.tokens / sums.weight;
        let mean_ms = sums.ms / sums.weight;
        let variance = sums.tokens_squared / sums.weight - mean_tokens * mean_tokens;
        let covariance = sums.product / sums.weight - mean_tokens * mean_ms;
        // Samples of equal sizes give no line, only its value there.
        let is_spread = variance > (mean_tokens * 0.05).powi(2) + 1.0;
        let token_ms = if is_spread {
            covariance / variance
        } else {
            mean_ms / (mean_tokens + 1.0)
        };
        let most_ms = (mean_ms / (mean_tokens + 1.0)).clamp(TOKEN_MS[0], TOKEN_MS[1]);
        self.token_ms = token_ms.clamp(TOKEN_MS[0], most_ms);
        self.base_ms = (mean_ms - self.token_ms * mean_tokens).max(0.0);
    }

    /// Returns the usual time to the first event, in milliseconds.
    pub fn expected_ms(&self, tokens: f64) -> f64 {
        self.base_ms + self.token_ms * tokens
    }
}

/// Speed of one server, relative to its service.
#[derive(Clone, Copy, Debug, Default)]
pub struct Speed {
    // Logarithms of factors.
    lasting: f64,
    spell: f64,
    variance: f64,
    /// Number of samples.
    pub samples: u32,
    seen_at: Instant,
}

impl Speed {
    /// Records that work took `ratio` times as long as usual.
    pub fn observe(&mut self, now: Instant, ratio: f64) {
        if !ratio.is_finite() {
            return;
        }
        let log = ratio.clamp(RATIO[0], RATIO[1]).ln();
        let error = log - self.lasting;
        let gain = (1.0 / (f64::from(self.samples) + 1.0)).max(1.0 / LASTING_SAMPLES);
        if self.samples > 0 {
            self.variance += gain * (error * error - self.variance);
        } else {
            self.variance = DEFAULT_SPREAD * DEFAULT_SPREAD;
        }
        let kept = self.spell_weight(now);
        self.lasting += gain * error;
        self.spell = kept * self.spell + (1.0 - kept) * SPELL_GAIN * (log - self.lasting);
        self.samples = self.samples.saturating_add(1);
        self.seen_at = now;
    }

    /// Records how long work takes there now, as the server states it: `ratio` times as long as usual there.
    pub fn observe_pace(&mut self, now: Instant, ratio: f64) {
        self.spell = ratio.clamp(RATIO[0], RATIO[1]).ln();
        self.seen_at = now;
    }

    fn spell_weight(&self, now: Instant) -> f64 {
        (-(now.since_ms(self.seen_at) as f64) / SPELL_MS).exp()
    }

    /// Returns how many times as long as usual work is expected to take now. `median` is the factor of a
    /// server without samples.
    pub fn factor(&self, now: Instant, median: f64) -> f64 {
        if self.samples == 0 && self.spell == 0.0 {
            return median;
        }
        let age_ms = now.since_ms(self.seen_at) as f64;
        let usual = median.ln();
        let lasting = if self.samples == 0 {
            usual
        } else {
            usual + (self.lasting - usual) * (-age_ms / STALE_MS).exp()
        };
        // Spares the exponential for the usual server, of which nothing was heard for a while.
        if age_ms > SPELL_MS * 6.0 || self.spell == 0.0 {
            return lasting.exp();
        }
        (lasting + self.spell * self.spell_weight(now)).exp()
    }

    /// Returns the lasting factor, if there are samples.
    pub fn lasting(&self) -> Option<f64> {
        (self.samples > 0).then(|| self.lasting.exp())
    }

    /// Returns the standard deviation of the factor, relative to it.
    pub fn spread(&self) -> f64 {
        if self.samples == 0 {
            DEFAULT_SPREAD
        } else {
            self.variance.sqrt()
        }
    }

    /// Returns the time since the newest sample, in milliseconds, if there is one.
    pub fn age_ms(&self, now: Instant) -> Option<u64> {
        (self.samples > 0).then(|| now.since_ms(self.seen_at))
    }
}

/// Returns the median of the lasting factors of servers, 1 if none has samples.
pub fn median<'a>(speeds: impl Iterator<Item = &'a Speed>) -> f64 {
    let mut factors: Vec<f64> = speeds.filter_map(Speed::lasting).collect();
    if factors.is_empty() {
        return 1.0;
    }
    let middle = factors.len() / 2;
    *factors.select_nth_unstable_by(middle, f64::total_cmp).1
}

/// Returns how much the lasting factors of servers differ, as the standard deviation of their logarithms
/// beyond the noise of the estimates.
pub fn unevenness<'a>(speeds: impl Iterator<Item = &'a Speed>) -> f64 {
    let known: Vec<&Speed> = speeds
        .filter(|speed| speed.samples >= MIN_UNEVEN_SAMPLES)
        .collect();
    if known.len() < MIN_UNEVEN_SERVERS {
        return 0.0;
    }
    let count = known.len() as f64;
    let mean = known.iter().map(|speed| speed.lasting).sum::<f64>() / count;
    let squares = known.iter().map(|speed| (speed.lasting - mean).powi(2));
    // The mean of an exponential average varies like that of twice as many samples.
    let noise = known.iter().map(|speed| {
        let samples = f64::from(speed.samples).min(2.0 * LASTING_SAMPLES - 1.0);
        speed.variance / samples
    });
    let variance = squares.sum::<f64>() / (count - 1.0) - noise.sum::<f64>() / count;
    variance.max(0.0).sqrt()
}

/// A mean in which old values fade.
#[derive(Clone, Copy, Debug, Default)]
pub struct Mean {
    sum: f64,
    weight: f64,
}

impl Mean {
    /// Records a value.
    pub fn observe(&mut self, value: f64) {
        self.sum = self.sum * LINE_DECAY + value;
        self.weight = self.weight * LINE_DECAY + 1.0;
    }

    /// Returns the mean, or `default` without values.
    pub fn value(&self, default: f64) -> f64 {
        if self.weight > 0.0 {
            self.sum / self.weight
        } else {
            default
        }
    }
}
