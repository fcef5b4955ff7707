//! A caller of the system: it retries until it has a final answer.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use rand::Rng;
use samphiregrade_http::{HttpPool, OutgoingRequest};
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol_str::{SmolStr, format_smolstr};
use thiserror::Error;

use crate::contract::{
    BeginReply, BeginRequest, CallBody, ProblemBody, ProgramReply, RanState, RefusalKind,
};
use crate::ids::{ProgramId, SequenceNumber};

/// Shortest and longest pause between two attempts.
const RETRY_PAUSES: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(2));

/// Why a caller got no answer.
#[derive(Clone, Debug, Error)]
pub enum ClientError {
    /// The system has refused for good.
    #[error("refused: {}; {}", .0.title, .0.remedy)]
    Refused(ProblemBody),
    /// No instance gave a final answer within the patience of the caller.
    #[error("no final answer within the time ({0}); ask again with the same key")]
    OutOfPatience(SmolStr),
}

impl ClientError {
    /// Returns what the system said about whether the request ran, where it said anything.
    #[must_use]
    pub fn ran(&self) -> Option<RanState> {
        match self {
            Self::Refused(problem) => Some(problem.ran),
            Self::OutOfPatience(_) => None,
        }
    }
}

/// A final answer with what it took to get it.
#[derive(Clone, Debug)]
pub struct ClientAnswer<Body> {
    /// The answer.
    pub body: Body,
    /// Attempts made.
    pub attempts: u32,
}

/// A caller; cloning it is cheap.
#[derive(Clone, Debug)]
pub struct CallerClient {
    pool: HttpPool,
    entries: Vec<SmolStr>,
    preferred: usize,
    failures: Arc<Mutex<Vec<AttemptFailure>>>,
    closed: Arc<Mutex<BTreeSet<SmolStr>>>,
    token: SmolStr,
    patience: Duration,
    attempt_timeout: Duration,
}

/// An attempt that brought no response.
#[derive(Clone, Debug)]
pub struct AttemptFailure {
    /// Base URL of the instance.
    pub entry: SmolStr,
    /// When it failed.
    pub at: Instant,
}

/// What one attempt brought.
enum AttemptEnd {
    Answer(Vec<u8>),
    Refused(ProblemBody, Option<Duration>),
    Failed(SmolStr),
}

impl CallerClient {
    /// Makes a caller that knows some instances' base URLs.
    #[must_use]
    pub fn new(pool: HttpPool, entries: Vec<SmolStr>, token: SmolStr) -> Self {
        Self {
            pool,
            preferred: entries.len(),
            entries,
            failures: Arc::default(),
            closed: Arc::default(),
            token,
            patience: Duration::from_mins(2),
            attempt_timeout: Duration::from_secs(40),
        }
    }

    /// Prefers the first few of the known instances; the others are for when these fail.
    #[must_use]
    pub fn with_preferred(mut self, preferred: usize) -> Self {
        self.preferred = preferred;
        self
    }

    /// Returns the attempts that brought no response.
    #[must_use]
    pub fn failures(&self) -> Vec<AttemptFailure> {
        self.failures
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Stops or begins to send to an instance, as a balancer does that asks for its readiness.
    pub fn set_closed(&self, entry: &SmolStr, closed: bool) {
        let mut entries = self.closed.lock().unwrap_or_else(PoisonError::into_inner);
        if closed {
            entries.insert(entry.clone());
        } else {
            entries.remove(entry);
        }
    }

    /// Returns the instance of a number, or the next one that is not closed.
    fn entry(&self, number: usize) -> Option<&SmolStr> {
        let closed = self.closed.lock().unwrap_or_else(PoisonError::into_inner);
        let count = self.entries.len();
        let in_turn = (0..count).map(|step| &self.entries[(number + step) % count]);
        let open = in_turn.clone().find(|entry| !closed.contains(*entry));
        open.or(in_turn.into_iter().next())
    }

    fn note_failure(&self, entry: &SmolStr) {
        let failure = AttemptFailure {
            entry: entry.clone(),
            at: Instant::now(),
        };
        self.failures
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(failure);
    }

    /// Replaces the time over which the caller retries.
    #[must_use]
    pub fn with_patience(mut self, patience: Duration) -> Self {
        self.patience = patience;
        self
    }

    /// Replaces the time after which an attempt counts as failed.
    #[must_use]
    pub fn with_attempt_timeout(mut self, timeout: Duration) -> Self {
        self.attempt_timeout = timeout;
        self
    }

    /// Begins a program.
    ///
    /// # Errors
    ///
    /// Returns [`ClientError`] after a final refusal or with the patience at its end.
    pub async fn begin(
        &self,
        request: &BeginRequest,
    ) -> Result<ClientAnswer<BeginReply>, ClientError> {
        self.post("/v1/programs", request).await
    }

    /// Makes a call; the answer is the body as the system stored it.
    ///
    /// # Errors
    ///
    /// As [`begin`](Self::begin).
    pub async fn call(
        &self,
        program: &ProgramId,
        sequence: SequenceNumber,
        body: &CallBody,
    ) -> Result<ClientAnswer<serde_json::Value>, ClientError> {
        self.post(
            &format_smolstr!("/v1/programs/{program}/calls/{sequence}"),
            body,
        )
        .await
    }

    /// Ends a program.
    ///
    /// # Errors
    ///
    /// As [`begin`](Self::begin).
    pub async fn end(
        &self,
        program: &ProgramId,
    ) -> Result<ClientAnswer<ProgramReply>, ClientError> {
        self.post(
            &format_smolstr!("/v1/programs/{program}/end"),
            &serde_json::json!({}),
        )
        .await
    }

    /// Posts a body until there is a final answer.
    async fn post<Body, Reply>(
        &self,
        path: &str,
        body: &Body,
    ) -> Result<ClientAnswer<Reply>, ClientError>
    where
        Body: Serialize,
        Reply: DeserializeOwned,
    {
        let started = tokio::time::Instant::now();
        let mut attempts = 0;
        let mut entry = rand::rng().random_range(0..self.preferred.max(1));
        let mut pause = RETRY_PAUSES.0;
        loop {
            attempts += 1;
            let (failure, wait) = match self.attempt(entry, path, body).await {
                AttemptEnd::Answer(bytes) => match serde_json::from_slice(&bytes) {
                    Ok(body) => return Ok(ClientAnswer { body, attempts }),
                    Err(error) => (format_smolstr!("unreadable answer: {error}"), None),
                },
                AttemptEnd::Refused(problem, _) if !problem.transient => {
                    return Err(ClientError::Refused(problem));
                }
                AttemptEnd::Refused(problem, wait) => {
                    if problem.kind == RefusalKind::ShuttingDown.name() {
                        // This instance may go on refusing for a minute, while others serve.
                        entry += 1;
                    }
                    (problem.title, wait)
                }
                AttemptEnd::Failed(failure) => {
                    entry += 1;
                    (failure, None)
                }
            };
            if started.elapsed() > self.patience {
                return Err(ClientError::OutOfPatience(failure));
            }
            // Callers that were refused together must not come back together.
            let jitter = rand::rng().random_range(0.8..1.2);
            tokio::time::sleep(wait.unwrap_or(pause).mul_f64(jitter)).await;
            pause = (pause * 2).min(RETRY_PAUSES.1);
        }
    }

    async fn attempt<Body>(&self, entry: usize, path: &str, body: &Body) -> AttemptEnd
    where
        Body: Serialize,
    {
        let Some(base) = self.entry(entry) else {
            return AttemptEnd::Failed("no instance is known".into());
        };
        let request = OutgoingRequest::post_json(&format_smolstr!("{base}{path}"), body)
            .with_header("authorization", &format!("Bearer {}", self.token))
            .with_timeout(self.attempt_timeout);
        let mut response = match self.pool.send(request).await {
            Ok(response) => response,
            Err(error) => {
                self.note_failure(base);
                return AttemptEnd::Failed(format_smolstr!("{error}"));
            }
        };
        let wait = response
            .header("retry-after-exact")
            .and_then(|text| text.parse().ok())
            .and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
        let problem = response
            .header("content-type")
            .is_some_and(|content| content.starts_with("application/problem+json"));
        let bytes = match response.read_all().await {
            Ok(bytes) => bytes,
            Err(error) => {
                self.note_failure(base);
                return AttemptEnd::Failed(format_smolstr!("{error}"));
            }
        };
        if !problem && response.status < 500 {
            return AttemptEnd::Answer(bytes.to_vec());
        }
        match serde_json::from_slice(&bytes) {
            Ok(problem) => AttemptEnd::Refused(problem, wait),
            Err(_) => AttemptEnd::Failed(format_smolstr!("status {}", response.status)),
        }
    }
}
