//! The budget of memory: what is held never exceeds it, and those give way that have occupied most for longest.

use std::time::Duration;

use quickcheck::quickcheck;
use samphiregrade_http::{BudgetSettings, LeaseState, MemoryBudget, MemoryLease, NoRoom};

const CONNECTION: usize = 10;

/// Time after which a test that waits for good has failed.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

fn budget(bytes: usize, connections: usize) -> MemoryBudget {
    MemoryBudget::new(BudgetSettings {
        bytes,
        connection_bytes: CONNECTION,
        connections,
    })
}

fn block_on<Task, Output>(task: Task) -> Output
where
    Task: Future<Output = Output>,
{
    tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()
        .expect("a runtime")
        .block_on(async { tokio::time::timeout(TEST_TIMEOUT, task).await })
        .expect("a test that ends")
}

/// Drops a lease as soon as it has to give way, as a connection does that closes.
fn yielding(lease: MemoryLease) -> impl Future<Output = ()> {
    let token = lease.token();
    async move {
        token.cancelled().await;
        drop(lease);
    }
}

async fn pass_time() {
    tokio::time::sleep(Duration::from_millis(2)).await;
}

// Guards against a crowd that stalls and keeps everybody else out.
#[test]
fn stalled_requests_give_way_to_new_connections() {
    block_on(async {
        let budget = budget(40_000, 100);
        let mut stalled = budget.open_connection().await.expect("room");
        stalled.grow_to(30_000).await.expect("room");
        pass_time().await;
        let mut new = budget.open_connection().await.expect("room");
        let (grown, ()) = tokio::join!(new.grow_to(20_000), yielding(stalled));
        assert_eq!(grown, Ok(()));
        assert_eq!(budget.occupied().bytes, 20_000);
        assert_eq!(budget.occupied().evictions, 1);
    });
}

// Guards against a large newcomer that pushes out those that have hardly begun.
#[test]
fn small_new_requests_do_not_give_way_to_a_stalled_large_one() {
    block_on(async {
        let budget = budget(40_000, 100);
        let mut stalled = budget.open_connection().await.expect("room");
        stalled.grow_to(25_000).await.expect("room");
        pass_time().await;
        let mut small = Vec::new();
        for _ in 0..17 {
            let mut lease = budget.open_connection().await.expect("room");
            lease.grow_to(600).await.expect("room");
            small.push(lease);
        }
        assert_eq!(stalled.grow_to(29_900).await, Err(NoRoom));
        assert!(!small.iter().any(MemoryLease::has_ended));
    });
}

// Guards against requests that are interrupted although they were read completely.
#[test]
fn requests_in_progress_never_give_way() {
    block_on(async {
        let budget = budget(10_000, 2);
        let mut running = budget.open_connection().await.expect("room");
        running.grow_to(7_000).await.expect("room");
        running.enter(LeaseState::Running, 7_000);
        pass_time().await;
        let mut other = budget.open_connection().await.expect("room");
        assert_eq!(other.grow_to(4_000).await, Err(NoRoom));
        other.enter(LeaseState::Running, CONNECTION);
        assert!(budget.open_connection().await.is_err());
        assert!(!running.has_ended());
    });
}

// Guards against idle connections that keep new clients out.
#[test]
fn connection_that_waits_longest_is_closed_for_a_new_one() {
    block_on(async {
        let budget = budget(1000, 2);
        let mut first = budget.open_connection().await.expect("room");
        first.enter(LeaseState::Idle, CONNECTION);
        pass_time().await;
        let mut second = budget.open_connection().await.expect("room");
        second.enter(LeaseState::Idle, CONNECTION);
        pass_time().await;
        let (third, ()) = tokio::join!(budget.open_connection(), yielding(first));
        assert!(third.is_ok());
        assert!(!second.has_ended());
    });
}

// Guards against an idle connection that is closed while another one stalls.
#[test]
fn incomplete_requests_give_way_before_idle_connections() {
    block_on(async {
        let budget = budget(1000, 2);
        let mut idle = budget.open_connection().await.expect("room");
        idle.enter(LeaseState::Idle, CONNECTION);
        pass_time().await;
        let stalled = budget.open_connection().await.expect("room");
        pass_time().await;
        let (third, ()) = tokio::join!(budget.open_connection(), yielding(stalled));
        assert!(third.is_ok());
        assert!(!idle.has_ended());
    });
}

// Guards against large requests in progress that leave no room for small ones.
#[test]
fn large_requests_leave_room_for_small_ones() {
    block_on(async {
        let budget = budget(6400, 100);
        let mut large = Vec::new();
        while let Ok(mut lease) = budget.open_connection().await {
            if lease.grow_to(1000).await.is_err() {
                break;
            }
            lease.enter(LeaseState::Running, 1000);
            large.push(lease);
        }
        assert_eq!(large.len(), 4);
        let mut small = Vec::new();
        for _ in 0..16 {
            let mut lease = budget.open_connection().await.expect("room");
            lease.grow_to(100).await.expect("room for a small request");
            lease.enter(LeaseState::Running, 100);
            small.push(lease);
        }
    });
}

// Guards against memory that outlives its request and is no longer counted.
#[test]
fn split_part_counts_until_it_is_dropped() {
    block_on(async {
        let budget = budget(10_000, 2);
        let mut lease = budget.open_connection().await.expect("room");
        lease.grow_to(6_000).await.expect("room");
        lease.enter(LeaseState::Running, 6_000);
        let part = lease.split(4_000);
        lease.enter(LeaseState::Idle, CONNECTION);
        assert_eq!(budget.occupied().bytes, 4_000 + CONNECTION);
        drop(part);
        assert_eq!(budget.occupied().bytes, CONNECTION);
    });
}

quickcheck! {
    // Guards against sums that drift, and against holders that wait for each other.
    fn no_interleaving_exceeds_the_budget(steps: Vec<(u8, u16, u8)>) -> bool {
        block_on(async move {
            let budget = budget(2000, 12);
            let mut leases: Vec<MemoryLease> = Vec::new();
            for (choice, bytes, state) in steps {
                let index = usize::from(choice) % (leases.len() + 1);
                // Those that have to give way close at once.
                let growing = async {
                    match leases.get_mut(index) {
                        None => budget.open_connection().await.map(Some),
                        Some(lease) => lease.grow_to(usize::from(bytes % 800)).await.map(|()| None),
                    }
                };
                let grown = tokio::time::timeout(Duration::from_millis(1), growing).await;
                if let Ok(Ok(Some(lease))) = grown {
                    leases.push(lease);
                }
                leases.retain(|lease| !lease.has_ended());
                let index = usize::from(choice) % (leases.len() + 1);
                if let Some(lease) = leases.get_mut(index) {
                    let states = [
                        LeaseState::Reading,
                        LeaseState::Idle,
                        LeaseState::Running,
                        LeaseState::Closing,
                    ];
                    let bytes = lease.bytes();
                    lease.enter(states[usize::from(state) % states.len()], bytes);
                }
                let sum: usize = leases.iter().map(MemoryLease::bytes).sum();
                let occupied = budget.occupied();
                let fits = occupied.bytes <= 2000 && occupied.connections <= 12;
                if !fits || sum != occupied.bytes || leases.len() != occupied.connections {
                    return false;
                }
            }
            leases.clear();
            let left = budget.occupied();
            (left.bytes, left.connections) == (0, 0)
        })
    }
}
