//! Estimate of the number of requests that a program makes, as seen by a home.

/// Minimum number of started programs for which the estimate is used.
const MIN_PROGRAMS: f64 = 20.0;

/// Number of requests after which earlier observations count half.
const LEARNT_REQUESTS: f64 = 20_000.0;

/// Estimate of the number of requests that a program makes.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ProgramSize {
    requests: f64,
    programs: f64,
}

impl ProgramSize {
    /// Counts requests, and the programs that started with them.
    pub(super) fn record(&mut self, requests: u32, programs: u32) {
        let kept = 0.5_f64.powf(f64::from(requests) / LEARNT_REQUESTS);
        self.requests = self.requests * kept + f64::from(requests);
        self.programs = self.programs * kept + f64::from(programs);
    }

    /// Returns the number of programs that fit into a limit, at least one; `None` if too few programs were seen.
    pub(super) fn fitting(&self, limit: u32) -> Option<u32> {
        if self.programs < MIN_PROGRAMS {
            return None;
        }
        let size = (self.requests / self.programs).max(1.0);
        let fitting = f64::from(limit) / size;
        // The conversion saturates at the bounds of the integer type.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let fitting = (fitting as u32).max(1);
        Some(fitting)
    }
}
