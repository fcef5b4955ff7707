//! Contention on an upstream's machine, relative to what the machine usually reports: pure.
//!
//! Handles machines of different speeds that are shared with other work. An upstream reports how long work takes at the
//! moment, but a machine that is always slow may report that as well. Its usual report is the upstream's speed (see
//! `speed`), so only the change from it counts as contention.

/// Bounds of a reported figure in per cent: a single absurd report would otherwise dominate the mean of its service.
pub(super) const REPORT_BOUNDS: (f64, f64) = (25.0, 800.0);

/// Share of the distance by which the usual figure follows a higher report. Contention lengthens work and never shortens
/// it, so the usual figure is close to the lowest one; it follows a machine that has become slower within dozens of
/// reports.
const RISE_SHARE: f64 = 0.03;

/// The figure that an upstream reports without contention, in per cent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UsualContention(f64);

impl UsualContention {
    /// Returns the usual figure after a report, given the one before.
    #[must_use]
    pub fn after(before: Option<Self>, percent: u32) -> Self {
        let reported = clamp(percent);
        let Some(Self(usual)) = before else {
            return Self(reported);
        };
        if reported <= usual {
            return Self(reported);
        }
        Self(usual + RISE_SHARE * (reported - usual))
    }

    /// Returns the time of work according to a report, as a multiple of the usual time; at least 1.
    #[must_use]
    pub fn factor(self, percent: u32) -> f64 {
        (clamp(percent) / self.0).max(1.0)
    }
}

fn clamp(percent: u32) -> f64 {
    f64::from(percent).clamp(REPORT_BOUNDS.0, REPORT_BOUNDS.1)
}
