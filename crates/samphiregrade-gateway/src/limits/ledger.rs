//! Home side of the request limits: the tokens that all entries were granted of the organisations' limits.

use std::collections::HashMap;
use std::time::Duration;

use super::contacts::InstanceContacts;
use super::message::{AllowanceGrant, AllowanceRequest, InstanceTag, LimitRule};
use super::organisation::{OrganisationLedger, rounded_up};
use super::program_size::ProgramSize;
use super::saved::{LimitReservation, LimitUse, TokenUse};
use crate::model::OrganisationTag;

/// Time on a home's own clock, which continues at its last value after a restart of the home.
pub type LedgerTime = Duration;

/// How often in a window changed reservations for unresponsive instances are written to disk.
const RESERVATION_WRITES: u32 = 4;

/// Number of the newest unsaved uses that are searched for one with the same time, instance and organisation.
const UNSAVED_SEARCH: usize = 16;

/// A home's ledger of all organisations that it is responsible for.
#[derive(Debug)]
pub struct LimitLedger {
    rule: LimitRule,
    organisations: HashMap<OrganisationTag, OrganisationLedger>,
    contacts: InstanceContacts,
    /// Uses that were not passed to the disk yet.
    unsaved: Vec<TokenUse>,
    programs: ProgramSize,
    /// Time at which the reservations for unresponsive instances are next written to disk.
    next_reservation_write: LedgerTime,
}

impl LimitLedger {
    /// Returns an empty ledger.
    #[must_use]
    pub fn new(rule: LimitRule) -> Self {
        Self {
            rule,
            organisations: HashMap::new(),
            contacts: InstanceContacts::default(),
            unsaved: Vec::new(),
            programs: ProgramSize::default(),
            next_reservation_write: LedgerTime::ZERO,
        }
    }

    /// Records a contact with an instance, which shows that the instance is reachable.
    pub fn record_contact(&mut self, instance: InstanceTag, now: LedgerTime) {
        self.contacts.record(instance, now);
    }

    /// Replies to an entry's request.
    pub fn answer(&mut self, request: &AllowanceRequest, now: LedgerTime) -> AllowanceGrant {
        self.record_contact(request.instance, now);
        let organisation = self.organisations.entry(request.organisation).or_default();
        organisation.expire(now);
        if request.limit.version >= organisation.limit.version {
            organisation.limit = request.limit;
        }
        let silence = self.contacts.last_silence(request.instance);
        let unrecorded = organisation.apply_report(request, silence, now, self.rule.window);
        let uncounted_use = organisation.uncounted_use(&self.contacts, &self.rule, now);
        let fitting = self.programs.fitting(organisation.limit.requests);
        let mut grant = organisation.grant(request, uncounted_use, fitting, now, self.rule.window);
        let count = organisation.take_unsaved(request, &grant);
        grant.recorded = organisation.recorded_uses(request.life);
        let started = organisation.record_started_programs(request, &grant, now + self.rule.window);
        // A refused request belongs to a program as well.
        let refused = !request.begins && grant.granted < request.used + u64::from(request.waiting);
        self.programs.record(count + u32::from(refused), started);
        for (leaves, count) in unrecorded {
            self.record_unsaved(request, leaves, count);
        }
        self.record_unsaved(request, now + self.rule.window, count);
        grant
    }

    fn record_unsaved(&mut self, request: &AllowanceRequest, leaves: LedgerTime, count: u32) {
        if count == 0 {
            return;
        }
        let leaves = rounded_up(leaves);
        let same_use = |matching_use: &&mut TokenUse| {
            matching_use.organisation == request.organisation
                && matching_use.instance == request.instance
                && matching_use.leaves == leaves
        };
        if let Some(matching_use) = self
            .unsaved
            .iter_mut()
            .rev()
            .take(UNSAVED_SEARCH)
            .find(same_use)
        {
            matching_use.count += count;
            return;
        }
        self.unsaved.push(TokenUse {
            organisation: request.organisation,
            instance: request.instance,
            leaves,
            count,
        });
    }

    /// Returns the uses since the last call, which have to be kept over a restart of the home.
    ///
    /// They include changed reservations for unresponsive instances, since nobody reports what these instances use.
    pub fn take_unsaved(&mut self, now: LedgerTime) -> Vec<LimitUse> {
        let uses = std::mem::take(&mut self.unsaved).into_iter();
        let mut uses: Vec<LimitUse> = uses.map(LimitUse::Tokens).collect();
        if now < self.next_reservation_write {
            return uses;
        }
        self.next_reservation_write = now + self.rule.window / RESERVATION_WRITES;
        for (&organisation, ledger) in &mut self.organisations {
            let current = ledger.current_reservations(&self.contacts, &self.rule, now);
            let changed = ledger.replace_saved_reservations(current);
            uses.extend(changed.into_iter().map(|(instance, saved)| {
                LimitUse::Reservation(LimitReservation {
                    organisation,
                    instance,
                    last_request: saved.last_request,
                    requests: saved.requests,
                })
            }));
        }
        uses
    }

    /// Returns the number of an organisation's tokens that count in the window.
    pub fn total(&mut self, organisation: OrganisationTag, now: LedgerTime) -> i64 {
        let Some(organisation) = self.organisations.get_mut(&organisation) else {
            return 0;
        };
        organisation.expire(now);
        organisation.total
    }

    /// Returns all uses that count, for a home that writes its state anew.
    #[must_use]
    pub fn all_uses(&self) -> Vec<LimitUse> {
        let mut uses = Vec::new();
        for (&organisation, ledger) in &self.organisations {
            for account in ledger.accounts.values() {
                let charges = account.charges.iter().map(|&(leaves, count)| TokenUse {
                    organisation,
                    instance: account.instance,
                    leaves,
                    count,
                });
                uses.extend(charges.map(LimitUse::Tokens));
            }
            let saved = ledger.saved_reservations.iter();
            let reservations = saved.map(|(&instance, saved)| LimitReservation {
                organisation,
                instance,
                last_request: saved.last_request,
                requests: saved.requests,
            });
            uses.extend(reservations.map(LimitUse::Reservation));
        }
        uses
    }

    /// Restores saved uses when the home restarts.
    ///
    /// An instance that stays unresponsive from then on may be cut off and continue at its previous rate.
    pub fn restore(&mut self, uses: &[LimitUse], now: LedgerTime) {
        let mut reservations = HashMap::new();
        for saved_use in uses {
            match saved_use {
                LimitUse::Tokens(tokens) if tokens.leaves > now => self.restore_tokens(tokens, now),
                LimitUse::Tokens(_) => {}
                LimitUse::Reservation(reservation) => {
                    let key = (reservation.organisation, reservation.instance);
                    reservations.insert(key, reservation);
                }
            }
        }
        for reservation in reservations.into_values() {
            let end = reservation.last_request + self.rule.standalone_period + self.rule.window;
            if reservation.requests == 0 || end <= now {
                continue;
            }
            self.contacts.mark_unresponsive(reservation.instance, now);
            let organisation = self
                .organisations
                .entry(reservation.organisation)
                .or_default();
            organisation.restore_reservation(reservation);
        }
    }

    fn restore_tokens(&mut self, tokens: &TokenUse, now: LedgerTime) {
        self.contacts.mark_unresponsive(tokens.instance, now);
        let organisation = self.organisations.entry(tokens.organisation).or_default();
        organisation.restored_until = Some(now + self.rule.window);
        // All starts of an instance before the home's restart are combined into one account.
        let incarnation = tokens.instance;
        organisation.charge(incarnation, tokens.leaves, tokens.count);
        let account = organisation.accounts.entry(incarnation).or_default();
        account.instance = tokens.instance;
        account.last_request = now;
        account.reserved += u64::from(tokens.count);
        organisation.reserved += u64::from(tokens.count);
    }

    /// Drops state that no longer counts.
    pub fn sweep(&mut self, now: LedgerTime) {
        self.contacts.sweep(now);
        self.organisations.retain(|_, organisation| {
            organisation.expire(now);
            organisation.drop_expired(&self.rule, now);
            organisation.total > 0 || !organisation.accounts.is_empty()
        });
    }
}
