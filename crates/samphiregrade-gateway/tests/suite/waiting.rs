//! Connections that wait when a listener closes.

use std::io::{self, ErrorKind};

use samphiregrade_gateway::exchange::drain_backlog;

/// The system's number for a process without free descriptors.
const NO_DESCRIPTORS: i32 = 24;

/// Takes what a queue gives, one result after the other, and nothing after them.
async fn taken(results: Vec<io::Result<u32>>) -> Vec<u32> {
    let mut results = results.into_iter();
    let accept = || {
        let next = results.next();
        next.unwrap_or_else(|| Err(ErrorKind::WouldBlock.into()))
    };
    let mut taken = Vec::new();
    drain_backlog(accept, |connection| taken.push(connection)).await;
    taken
}

#[tokio::test]
async fn connections_behind_one_that_is_gone_again_are_taken() {
    let gone = Err(ErrorKind::ConnectionAborted.into());
    assert_eq!(taken(vec![Ok(1), gone, Ok(2), Ok(3)]).await, [1, 2, 3]);
}

#[tokio::test]
async fn connections_are_taken_when_descriptors_are_free_again() {
    let full = || Err(io::Error::from_raw_os_error(NO_DESCRIPTORS));
    assert_eq!(taken(vec![full(), full(), Ok(1), Ok(2)]).await, [1, 2]);
}

#[tokio::test]
async fn queue_that_can_not_be_taken_is_given_up() {
    let full = || Err(io::Error::from_raw_os_error(NO_DESCRIPTORS));
    let results = (0..100).map(|_| full()).collect();
    assert!(taken(results).await.is_empty());
}
