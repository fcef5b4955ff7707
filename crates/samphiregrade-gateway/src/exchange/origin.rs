//! The software version of a stream: recorded when the stream begins, and kept to when a client takes the stream up again.
//!
//! Upstreams of several versions may serve a service side by side, and what two versions write doesn't fit together. A
//! client may take its stream up at any entry, so the version is kept with the reservations of the stream's program.

use super::context::EntryContext;
use super::refusal::RefusalReason;
use super::request::RoutedRequest;
use crate::fact::ProgramLedger;
use crate::model::{SoftwareTag, TurnId};
use crate::upstream::Upstream;

/// The upstreams that may run a request, by the version of their software.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum SoftwareRule {
    /// Those of any version.
    #[default]
    Any,
    /// Those of the version that began the stream, or that the stream is recorded to begin at.
    Only(SoftwareTag),
}

impl SoftwareRule {
    /// Returns whether an upstream may run the request.
    #[must_use]
    pub fn allows(self, upstream: &Upstream) -> bool {
        match self {
            Self::Any => true,
            Self::Only(software) => upstream.software == software,
        }
    }
}

/// What a request means for the stream that it asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StreamStep {
    /// The request's stream can't be taken up again.
    Unresumable,
    /// The request begins a stream that can be taken up again.
    Begins,
    /// The request takes a stream up that began with this attempt; `None` if the client doesn't name it.
    Resumes(Option<TurnId>),
}

/// How the version of a request's stream is known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OriginSource {
    /// The stream begins; its version was recorded with its reservation, as the only one that serves.
    Reserved,
    /// The stream begins while several versions serve; its version is recorded once an upstream responds.
    Noted,
    /// The stream is taken up; its version was found among the reservations of its program.
    Found,
    /// The stream is taken up by a client that doesn't name its first attempt, and only one version is known.
    OnlyVersion,
}

impl OriginSource {
    /// Returns the name used in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Reserved => "reserved",
            Self::Noted => "noted",
            Self::Found => "found",
            Self::OnlyVersion => "only-version",
        }
    }
}

/// The software versions of the upstreams that an entry knows of a service.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct KnownVersions {
    /// The version of all upstreams that accept requests, if they have the same.
    pub serving: Option<SoftwareTag>,
    /// The version of all known upstreams, including those that are leaving, if they have the same.
    pub known: Option<SoftwareTag>,
}

impl KnownVersions {
    /// Returns the versions of the upstreams of a request's service.
    #[must_use]
    pub fn of(context: &EntryContext, request: &RoutedRequest) -> Self {
        let directory = context.directory.load();
        let upstreams = directory.of(&request.service.name).iter();
        let serving = upstreams
            .clone()
            .filter(|upstream| upstream.takes_requests());
        Self {
            serving: common_version(serving.map(|upstream| upstream.software)),
            known: common_version(upstreams.map(|upstream| upstream.software)),
        }
    }
}

fn common_version<Versions>(mut versions: Versions) -> Option<SoftwareTag>
where
    Versions: Iterator<Item = SoftwareTag>,
{
    let first = versions.next()?;
    versions.all(|other| other == first).then_some(first)
}

/// Returns the version at which a stream has to go on, and how it is known.
///
/// # Errors
///
/// [`RefusalReason::UnknownOrigin`] if it is unknown. The upstreams of today may have replaced those that began the stream,
/// so even a single version is no substitute for a record that the client asks for.
pub fn find_origin(
    first_attempt: Option<&TurnId>,
    ledger: &ProgramLedger,
    versions: KnownVersions,
) -> Result<(SoftwareTag, OriginSource), RefusalReason> {
    let found = match first_attempt {
        Some(attempt) => ledger
            .origin(attempt)
            .map(|software| (software, OriginSource::Found)),
        None => versions
            .known
            .map(|software| (software, OriginSource::OnlyVersion)),
    };
    found.ok_or(RefusalReason::UnknownOrigin)
}
