//! An entry's allowances of the organisations' limits, and the tokens that requests take from them.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use super::context::EntryContext;
use crate::access::BootTime;
use crate::hold::lock_ignoring_poison;
use crate::limits::{
    AllowanceGrant, AllowanceRequest, EntrySource, OrganisationAllowance, WindowLimit, WindowUse,
};
use crate::model::{OrganisationTag, name_tag};
use crate::settings::OrganisationSection;

/// The allowances that this entry holds of the organisations' limits.
pub struct EntryLimiter {
    pub(super) source: EntrySource,
    allowances: Mutex<HashMap<OrganisationTag, OrganisationAllowance>>,
}

impl EntryLimiter {
    /// Creates an empty state for an entry that has just started.
    #[must_use]
    pub fn new(instance: &str, organisations: &OrganisationSection) -> Self {
        Self {
            source: EntrySource {
                instance: name_tag(instance),
                life: rand::random(),
                rule: organisations.limit_rule(),
                prefetch: true,
            },
            allowances: Mutex::default(),
        }
    }

    pub(super) fn with_allowance<Output>(
        &self,
        organisation: OrganisationTag,
        action: impl FnOnce(&mut OrganisationAllowance) -> Output,
    ) -> Output {
        action(
            lock_ignoring_poison(&self.allowances)
                .entry(organisation)
                .or_default(),
        )
    }

    /// Takes a prefetched token; returns whether there was one.
    pub(super) fn take_token(&self, demand: &TokenDemand) -> bool {
        let window = self.source.rule.window;
        self.with_allowance(demand.organisation, |allowance| {
            allowance.take(demand.starts_program, BootTime::now(), window)
        })
    }

    pub(super) fn take_standalone(&self, organisation: OrganisationTag) -> bool {
        let rule = self.source.rule;
        self.with_allowance(organisation, |allowance| {
            allowance.take_standalone(BootTime::now(), &rule)
        })
    }

    /// Composes a request to the home; also returns whether the organisation was near its limit at the last reply.
    pub(super) fn compose_request(
        &self,
        demand: &TokenDemand,
        now: BootTime,
    ) -> (AllowanceRequest, bool) {
        let TokenDemand {
            organisation,
            limit,
            starts_program,
            prefetch,
        } = *demand;
        let source = EntrySource {
            prefetch: prefetch && self.source.prefetch,
            ..self.source
        };
        self.with_allowance(organisation, |allowance| {
            let request =
                allowance.compose_request(organisation, &source, limit, starts_program, now);
            (request, allowance.is_near_limit())
        })
    }

    pub(super) fn accept(
        &self,
        organisation: OrganisationTag,
        grant: &AllowanceGrant,
        sent: BootTime,
    ) {
        self.with_allowance(organisation, |allowance| {
            allowance.accept(grant, sent, BootTime::now());
        });
    }

    /// Returns whether the organisation is near its limit: the next request has to wait for the home, which is likely
    /// to refuse it.
    pub(super) fn is_near_limit(&self, organisation: OrganisationTag) -> bool {
        self.with_allowance(organisation, |allowance| allowance.is_near_limit())
    }

    /// Returns for how long requests like this one are refused without another request to the home.
    pub(super) fn refused_for(&self, demand: &TokenDemand) -> Option<(Duration, WindowUse)> {
        self.with_allowance(demand.organisation, |allowance| {
            allowance.refused_for(demand.starts_program, BootTime::now())
        })
    }

    pub(super) fn record_refusal(&self, demand: &TokenDemand, grant: &AllowanceGrant) {
        self.with_allowance(demand.organisation, |allowance| {
            allowance.record_refusal(demand.starts_program, grant, BootTime::now());
        });
    }

    pub(super) fn begins_prefetch(&self, organisation: OrganisationTag) -> bool {
        let prefetch = self.source.prefetch;
        self.with_allowance(organisation, |allowance| {
            prefetch && allowance.begin_prefetch(BootTime::now())
        })
    }

    pub(super) fn begins_report(&self, organisation: OrganisationTag) -> bool {
        self.with_allowance(organisation, OrganisationAllowance::begin_report)
    }

    pub(super) fn has_unreported_uses(&self, organisation: OrganisationTag) -> bool {
        self.with_allowance(organisation, |allowance| allowance.has_unreported_uses())
    }

    pub(super) fn has_lapsed_tokens(&self, organisation: OrganisationTag) -> bool {
        self.with_allowance(organisation, |allowance| {
            allowance.has_lapsed_tokens(BootTime::now())
        })
    }

    pub(super) fn end_prefetch(&self, organisation: OrganisationTag) {
        self.with_allowance(organisation, OrganisationAllowance::end_prefetch);
    }
}

/// A request's need for a token.
#[derive(Clone, Copy, Debug)]
pub(super) struct TokenDemand {
    pub(super) organisation: OrganisationTag,
    pub(super) limit: WindowLimit,
    /// Whether the request starts a program.
    pub(super) starts_program: bool,
    /// Whether tokens are also prefetched.
    pub(super) prefetch: bool,
}

impl TokenDemand {
    /// Returns the demand of a report of past uses, which prefetches no tokens.
    pub(super) fn report(self) -> Self {
        Self {
            prefetch: false,
            ..self
        }
    }
}

/// A token of an organisation's limit; returned on drop unless the request may have run.
pub struct LimitToken {
    pub(super) context: Arc<EntryContext>,
    pub(super) organisation: OrganisationTag,
    pub(super) spent: bool,
}

impl LimitToken {
    /// Marks the token as spent because the request may have run.
    pub fn spend(&mut self) {
        self.spent = true;
    }
}

impl Drop for LimitToken {
    fn drop(&mut self) {
        if self.spent {
            return;
        }
        let limiter = &self.context.limits;
        limiter.with_allowance(self.organisation, OrganisationAllowance::give_back);
    }
}

/// Where a token came from, for the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TokenSource {
    /// The token was prefetched.
    Prefetched,
    /// A home granted the token for this request.
    Home,
    /// No home replied; the entry admitted the request standalone.
    Standalone,
}

impl TokenSource {
    /// Returns the name used in the log.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Prefetched => "at-hand",
            Self::Home => "home",
            Self::Standalone => "alone",
        }
    }
}

/// A request that counts as waiting for a token until it is dropped.
pub(super) struct WaitingRequest<'limiter> {
    limiter: &'limiter EntryLimiter,
    organisation: OrganisationTag,
}

impl<'limiter> WaitingRequest<'limiter> {
    pub(super) fn begin(limiter: &'limiter EntryLimiter, organisation: OrganisationTag) -> Self {
        limiter.with_allowance(organisation, OrganisationAllowance::begin_waiting);
        Self {
            limiter,
            organisation,
        }
    }
}

impl Drop for WaitingRequest<'_> {
    fn drop(&mut self) {
        self.limiter
            .with_allowance(self.organisation, OrganisationAllowance::end_waiting);
    }
}
