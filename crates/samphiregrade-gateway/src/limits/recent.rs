//! Uses in the window that ends now, divided into parts.

use std::time::Duration;

use crate::access::BootTime;

/// Number of parts into which a window is divided.
pub const RECENT_PARTS: usize = 10;

/// The same number as a divisor of times.
const PART_DIVISOR: u32 = 10;

/// Uses by part of the window.
#[derive(Clone, Debug, Default)]
pub struct RecentUse {
    /// Number of the newest part since the machine's start.
    newest: u64,
    counts: [u32; RECENT_PARTS],
}

impl RecentUse {
    /// Adds one use.
    pub fn add(&mut self, now: BootTime, window: Duration) {
        self.advance(now, window);
        self.counts[0] += 1;
    }

    /// Removes the newest use.
    pub fn take_back(&mut self) {
        if let Some(count) = self.counts.iter_mut().find(|count| **count > 0) {
            *count -= 1;
        }
    }

    /// Returns the uses by part, the newest first.
    pub fn parts(&mut self, now: BootTime, window: Duration) -> [u32; RECENT_PARTS] {
        self.advance(now, window);
        self.counts
    }

    /// Returns the number of uses in the window.
    pub fn sum(&mut self, now: BootTime, window: Duration) -> u32 {
        self.parts(now, window).iter().sum()
    }

    fn advance(&mut self, now: BootTime, window: Duration) {
        let part = (window / PART_DIVISOR).as_nanos().max(1);
        let number = now.elapsed_since_start().as_nanos() / part;
        let number = u64::try_from(number).unwrap_or(u64::MAX);
        let elapsed = number.saturating_sub(self.newest);
        self.newest = self.newest.max(number);
        if elapsed == 0 {
            return;
        }
        let elapsed = usize::try_from(elapsed).unwrap_or(RECENT_PARTS);
        let elapsed = elapsed.min(RECENT_PARTS);
        self.counts.rotate_right(elapsed);
        self.counts[..elapsed].fill(0);
    }
}
