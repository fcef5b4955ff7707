//! Clock that includes the time for which the machine was suspended.

use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

/// A time since the machine's start. Unlike [`std::time::Instant`], it continues while the machine is suspended, and
/// unlike the time of day, it never jumps.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct BootTime(Duration);

impl BootTime {
    /// Returns the current time.
    ///
    /// If the system has no such clock, the start of the machine is returned: nothing counts as verified then.
    #[must_use]
    pub fn now() -> Self {
        let time = clock_gettime(ClockId::CLOCK_BOOTTIME);
        Self(time.map(Duration::from).unwrap_or_default())
    }

    /// Returns the time at which a duration has passed since the machine's start.
    #[must_use]
    pub fn since_start(time: Duration) -> Self {
        Self(time)
    }

    /// Returns the duration since the machine's start.
    #[must_use]
    pub fn elapsed_since_start(self) -> Duration {
        self.0
    }

    /// Returns the duration since an earlier time; zero if `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the time after a duration.
    #[must_use]
    pub fn after(self, time: Duration) -> Self {
        Self(self.0.saturating_add(time))
    }

    /// Returns the time before a duration.
    #[must_use]
    pub fn before(self, time: Duration) -> Self {
        Self(self.0.saturating_sub(time))
    }
}
