//! Compares failure detectors on the same recorded probe delays.
//!
//! Probes are sent over real sockets through the fault proxy. Their delays are recorded once for each
//! condition, and every detector is run on the same recording. At the end of each recording one peer
//! stops responding for good.

use std::net::UdpSocket as StdSocket;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use futures_util::future::join_all;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use samphiregrade::membership::{DetectorKind, RoundObservation};
use samphiregrade_standins::proxy::{FaultLink, LinkFaults};
use serde::Serialize;
use smol_str::SmolStr;
use tokio::net::UdpSocket;

/// Interval between two rounds of probes.
const INTERVAL: Duration = Duration::from_millis(250);

/// Time to wait for late responses after the last round.
const LATE_RESPONSE_TIME: Duration = Duration::from_secs(2);

/// Number of probed peers.
const PEERS: usize = 6;

/// Number of rounds in which every peer is alive.
const LIVE_ROUNDS: usize = 120;

/// Number of rounds after one peer has stopped responding.
const DEAD_ROUNDS: usize = 24;

/// Index of the peer that stops responding at the end.
const FAILING_PEER: usize = 2;

/// Time without a response after which samphiregrade suspects an instance.
const SUSPECT_AFTER: Duration = Duration::from_millis(1200);

/// A condition of the network or of a peer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum LinkCondition {
    Quiet,
    Jittery,
    SlowLink,
    PausedPeer,
}

impl LinkCondition {
    const ALL: [Self; 4] = [Self::Quiet, Self::Jittery, Self::SlowLink, Self::PausedPeer];

    fn name(self) -> &'static str {
        match self {
            Self::Quiet => "quiet",
            Self::Jittery => "jittery",
            Self::SlowLink => "one slow link",
            Self::PausedPeer => "paused process",
        }
    }

    /// Returns the faults to inject into a peer's link in a round.
    fn faults(self, peer: usize, round: usize, rng: &mut SmallRng) -> LinkFaults {
        let mut faults = LinkFaults::default();
        match self {
            Self::Jittery => {
                // One delay in ten is long, the others are short, and one packet in ten is lost.
                let is_long = rng.random_bool(0.1);
                let longest_ms = if is_long { 900 } else { 80 };
                faults.delay_ms = rng.random_range(0..longest_ms);
                faults.drop = 0.1;
            }
            Self::SlowLink if peer == 0 => faults.delay_ms = 700,
            // Pauses of four rounds in every 24: 1 s, shorter than `SUSPECT_AFTER`.
            Self::PausedPeer if peer == 0 => faults.half_open = round % 24 >= 20,
            Self::Quiet | Self::SlowLink | Self::PausedPeer => {}
        }
        faults.cut = round >= LIVE_ROUNDS && peer == FAILING_PEER;
        faults
    }
}

/// Result of a detector under a condition.
#[derive(Clone, Debug, Serialize)]
pub struct DetectorResult {
    /// The condition.
    pub condition: SmolStr,
    /// The detector.
    pub detector: SmolStr,
    /// Number of times that a detector started to suspect a peer that was alive.
    pub false_suspicions: usize,
    /// Number of rounds in which a peer that was alive was suspected, summed over the peers.
    pub rounds_suspected: usize,
    /// Time from the last response of the dead peer to its suspicion, in seconds; `None` if it was never suspected.
    pub detection_seconds: Option<f64>,
}

/// Times at which the probe of each round was sent and its response received.
#[derive(Debug, Default)]
struct ProbeLog {
    sent: Vec<Instant>,
    answered: Vec<Option<Instant>>,
}

struct ProbedPeer {
    link: FaultLink,
    socket: Arc<UdpSocket>,
    log: Arc<Mutex<ProbeLog>>,
}

/// Records the delays and runs every detector on them. Must be called inside a tokio runtime.
///
/// # Errors
///
/// Returns an error if a socket can't be bound or used.
pub async fn compare_detectors() -> Result<Vec<DetectorResult>> {
    let recordings = join_all(LinkCondition::ALL.map(record_delays)).await;
    let mut results = Vec::new();
    for (condition, rounds) in LinkCondition::ALL.into_iter().zip(recordings) {
        let rounds = rounds?;
        for kind in DetectorKind::ALL {
            results.push(run_detector(condition, kind, &rounds));
        }
    }
    Ok(results)
}

async fn start_peer() -> Result<ProbedPeer> {
    let echo = UdpSocket::bind("127.0.0.1:0")
        .await
        .context("binding the socket of a probed peer")?;
    let target = echo.local_addr()?;
    tokio::spawn(async move {
        let mut buffer = [0; 64];
        while let Ok((count, from)) = echo.recv_from(&mut buffer).await {
            // The error is ignored: to the prober a failed send is a lost response.
            let _ = echo.send_to(&buffer[..count], from).await;
        }
    });
    let near_socket = StdSocket::bind("127.0.0.1:0")?;
    let address = near_socket.local_addr()?;
    let link = FaultLink::default();
    tokio::spawn(link.clone().run_udp(near_socket, target));
    let socket = Arc::new(UdpSocket::bind("127.0.0.1:0").await?);
    socket.connect(address).await?;
    let log: Arc<Mutex<ProbeLog>> = Arc::default();
    tokio::spawn(record_responses(socket.clone(), log.clone()));
    Ok(ProbedPeer { link, socket, log })
}

async fn record_responses(socket: Arc<UdpSocket>, log: Arc<Mutex<ProbeLog>>) {
    let mut buffer = [0; 4];
    while socket.recv(&mut buffer).await.is_ok() {
        let round = u32::from_be_bytes(buffer) as usize;
        let mut log = log.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(answered) = log.answered.get_mut(round) {
            *answered = Some(Instant::now());
        }
    }
}

/// Records the probe delays of all rounds under a condition.
async fn record_delays(condition: LinkCondition) -> Result<Vec<RoundObservation>> {
    let mut rng = SmallRng::seed_from_u64(7);
    let mut peers = Vec::new();
    for _ in 0..PEERS {
        peers.push(start_peer().await?);
    }
    for round in 0..LIVE_ROUNDS + DEAD_ROUNDS {
        let started = Instant::now();
        for (number, peer) in peers.iter().enumerate() {
            peer.link
                .set_faults(condition.faults(number, round, &mut rng));
            peer.probe(u32::try_from(round).unwrap_or(u32::MAX)).await?;
        }
        tokio::time::sleep_until((started + INTERVAL).into()).await;
    }
    tokio::time::sleep(LATE_RESPONSE_TIME).await;
    let rounds = (0..LIVE_ROUNDS + DEAD_ROUNDS).map(|round| RoundObservation {
        interval: INTERVAL,
        delays: peers.iter().map(|peer| peer.delay(round)).collect(),
    });
    Ok(rounds.collect())
}

impl ProbedPeer {
    async fn probe(&self, round: u32) -> Result<()> {
        {
            let mut log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
            log.sent.push(Instant::now());
            log.answered.push(None);
        }
        self.socket.send(&round.to_be_bytes()).await?;
        Ok(())
    }

    /// Returns the delay of the response of a round; `None` if there was no response.
    fn delay(&self, round: usize) -> Option<Duration> {
        let log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        let sent = *log.sent.get(round)?;
        let answered = (*log.answered.get(round)?)?;
        Some(answered - sent)
    }
}

fn run_detector(
    condition: LinkCondition,
    kind: DetectorKind,
    rounds: &[RoundObservation],
) -> DetectorResult {
    let mut detector = kind.make(SUSPECT_AFTER);
    let mut before = vec![false; PEERS];
    let (mut false_suspicions, mut rounds_suspected, mut detected) = (0, 0, None);
    for (number, round) in rounds.iter().enumerate() {
        let suspected = detector.observe(round);
        for peer in 0..PEERS {
            if number >= LIVE_ROUNDS && peer == FAILING_PEER {
                if suspected[peer] {
                    detected.get_or_insert(number - LIVE_ROUNDS + 1);
                }
                continue;
            }
            if suspected[peer] {
                rounds_suspected += 1;
                false_suspicions += usize::from(!before[peer]);
            }
        }
        before = suspected;
    }
    let detected = detected.and_then(|rounds| u32::try_from(rounds).ok());
    DetectorResult {
        condition: condition.name().into(),
        detector: kind.name().into(),
        false_suspicions,
        rounds_suspected,
        detection_seconds: detected.map(|rounds| (INTERVAL * rounds).as_secs_f64()),
    }
}
