//! Whether a new program is begun, or refused before it takes room from those under way.

use std::time::Duration;

use smol_str::format_smolstr;

use crate::contract::{Refusal, RefusalKind};

/// Waiting time of a call that is acceptable for the most urgent class.
const SHORTEST_LIMIT: Duration = Duration::from_secs(4);

/// Additional acceptable waiting time for each band of priority below.
const LIMIT_STEP: Duration = Duration::from_secs(2);

/// Share of the waiting time after which a refused caller should ask again.
const RETRY_SHARE: f64 = 0.5;

/// What is known about the room for a new program.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionView {
    /// Priority of the class, from 0.
    pub priority: u8,
    /// Time that a call of the class would wait now.
    pub expected_wait: Duration,
    /// Work that a program of the class needs.
    pub expected_work: Duration,
    /// Time left until the program's deadline.
    pub time_left: Duration,
}

/// Refuses a program that could not be served in time.
#[must_use]
pub fn refuse_begin(view: &AdmissionView) -> Option<Refusal> {
    if view.expected_wait + view.expected_work > view.time_left {
        let detail = format_smolstr!(
            "{:.1} s of work and {:.1} s of waiting do not fit before the deadline",
            view.expected_work.as_secs_f64(),
            view.expected_wait.as_secs_f64()
        );
        let refusal = Refusal::not_run(RefusalKind::Overloaded, detail);
        return Some(refusal.with_retry_after(view.expected_wait.mul_f64(RETRY_SHARE)));
    }
    let limit = SHORTEST_LIMIT + LIMIT_STEP * u32::from(view.priority);
    if view.expected_wait <= limit {
        return None;
    }
    let wait = view.expected_wait.as_secs_f64();
    let detail = format_smolstr!("calls of this class wait {wait:.1} s now");
    let refusal = Refusal::not_run(RefusalKind::Overloaded, detail);
    Some(refusal.with_retry_after(view.expected_wait.mul_f64(RETRY_SHARE)))
}
