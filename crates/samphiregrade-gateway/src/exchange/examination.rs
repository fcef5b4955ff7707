//! Examines later whether the upstream of a try has outlived it, and records what is found.
//!
//! A process may work on a request whose connection is closed, and respond to others meanwhile, until the request's deadline.
//! Another process may accept connections at its address. The try counts until a response to a later request names the process.

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

/// Pauses before the examinations of one try, from when on a response can settle it: together they take longer than most
/// interruptions of a path. After the first one, responses to other requests mostly show that the process lives.
const EXAMINATION_PAUSES: [Duration; 6] = [
    Duration::from_millis(200),
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
    /// Time from which on a response shows that the process has outlived the try.
    pub provable: Instant,
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
        tokio::time::sleep_until(self.provable.into()).await;
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

    /// Examines the upstream once; returns whether it has outlived the try, which is recorded.
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
            since: self.provable,
        };
        self.upstream.query_life(&query).await
    }

    /// Records what has become of the upstream, unless that is known already.
    fn conclude(&mut self, state: TryState) {
        if self.recorded.state != state {
            self.recorded.state = state;
            self.recorder.record_in_background(self.recorded.into());
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
            after_ms: self.provable.elapsed().as_millis(),
        };
        Logbook::global().record("upstream-survival", &line);
    }
}
