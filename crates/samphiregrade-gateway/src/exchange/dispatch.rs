//! Sending a request to upstreams until one answers, within what may be repeated.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::{BufMut, BytesMut};
use samphiregrade_http::wire::{
    BodyDecoder, BodyFraming, BodyPiece, ResponseHead, SocketLimits, WireSocket,
};

use super::context::EntryContext;
use super::outcome::RequestRecord;
use super::refusal::{Refusal, RefusalReason};
use super::request::RoutedRequest;
use crate::model::{AnswerMetadata, DispatchOrders};
use crate::upstream::{Candidate, InFlightGuard, Upstream, WorkEstimate, choose_upstream, homes};

/// Longest wait for a connection to an upstream: dozens of round trips within a region. A packet that is lost
/// comes again after seconds only, so that another upstream is tried before.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// Longest head of an answer.
const HEAD_LIMIT: usize = 32 << 10;

/// Bytes of a foreign answer that are read over; more are not worth it.
const FOREIGN_LIMIT: usize = 1 << 20;

/// Connections that may fail before one attempt of a client is refused: each has cost no more than a round trip.
const CONNECT_TRIES: usize = 3;

/// Pause between two looks at whether an upstream is still within reach.
const REACH_PAUSE: Duration = Duration::from_millis(100);

/// How long a turn holds a slot, in milliseconds: some 256 tokens at 0.8 ms each.
const TURN_HOLD: f64 = 220.0;

/// How long another request holds a slot, in milliseconds.
const PLAIN_HOLD: f64 = 18.0;

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
    pub guard: InFlightGuard,
    /// Whether the connection can be used again after a whole answer.
    pub reusable: bool,
}

enum AttemptEnd {
    /// The head of an answer to this request.
    Answered(Box<LiveAnswer>),
    /// Nothing has left.
    NotSent(String),
    /// The upstream says that it did not run the request.
    NotExecuted(u16, Option<Duration>),
    /// The request may have run.
    Broken(String),
}

/// Sends a request; resolves to an answer's head, or to a refusal that says whether it may have run.
pub async fn dispatch(
    context: &EntryContext,
    request: &RoutedRequest,
    record: &mut RequestRecord,
) -> Result<Box<LiveAnswer>, Refusal> {
    let mut tried: Vec<Arc<Upstream>> = Vec::new();
    let mut connect_failures = 0;
    let mut refused_wait = None;
    let mut may_have_run = false;
    while record.sends < request.route.max_attempts.max(1) && connect_failures < CONNECT_TRIES {
        let now = Instant::now();
        if request.time_left(now).is_zero() {
            break;
        }
        let Some(upstream) = select(context, request, &tried, record) else {
            break;
        };
        tried.push(upstream.clone());
        record.upstream = upstream.entry.id.clone();
        let sending = attempt(context, request, &upstream, record);
        let Ok(end) = tokio::time::timeout_at(request.due.into(), sending).await else {
            note_failure(&upstream, false, "no answer in time");
            context.metrics.count_send("late");
            record.add_detail("no answer in time");
            return Err(RefusalReason::Late.into());
        };
        match end {
            AttemptEnd::Answered(answer) => return Ok(answer),
            AttemptEnd::NotSent(reason) => {
                connect_failures += 1;
                note_failure(&upstream, true, &reason);
                context.metrics.count_send("not-sent");
                record.add_detail(&reason);
            }
            AttemptEnd::NotExecuted(status, wait) => {
                context.metrics.count_send("not-executed");
                record.add_detail(&format!(
                    "{} says not executed with {status}",
                    upstream.entry.id
                ));
                refused_wait = wait;
            }
            AttemptEnd::Broken(reason) => {
                note_failure(&upstream, false, &reason);
                context.metrics.count_send("broken");
                record.add_detail(&reason);
                may_have_run = true;
                if !request.route.may_repeat() {
                    return Err(RefusalReason::Broken.into());
                }
            }
        }
    }
    Err(give_up(request, record, may_have_run, refused_wait))
}

fn give_up(
    request: &RoutedRequest,
    record: &RequestRecord,
    may_have_run: bool,
    refused_wait: Option<Duration>,
) -> Refusal {
    if may_have_run {
        return RefusalReason::Broken.into();
    }
    if request.time_left(Instant::now()).is_zero() {
        return RefusalReason::LateUnsent.into();
    }
    let reason = if record.sends > 0 {
        RefusalReason::NotExecuted
    } else {
        RefusalReason::NoUpstream
    };
    let mut refusal = Refusal::from(reason);
    refusal.retry_after = refused_wait.or(refusal.retry_after);
    refusal
}

fn note_failure(upstream: &Upstream, certain: bool, reason: &str) {
    if upstream.fail(Instant::now(), certain) {
        log::info!(
            "upstream {} is left alone for a while: {reason}",
            upstream.entry.id
        );
    }
}

/// Chooses the upstream for the next attempt.
fn select(
    context: &EntryContext,
    request: &RoutedRequest,
    tried: &[Arc<Upstream>],
    record: &mut RequestRecord,
) -> Option<Arc<Upstream>> {
    let now = Instant::now();
    let directory = context.directory.load();
    let fit: Vec<&Arc<Upstream>> = directory
        .of(&request.service.name)
        .iter()
        .filter(|upstream| upstream.takes_requests())
        .filter(|upstream| !tried.iter().any(|other| Arc::ptr_eq(other, upstream)))
        .collect();
    let trusted: Vec<&Arc<Upstream>> = fit
        .iter()
        .copied()
        .filter(|upstream| upstream.is_trusted(now))
        .collect();
    let fit = if trusted.is_empty() { fit } else { trusted };
    let prompt = &request.metadata.prompt;
    let engines: Vec<u64> = fit.iter().map(|upstream| upstream.tag).collect();
    let homes = match prompt.first() {
        Some(first) => {
            let share = context.first_parts.count(first.tag, now);
            homes(first.tag, share, &engines)
        }
        None => vec![false; fit.len()],
    };
    let candidates: Vec<Candidate> = fit
        .iter()
        .zip(homes)
        .map(|(upstream, home)| {
            let mut candidate = upstream.candidate(prompt, home, &context.domain, now);
            // Another instance may have sent the turn before; the keepers have told where.
            if let Some(uncached) = request.uncached_at_last_place(&upstream.entry.id) {
                candidate.uncached_tokens = candidate.uncached_tokens.min(uncached);
            }
            candidate
        })
        .collect();
    let on_engine = request.service.engine.is_some();
    let work = WorkEstimate {
        hold_milliseconds: if on_engine { TURN_HOLD } else { PLAIN_HOLD },
        on_engine,
    };
    let index = choose_upstream(&candidates, &work, rand::random())?;
    record.load = candidates[index].load;
    record.uncached = candidates[index].uncached_tokens;
    Some(fit[index].clone())
}

async fn attempt(
    context: &EntryContext,
    request: &RoutedRequest,
    upstream: &Arc<Upstream>,
    record: &mut RequestRecord,
) -> AttemptEnd {
    let guard = upstream.begin();
    let _waiting = request
        .is_served_first()
        .then(|| upstream.await_head(Instant::now()));
    let mut socket = match open(upstream).await {
        Ok(socket) => socket,
        Err(error) => {
            return AttemptEnd::NotSent(format!("{} not reached: {error}", upstream.entry.id));
        }
    };
    record.sends += 1;
    record.before_send.get_or_insert(request.started.elapsed());
    record.rank = request.service.engine.map(|_| request.rank());
    let bytes = encode(context, request, upstream, record.rank);
    let broken = |what: &str, error: String| {
        AttemptEnd::Broken(format!("{} {what}: {error}", upstream.entry.id))
    };
    let mut reusable = match socket.write_until_answered(&bytes).await {
        Ok(whole) => whole,
        Err(error) => return broken("not written", error.to_string()),
    };
    let sent = Instant::now();
    loop {
        let read = tokio::select! {
            biased;
            read = read_head(&mut socket) => read,
            () = lost_sight(upstream, sent), if request.may_begin_anew() => {
                Err("its failure domain is out of reach".to_owned())
            }
        };
        let head = match read {
            Ok(head) => head,
            Err(error) => return broken("gave no answer", error),
        };
        if head.status < 200 {
            continue;
        }
        upstream.hear(Instant::now());
        let metadata = context.dialect.answer_metadata(&head);
        let framing = match head.framing() {
            Ok(framing) => framing,
            Err(error) => return broken("answered badly", error.to_string()),
        };
        let foreign = metadata
            .request
            .as_ref()
            .is_some_and(|id| *id != request.id);
        if foreign {
            // A late second answer to an earlier request stands before the one to this request.
            reusable = false;
            if let Err(error) = skip_body(&mut socket, framing).await {
                return broken("sent a foreign answer", error);
            }
            continue;
        }
        return conclude(
            request, upstream, head, &metadata, socket, framing, guard, reusable,
        );
    }
}

#[allow(clippy::too_many_arguments)]
fn conclude(
    request: &RoutedRequest,
    upstream: &Arc<Upstream>,
    head: ResponseHead,
    metadata: &AnswerMetadata,
    socket: WireSocket,
    framing: BodyFraming,
    guard: InFlightGuard,
    reusable: bool,
) -> AttemptEnd {
    let now = Instant::now();
    if let Some(load) = metadata.load {
        upstream.note_load(load, now);
    }
    if metadata.not_executed || head.status == 421 {
        if head.status == 421 {
            note_failure(upstream, true, "another upstream has its address");
        }
        return AttemptEnd::NotExecuted(head.status, metadata.retry_after);
    }
    if upstream.succeed() {
        log::info!("upstream {} answers again", upstream.entry.id);
    }
    if let Some(engine) = &request.service.engine {
        upstream.note_prompt(&request.metadata.prompt, engine.cache_tokens, now);
    }
    let reusable = reusable && head.keeps_connection() && framing != BodyFraming::UntilClose;
    AttemptEnd::Answered(Box::new(LiveAnswer {
        decoder: BodyDecoder::new(framing),
        head,
        socket,
        framing,
        guard,
        reusable,
    }))
}

async fn open(upstream: &Upstream) -> std::io::Result<WireSocket> {
    if let Some(socket) = upstream.take_idle(Instant::now()) {
        return Ok(socket);
    }
    let limits = SocketLimits::default();
    let address = upstream.entry.address;
    let connected = WireSocket::connect(address, CONNECT_TIMEOUT, &limits).await;
    if connected.is_ok() {
        upstream.hear_domain(Instant::now());
    }
    connected
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
        !length && !head.fields.is_hop_by_hop(field) && !context.dialect.is_system_header(field)
    });
    let orders = DispatchOrders {
        time_left: request.time_left(Instant::now()),
        upstream: upstream.entry.id.clone(),
        priority: rank,
        pin: None,
    };
    context.dialect.write_orders(&orders, &mut bytes);
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

/// Ends when no answer can be expected any more because the way to the upstream is cut.
async fn lost_sight(upstream: &Upstream, sent: Instant) {
    while !upstream.is_out_of_reach(sent, Instant::now()) {
        tokio::time::sleep(REACH_PAUSE).await;
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
