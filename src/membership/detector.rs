//! Failure detectors that work on the same observations: a plain timeout, phi-accrual, and the hybrid of
//! Mostefaoui, Raynal and Travers, "Time-Free and Timer-Based Assumptions Can Be Combined to Obtain
//! Eventual Leadership" (IEEE TPDS 17(7), 2006).
//!
//! An observation is one round of probes: how long each peer took to reply. After each round, a detector
//! returns which peers it suspects. `samphiregrade-bench detectors` runs them on recorded delays.

use std::collections::VecDeque;
use std::str::FromStr;
use std::time::Duration;

use thiserror::Error;

/// One round of probes: the delay of each peer's reply, `None` if no reply arrived.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RoundObservation {
    /// Time since the previous round.
    pub interval: Duration,
    /// Delay of each peer's reply.
    pub delays: Vec<Option<Duration>>,
}

/// Decides after each round of probes which peers it suspects.
pub trait FailureDetector {
    /// Processes a round and returns for each peer whether it is suspected.
    fn observe(&mut self, round: &RoundObservation) -> Vec<bool>;
}

/// The detectors that an experiment can select.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DetectorKind {
    /// Suspects a peer after a fixed time without a reply.
    Timeout,
    /// Suspects a peer when the time without a reply is improbably long.
    Phi,
    /// Trusts a peer that replies in time or among the first.
    Hybrid,
}

/// A name that belongs to no detector.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("there is no detector `{0}`; use timeout, phi or hybrid")]
pub struct DetectorNameError(String);

impl FromStr for DetectorKind {
    type Err = DetectorNameError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "timeout" => Ok(Self::Timeout),
            "phi" => Ok(Self::Phi),
            "hybrid" => Ok(Self::Hybrid),
            other => Err(DetectorNameError(other.to_owned())),
        }
    }
}

impl DetectorKind {
    /// Every detector.
    pub const ALL: [Self; 3] = [Self::Timeout, Self::Phi, Self::Hybrid];

    /// Returns the name of the detector.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Timeout => "timeout",
            Self::Phi => "phi",
            Self::Hybrid => "hybrid",
        }
    }

    /// Creates the detector with the settings that samphiregrade uses, or would use if it used this detector.
    #[must_use]
    pub fn make(self, suspect_after: Duration) -> Box<dyn FailureDetector> {
        match self {
            Self::Timeout => Box::new(TimeoutDetector::new(suspect_after)),
            Self::Phi => Box::new(PhiDetector::default()),
            Self::Hybrid => Box::new(HybridDetector::default()),
        }
    }
}

/// Suspects a peer whose last reply is older than a fixed time.
#[derive(Clone, Debug)]
pub struct TimeoutDetector {
    suspect_after: Duration,
    since_reply: Vec<Duration>,
}

impl TimeoutDetector {
    /// Creates a detector with the time without a reply after which it suspects a peer.
    #[must_use]
    pub fn new(suspect_after: Duration) -> Self {
        Self {
            suspect_after,
            since_reply: Vec::new(),
        }
    }
}

impl FailureDetector for TimeoutDetector {
    fn observe(&mut self, round: &RoundObservation) -> Vec<bool> {
        self.since_reply.resize(round.delays.len(), Duration::ZERO);
        for (since_reply, delay) in self.since_reply.iter_mut().zip(&round.delays) {
            *since_reply = match delay {
                Some(delay) if *delay < round.interval => Duration::ZERO,
                Some(delay) => *delay,
                None => *since_reply + round.interval,
            };
        }
        self.since_reply
            .iter()
            .map(|since_reply| *since_reply > self.suspect_after)
            .collect()
    }
}

/// Intervals between replies that [`PhiDetector`] stores for each peer.
const PHI_WINDOW: usize = 100;

/// Intervals between replies that [`PhiDetector`] needs before it suspects a peer.
const PHI_SAMPLES: usize = 5;

/// Suspects a peer when the time since its last reply is improbably long given its past replies (phi-accrual).
#[derive(Clone, Debug)]
pub struct PhiDetector {
    threshold: f64,
    peers: Vec<PhiPeer>,
}

#[derive(Clone, Debug, Default)]
struct PhiPeer {
    gaps: VecDeque<f64>,
    since_reply: f64,
    last_delay: f64,
}

impl Default for PhiDetector {
    fn default() -> Self {
        Self {
            threshold: 8.0,
            peers: Vec::new(),
        }
    }
}

impl PhiPeer {
    fn observe(&mut self, interval: f64, delay: Option<f64>) {
        self.since_reply += interval;
        let Some(delay) = delay else { return };
        let gap = (self.since_reply + delay - self.last_delay).max(0.0);
        self.gaps.push_back(gap);
        if self.gaps.len() > PHI_WINDOW {
            self.gaps.pop_front();
        }
        self.since_reply = 0.0;
        self.last_delay = delay;
    }

    /// Returns the negative decimal logarithm of the probability of the time since the last reply.
    #[expect(clippy::cast_precision_loss, reason = "at most one window of samples")]
    fn phi(&self, interval: f64) -> f64 {
        if self.gaps.len() < PHI_SAMPLES {
            return 0.0;
        }
        let count = self.gaps.len() as f64;
        let mean = self.gaps.iter().sum::<f64>() / count;
        let variance = self
            .gaps
            .iter()
            .map(|gap| (gap - mean).powi(2))
            .sum::<f64>()
            / count;
        let deviation = variance.sqrt().max(interval / 4.0);
        let distance = (self.since_reply - mean) / deviation;
        // Logistic approximation of the normal distribution's tail.
        let exponent = (-distance * (1.5976 + 0.070_566 * distance * distance)).exp();
        let tail = if distance > 0.0 {
            exponent / (1.0 + exponent)
        } else {
            1.0 - 1.0 / (1.0 + exponent)
        };
        -tail.max(f64::MIN_POSITIVE).log10()
    }
}

impl FailureDetector for PhiDetector {
    fn observe(&mut self, round: &RoundObservation) -> Vec<bool> {
        self.peers.resize_with(round.delays.len(), PhiPeer::default);
        let interval = round.interval.as_secs_f64();
        for (peer, delay) in self.peers.iter_mut().zip(&round.delays) {
            peer.observe(interval, delay.map(|delay| delay.as_secs_f64()));
        }
        self.peers
            .iter()
            .map(|peer| peer.phi(interval) > self.threshold)
            .collect()
    }
}

/// Trusts a peer that replied in time, or among the first `n - f`, in one of the last rounds.
///
/// The timeout of a peer grows with every false suspicion, as in the paper's algorithm.
#[derive(Clone, Debug)]
pub struct HybridDetector {
    /// Rounds in which a peer replies neither in time nor among the first before it is suspected.
    rounds: u32,
    first_timeout: Duration,
    peers: Vec<HybridPeer>,
}

#[derive(Clone, Debug)]
struct HybridPeer {
    timeout: Duration,
    missed: u32,
}

impl Default for HybridDetector {
    fn default() -> Self {
        Self {
            rounds: 4,
            first_timeout: Duration::from_millis(50),
            peers: Vec::new(),
        }
    }
}

impl FailureDetector for HybridDetector {
    fn observe(&mut self, round: &RoundObservation) -> Vec<bool> {
        let first_timeout = self.first_timeout;
        self.peers.resize_with(round.delays.len(), || HybridPeer {
            timeout: first_timeout,
            missed: 0,
        });
        // The observer counts as one of the n processes; f is the largest minority.
        let processes = round.delays.len() + 1;
        let faulty = (processes - 1) / 2;
        let winners = processes - faulty - 1;
        let mut sorted_delays: Vec<Duration> = round.delays.iter().flatten().copied().collect();
        sorted_delays.sort();
        let last_winner = sorted_delays
            .get(winners.saturating_sub(1))
            .or(sorted_delays.last())
            .copied();
        for (peer, delay) in self.peers.iter_mut().zip(&round.delays) {
            let Some(delay) = *delay else {
                peer.missed += 1;
                continue;
            };
            let timely = delay <= peer.timeout;
            let winning = last_winner.is_some_and(|last| delay <= last);
            if peer.missed >= self.rounds {
                peer.timeout += first_timeout;
            }
            peer.missed = if timely || winning {
                0
            } else {
                peer.missed + 1
            };
        }
        self.peers
            .iter()
            .map(|peer| peer.missed >= self.rounds)
            .collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn rounds(detector: &mut dyn FailureDetector, delay: Option<Duration>, count: usize) -> bool {
        let round = RoundObservation {
            interval: Duration::from_millis(250),
            delays: vec![
                delay,
                Some(Duration::from_millis(1)),
                Some(Duration::from_millis(2)),
            ],
        };
        let mut suspected = false;
        for _ in 0..count {
            suspected = detector.observe(&round)[0];
        }
        suspected
    }

    #[test]
    fn every_detector_trusts_live_peers_and_suspects_dead_ones() {
        for kind in DetectorKind::ALL {
            let mut detector = kind.make(Duration::from_millis(1200));
            assert!(
                !rounds(&mut *detector, Some(Duration::from_millis(1)), 50),
                "{kind:?}"
            );
            assert!(rounds(&mut *detector, None, 20), "{kind:?}");
        }
    }
}
