//! Client of the callers' interface, which retries a request until it has a final response.

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

/// Shortest and longest delay between two attempts.
const RETRY_DELAYS: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(2));

/// Reason why a request has no successful response.
#[derive(Clone, Debug, Error)]
pub enum ClientError {
    /// The system refused the request permanently.
    #[error("refused: {}; {}", .0.title, .0.remedy)]
    Refused(ProblemBody),
    /// No instance sent a final response within the retry timeout. Holds the failure of the last attempt.
    #[error(
        "no final response within the retry timeout ({0}); send the request again with the same key"
    )]
    RetryTimeout(SmolStr),
}

impl ClientError {
    /// Returns whether the request ran, if the system reported it.
    #[must_use]
    pub fn ran(&self) -> Option<RanState> {
        match self {
            Self::Refused(problem) => Some(problem.ran),
            Self::RetryTimeout(_) => None,
        }
    }
}

/// Final response and the number of attempts made for it.
#[derive(Clone, Debug)]
pub struct ClientResponse<Body> {
    /// Body of the response.
    pub body: Body,
    /// Number of attempts.
    pub attempts: u32,
}

/// Client of one organisation. Clones share the connection pool and the recorded failures.
#[derive(Clone, Debug)]
pub struct CallerClient {
    pool: HttpPool,
    entries: Vec<SmolStr>,
    preferred: usize,
    failures: Arc<Mutex<Vec<AttemptFailure>>>,
    closed: Arc<Mutex<BTreeSet<SmolStr>>>,
    token: SmolStr,
    retry_timeout: Duration,
    attempt_timeout: Duration,
}

/// Attempt without a complete response.
#[derive(Clone, Debug)]
pub struct AttemptFailure {
    /// Base URL of the instance.
    pub entry: SmolStr,
    /// When it failed.
    pub at: Instant,
}

/// Result of one attempt.
enum AttemptResult {
    Response(Vec<u8>),
    Refused(ProblemBody, Option<Duration>),
    Failed(SmolStr),
}

impl CallerClient {
    /// Creates a client that sends to the instances with these base URLs.
    #[must_use]
    pub fn new(pool: HttpPool, entries: Vec<SmolStr>, token: SmolStr) -> Self {
        Self {
            pool,
            preferred: entries.len(),
            entries,
            failures: Arc::default(),
            closed: Arc::default(),
            token,
            retry_timeout: Duration::from_mins(2),
            attempt_timeout: Duration::from_secs(40),
        }
    }

    /// Prefers the first `preferred` instances; the others are used only if these fail.
    #[must_use]
    pub fn with_preferred(mut self, preferred: usize) -> Self {
        self.preferred = preferred;
        self
    }

    /// Returns the attempts without a complete response.
    #[must_use]
    pub fn failures(&self) -> Vec<AttemptFailure> {
        self.failures
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Stops or resumes sending to an instance, as a load balancer does after a readiness check.
    pub fn set_closed(&self, entry: &SmolStr, closed: bool) {
        let mut entries = self.closed.lock().unwrap_or_else(PoisonError::into_inner);
        if closed {
            entries.insert(entry.clone());
        } else {
            entries.remove(entry);
        }
    }

    /// Returns the instance at a position, or the next one that is not closed. If all are closed, returns the one at
    /// the position.
    fn entry(&self, number: usize) -> Option<&SmolStr> {
        let closed = self.closed.lock().unwrap_or_else(PoisonError::into_inner);
        let count = self.entries.len();
        let candidates = (0..count).map(|step| &self.entries[(number + step) % count]);
        let open = candidates.clone().find(|entry| !closed.contains(*entry));
        open.or(candidates.into_iter().next())
    }

    fn record_failure(&self, entry: &SmolStr) {
        let failure = AttemptFailure {
            entry: entry.clone(),
            at: Instant::now(),
        };
        self.failures
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(failure);
    }

    /// Sets the time during which failed attempts are repeated.
    #[must_use]
    pub fn with_retry_timeout(mut self, timeout: Duration) -> Self {
        self.retry_timeout = timeout;
        self
    }

    /// Sets the time after which an attempt counts as failed.
    #[must_use]
    pub fn with_attempt_timeout(mut self, timeout: Duration) -> Self {
        self.attempt_timeout = timeout;
        self
    }

    /// Starts a program.
    ///
    /// # Errors
    ///
    /// Returns [`ClientError`] after a permanent refusal or when the retry timeout has passed.
    pub async fn begin(
        &self,
        request: &BeginRequest,
    ) -> Result<ClientResponse<BeginReply>, ClientError> {
        self.post("/v1/programs", request).await
    }

    /// Makes a call and returns the response body that the system stored.
    ///
    /// # Errors
    ///
    /// As [`begin`](Self::begin).
    pub async fn call(
        &self,
        program: &ProgramId,
        sequence: SequenceNumber,
        body: &CallBody,
    ) -> Result<ClientResponse<serde_json::Value>, ClientError> {
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
    ) -> Result<ClientResponse<ProgramReply>, ClientError> {
        self.post(
            &format_smolstr!("/v1/programs/{program}/end"),
            &serde_json::json!({}),
        )
        .await
    }

    /// Posts a body and retries until there is a final response.
    async fn post<Body, Reply>(
        &self,
        path: &str,
        body: &Body,
    ) -> Result<ClientResponse<Reply>, ClientError>
    where
        Body: Serialize,
        Reply: DeserializeOwned,
    {
        let started = tokio::time::Instant::now();
        let mut attempts = 0;
        let mut entry = rand::rng().random_range(0..self.preferred.max(1));
        let mut delay = RETRY_DELAYS.0;
        loop {
            attempts += 1;
            let (failure, wait) = match self.attempt(entry, path, body).await {
                AttemptResult::Response(bytes) => match serde_json::from_slice(&bytes) {
                    Ok(body) => return Ok(ClientResponse { body, attempts }),
                    Err(error) => (format_smolstr!("invalid response body: {error}"), None),
                },
                AttemptResult::Refused(problem, _) if !problem.transient => {
                    return Err(ClientError::Refused(problem));
                }
                AttemptResult::Refused(problem, wait) => {
                    if problem.kind == RefusalKind::ShuttingDown.name() {
                        // This instance may refuse requests for another minute, while others serve them.
                        entry += 1;
                    }
                    (problem.title, wait)
                }
                AttemptResult::Failed(failure) => {
                    entry += 1;
                    (failure, None)
                }
            };
            if started.elapsed() > self.retry_timeout {
                return Err(ClientError::RetryTimeout(failure));
            }
            // Callers that were refused at the same time must not retry at the same time.
            let jitter = rand::rng().random_range(0.8..1.2);
            tokio::time::sleep(wait.unwrap_or(delay).mul_f64(jitter)).await;
            delay = (delay * 2).min(RETRY_DELAYS.1);
        }
    }

    async fn attempt<Body>(&self, entry: usize, path: &str, body: &Body) -> AttemptResult
    where
        Body: Serialize,
    {
        let Some(base) = self.entry(entry) else {
            return AttemptResult::Failed("the client has no instances".into());
        };
        let request = OutgoingRequest::post_json(&format_smolstr!("{base}{path}"), body)
            .with_header("authorization", &format!("Bearer {}", self.token))
            .with_timeout(self.attempt_timeout);
        let mut response = match self.pool.send(request).await {
            Ok(response) => response,
            Err(error) => {
                self.record_failure(base);
                return AttemptResult::Failed(format_smolstr!("{error}"));
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
                self.record_failure(base);
                return AttemptResult::Failed(format_smolstr!("{error}"));
            }
        };
        if !problem && response.status < 500 {
            return AttemptResult::Response(bytes.to_vec());
        }
        match serde_json::from_slice(&bytes) {
            Ok(problem) => AttemptResult::Refused(problem, wait),
            Err(_) => AttemptResult::Failed(format_smolstr!("status {}", response.status)),
        }
    }
}
