//! Which rank a turn has at an engine: pure.
//!
//! Answers the pattern of a burst in which more programs begin than the engines can carry. Engines serve equal
//! ranks in the order of arrival, so without ranks every program is a little late at every turn and hardly any
//! ends in time. With them, a part of the programs ends in time and the others wait at their first turn, where
//! least is lost:
//!
//! * programs that have begun go before those that begin; of those that have begun, the ones that can still end in
//!   time go first;
//! * of those that begin, a hash of the program decides, which is the same at every entry and for every attempt;
//! * those that have waited too long at their first turn go last of their class: they take what the others leave.
//!
//! The operators' priorities come before all of this. Figures of the paired runs, also of the orders that were
//! left, stand in docs/design/urgency.md.

use std::time::Duration;

use super::service_times::ServiceTimes;

/// Ranks that an engine knows; 0 is the most urgent.
const RANKS: u8 = 10;

/// Most ranks that one urgency class is divided into: begun and in time, begun and late, two parts of those that
/// begin, and those that have waited too long.
const CLASS_RANKS: u8 = 5;

/// Parts into which the programs that begin are divided.
const FIRST_PARTS: u16 = 2;

/// Time that a turn takes beside its prompt and its tokens: its way, and the pause with its tools after it.
const TURN_ASIDE: Duration = Duration::from_millis(160);

/// Part of a program's whole time that may be lost before it can't end in time any more: programs are given 1.4
/// to 1.9 times what they take on idle engines, so a third to a half of it is to spare.
const SPARE_SHARE: f64 = 0.4;

/// Place of a route's priority among those of all routes to one service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UrgencyClass {
    /// Its place, 0 being the most urgent.
    pub index: u8,
    /// How many priorities there are.
    pub count: u8,
}

impl Default for UrgencyClass {
    fn default() -> Self {
        Self { index: 0, count: 1 }
    }
}

/// What turns of a service take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TurnPace {
    /// Time of a whole turn.
    pub turn: Duration,
    /// Time until its answer begins.
    pub time_to_head: Duration,
    /// Time of one token.
    pub token: Duration,
}

impl From<&ServiceTimes> for TurnPace {
    fn from(times: &ServiceTimes) -> Self {
        Self {
            turn: times.slot_time(),
            time_to_head: times.time_to_head(),
            token: times.token(),
        }
    }
}

/// What is known of a program when one of its turns is about to be sent.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ProgramProgress {
    /// Hash of the program, the same everywhere.
    pub tag: u8,
    /// Turns that have ended.
    pub completed_turns: u32,
    /// Tokens that these have made.
    pub generated_tokens: u64,
    /// Time that the program had left when its first turn came, where that is known.
    pub initial_time_left: Option<Duration>,
    /// Time that it has left now, where its caller says so.
    pub time_left: Option<Duration>,
}

impl ProgramProgress {
    /// Returns whether a turn of the program has ended.
    #[must_use]
    pub fn has_begun(&self) -> bool {
        self.completed_turns > 0
    }

    /// Returns the part of the programs that the program belongs to, from 0.
    fn part(&self) -> u8 {
        let part = u16::from(self.tag) * FIRST_PARTS / (u16::from(u8::MAX) + 1);
        u8::try_from(part).unwrap_or(0)
    }

    /// Returns whether the program can't end in time any more.
    #[must_use]
    pub fn is_late(&self, pace: &TurnPace) -> bool {
        let Some(left) = self.time_left else {
            return false;
        };
        if left < pace.turn {
            return true;
        }
        let Some(initial_time_left) = self.initial_time_left else {
            return false;
        };
        let tokens = u32::try_from(self.generated_tokens).unwrap_or(u32::MAX);
        let aside = TURN_ASIDE + pace.time_to_head;
        let worked = aside.saturating_mul(self.completed_turns) + pace.token.saturating_mul(tokens);
        let lost = initial_time_left
            .saturating_sub(left)
            .saturating_sub(worked);
        lost > initial_time_left.mul_f64(SPARE_SHARE)
    }
}

/// Returns a turn's rank at an engine, from 0 to 9, 0 being the most urgent.
#[must_use]
pub fn turn_rank(class: UrgencyClass, progress: &ProgramProgress, pace: &TurnPace) -> u8 {
    let count = class.count.max(1);
    let index = class.index.min(count - 1);
    let width = (RANKS / count).clamp(1, CLASS_RANKS);
    let first = (index * width).min(RANKS - width);
    let late = progress.is_late(pace);
    let position = match (progress.has_begun(), late) {
        (true, false) => 0,
        (true, true) => 1,
        (false, false) => 2 + progress.part(),
        (false, true) => CLASS_RANKS - 1,
    };
    first + position.min(width - 1)
}
