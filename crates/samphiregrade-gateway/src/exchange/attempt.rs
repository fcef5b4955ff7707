//! One attempt of a request at one upstream: sends the request and waits for the head of the response.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::{BufMut, Bytes, BytesMut};
use samphiregrade_http::wire::{BodyDecoder, BodyFraming, BodyPiece, ResponseHead, WireSocket};

use super::admission::identify;
use super::context::EntryContext;
use super::outcome::RequestRecord;
use super::refusal::Refusal;
use super::request::RoutedRequest;
use super::survey::RunGuard;
use crate::access::CallerIdentity;
use crate::model::{DispatchHeaders, ReportedLoad, ResponseMetadata};
use crate::upstream::{Outcome, Upstream};

/// Maximum size of a response head, in bytes.
const HEAD_LIMIT: usize = 32 << 10;

/// Maximum number of heads before the one of the response to a request: interim ones, and those of late responses to earlier
/// requests.
const EARLIER_HEADS: usize = 16;

/// Maximum size of the body of a mismatched response that is skipped, in bytes: reading more is not worth the cost.
const SKIPPED_BODY_LIMIT: usize = 1 << 20;

/// Largest body, in bytes, that is written together with its head; a larger one is not copied.
const COMBINED_BODY: usize = 16 << 10;

/// Interval between checks of whether an upstream is still reachable.
const REACHABILITY_INTERVAL: Duration = Duration::from_millis(100);

/// Time after which unacknowledged bytes show that the network path to the upstream is broken: operating systems
/// acknowledge within a round trip however busy their processes are, and a lost packet is resent after 200 ms.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_millis(350);

/// A response whose head has arrived.
pub struct LiveResponse {
    /// Head of the response.
    pub head: ResponseHead,
    /// Connection to the upstream.
    pub socket: WireSocket,
    /// Decoder of the body, which detects its end.
    pub decoder: BodyDecoder,
    /// Framing of the body.
    pub framing: BodyFraming,
    /// Counts the request as running at its upstream.
    pub guard: RunGuard,
    /// Whether the connection can be reused after a complete response.
    pub reusable: bool,
    /// Whether the request probes a suspected upstream.
    pub is_probe: bool,
    /// Whether the response has the id of the request, as all responses of upstreams that ran one do.
    pub names_request: bool,
    /// When the request was sent.
    pub sent_at: Instant,
    /// Time from sending the request to receiving the head of the response.
    pub time_to_head: Duration,
    /// Load of the upstream, as the head reports it.
    pub load: Option<ReportedLoad>,
}

/// The upstream chosen for an attempt.
#[derive(Clone)]
pub(super) struct ChosenUpstream {
    pub upstream: Arc<Upstream>,
    /// Whether the request probes the upstream because it is suspected.
    pub is_probe: bool,
}

/// How an attempt ended.
pub(super) enum AttemptOutcome {
    /// The head of the response to this request has arrived.
    Responded(Box<LiveResponse>),
    /// Nothing was sent.
    NotSent(String),
    /// The request must not be sent: the caller is no longer allowed to make it, or too many upstreams may end under it.
    Withdrawn(Box<Refusal>),
    /// The upstream reports that it did not run the request.
    NotExecuted(u16, Option<Duration>),
    /// The upstream failed; the request may have run.
    Broken(String),
    /// The network path to the upstream is broken; the request may have run.
    Unreachable(String),
}

/// A failure after part of the request was sent.
enum SendFailure {
    Upstream(String),
    Path(String),
}

impl SendFailure {
    /// Returns a function that wraps an error into a failure of the upstream.
    fn upstream<Source>(what: &'static str) -> impl Fn(Source) -> Self
    where
        Source: std::fmt::Display,
    {
        move |source| Self::Upstream(format!("{what}: {source}"))
    }
}

/// Sends a request to an upstream; resolves to the head of the response, or to what is known about whether the request
/// ran.
pub(super) async fn attempt(
    context: &EntryContext,
    request: &RoutedRequest,
    chosen: &ChosenUpstream,
    record: &mut RequestRecord,
) -> AttemptOutcome {
    let upstream = &chosen.upstream;
    let guard = RunGuard::begin(context, request, upstream, record.uncached);
    let _waiting = request
        .expects_early_head()
        .then(|| upstream.await_head(context.outcomes.clone(), Instant::now()));
    let socket = match open(upstream).await {
        Ok(socket) => socket,
        Err(error) => {
            return AttemptOutcome::NotSent(format!("{} not reached: {error}", upstream.record.id));
        }
    };
    // The request may have waited, or the machine may have been suspended, since the last check.
    if let Err(reason) = identify(context, &request.route, &request.metadata.credential) {
        return AttemptOutcome::Withdrawn(Box::new(reason.into()));
    }
    if let Err(refusal) = Box::pin(request.tries.begin(upstream)).await {
        return AttemptOutcome::Withdrawn(Box::new(refusal));
    }
    // The try may have waited for others; a key that was withdrawn meanwhile must not run anything.
    if let Err(reason) = identify(context, &request.route, &request.metadata.credential) {
        request.tries.settle();
        return AttemptOutcome::Withdrawn(Box::new(reason.into()));
    }
    record.sends += 1;
    record.before_send.get_or_insert(request.started.elapsed());
    record.rank = request.service.engine.map(|_| request.rank());
    let bytes = encode(context, request, upstream, record.rank);
    let sending = SentRequest {
        context,
        request,
        upstream,
        socket,
        guard,
        reusable: true,
        is_probe: chosen.is_probe,
    };
    let id = &upstream.record.id;
    match sending.exchange(&bytes).await {
        Ok(end) => end,
        Err(SendFailure::Upstream(error)) => AttemptOutcome::Broken(format!("{id} {error}")),
        Err(SendFailure::Path(error)) => AttemptOutcome::Unreachable(format!("{id} {error}")),
    }
}

/// A request that is being sent on a connection to an upstream.
struct SentRequest<'attempt> {
    context: &'attempt EntryContext,
    request: &'attempt RoutedRequest,
    upstream: &'attempt Arc<Upstream>,
    socket: WireSocket,
    guard: RunGuard,
    /// Whether the connection can be reused after a complete response.
    reusable: bool,
    /// Whether the request probes a suspected upstream.
    is_probe: bool,
}

impl SentRequest<'_> {
    /// Sends the bytes and reads response heads until one belongs to the request.
    ///
    /// An error describes a failure after part of the request was sent.
    async fn exchange(mut self, bytes: &[u8]) -> Result<AttemptOutcome, SendFailure> {
        let sent_at = Instant::now();
        let writing = self.write_request(bytes).await;
        self.reusable =
            writing.map_err(SendFailure::upstream("did not accept the complete request"))?;
        for _ in 0..=EARLIER_HEADS {
            let head = self.await_head(sent_at).await?;
            if head.status < 200 {
                continue;
            }
            self.upstream.record_response(Instant::now());
            let framing = head
                .framing()
                .map_err(SendFailure::upstream("sent an invalid response"))?;
            let metadata = self.context.dialect.response_metadata(&head);
            let own = &self.request.id;
            let ran = !metadata.not_executed && head.status != 421;
            let is_own_run = ran && metadata.request.as_ref() == Some(own);
            self.upstream.record_sender(&metadata, is_own_run, sent_at);
            if metadata.request.as_ref().is_none_or(|id| id == own) {
                return Ok(self.finish(head, &metadata, framing, sent_at));
            }
            // A late second response to an earlier request precedes the response to this one.
            self.reusable = false;
            skip_body(&mut self.socket, framing)
                .await
                .map_err(SendFailure::upstream("sent an unexpected response"))?;
        }
        Err(SendFailure::Upstream(format!(
            "sent {EARLIER_HEADS} heads that belong to no response to the request"
        )))
    }

    /// Writes the request, whose head is given, with its body if that is small; returns whether all of it was written before
    /// a response arrived.
    async fn write_request(&mut self, bytes: &[u8]) -> std::io::Result<bool> {
        let body = &self.request.body;
        if !self.socket.write_until_response(bytes).await? {
            return Ok(false);
        }
        if body.len() <= COMBINED_BODY {
            return Ok(true);
        }
        self.socket.write_until_response(body).await
    }

    /// Reads the next response head; fails if the network path to the upstream is broken and the request may be
    /// repeated.
    async fn await_head(&mut self, sent_at: Instant) -> Result<ResponseHead, SendFailure> {
        loop {
            let reading = tokio::time::timeout(REACHABILITY_INTERVAL, read_head(&mut self.socket));
            if let Ok(head) = reading.await {
                return head.map_err(SendFailure::upstream("gave no answer"));
            }
            let reachability = self.check_reachability(sent_at);
            if self.request.may_resend() {
                reachability.map_err(SendFailure::Path)?;
            }
        }
    }

    /// Fails if a response can no longer be expected.
    fn check_reachability(&self, sent_at: Instant) -> Result<(), String> {
        let now = Instant::now();
        if self.upstream.is_overdue(sent_at, now) {
            return Err("gave no answer: its failure domain is out of reach".to_owned());
        }
        if now.saturating_duration_since(sent_at) < UNACKNOWLEDGED_LIMIT {
            return Ok(());
        }
        match self.socket.unacknowledged() {
            Ok(0) => Ok(()),
            Ok(bytes) => {
                self.upstream.mark_domain_unreachable(now);
                Err(format!(
                    "gave no answer: its system has not acknowledged {bytes} bytes"
                ))
            }
            Err(error) => {
                log::debug!("the number of unacknowledged bytes could not be read: {error}");
                Ok(())
            }
        }
    }

    fn finish(
        self,
        head: ResponseHead,
        metadata: &ResponseMetadata,
        framing: BodyFraming,
        sent_at: Instant,
    ) -> AttemptOutcome {
        let now = Instant::now();
        if let Some(load) = metadata.load {
            self.upstream.note_load(load, now);
        }
        if metadata.not_executed || head.status == 421 {
            if head.status == 421 {
                record_failure(self.upstream, true, "another upstream now has its address");
            }
            let has_room = metadata
                .load
                .is_some_and(|load| load.running + load.waiting < load.slots);
            if head.status != 421 && has_room {
                let outcomes = &self.context.outcomes;
                outcomes.note(self.upstream.start_tag, Outcome::Failure, now);
            }
            return AttemptOutcome::NotExecuted(head.status, metadata.retry_after);
        }
        if self.upstream.record_success() {
            log::info!("upstream {} responds again", self.upstream.record.id);
        }
        if let Some(engine) = &self.request.service.engine {
            let prompt = &self.request.metadata.prompt;
            self.upstream.note_prompt(prompt, engine.cache_tokens, now);
        }
        let is_delimited = framing != BodyFraming::UntilClose;
        AttemptOutcome::Responded(Box::new(LiveResponse {
            decoder: BodyDecoder::new(framing),
            reusable: self.reusable && head.keeps_connection() && is_delimited,
            head,
            socket: self.socket,
            is_probe: self.is_probe,
            names_request: metadata.request.is_some(),
            sent_at,
            time_to_head: now.saturating_duration_since(sent_at),
            load: metadata.load,
            framing,
            guard: self.guard,
        }))
    }
}

/// Records a failure of an upstream, and logs if its circuit breaker opens.
pub(super) fn record_failure(upstream: &Upstream, certain: bool, reason: &str) {
    if upstream.record_failure(Instant::now(), certain) {
        log::info!(
            "upstream {} is left alone for a while: {reason}",
            upstream.record.id
        );
    }
}

async fn open(upstream: &Upstream) -> std::io::Result<WireSocket> {
    if let Some(socket) = upstream.take_idle(Instant::now()) {
        return Ok(socket);
    }
    upstream.connect().await
}

/// Encodes the head of the request, and its body if that is small.
fn encode(
    context: &EntryContext,
    request: &RoutedRequest,
    upstream: &Upstream,
    rank: Option<u8>,
) -> BytesMut {
    let head = &request.head;
    let body = Some(&request.body).filter(|body| body.len() <= COMBINED_BODY);
    let mut bytes = BytesMut::with_capacity(1024 + body.map_or(0, Bytes::len));
    bytes.put_slice(&head.method);
    bytes.put_u8(b' ');
    bytes.put_slice(&head.target);
    bytes.put_slice(b" HTTP/1.1\r\n");
    head.fields.write_if(&mut bytes, |field| {
        let length = field.name.eq_ignore_ascii_case(b"content-length")
            || field.name.eq_ignore_ascii_case(b"expect");
        let caller = !matches!(request.caller, CallerIdentity::KeyNotRequired)
            && context.dialect.is_credential_header(field);
        let own = context.dialect.is_system_header(field) || caller;
        !length && !head.fields.is_hop_by_hop(field) && !own
    });
    let headers = DispatchHeaders {
        time_left: request.time_left(Instant::now()),
        upstream: upstream.record.id.clone(),
        priority: rank,
        pin: None,
        organisation: request
            .caller
            .organisation()
            .map(|organisation| organisation.name.clone()),
    };
    context.dialect.write_dispatch_headers(&headers, &mut bytes);
    if !request.body.is_empty() || head.method.as_ref() != b"GET" {
        bytes.put_slice(format!("Content-Length: {}\r\n", request.body.len()).as_bytes());
    }
    bytes.put_slice(b"\r\n");
    if let Some(body) = body {
        bytes.put_slice(body);
    }
    bytes
}

async fn read_head(socket: &mut WireSocket) -> Result<ResponseHead, String> {
    loop {
        let taken = ResponseHead::take(&mut socket.buffer, HEAD_LIMIT);
        if let Some(head) = taken.map_err(|error| error.to_string())? {
            return Ok(head);
        }
        if socket.fill().await.map_err(|error| error.to_string())? == 0 {
            return Err("the connection was closed".to_owned());
        }
    }
}

async fn skip_body(socket: &mut WireSocket, framing: BodyFraming) -> Result<(), String> {
    if framing == BodyFraming::UntilClose {
        return Err("its body ends only when the connection closes".to_owned());
    }
    let mut decoder = BodyDecoder::new(framing);
    let mut skipped = 0;
    while skipped < SKIPPED_BODY_LIMIT {
        match decoder
            .take(&mut socket.buffer)
            .map_err(|error| error.to_string())?
        {
            BodyPiece::End => return Ok(()),
            BodyPiece::Data(data) => skipped += data.len(),
            BodyPiece::More => {
                if socket.fill().await.map_err(|error| error.to_string())? == 0 {
                    return Err("the connection was closed".to_owned());
                }
            }
        }
    }
    Err("its body is too long".to_owned())
}
