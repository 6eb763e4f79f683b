//! Relative times of calls by the occupancy at which they were placed.

use std::time::Duration;

use super::sample::BANDS;
use crate::core::time::Moment;

/// Time in which the weight of a sample falls to 1/e.
const SAMPLE_WINDOW: Duration = Duration::from_secs(5);
/// Weight of samples on each side of a split from which the two sides are compared.
const MIN_WEIGHT: f64 = 5.0;
/// Ratio of the times above and below a split from which the back end counts as slowing down there.
const SLOWDOWN: f64 = 1.5;
/// Smallest assumed scatter of single times, as a fraction of their mean: few samples may agree by chance.
const MIN_SCATTER: f64 = 0.4;
/// Difference of the two means, in standard errors, below which it may be scatter.
const MIN_STANDARD_ERRORS: f64 = 3.0;
/// Largest slowdown of the other back ends that is allowed for: batches of calls, and queues known late.
const MAX_COMMON_SLOWDOWN: f64 = 1.6;

/// Weighted sums of relative times.
#[derive(Clone, Copy, Debug, Default)]
struct Sums {
    weight: f64,
    sum: f64,
    squares: f64,
}

impl Sums {
    fn add(&mut self, relative: f64) {
        self.weight += 1.0;
        self.sum += relative;
        self.squares += relative * relative;
    }

    fn scale(&mut self, factor: f64) {
        self.weight *= factor;
        self.sum *= factor;
        self.squares *= factor;
    }

    fn plus(self, other: Self) -> Self {
        Self {
            weight: self.weight + other.weight,
            sum: self.sum + other.sum,
            squares: self.squares + other.squares,
        }
    }

    fn minus(self, other: Self) -> Self {
        Self {
            weight: (self.weight - other.weight).max(0.0),
            sum: (self.sum - other.sum).max(0.0),
            squares: (self.squares - other.squares).max(0.0),
        }
    }

    fn mean(&self) -> f64 {
        self.sum / self.weight.max(1e-9)
    }

    /// Returns the square of the standard error of the mean.
    fn error_squared(&self) -> f64 {
        let mean = self.mean();
        let variance = self.squares / self.weight.max(1e-9) - mean * mean;
        let variance = variance.max((MIN_SCATTER * mean).powi(2));
        variance / self.weight.max(1e-9)
    }
}

/// The samples below and above a split.
struct Sides {
    below: Sums,
    above: Sums,
}

impl Sides {
    fn are_known(&self) -> bool {
        self.below.weight >= MIN_WEIGHT && self.above.weight >= MIN_WEIGHT
    }

    fn slowdown(&self) -> f64 {
        self.above.mean() / self.below.mean().max(1e-6)
    }

    fn is_significant(&self) -> bool {
        let error = (self.below.error_squared() + self.above.error_squared()).sqrt();
        self.above.mean() - self.below.mean() > MIN_STANDARD_ERRORS * error
    }

    /// Returns how much of the scatter of all samples the split explains.
    fn explained(&self) -> f64 {
        let weight =
            self.below.weight * self.above.weight / (self.below.weight + self.above.weight);
        weight * (self.above.mean() - self.below.mean()).powi(2)
    }
}

/// Decaying sums of the samples in each band.
#[derive(Clone, Debug, Default)]
pub struct Profile {
    bands: [Sums; BANDS],
    at: Moment,
    last_sample: Moment,
}

impl Profile {
    /// Adds a sample.
    pub fn add(&mut self, band: usize, relative: f64, now: Moment) {
        self.decay(now);
        self.bands[band.min(BANDS - 1)].add(relative);
        self.last_sample = now;
    }

    /// Lets the weights of all samples decay until `now`.
    pub fn decay(&mut self, now: Moment) {
        let age = now.saturating_sub(self.at).as_secs_f64();
        let factor = (-age / SAMPLE_WINDOW.as_secs_f64()).exp();
        for sums in &mut self.bands {
            sums.scale(factor);
        }
        self.at = self.at.max(now);
    }

    /// Returns the weight of all samples.
    pub fn weight(&self) -> f64 {
        self.bands.iter().map(|sums| sums.weight).sum()
    }

    /// Returns the mean relative time, or `None` if there are too few samples.
    pub fn mean(&self) -> Option<f64> {
        let all = self
            .bands
            .iter()
            .fold(Sums::default(), |all, s| all.plus(*s));
        (all.weight >= MIN_WEIGHT).then(|| all.mean())
    }

    /// Returns whether there are no samples of any weight at `now`.
    pub fn is_empty(&self, now: Moment) -> bool {
        now.saturating_sub(self.last_sample) > SAMPLE_WINDOW * 4
    }

    /// Returns the time since the last sample.
    pub fn age(&self, now: Moment) -> Duration {
        now.saturating_sub(self.last_sample)
    }

    /// Returns the band from which on calls take longer than below it, by more than at the other back ends of the
    /// service. `service` is the profile of all of these, this one included; both have decayed to the same moment.
    pub fn slow_from(&self, service: &Self) -> Option<usize> {
        let splits = (1..BANDS).map(|split| (split, self.sides(split)));
        let slow = splits.filter(|(split, sides)| {
            sides.are_known()
                && sides.slowdown() >= SLOWDOWN * service.common_slowdown(self, *split)
                && sides.is_significant()
        });
        slow.max_by(|(_, a), (_, b)| a.explained().total_cmp(&b.explained()))
            .map(|(split, _)| split)
    }

    /// Returns whether the back end is slower than the others of its service, and nothing is known of its calls at low
    /// occupancy.
    pub fn is_slow_when_busy(&self, service: &Self) -> bool {
        let own = self.sides(BANDS / 2);
        let all = service.sides(BANDS / 2);
        let sides = Sides {
            below: all.above.minus(own.above),
            above: own.above,
        };
        let is_slow = sides.are_known() && sides.slowdown() >= SLOWDOWN && sides.is_significant();
        is_slow && own.below.weight < MIN_WEIGHT
    }

    /// Returns the ratio of the times from `split` on and below it, or `None` if there are no calls from it on, or it is
    /// the lowest occupancy. Without calls below it, the average of the service stands for them.
    pub fn ratio_from(&self, split: usize) -> Option<f64> {
        if split == 0 {
            return None;
        }
        let mut sides = self.sides(split);
        if sides.below.weight < 1.0 {
            sides.below = Sums::default();
            sides.below.add(1.0);
        }
        (sides.above.weight >= 1.0).then(|| sides.slowdown())
    }

    /// Removes the samples from `split` on, and returns them.
    pub fn take_from(&mut self, split: usize) -> Self {
        let mut taken = self.clone();
        for band in 0..BANDS {
            let side = match band < split {
                true => &mut taken,
                false => &mut *self,
            };
            side.bands[band] = Sums::default();
        }
        taken
    }

    /// Removes samples that were added to this profile, too.
    pub fn subtract(&mut self, part: &Self) {
        for (sums, part) in self.bands.iter_mut().zip(&part.bands) {
            *sums = sums.minus(*part);
        }
    }

    fn sides(&self, split: usize) -> Sides {
        let sum = |bands: &[Sums]| bands.iter().fold(Sums::default(), |all, s| all.plus(*s));
        Sides {
            below: sum(&self.bands[..split]),
            above: sum(&self.bands[split..]),
        }
    }

    /// Returns the slowdown of the back ends other than `own`; 1 if too little is known of it.
    fn common_slowdown(&self, own: &Self, split: usize) -> f64 {
        let (all, own) = (self.sides(split), own.sides(split));
        let others = Sides {
            below: all.below.minus(own.below),
            above: all.above.minus(own.above),
        };
        match others.are_known() {
            true => others.slowdown().clamp(1.0, MAX_COMMON_SLOWDOWN),
            false => 1.0,
        }
    }
}
