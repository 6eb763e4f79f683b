//! Draws troubles that come in groups, from a random sequence of their own: silent back ends, graceful stops and
//! slow readers beside configuration changes, or what disturbs the nodes' agreement on customers' limits.

use std::time::Duration;

use rand::rngs::ChaCha8Rng;
use rand::{RngExt, SeedableRng};

use super::{Fault, Services};
use crate::history::Moment;

/// Random sequence from which troubles are drawn.
const TROUBLE_STREAM: u64 = 2;
/// Range of the time between two troubles, in milliseconds.
const TROUBLE_INTERVAL_MS: std::ops::Range<u64> = 900..3000;
/// Range of the time for which back ends are silent, in milliseconds.
const SILENCE_MS: std::ops::Range<u64> = 800..2600;
/// Time within which a change comes before or after the start of another trouble, in milliseconds.
const OVERLAP_MS: u64 = 700;
/// Range of the time between two stops of a series, or two kills, in milliseconds.
const SERIES_INTERVAL_MS: std::ops::Range<u64> = 200..2500;
/// Range of the delay of links between nodes, in milliseconds.
const PEER_DELAY_MS: std::ops::Range<u64> = 1500..3000;
/// Range of the time for which links between nodes are delayed or cut, in milliseconds.
const PEER_FAULT_MS: std::ops::Range<u64> = 4000..10_000;
/// Fraction of the runs whose troubles disturb the agreement on customers' limits.
const QUOTA_PROBABILITY: f64 = 0.4;

/// A fault with its start.
type Timed = (Moment, Fault);

/// Draws the troubles of a run.
pub(crate) fn plan_troubles(seed: u64, from: Moment, to: Moment, nodes: usize) -> Vec<Timed> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(TROUBLE_STREAM);
    let mut draws = Draws { rng, nodes };
    let is_quota = draws.rng.random_bool(QUOTA_PROBABILITY);
    let mut plan = Vec::new();
    let mut at = from;
    while at < to {
        match is_quota {
            true => draws.quota_trouble(at, &mut plan),
            false => draws.call_trouble(at, &mut plan),
        }
        at += draws.millis(TROUBLE_INTERVAL_MS);
    }
    plan.retain(|(at, _)| *at <= to);
    plan
}

/// Source of random troubles.
struct Draws {
    rng: ChaCha8Rng,
    nodes: usize,
}

impl Draws {
    fn millis(&mut self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.rng.random_range(range))
    }

    fn node(&mut self) -> usize {
        self.rng.random_range(0..self.nodes)
    }

    /// Draws a moment shortly before or after another.
    fn beside(&mut self, at: Moment) -> Moment {
        let offset = self.millis(0..OVERLAP_MS * 2);
        (at + offset).saturating_sub(Duration::from_millis(OVERLAP_MS))
    }

    fn stop(&mut self) -> Fault {
        Fault::Stop {
            node: self.node(),
            down: self.millis(100..1500),
        }
    }

    /// Draws a trouble that no call may be lost in.
    fn call_trouble(&mut self, at: Moment, plan: &mut Vec<Timed>) {
        match self.rng.random_range(0..100) {
            0..55 => self.silence(at, plan),
            55..75 => self.stop_series(at, plan),
            75..88 => {
                let readers = self.rng.random_range(3..8);
                let node = self.node();
                plan.push((at, Fault::SlowReaders { node, readers }));
            }
            88..95 => plan.push((at, Fault::Configure)),
            _ => {
                let fault = self.node_fault();
                plan.push((at, fault));
            }
        }
    }

    fn silence(&mut self, at: Moment, plan: &mut Vec<Timed>) {
        let silence = Fault::Silence {
            services: match self.rng.random_bool(0.4) {
                true => Services::All,
                false => Services::Streams,
            },
            share: match self.rng.random_bool(0.5) {
                true => 1.0,
                false => self.rng.random_range(0.3..0.9),
            },
            order: self.rng.random(),
            time: self.millis(SILENCE_MS),
        };
        plan.push((at, silence));
        if self.rng.random_bool(0.6) {
            plan.push((self.beside(at), Fault::Configure));
        }
        if self.rng.random_bool(0.5) {
            let at = self.beside(at);
            let stop = self.stop();
            plan.push((at, stop));
        }
    }

    fn stop_series(&mut self, at: Moment, plan: &mut Vec<Timed>) {
        let mut at = at;
        for _ in 0..self.rng.random_range(2..5) {
            let stop = self.stop();
            plan.push((at, stop));
            if self.rng.random_bool(0.5) {
                plan.push((self.beside(at), Fault::Configure));
            }
            if self.rng.random_bool(0.15) {
                let at = self.beside(at);
                let fault = self.node_fault();
                plan.push((at, fault));
            }
            at += self.millis(SERIES_INTERVAL_MS);
        }
    }

    fn node_fault(&mut self) -> Fault {
        let node = self.node();
        match self.rng.random_bool(0.5) {
            true => Fault::Kill {
                node,
                down: self.millis(100..1500),
            },
            false => Fault::Freeze {
                node,
                time: self.millis(300..2500),
            },
        }
    }

    /// Draws a trouble that disturbs the nodes' agreement on customers' limits.
    fn quota_trouble(&mut self, at: Moment, plan: &mut Vec<Timed>) {
        let time = self.millis(PEER_FAULT_MS);
        match self.rng.random_range(0..100) {
            0..40 => self.kill_series(at, plan),
            40..60 => {
                let delay = self.millis(PEER_DELAY_MS);
                plan.push((at, Fault::PeerDelay { delay, time }));
            }
            60..75 => {
                let first_part = self.nodes / 2;
                plan.push((at, Fault::PeerSplit { first_part, time }));
            }
            75..90 => {
                let fault = Fault::FreezeMany {
                    first: self.node(),
                    count: self.most(),
                    time: self.millis(500..3000),
                };
                plan.push((at, fault));
            }
            _ => plan.push((at, Fault::Configure)),
        }
    }

    /// Draws a number of nodes from half of them to all.
    fn most(&mut self) -> usize {
        self.rng.random_range(self.nodes.div_ceil(2)..=self.nodes)
    }

    fn kill_series(&mut self, at: Moment, plan: &mut Vec<Timed>) {
        let mut at = at;
        for _ in 0..self.rng.random_range(2..5) {
            let fault = Fault::KillMany {
                first: self.node(),
                count: self.most(),
                down: self.millis(100..800),
            };
            plan.push((at, fault));
            at += self.millis(SERIES_INTERVAL_MS);
        }
    }
}
