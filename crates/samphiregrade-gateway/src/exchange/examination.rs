//! Examines later whether the upstream of a try lives, and records what is found.
//!
//! Right after a request was broken off nothing shows that its upstream lives: a process may close a connection before it ends,
//! and another one may accept connections at its address. The try counts until a response names the process.

use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::Serialize;
use smol_str::SmolStr;

use super::outcome::format_tag;
use super::try_record::TryRecorder;
use crate::fact::{RequestTry, TryState};
use crate::model::ServiceRecord;
use crate::observe::Logbook;
use crate::upstream::{LifeQuery, LifeSign, Upstream};

/// Time within which a process ends after it has closed the connection of the request that ends it.
pub(super) const LATE_END: Duration = Duration::from_millis(800);

/// Pauses before the examinations of one try: together they take longer than most interruptions of a path. The first one is longer
/// than the time within which a process ends, so that responses to other requests mostly show that it lives.
const EXAMINATION_PAUSES: [Duration; 6] = [
    Duration::from_secs(1),
    Duration::from_secs(1),
    Duration::from_secs(2),
    Duration::from_secs(4),
    Duration::from_secs(8),
    Duration::from_secs(16),
];

/// A try whose upstream has to be examined.
pub(super) struct TryExamination {
    pub recorder: TryRecorder,
    /// Service of the upstream.
    pub service: Arc<ServiceRecord>,
    pub upstream: Arc<Upstream>,
    pub recorded: RequestTry,
    /// When the request was broken off or abandoned.
    pub broke_at: Instant,
}

#[derive(Serialize)]
struct SurvivalLine<'line> {
    request: &'line str,
    request_tag: SmolStr,
    upstream: &'line str,
    sign: &'static str,
    work_left_ms: u128,
    after_ms: u128,
}

impl TryExamination {
    /// Examines the upstream in the background, unless too many examinations are pending.
    pub fn start(self) {
        let slot = self.recorder.context.suspects.take_examination_slot();
        let (Some(slot), Ok(runtime)) = (slot, tokio::runtime::Handle::try_current()) else {
            return;
        };
        runtime.spawn(async move {
            let _slot = slot;
            self.run().await;
        });
    }

    async fn run(mut self) {
        for pause in EXAMINATION_PAUSES {
            tokio::time::sleep(pause).await;
            let sign = self.query_life().await;
            self.log(sign);
            match sign {
                LifeSign::Lives => return self.conclude(TryState::Harmless),
                LifeSign::Replaced => return self.conclude(TryState::Ended),
                // A partition may refuse connections, too.
                LifeSign::Refused => self.conclude(TryState::Ended),
                LifeSign::Unknown => {}
            }
        }
    }

    /// Examines the upstream once; returns whether it lives, which is recorded.
    pub async fn has_survived(mut self) -> bool {
        let sign = self.query_life().await;
        self.log(sign);
        if sign != LifeSign::Lives {
            return false;
        }
        self.conclude(TryState::Harmless);
        true
    }

    async fn query_life(&self) -> LifeSign {
        let query = LifeQuery {
            dialect: &*self.recorder.context.dialect,
            health_path: self.service.health_path.as_deref(),
            since: self.broke_at + LATE_END,
        };
        self.upstream.query_life(&query).await
    }

    /// Records what has become of the upstream, unless that is known already.
    fn conclude(&mut self, state: TryState) {
        if self.recorded.state != state {
            self.recorded.state = state;
            let concluded = self.recorded.into();
            self.recorder.record_in_background(&concluded);
        }
    }

    fn log(&self, sign: LifeSign) {
        let context = &self.recorder.context;
        context.metrics.count_survival(sign);
        let line = SurvivalLine {
            request: &self.recorder.request,
            request_tag: format_tag(self.recorder.tag),
            upstream: &self.upstream.record.id,
            sign: sign.name(),
            work_left_ms: self.recorder.work_left().as_millis(),
            after_ms: self.broke_at.elapsed().as_millis(),
        };
        Logbook::global().record("upstream-survival", &line);
    }
}
