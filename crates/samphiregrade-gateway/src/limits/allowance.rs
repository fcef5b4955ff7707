//! An entry's side: what it holds of one organisation's limit.

use std::time::Duration;

use super::message::{
    AllowanceGrant, AllowanceRequest, EntryIncarnation, InstanceTag, LimitRule, WindowLimit,
    WindowUse,
};
use super::recent::RecentUse;
use crate::access::BootTime;
use crate::model::OrganisationTag;

/// Requests of an organisation that was hardly served here which are let through without a home.
const FIRST_USES: u32 = 1;

/// Longest time for which a refusal stands for the requests that follow: an organisation far over its limit must not
/// cost a question each.
const LONGEST_REFUSAL: Duration = Duration::from_millis(150);

/// Most tokens that are asked for in advance.
const MOST_SPARE: u32 = 8;

/// Part of its use in a window that an entry holds in advance.
const SPARE_DIVISOR: u32 = 8;

/// Who asks.
#[derive(Clone, Copy, Debug)]
pub struct EntrySource {
    /// The instance.
    pub instance: InstanceTag,
    /// Its start.
    pub life: EntryIncarnation,
    /// How requests are counted.
    pub rule: LimitRule,
    /// Whether tokens are asked for in advance.
    pub prefetch: bool,
}

/// What an entry holds of one organisation's limit.
#[derive(Debug, Default)]
pub struct OrganisationAllowance {
    used: u64,
    begun: u64,
    granted: u64,
    lapses: BootTime,
    sequence: u64,
    recent: RecentUse,
    /// What a home keeps for this entry.
    steady: u32,
    answered: Option<BootTime>,
    /// Requests let through since then without a token, and since the start.
    alone: u32,
    all_alone: u64,
    near: bool,
    /// Requests that wait for a token.
    waiting: u32,
    /// Whether tokens are being asked for in advance.
    asking_ahead: bool,
    /// Until when requests that begin a program, and others, are refused.
    refused_until: RefusedTimes,
    /// What the home counted then.
    use_then: WindowUse,
}

#[derive(Debug, Default)]
struct RefusedTimes {
    beginning: BootTime,
    others: BootTime,
}

impl OrganisationAllowance {
    /// Takes a token that is at hand, for a request that begins a program or for another one; returns whether there was
    /// one.
    pub fn take(&mut self, begins: bool, now: BootTime, window: Duration) -> bool {
        if self.at_hand(now) == 0 {
            return false;
        }
        self.begun += u64::from(begins);
        self.note_use(now, window);
        true
    }

    /// Lets a request through though no home answers, as long as no more pass than did before; returns whether it may.
    pub fn take_standalone(&mut self, now: BootTime, rule: &LimitRule) -> bool {
        let window = rule.window;
        let passes = self.passes_alone(now, rule);
        let steady = self.steady.max(FIRST_USES);
        if self.recent.sum(now, window) >= steady || self.alone >= passes {
            return false;
        }
        self.alone += 1;
        self.all_alone += 1;
        self.granted += 1;
        self.note_use(now, window);
        true
    }

    /// Returns how many requests may pass since a home answered: their pace is even, since a home learns only after a
    /// while that it has to keep a part for this entry.
    fn passes_alone(&self, now: BootTime, rule: &LimitRule) -> u32 {
        let silence = self.answered.map(|answered| now.since(answered));
        let Some(silence) = silence.filter(|silence| *silence < rule.standalone_period) else {
            return 0;
        };
        let windows = silence.as_secs_f64() / rule.window.as_secs_f64();
        let passed = f64::from(self.steady) * windows;
        // Silence lasts a minute or so at most.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let passed = passed.ceil() as u32;
        passed.max(FIRST_USES)
    }

    /// Gives back the token of a request that has not run.
    pub fn give_back(&mut self) {
        self.used = self.used.saturating_sub(1);
        self.recent.take_back();
    }

    /// Returns whether requests were let through of which no home knows yet.
    #[must_use]
    pub fn has_unreported_uses(&self) -> bool {
        self.alone > 0
    }

    /// Returns whether tokens have lapsed of which no home knows that they were not used.
    #[must_use]
    pub fn has_lapsed_tokens(&self, now: BootTime) -> bool {
        now >= self.lapses && self.granted > self.used
    }

    /// Counts a request that waits for a token.
    pub fn begin_waiting(&mut self) {
        self.waiting += 1;
    }

    /// Counts it no longer.
    pub fn end_waiting(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// Returns whether tokens are to be asked for before they are needed, and notes that they are.
    pub fn begin_prefetch(&mut self, now: BootTime) -> bool {
        let begins = !self.near && !self.asking_ahead && self.at_hand(now) == 0;
        self.asking_ahead |= begins;
        begins
    }

    /// Returns whether a home is to be told of requests that passed without one, and notes that it is.
    pub fn begin_report(&mut self) -> bool {
        let begins = !self.asking_ahead;
        self.asking_ahead = true;
        begins
    }

    /// Notes that no tokens are being asked for in advance any more.
    pub fn end_prefetch(&mut self) {
        self.asking_ahead = false;
    }

    /// Returns for how long a request is refused without asking anew; `None` where it isn't.
    #[must_use]
    pub fn refused_for(&self, begins: bool, now: BootTime) -> Option<(Duration, WindowUse)> {
        let times = &self.refused_until;
        let until = if begins {
            times.beginning.max(times.others)
        } else {
            times.others
        };
        (until > now).then(|| (until.since(now), self.use_then))
    }

    /// Notes that a home refuses.
    pub fn record_refusal(&mut self, begins: bool, grant: &AllowanceGrant, now: BootTime) {
        let until = now.after(grant.retry_after.min(LONGEST_REFUSAL));
        self.use_then = grant.use_now;
        if begins {
            self.refused_until.beginning = until;
        } else {
            self.refused_until.others = until;
        }
    }

    /// Returns whether the organisation was near its limit when a home answered last.
    #[must_use]
    pub fn is_near_limit(&self) -> bool {
        self.near
    }

    /// Composes a question.
    pub fn compose_request(
        &mut self,
        organisation: OrganisationTag,
        source: &EntrySource,
        limit: WindowLimit,
        begins: bool,
        now: BootTime,
    ) -> AllowanceRequest {
        self.sequence += 1;
        let recent = self.recent.parts(now, source.rule.window);
        let rate: u32 = recent.iter().sum();
        let spare = (rate / SPARE_DIVISOR).clamp(1, MOST_SPARE);
        AllowanceRequest {
            organisation,
            instance: source.instance,
            life: source.life,
            sequence: self.sequence,
            limit,
            used: self.used,
            begun: self.begun,
            alone: self.all_alone,
            waiting: self.waiting,
            spare: if source.prefetch { spare } else { 0 },
            begins,
            recent,
        }
    }

    /// Takes a home's answer to a question that was sent at a time.
    pub fn accept(&mut self, grant: &AllowanceGrant, sent: BootTime, now: BootTime) {
        if now >= self.lapses {
            self.granted = self.used;
        }
        // One that grants less has not counted all that is at hand, and makes it last no longer.
        if grant.granted >= self.granted {
            self.granted = grant.granted;
            self.lapses = sent.after(grant.lasts);
        }
        self.near = grant.near;
        self.answered = Some(now);
        self.alone = 0;
        self.steady = grant.steady;
    }

    fn at_hand(&self, now: BootTime) -> u64 {
        if now >= self.lapses {
            return 0;
        }
        self.granted.saturating_sub(self.used)
    }

    fn note_use(&mut self, now: BootTime, window: Duration) {
        self.used += 1;
        self.recent.add(now, window);
    }
}
