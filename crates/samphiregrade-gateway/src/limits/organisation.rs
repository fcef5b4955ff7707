//! A home's ledger of one organisation: the tokens that count in the window, and those that each entry was granted.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use super::contacts::{EndedSilence, InstanceContacts};
use super::ledger::LedgerTime;
use super::message::{
    AllowanceGrant, AllowanceRequest, EntryIncarnation, InstanceTag, LimitRule, WindowLimit,
    WindowUse,
};
use super::recent::RECENT_PARTS;
use super::saved::LimitReservation;

/// Time after the request for which a granted token is valid.
const TOKEN_LIFE: Duration = Duration::from_secs(2);

/// Step to which the times are rounded up at which charges leave the window, so that many charges share a few times.
const CHARGE_STEP: Duration = Duration::from_millis(20);

/// Share of the limit: once it is in use, tokens are granted only to requests that wait for them.
const NEAR_SHARE: f64 = 0.5;

/// Share of the limit that all entries together may hold in advance.
const SPARE_SHARE: f64 = 0.125;

/// Number of the newest parts of an entry's window that a home which has just restarted can't know from its disk,
/// because the home was down for about that time.
const UNSAVED_PARTS: usize = 6;

/// Returns a share of a number of requests, rounded up.
fn part_of(requests: u32, share: f64) -> i64 {
    // Both factors are small.
    #[allow(clippy::cast_possible_truncation)]
    let part = (f64::from(requests) * share).ceil() as i64;
    part
}

/// Account of one start of an entry.
#[derive(Debug, Default)]
pub(super) struct EntryAccount {
    pub(super) instance: InstanceTag,
    pub(super) sequence: u64,
    /// Time of the last request.
    pub(super) last_request: LedgerTime,
    pub(super) granted: u64,
    pub(super) used: u64,
    pub(super) standalone: u64,
    pub(super) valid_until: LedgerTime,
    /// Times at which charges leave the window, with the number of tokens.
    pub(super) charges: VecDeque<(LedgerTime, u32)>,
    /// Tokens used in the entry's window at the last request: without a home, the entry continues with as many.
    pub(super) recent_use: u32,
    /// Requests in a window that are reserved for the entry in case it loses contact.
    pub(super) reserved: u64,
    /// Programs that were started with the entry's tokens.
    pub(super) started: u64,
    /// Tokens, used or about to be used, that were passed to the disk.
    pub(super) saved: u64,
}

impl EntryAccount {
    /// Returns whether the entry may be admitting requests without this home, having lost contact since its last
    /// request.
    pub(super) fn may_be_standalone(
        &self,
        contacts: &InstanceContacts,
        rule: &LimitRule,
        now: LedgerTime,
    ) -> bool {
        let unresponsive = contacts.is_unresponsive(self.instance, now);
        // The last requests that the entry admits count for one more window.
        unresponsive && now < self.last_request + rule.standalone_period + rule.window
    }

    /// Returns the part of the reservation that no token in the window uses up.
    fn uncounted_reservation(&self, now: LedgerTime) -> u64 {
        let counted = self.charges.iter().filter(|(leaves, _)| *leaves > now);
        let counted: u64 = counted.map(|(_, count)| u64::from(*count)).sum();
        self.reserved.saturating_sub(counted)
    }

    /// Returns the number of requests that the entry may have admitted on its own in a period without contact, without
    /// ever reporting them: it spreads its reservation evenly over each window.
    fn unreported_use(&self, silence: &EndedSilence, now: LedgerTime, window: Duration) -> u32 {
        let reserved = u32::try_from(self.reserved).unwrap_or(u32::MAX);
        let paced = part_of(reserved, silence.length.div_duration_f64(window));
        let uncounted = saturating_total(self.uncounted_reservation(now));
        saturating_count(paced.min(uncounted))
    }

    fn outstanding(&self) -> i64 {
        i64::try_from(self.granted.saturating_sub(self.used)).unwrap_or(i64::MAX)
    }
}

/// Reservation for an unresponsive instance, as it is on disk.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct SavedReservation {
    /// Time of the instance's last request.
    pub(super) last_request: LedgerTime,
    /// Requests in a window.
    pub(super) requests: u32,
}

/// Ledger of one organisation.
#[derive(Debug, Default)]
pub(super) struct OrganisationLedger {
    pub(super) limit: WindowLimit,
    /// Tokens by the time at which they leave the window.
    pub(super) leaving: BTreeMap<LedgerTime, u64>,
    pub(super) total: i64,
    /// Programs that have started, by the time at which they leave the window.
    pub(super) started: VecDeque<(LedgerTime, u32)>,
    /// Tokens that entries hold and have not used, as far as they have reported.
    pub(super) outstanding: i64,
    /// Sum of the reservations for all entries.
    pub(super) reserved: u64,
    /// Reservations for unresponsive instances that are on disk.
    pub(super) saved_reservations: HashMap<InstanceTag, SavedReservation>,
    pub(super) accounts: HashMap<EntryIncarnation, EntryAccount>,
    /// Time until which the uses before an entry's first request may already be known from the disk.
    pub(super) restored_until: Option<LedgerTime>,
}

impl OrganisationLedger {
    pub(super) fn expire(&mut self, now: LedgerTime) {
        while self
            .started
            .front()
            .is_some_and(|(leaves, _)| *leaves <= now)
        {
            self.started.pop_front();
        }
        while let Some(first) = self.leaving.first_entry() {
            if *first.key() > now {
                return;
            }
            self.total -= saturating_total(first.remove());
        }
    }

    fn count(&mut self, leaves: LedgerTime, count: u32) {
        *self.leaving.entry(leaves).or_default() += u64::from(count);
        self.total += i64::from(count);
    }

    /// Counts tokens of an entry until they leave the window.
    pub(super) fn charge(&mut self, incarnation: EntryIncarnation, leaves: LedgerTime, count: u32) {
        if count == 0 {
            return;
        }
        let leaves = rounded_up(leaves);
        self.count(leaves, count);
        let account = self.accounts.entry(incarnation).or_default();
        account.charges.push_back((leaves, count));
    }

    /// Stops counting tokens of an entry, the newest first.
    fn release(&mut self, incarnation: EntryIncarnation, mut count: i64) {
        let Some(account) = self.accounts.get_mut(&incarnation) else {
            return;
        };
        while count > 0 {
            let Some((leaves, charged)) = account.charges.pop_back() else {
                return;
            };
            let released = i64::from(charged).min(count);
            let rest = u32::try_from(i64::from(charged) - released).unwrap_or(0);
            if rest > 0 {
                account.charges.push_back((leaves, rest));
            }
            count -= released;
            // The charge may have left the window already.
            let Some(counted) = self.leaving.get_mut(&leaves) else {
                continue;
            };
            let released = released.min(saturating_total(*counted));
            *counted -= u64::try_from(released).unwrap_or(0);
            self.total -= released;
        }
    }

    /// Counts the programs that were started with an entry's tokens, or will be started with the present grant; returns
    /// how many are new.
    pub(super) fn record_started_programs(
        &mut self,
        request: &AllowanceRequest,
        grant: &AllowanceGrant,
        leaves: LedgerTime,
    ) -> u32 {
        let Some(account) = self.accounts.get_mut(&request.life) else {
            return 0;
        };
        let granted = request.begins && grant.granted > request.used;
        let started = request.begun + u64::from(granted);
        let count = u32::try_from(started.saturating_sub(account.started)).unwrap_or(u32::MAX);
        account.started = account.started.max(started);
        if count > 0 {
            self.started.push_back((leaves, count));
        }
        count
    }

    /// Applies an entry's report of its uses, and reclaims tokens that have lapsed unused. Returns the uses that no home
    /// has recorded, with the times at which they leave the window.
    pub(super) fn apply_report(
        &mut self,
        request: &AllowanceRequest,
        silence: Option<EndedSilence>,
        now: LedgerTime,
        window: Duration,
    ) -> Vec<(LedgerTime, u32)> {
        let mut unrecorded = Vec::new();
        let is_new = !self.accounts.contains_key(&request.life);
        if is_new {
            // An entry that has used tokens before is known to another home, or to this one before its restart.
            let has_restarted = request.used == 0;
            let silence = silence.filter(|silence| has_restarted && now < silence.ended + window);
            self.release_reservations(request.instance, silence, now, window);
            self.accounts.insert(
                request.life,
                EntryAccount {
                    instance: request.instance,
                    granted: request.used,
                    used: request.used,
                    standalone: request.alone,
                    saved: request.used,
                    started: request.begun,
                    ..EntryAccount::default()
                },
            );
            unrecorded = self.charge_recent(request, now, window);
        }
        let Some(account) = self.accounts.get_mut(&request.life) else {
            return unrecorded;
        };
        if request.sequence < account.sequence {
            return unrecorded;
        }
        account.sequence = request.sequence;
        account.last_request = now;
        account.recent_use = request.recent.iter().sum();
        let before = account.outstanding();
        account.used = request.used;
        let standalone = request.alone.saturating_sub(account.standalone);
        account.standalone = account.standalone.max(request.alone);
        account.granted += standalone;
        // Another home granted these tokens.
        let granted_elsewhere = request.used.saturating_sub(account.granted);
        let unknown = granted_elsewhere + standalone;
        account.granted = account.granted.max(request.used);
        let unused = account.outstanding();
        let has_lapsed = now >= account.valid_until && unused > 0;
        if has_lapsed {
            account.granted = account.used;
        }
        self.outstanding += account.outstanding() - before;
        let unknown = u32::try_from(unknown).unwrap_or(u32::MAX);
        self.charge(request.life, now + window, unknown);
        if has_lapsed {
            self.release(request.life, unused);
        }
        unrecorded
    }

    /// Counts the tokens that an entry had used before its first request to this home. Returns those that no home has
    /// recorded, with the times at which they leave the window.
    fn charge_recent(
        &mut self,
        request: &AllowanceRequest,
        now: LedgerTime,
        window: Duration,
    ) -> Vec<(LedgerTime, u32)> {
        let part = window / u32::try_from(RECENT_PARTS).unwrap_or(1);
        let restored = self.restored_until.is_some_and(|until| now < until);
        let unknown_parts = if restored {
            UNSAVED_PARTS
        } else {
            RECENT_PARTS
        };
        let mut unrecorded = Vec::new();
        let mut remaining = request.unrecorded;
        let mut leaves = now + window;
        for (index, &count) in request.recent.iter().enumerate() {
            let unrecorded_count = count.min(remaining);
            remaining -= unrecorded_count;
            let is_unknown = index < unknown_parts;
            let charged = if is_unknown { count } else { unrecorded_count };
            self.charge(request.life, leaves, charged);
            if unrecorded_count > 0 {
                unrecorded.push((leaves, unrecorded_count));
            }
            leaves = leaves.saturating_sub(part);
        }
        unrecorded
    }

    /// Returns the number of tokens that the entry has used or is about to use and that were not passed to the disk
    /// yet.
    pub(super) fn take_unsaved(
        &mut self,
        request: &AllowanceRequest,
        grant: &AllowanceGrant,
    ) -> u32 {
        let Some(account) = self.accounts.get_mut(&request.life) else {
            return 0;
        };
        let used = grant.granted.min(request.used + u64::from(request.waiting));
        let count = used.saturating_sub(account.saved);
        account.saved = account.saved.max(used);
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Returns the number of tokens that the entry has used or is about to use and that are recorded.
    pub(super) fn recorded_uses(&self, incarnation: EntryIncarnation) -> u64 {
        self.accounts
            .get(&incarnation)
            .map_or(0, |account| account.saved)
    }

    /// Returns the number of uncounted requests that unresponsive instances may be admitting on their own.
    pub(super) fn uncounted_use(
        &self,
        contacts: &InstanceContacts,
        rule: &LimitRule,
        now: LedgerTime,
    ) -> i64 {
        let accounts = self.accounts.values();
        accounts
            .filter(|account| account.may_be_standalone(contacts, rule, now))
            .map(|account| saturating_total(account.uncounted_reservation(now)))
            .fold(0, i64::saturating_add)
    }

    /// Returns the reservations for the instances that may be admitting requests on their own.
    pub(super) fn current_reservations(
        &self,
        contacts: &InstanceContacts,
        rule: &LimitRule,
        now: LedgerTime,
    ) -> HashMap<InstanceTag, SavedReservation> {
        let mut reservations = HashMap::new();
        for account in self.accounts.values() {
            let standalone = account.may_be_standalone(contacts, rule, now);
            if account.reserved == 0 || !standalone {
                continue;
            }
            let requests = u32::try_from(account.reserved).unwrap_or(u32::MAX);
            let reservation = reservations
                .entry(account.instance)
                .or_insert(SavedReservation {
                    last_request: account.last_request,
                    requests: 0,
                });
            reservation.last_request = reservation.last_request.max(account.last_request);
            reservation.requests = reservation.requests.max(requests);
        }
        reservations
    }

    /// Replaces the reservations that are on disk; returns the changed ones, without requests where there is none any
    /// more.
    pub(super) fn replace_saved_reservations(
        &mut self,
        current: HashMap<InstanceTag, SavedReservation>,
    ) -> Vec<(InstanceTag, SavedReservation)> {
        let before = std::mem::take(&mut self.saved_reservations);
        let removed = before
            .iter()
            .filter(|(instance, _)| !current.contains_key(instance))
            .map(|(&instance, saved)| {
                let removed = SavedReservation {
                    requests: 0,
                    ..*saved
                };
                (instance, removed)
            });
        let changed = current
            .iter()
            .filter(|(instance, saved)| before.get(instance) != Some(saved))
            .map(|(&instance, &saved)| (instance, saved));
        let changed = removed.chain(changed).collect();
        self.saved_reservations = current;
        changed
    }

    /// Restores a reservation from disk. The tokens in the window count with it, since an unresponsive instance reports
    /// none.
    pub(super) fn restore_reservation(&mut self, reservation: &LimitReservation) {
        let account = self.accounts.entry(reservation.instance).or_default();
        account.instance = reservation.instance;
        account.last_request = account.last_request.max(reservation.last_request);
        let requests = u64::from(reservation.requests);
        self.reserved += requests.saturating_sub(account.reserved);
        account.reserved = account.reserved.max(requests);
        let saved = SavedReservation {
            last_request: reservation.last_request,
            requests: reservation.requests,
        };
        self.saved_reservations.insert(reservation.instance, saved);
    }

    pub(super) fn grant(
        &mut self,
        request: &AllowanceRequest,
        uncounted_use: i64,
        fitting: Option<u32>,
        now: LedgerTime,
        window: Duration,
    ) -> AllowanceGrant {
        let limit = self.limit.requests;
        let taken = self.total.saturating_add(uncounted_use);
        let near = taken >= part_of(limit, NEAR_SHARE);
        let bound = i64::from(limit);
        let started: u32 = self.started.iter().map(|(_, count)| count).sum();
        // A program that can't finish within the limit would waste its share, at the cost of other programs.
        let fits = !request.begins || fitting.is_none_or(|fitting| started < fitting);
        let granted = self
            .accounts
            .get(&request.life)
            .map_or(0, |account| account.granted);
        let requested = (request.used + u64::from(request.waiting)).saturating_sub(granted);
        let requested = i64::try_from(requested).unwrap_or(i64::MAX);
        let granted_now = if fits {
            requested.min(bound - taken).max(0)
        } else {
            0
        };
        let spare = if near || granted_now < requested {
            0
        } else {
            let room = part_of(limit, SPARE_SHARE) - self.outstanding;
            let held = granted.saturating_sub(request.used + u64::from(request.waiting));
            let lacking = i64::from(request.spare) - i64::try_from(held).unwrap_or(i64::MAX);
            lacking.min(room).max(0)
        };
        let (granted_count, spare_count) = (saturating_count(granted_now), saturating_count(spare));
        self.charge(request.life, now + window, granted_count);
        // Tokens held in advance are used later, at the latest when they lapse.
        self.charge(request.life, now + window + TOKEN_LIFE, spare_count);
        let total = {
            let account = self.accounts.entry(request.life).or_default();
            let before = account.outstanding();
            account.granted += u64::from(granted_count) + u64::from(spare_count);
            account.valid_until = now + TOKEN_LIFE;
            self.outstanding += account.outstanding() - before;
            account.granted
        };
        let steady = self.reserve(request.life);
        AllowanceGrant {
            granted: total,
            recorded: 0,
            lasts: TOKEN_LIFE,
            near,
            steady,
            use_now: WindowUse {
                limit,
                taken: saturating_count(taken),
                begun: started,
                fitting: fitting.unwrap_or(0),
            },
            retry_after: if fits {
                self.room_after(taken - bound + 1, now)
            } else {
                self.next_program(now)
            },
        }
    }

    /// Reserves a part of the limit for an entry that may lose contact; all reservations together don't exceed the
    /// limit. Returns the reserved number of requests.
    fn reserve(&mut self, incarnation: EntryIncarnation) -> u32 {
        let Some(account) = self.accounts.get_mut(&incarnation) else {
            return 0;
        };
        let others = self.reserved - account.reserved;
        let room = u64::from(self.limit.requests).saturating_sub(others);
        let reserved = u64::from(reservation_for(account.recent_use)).min(room);
        account.reserved = reserved;
        self.reserved = others + reserved;
        u32::try_from(reserved).unwrap_or(u32::MAX)
    }

    /// Releases the reservations for an instance whose newest start reports for the first time, which ends its earlier
    /// starts and the account that was restored from disk. What earlier starts may have admitted in a period without
    /// contact counts from the end of that period.
    fn release_reservations(
        &mut self,
        instance: InstanceTag,
        silence: Option<EndedSilence>,
        now: LedgerTime,
        window: Duration,
    ) {
        let mut unreported = Vec::new();
        for (&incarnation, account) in &mut self.accounts {
            if account.instance != instance || account.reserved == 0 {
                continue;
            }
            if let Some(silence) = silence {
                let count = account.unreported_use(&silence, now, window);
                unreported.push((incarnation, silence.ended + window, count));
            }
            self.reserved -= account.reserved;
            account.reserved = 0;
        }
        for (incarnation, leaves, count) in unreported {
            self.charge(incarnation, leaves, count);
        }
    }

    /// Returns the time until one more program may start.
    fn next_program(&self, now: LedgerTime) -> Duration {
        let first = self.started.front();
        first.map_or(CHARGE_STEP, |(leaves, _)| leaves.saturating_sub(now))
    }

    /// Returns the time until `count` tokens have left the window.
    fn room_after(&self, mut count: i64, now: LedgerTime) -> Duration {
        for (&leaves, &leaving) in &self.leaving {
            count -= saturating_total(leaving);
            if count <= 0 {
                return leaves.saturating_sub(now);
            }
        }
        CHARGE_STEP
    }

    /// Drops accounts whose charges have all left the window and that need no reservation any more.
    pub(super) fn drop_expired(&mut self, rule: &LimitRule, now: LedgerTime) {
        let (mut dropped, mut unreserved) = (0, 0);
        self.accounts.retain(|_, account| {
            account.charges.retain(|(leaves, _)| *leaves > now);
            let keep = !account.charges.is_empty()
                || now < account.last_request + rule.standalone_period + rule.window;
            if !keep {
                dropped += account.outstanding();
                unreserved += account.reserved;
            }
            keep
        });
        self.outstanding -= dropped;
        self.reserved -= unreserved;
    }
}

/// Returns the number of requests in a window that an instance with a given use may continue with: one more and an
/// eighth more, since the bounds of the instance's own window are not exact.
fn reservation_for(recent_use: u32) -> u32 {
    recent_use + recent_use / 8 + 1
}

fn saturating_total(count: u64) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}

fn saturating_count(count: i64) -> u32 {
    u32::try_from(count).unwrap_or(0)
}

pub(super) fn rounded_up(time: LedgerTime) -> LedgerTime {
    let step = CHARGE_STEP.as_millis();
    let steps = time.as_millis().div_ceil(step);
    CHARGE_STEP * u32::try_from(steps).unwrap_or(u32::MAX)
}
