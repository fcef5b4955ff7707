//! Entry side of the request limits: the tokens that an entry holds of one organisation's limit.

use std::time::Duration;

use super::message::{
    AllowanceGrant, AllowanceRequest, EntryIncarnation, InstanceTag, LimitRule, WindowLimit,
    WindowUse,
};
use super::recent::RecentUse;
use crate::access::BootTime;
use crate::model::OrganisationTag;

/// Standalone requests that are allowed for an organisation with nearly no recent use at this entry.
const MIN_STANDALONE: u32 = 1;

/// Longest time for which a refusal also applies to the requests that follow: an organisation far over its limit must
/// not cause a query for each request.
const MAX_REFUSAL: Duration = Duration::from_millis(150);

/// Maximum number of tokens that are requested in advance.
const MAX_SPARE: u32 = 8;

/// Divisor that yields, from an entry's use in a window, the number of tokens to hold in advance.
const SPARE_DIVISOR: u32 = 8;

/// The entry that requests tokens, and how it does so.
#[derive(Clone, Copy, Debug)]
pub struct EntrySource {
    /// The instance.
    pub instance: InstanceTag,
    /// The start of the instance.
    pub life: EntryIncarnation,
    /// Rule by which requests are counted.
    pub rule: LimitRule,
    /// Whether tokens are requested in advance.
    pub prefetch: bool,
}

/// An entry's allowance from one organisation's limit.
#[derive(Debug, Default)]
pub struct OrganisationAllowance {
    used: u64,
    programs_started: u64,
    granted: u64,
    /// Used tokens that a home has recorded.
    recorded: u64,
    valid_until: BootTime,
    sequence: u64,
    recent: RecentUse,
    /// Requests in a window that the home reserves for this entry.
    reserved: u32,
    last_reply: Option<BootTime>,
    /// Standalone requests since the home's last reply, and since the entry's start.
    standalone_since_reply: u32,
    standalone_total: u64,
    near_limit: bool,
    /// Requests that wait for a token.
    waiting: u32,
    /// Whether a prefetch or a report is in progress.
    prefetching: bool,
    /// Times until which requests that start a program, and other requests, are refused.
    refused_until: RefusedTimes,
    /// The home's counts at the last refusal.
    use_at_refusal: WindowUse,
}

#[derive(Debug, Default)]
struct RefusedTimes {
    program_starts: BootTime,
    others: BootTime,
}

impl OrganisationAllowance {
    /// Consumes an available token for a request; returns whether there was one. `begins` is set if the request starts
    /// a program.
    pub fn take(&mut self, begins: bool, now: BootTime, window: Duration) -> bool {
        if self.available(now) == 0 {
            return false;
        }
        self.programs_started += u64::from(begins);
        self.record_use(now, window);
        true
    }

    /// Admits a request without a reply from a home, at no more than the rate before; returns whether the request is
    /// admitted.
    pub fn take_standalone(&mut self, now: BootTime, rule: &LimitRule) -> bool {
        let window = rule.window;
        let allowed = self.allowed_standalone(now, rule);
        let reserved = self.reserved.max(MIN_STANDALONE);
        if self.recent.sum(now, window) >= reserved || self.standalone_since_reply >= allowed {
            return false;
        }
        self.standalone_since_reply += 1;
        self.standalone_total += 1;
        self.granted += 1;
        self.record_use(now, window);
        true
    }

    /// Returns the number of standalone requests that are allowed since the home's last reply.
    ///
    /// The requests are spread evenly over time, since a home detects only after a while that it has to reserve a part
    /// of the limit for this entry.
    fn allowed_standalone(&self, now: BootTime, rule: &LimitRule) -> u32 {
        let since_reply = self.last_reply.map(|last_reply| now.since(last_reply));
        let Some(since_reply) =
            since_reply.filter(|since_reply| *since_reply < rule.standalone_period)
        else {
            return 0;
        };
        let windows = since_reply.as_secs_f64() / rule.window.as_secs_f64();
        let allowed = f64::from(self.reserved) * windows;
        // The period without a reply is limited to about a minute.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let allowed = allowed.ceil() as u32;
        allowed.max(MIN_STANDALONE)
    }

    /// Gives back the token of a request that did not run.
    pub fn give_back(&mut self) {
        self.used = self.used.saturating_sub(1);
        self.recent.take_back();
    }

    /// Returns whether there are standalone requests that no home knows of yet.
    #[must_use]
    pub fn has_unreported_uses(&self) -> bool {
        self.standalone_since_reply > 0
    }

    /// Returns whether tokens have lapsed that no home knows to be unused.
    #[must_use]
    pub fn has_lapsed_tokens(&self, now: BootTime) -> bool {
        now >= self.valid_until && self.granted > self.used
    }

    /// Counts a request that starts to wait for a token.
    pub fn begin_waiting(&mut self) {
        self.waiting += 1;
    }

    /// Counts a request that no longer waits for a token.
    pub fn end_waiting(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// Returns whether tokens have to be requested in advance, and marks the prefetch as in progress.
    pub fn begin_prefetch(&mut self, now: BootTime) -> bool {
        let begins = !self.near_limit && !self.prefetching && self.available(now) == 0;
        self.prefetching |= begins;
        begins
    }

    /// Returns whether standalone requests have to be reported to a home, and marks the report as in progress.
    pub fn begin_report(&mut self) -> bool {
        let begins = !self.prefetching;
        self.prefetching = true;
        begins
    }

    /// Marks that neither a prefetch nor a report is in progress any more.
    pub fn end_prefetch(&mut self) {
        self.prefetching = false;
    }

    /// Returns the time for which a request is refused without another query, and the home's counts; `None` if the
    /// request is not refused.
    #[must_use]
    pub fn refused_for(&self, begins: bool, now: BootTime) -> Option<(Duration, WindowUse)> {
        let times = &self.refused_until;
        let until = if begins {
            times.program_starts.max(times.others)
        } else {
            times.others
        };
        (until > now).then(|| (until.since(now), self.use_at_refusal))
    }

    /// Records a home's refusal.
    pub fn record_refusal(&mut self, begins: bool, grant: &AllowanceGrant, now: BootTime) {
        let until = now.after(grant.retry_after.min(MAX_REFUSAL));
        self.use_at_refusal = grant.use_now;
        if begins {
            self.refused_until.program_starts = until;
        } else {
            self.refused_until.others = until;
        }
    }

    /// Returns whether the organisation was near its limit at the home's last reply.
    #[must_use]
    pub fn is_near_limit(&self) -> bool {
        self.near_limit
    }

    /// Composes a request for tokens.
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
        let spare = (rate / SPARE_DIVISOR).clamp(1, MAX_SPARE);
        AllowanceRequest {
            organisation,
            instance: source.instance,
            life: source.life,
            sequence: self.sequence,
            limit,
            used: self.used,
            begun: self.programs_started,
            alone: self.standalone_total,
            unrecorded: u32::try_from(self.used.saturating_sub(self.recorded)).unwrap_or(u32::MAX),
            waiting: self.waiting,
            spare: if source.prefetch { spare } else { 0 },
            begins,
            recent,
        }
    }

    /// Applies a home's reply to a request that was sent at `sent`.
    pub fn accept(&mut self, grant: &AllowanceGrant, sent: BootTime, now: BootTime) {
        if now >= self.valid_until {
            self.granted = self.used;
        }
        // A smaller grant does not include all tokens that are held; it does not extend their validity.
        if grant.granted >= self.granted {
            self.granted = grant.granted;
            self.valid_until = sent.after(grant.lasts);
        }
        self.recorded = self.recorded.max(grant.recorded);
        self.near_limit = grant.near;
        self.last_reply = Some(now);
        self.standalone_since_reply = 0;
        self.reserved = grant.steady;
    }

    fn available(&self, now: BootTime) -> u64 {
        if now >= self.valid_until {
            return 0;
        }
        self.granted.saturating_sub(self.used)
    }

    fn record_use(&mut self, now: BootTime, window: Duration) {
        self.used += 1;
        self.recent.add(now, window);
    }
}
