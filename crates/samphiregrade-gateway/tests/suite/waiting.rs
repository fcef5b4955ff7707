//! Draining the accept queue of a closing listener.

use std::io::{self, ErrorKind};

use samphiregrade_gateway::exchange::drain_backlog;

/// `EMFILE`: the process has no free file descriptors.
const NO_DESCRIPTORS: i32 = 24;

/// Drains a queue that yields the given results and is then empty; returns the accepted connections.
async fn accepted(results: Vec<io::Result<u32>>) -> Vec<u32> {
    let mut results = results.into_iter();
    let accept = || {
        let next = results.next();
        next.unwrap_or_else(|| Err(ErrorKind::WouldBlock.into()))
    };
    let mut accepted = Vec::new();
    drain_backlog(accept, |connection| accepted.push(connection)).await;
    accepted
}

#[tokio::test]
async fn connections_behind_an_aborted_one_are_accepted() {
    let gone = Err(ErrorKind::ConnectionAborted.into());
    assert_eq!(accepted(vec![Ok(1), gone, Ok(2), Ok(3)]).await, [1, 2, 3]);
}

#[tokio::test]
async fn connections_are_accepted_once_descriptors_are_free_again() {
    let full = || Err(io::Error::from_raw_os_error(NO_DESCRIPTORS));
    assert_eq!(accepted(vec![full(), full(), Ok(1), Ok(2)]).await, [1, 2]);
}

#[tokio::test]
async fn draining_stops_if_every_accept_fails() {
    let full = || Err(io::Error::from_raw_os_error(NO_DESCRIPTORS));
    let results = (0..100).map(|_| full()).collect();
    assert!(accepted(results).await.is_empty());
}
