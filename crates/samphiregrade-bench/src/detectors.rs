//! Failure detectors compared on the same recorded delays.
//!
//! Probes go over real sockets through the fault proxy; what they took is recorded once for each
//! condition, and every detector then looks at the same record. At the end of each record one peer
//! stops answering for good.

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

/// Time between two rounds of probes.
const INTERVAL: Duration = Duration::from_millis(250);

/// Time for the last answers to come.
const LATE_ANSWERS: Duration = Duration::from_secs(2);

/// Peers that are probed.
const PEERS: usize = 6;

/// Rounds with every peer alive.
const LIVE_ROUNDS: usize = 120;

/// Rounds after one peer has stopped answering.
const DEAD_ROUNDS: usize = 24;

/// The peer that stops answering at the end.
const DYING_PEER: usize = 2;

/// Silence after which the product suspects an instance.
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

    /// Returns the faults of a peer's link in a round.
    fn faults(self, peer: usize, round: usize, rng: &mut SmallRng) -> LinkFaults {
        let mut faults = LinkFaults::default();
        match self {
            Self::Jittery => {
                // Mostly short, now and then long, some lost.
                let long = rng.random_bool(0.1);
                let most = if long { 900 } else { 80 };
                faults.delay_ms = rng.random_range(0..most);
                faults.drop = 0.1;
            }
            Self::SlowLink if peer == 0 => faults.delay_ms = 700,
            // Four rounds of pause now and then, shorter than the product's patience.
            Self::PausedPeer if peer == 0 => faults.half_open = round % 24 >= 20,
            Self::Quiet | Self::SlowLink | Self::PausedPeer => {}
        }
        faults.cut = round >= LIVE_ROUNDS && peer == DYING_PEER;
        faults
    }
}

/// What a detector came to under a condition.
#[derive(Clone, Debug, Serialize)]
pub struct DetectorResult {
    /// The condition.
    pub condition: SmolStr,
    /// The detector.
    pub detector: SmolStr,
    /// Begins of suspicions of a peer that was alive.
    pub false_suspicions: usize,
    /// Rounds in which a peer that was alive was suspected, over all peers.
    pub rounds_suspected: usize,
    /// From the last answer of the dead peer to its suspicion, in seconds; none where it never came.
    pub detection_seconds: Option<f64>,
}

/// When each round's probe was sent and answered.
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

/// Records delays and runs every detector on them; to be called inside a tokio runtime.
///
/// # Errors
///
/// Returns the error of a socket.
pub async fn compare_detectors() -> Result<Vec<DetectorResult>> {
    let records = join_all(LinkCondition::ALL.map(record)).await;
    let mut results = Vec::new();
    for (condition, rounds) in LinkCondition::ALL.into_iter().zip(records) {
        let rounds = rounds?;
        for kind in DetectorKind::ALL {
            results.push(judge(condition, kind, &rounds));
        }
    }
    Ok(results)
}

async fn start_peer() -> Result<ProbedPeer> {
    let echo = UdpSocket::bind("127.0.0.1:0")
        .await
        .context("binding a peer")?;
    let target = echo.local_addr()?;
    tokio::spawn(async move {
        let mut buffer = [0; 64];
        while let Ok((count, from)) = echo.recv_from(&mut buffer).await {
            // A lost answer is what the probes are about.
            let _ = echo.send_to(&buffer[..count], from).await;
        }
    });
    let near = StdSocket::bind("127.0.0.1:0")?;
    let address = near.local_addr()?;
    let link = FaultLink::default();
    tokio::spawn(link.clone().run_udp(near, target));
    let socket = Arc::new(UdpSocket::bind("127.0.0.1:0").await?);
    socket.connect(address).await?;
    let log: Arc<Mutex<ProbeLog>> = Arc::default();
    tokio::spawn(note_answers(socket.clone(), log.clone()));
    Ok(ProbedPeer { link, socket, log })
}

async fn note_answers(socket: Arc<UdpSocket>, log: Arc<Mutex<ProbeLog>>) {
    let mut buffer = [0; 4];
    while socket.recv(&mut buffer).await.is_ok() {
        let round = u32::from_be_bytes(buffer) as usize;
        let mut log = log.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(answered) = log.answered.get_mut(round) {
            *answered = Some(Instant::now());
        }
    }
}

/// Records the delays of all rounds under a condition.
async fn record(condition: LinkCondition) -> Result<Vec<RoundObservation>> {
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
    tokio::time::sleep(LATE_ANSWERS).await;
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

    /// Returns how long the answer of a round took.
    fn delay(&self, round: usize) -> Option<Duration> {
        let log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        let sent = *log.sent.get(round)?;
        let answered = (*log.answered.get(round)?)?;
        Some(answered - sent)
    }
}

fn judge(
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
            if number >= LIVE_ROUNDS && peer == DYING_PEER {
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
