//! Admission control: decides whether a new program may start, or is refused before it takes capacity from running
//! programs.

use std::time::Duration;

use smol_str::format_smolstr;

use crate::contract::{Refusal, RefusalKind};

/// Acceptable waiting time of a call of the most urgent class.
const SHORTEST_LIMIT: Duration = Duration::from_secs(4);

/// Additional acceptable waiting time for each priority band below the most urgent one.
const LIMIT_STEP: Duration = Duration::from_secs(2);

/// Share of the expected waiting time after which a refused caller should retry.
const RETRY_SHARE: f64 = 0.5;

/// Inputs of the admission decision for a new program.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionView {
    /// Priority of the class; 0 is the most urgent.
    pub priority: u8,
    /// Time that a call of the class would currently wait.
    pub expected_wait: Duration,
    /// Engine time that a program of the class is expected to need.
    pub expected_work: Duration,
    /// Time left until the program's deadline.
    pub time_left: Duration,
}

/// Returns a refusal if the program can't finish before its deadline, or if calls of its class currently wait too long.
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
