//! Why an upstream broke off a request, as found out by connections to it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use samphiregrade_gateway::model::{UpstreamRecord, UpstreamState};
use samphiregrade_gateway::upstream::{BreakCause, Upstream};
use tokio::net::{TcpListener, TcpStream};

/// Idle timeout that the upstream states.
const IDLE: Duration = Duration::from_secs(9);

/// An upstream with an idle connection of the instance.
struct Connected {
    upstream: Upstream,
    listener: TcpListener,
    /// The upstream's side of the idle connection.
    idle: TcpStream,
}

async fn connect() -> Connected {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let record = UpstreamRecord {
        id: "i-1".into(),
        started: None,
        service: "engines".into(),
        software: "v1".into(),
        address: listener.local_addr().expect("an address"),
        domain: "a".into(),
        slots: 8,
        state: UpstreamState::Ready,
        cold: Duration::ZERO,
    };
    let now = Instant::now();
    let upstream = Upstream::new(record, Arc::default(), now);
    let (connected, accepted) = tokio::join!(upstream.connect(), listener.accept());
    upstream.keep_idle(connected.expect("a connection"), Some(IDLE), now);
    Connected {
        upstream,
        listener,
        idle: accepted.expect("a connection").0,
    }
}

// Guards against an end that is not noticed because another connection of the process is closed a moment later.
#[tokio::test]
async fn process_that_closes_its_connections_one_after_another_has_ended() {
    let Connected {
        upstream,
        listener,
        idle,
    } = connect().await;
    drop(listener);
    let closing = async {
        tokio::time::sleep(Duration::from_millis(9)).await;
        drop(idle);
    };
    let (cause, ()) = tokio::join!(upstream.examine_break(Instant::now()), closing);
    assert_eq!(cause, BreakCause::Ended);
}

// Guards against a response that arrived just after a break, and that hid the end of its upstream.
#[tokio::test]
async fn response_that_arrives_after_the_break_does_not_hide_an_end() {
    let Connected {
        upstream,
        listener,
        idle,
    } = connect().await;
    let broke_at = Instant::now();
    upstream.record_response(broke_at + Duration::from_millis(1));
    drop((listener, idle));
    assert_eq!(upstream.examine_break(broke_at).await, BreakCause::Ended);
}

#[tokio::test]
async fn upstream_that_refuses_connections_and_keeps_others_open_serves() {
    let Connected {
        upstream,
        listener,
        idle: _idle,
    } = connect().await;
    drop(listener);
    let cause = upstream.examine_break(Instant::now()).await;
    assert_eq!(cause, BreakCause::Serving);
}

#[tokio::test]
async fn upstream_that_accepts_connections_serves() {
    let Connected {
        upstream,
        listener: _listener,
        idle,
    } = connect().await;
    drop(idle);
    let cause = upstream.examine_break(Instant::now()).await;
    assert_eq!(cause, BreakCause::Serving);
}

/// What was known of an upstream before it broke off a request.
#[derive(Clone, Copy)]
enum Before {
    /// It had announced its end long ago.
    Announced,
    /// It had announced its end a moment ago, and serves for a while after that.
    JustAnnounced,
    /// Its record was gone, as it is also after an end and in outages of the key-value service.
    WithoutRecord,
}

// Guards against ends that count as planned because of a record that is gone or an announcement that came a moment before.
#[tokio::test]
async fn only_an_upstream_that_announced_its_end_in_time_has_left_as_planned() {
    let cases = [
        (Before::Announced, BreakCause::Leaving),
        (Before::JustAnnounced, BreakCause::Ended),
        (Before::WithoutRecord, BreakCause::Ended),
    ];
    for (before, expected) in cases {
        let Connected {
            upstream,
            listener,
            idle,
        } = connect().await;
        let now = Instant::now();
        match before {
            Before::Announced => upstream.set_announced_end(Some(now)),
            Before::JustAnnounced => {
                upstream.set_announced_end(Some(now + Duration::from_secs(1)));
            }
            Before::WithoutRecord => upstream.set_departed(true),
        }
        drop((listener, idle));
        let cause = upstream.examine_break(Instant::now()).await;
        assert_eq!(cause, expected);
    }
}

// Guards against one connection for each of the requests that an upstream breaks off at once.
#[tokio::test]
async fn upstream_is_examined_once_for_requests_that_break_off_together() {
    let Connected {
        upstream,
        listener,
        idle: _idle,
    } = connect().await;
    let broke_at = Instant::now();
    let examinations = (0..16).map(|_| upstream.examine_break(broke_at));
    let causes = futures_util::future::join_all(examinations).await;
    assert!(causes.iter().all(|&cause| cause == BreakCause::Serving));
    listener.accept().await.expect("the examination");
    let second = tokio::time::timeout(Duration::from_millis(50), listener.accept()).await;
    assert!(second.is_err(), "a second connection");
}
