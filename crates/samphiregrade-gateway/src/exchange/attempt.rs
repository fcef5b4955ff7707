//! One attempt of a request at one upstream: sent, and its answer's head awaited.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::{BufMut, BytesMut};
use samphiregrade_http::wire::{BodyDecoder, BodyFraming, BodyPiece, ResponseHead, WireSocket};

use super::admission::identify;
use super::context::EntryContext;
use super::outcome::RequestRecord;
use super::refusal::RefusalReason;
use super::request::RoutedRequest;
use super::survey::RunGuard;
use crate::access::CallerIdentity;
use crate::model::{DispatchHeaders, ResponseMetadata};
use crate::upstream::{Outcome, Upstream};

/// Longest head of an answer.
const HEAD_LIMIT: usize = 32 << 10;

/// Bytes of a foreign answer that are read over; more are not worth it.
const FOREIGN_LIMIT: usize = 1 << 20;

/// Pause between two looks at whether an upstream is still within reach.
const REACH_PAUSE: Duration = Duration::from_millis(100);

/// Time after which sent bytes that the upstream's system has not acknowledged show that the way there is cut: systems
/// acknowledge within a round trip however busy their programs are, and a lost packet is sent again after 200 ms.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_millis(350);

/// An answer whose head has come.
pub struct LiveAnswer {
    /// Head of the answer.
    pub head: ResponseHead,
    /// The upstream's connection.
    pub socket: WireSocket,
    /// Where its body ends.
    pub decoder: BodyDecoder,
    /// How its body is framed.
    pub framing: BodyFraming,
    /// Counts the request as being at its upstream.
    pub guard: RunGuard,
    /// Whether the connection can be used again after a whole answer.
    pub reusable: bool,
    /// Whether the request probes an upstream that is doubted.
    pub probes: bool,
    /// When the request was sent.
    pub sent: Instant,
    /// Time from sending to the head.
    pub first: Duration,
}

/// An upstream that was chosen for an attempt.
#[derive(Clone)]
pub(super) struct ChosenUpstream {
    pub upstream: Arc<Upstream>,
    /// Whether the request probes it because it is doubted.
    pub probes: bool,
}

/// How an attempt ended.
pub(super) enum AttemptEnd {
    /// The head of an answer to this request.
    Answered(Box<LiveAnswer>),
    /// Nothing has left.
    NotSent(String),
    /// The caller may not make the request any more; nothing has left.
    Withdrawn(RefusalReason),
    /// The upstream says that it did not run the request.
    NotExecuted(u16, Option<Duration>),
    /// The upstream failed; the request may have run.
    Broken(String),
    /// The way to the upstream is cut; the request may have run.
    Unreachable(String),
}

/// What went wrong after something had been sent.
enum SendFailure {
    Upstream(String),
    Path(String),
}

impl SendFailure {
    /// Returns what a failure of the upstream is told as.
    fn upstream<Source>(what: &'static str) -> impl Fn(Source) -> Self
    where
        Source: std::fmt::Display,
    {
        move |source| Self::Upstream(format!("{what}: {source}"))
    }
}

/// Sends a request to an upstream; resolves to the head of its answer, or to what is known of the request's fate.
pub(super) async fn attempt(
    context: &EntryContext,
    request: &RoutedRequest,
    chosen: &ChosenUpstream,
    record: &mut RequestRecord,
) -> AttemptEnd {
    let upstream = &chosen.upstream;
    let guard = RunGuard::begin(context, request, upstream);
    let _waiting = request
        .expects_early_head()
        .then(|| upstream.await_head(context.outcomes.clone(), Instant::now()));
    let socket = match open(upstream).await {
        Ok(socket) => socket,
        Err(error) => {
            return AttemptEnd::NotSent(format!("{} not reached: {error}", upstream.record.id));
        }
    };
    // It may have waited, or the machine stood still.
    if let Err(reason) = identify(context, &request.route, &request.metadata.credential) {
        return AttemptEnd::Withdrawn(reason);
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
        probes: chosen.probes,
    };
    let id = &upstream.record.id;
    match sending.carry(&bytes).await {
        Ok(end) => end,
        Err(SendFailure::Upstream(error)) => AttemptEnd::Broken(format!("{id} {error}")),
        Err(SendFailure::Path(error)) => AttemptEnd::Unreachable(format!("{id} {error}")),
    }
}

/// A request on its connection.
struct SentRequest<'attempt> {
    context: &'attempt EntryContext,
    request: &'attempt RoutedRequest,
    upstream: &'attempt Arc<Upstream>,
    socket: WireSocket,
    guard: RunGuard,
    /// Whether the connection can be used again after a whole answer.
    reusable: bool,
    /// Whether the request probes an upstream that is doubted.
    probes: bool,
}

impl SentRequest<'_> {
    /// Sends the bytes and reads heads until one belongs to the request; the error says what went wrong after
    /// something had been sent.
    async fn carry(mut self, bytes: &[u8]) -> Result<AttemptEnd, SendFailure> {
        let sent = Instant::now();
        let writing = self.socket.write_until_answered(bytes).await;
        self.reusable = writing.map_err(SendFailure::upstream("took not all of the request"))?;
        loop {
            let head = self.await_head(sent).await?;
            if head.status < 200 {
                continue;
            }
            self.upstream.record_response(Instant::now());
            let framing = head
                .framing()
                .map_err(SendFailure::upstream("answered badly"))?;
            let metadata = self.context.dialect.response_metadata(&head);
            let own = &self.request.id;
            if metadata.request.as_ref().is_none_or(|id| id == own) {
                return Ok(self.conclude(head, &metadata, framing, sent));
            }
            // A late second answer to an earlier request stands before the one to this request.
            self.reusable = false;
            skip_body(&mut self.socket, framing)
                .await
                .map_err(SendFailure::upstream("sent a foreign answer"))?;
        }
    }

    /// Reads the next head; gives up where the way to the upstream is cut and the request may begin anew.
    async fn await_head(&mut self, sent: Instant) -> Result<ResponseHead, SendFailure> {
        loop {
            let reading = tokio::time::timeout(REACH_PAUSE, read_head(&mut self.socket));
            if let Ok(head) = reading.await {
                return head.map_err(SendFailure::upstream("gave no answer"));
            }
            let reached = self.check_reach(sent);
            if self.request.may_resend() {
                reached.map_err(SendFailure::Path)?;
            }
        }
    }

    /// Fails where no answer can be expected any more.
    fn check_reach(&self, sent: Instant) -> Result<(), String> {
        let now = Instant::now();
        if self.upstream.is_overdue(sent, now) {
            return Err("gave no answer: its failure domain is out of reach".to_owned());
        }
        if now.saturating_duration_since(sent) < UNACKNOWLEDGED_LIMIT {
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
                log::debug!("what is not acknowledged is not known: {error}");
                Ok(())
            }
        }
    }

    fn conclude(
        self,
        head: ResponseHead,
        metadata: &ResponseMetadata,
        framing: BodyFraming,
        sent: Instant,
    ) -> AttemptEnd {
        let now = Instant::now();
        if let Some(load) = metadata.load {
            self.upstream.note_load(load, now);
        }
        if metadata.not_executed || head.status == 421 {
            if head.status == 421 {
                note_failure(self.upstream, true, "another upstream has its address");
            }
            let has_room = metadata
                .load
                .is_some_and(|load| load.running + load.waiting < load.slots);
            if head.status != 421 && has_room {
                let outcomes = &self.context.outcomes;
                outcomes.note(self.upstream.start_tag, Outcome::Failure, now);
            }
            return AttemptEnd::NotExecuted(head.status, metadata.retry_after);
        }
        if self.upstream.record_success() {
            log::info!("upstream {} answers again", self.upstream.record.id);
        }
        if let Some(engine) = &self.request.service.engine {
            let prompt = &self.request.metadata.prompt;
            self.upstream.note_prompt(prompt, engine.cache_tokens, now);
        }
        let whole = framing != BodyFraming::UntilClose;
        AttemptEnd::Answered(Box::new(LiveAnswer {
            decoder: BodyDecoder::new(framing),
            reusable: self.reusable && head.keeps_connection() && whole,
            head,
            socket: self.socket,
            probes: self.probes,
            sent,
            first: now.saturating_duration_since(sent),
            framing,
            guard: self.guard,
        }))
    }
}

/// Notes that an upstream failed, and logs where it is left alone for a while with it.
pub(super) fn note_failure(upstream: &Upstream, certain: bool, reason: &str) {
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

fn encode(
    context: &EntryContext,
    request: &RoutedRequest,
    upstream: &Upstream,
    rank: Option<u8>,
) -> BytesMut {
    let head = &request.head;
    let mut bytes = BytesMut::with_capacity(1024 + request.body.len());
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
    let orders = DispatchHeaders {
        time_left: request.time_left(Instant::now()),
        upstream: upstream.record.id.clone(),
        priority: rank,
        pin: None,
        organisation: request
            .caller
            .organisation()
            .map(|organisation| organisation.name.clone()),
    };
    context.dialect.write_dispatch_headers(&orders, &mut bytes);
    if !request.body.is_empty() || head.method.as_ref() != b"GET" {
        bytes.put_slice(format!("Content-Length: {}\r\n", request.body.len()).as_bytes());
    }
    bytes.put_slice(b"\r\n");
    bytes.put_slice(&request.body);
    bytes
}

async fn read_head(socket: &mut WireSocket) -> Result<ResponseHead, String> {
    loop {
        let taken = ResponseHead::take(&mut socket.buffer, HEAD_LIMIT);
        if let Some(head) = taken.map_err(|error| error.to_string())? {
            return Ok(head);
        }
        if socket.fill().await.map_err(|error| error.to_string())? == 0 {
            return Err("the connection ended".to_owned());
        }
    }
}

async fn skip_body(socket: &mut WireSocket, framing: BodyFraming) -> Result<(), String> {
    if framing == BodyFraming::UntilClose {
        return Err("its body ends with the connection".to_owned());
    }
    let mut decoder = BodyDecoder::new(framing);
    let mut skipped = 0;
    while skipped < FOREIGN_LIMIT {
        match decoder
            .take(&mut socket.buffer)
            .map_err(|error| error.to_string())?
        {
            BodyPiece::End => return Ok(()),
            BodyPiece::Data(data) => skipped += data.len(),
            BodyPiece::More => {
                if socket.fill().await.map_err(|error| error.to_string())? == 0 {
                    return Err("the connection ended".to_owned());
                }
            }
        }
    }
    Err("it is too long".to_owned())
}
