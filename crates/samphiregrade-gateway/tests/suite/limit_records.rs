//! A home's records on disk of organisations' limits: restarts and compactions.

use std::fs;
use std::path::{Path, PathBuf};
use std::time::Duration;

use samphiregrade_gateway::fact::{
    FactDisk, KeeperEnvelope, KeeperReply, KeeperRequest, KeeperService,
};
use samphiregrade_gateway::limits::{AllowanceRequest, LimitRule, RECENT_PARTS, WindowLimit};
use samphiregrade_gateway::upstream::SpeedReport;
use tempfile::TempDir;

/// A window that no test outlasts.
const RULE: LimitRule = LimitRule {
    window: Duration::from_mins(10),
    standalone_period: Duration::from_mins(1),
};

/// Size of a data folder in bytes above which a home compacts it.
const COMPACTED_BYTES: usize = 25 << 20;

fn start_home(folder: &Path) -> KeeperService {
    let (disk, recovered) = FactDisk::open(folder).expect("a disk");
    KeeperService::new(disk, recovered, true, RULE)
}

/// Requests tokens for waiting requests of an entry; returns how many count in the window, including these.
async fn request_tokens(home: &KeeperService, instance: u64, waiting: u32) -> u32 {
    let request = AllowanceRequest {
        organisation: 7,
        instance,
        life: instance + 1000,
        sequence: 1,
        limit: WindowLimit {
            version: 1,
            requests: 100,
        },
        used: 0,
        begun: 0,
        alone: 0,
        unrecorded: 0,
        waiting,
        spare: 0,
        begins: false,
        recent: [0; RECENT_PARTS],
    };
    let envelope = KeeperEnvelope {
        outcomes: Vec::new(),
        speeds: SpeedReport::default(),
        sends_over: Vec::new(),
        sender: 0,
        generation: 0,
        request: KeeperRequest::Allowance(request),
    };
    let KeeperReply::Allowance(grant) = home.answer(envelope).await.reply else {
        panic!("no grant");
    };
    assert_eq!(grant.granted, u64::from(waiting));
    grant.use_now.taken + waiting
}

async fn stop_home(home: KeeperService) {
    home.save_limits();
    assert!(home.flush().await);
}

fn segments(folder: &Path) -> Vec<(PathBuf, Vec<u8>)> {
    let entries = fs::read_dir(folder).expect("a folder");
    let paths = entries.map(|entry| entry.expect("an entry").path());
    let segments = paths.filter(|path| path.to_string_lossy().contains("facts-"));
    segments
        .map(|path| (path.clone(), fs::read(path).expect("a segment")))
        .collect()
}

#[tokio::test]
async fn uses_are_counted_once_after_restarts_and_a_compaction() {
    let folder = TempDir::new().expect("a folder");
    let home = start_home(folder.path());
    assert_eq!(request_tokens(&home, 1, 10).await, 10);
    stop_home(home).await;
    fs::write(
        folder.path().join("facts-00000000"),
        vec![0; COMPACTED_BYTES],
    )
    .expect("a segment");
    let home = start_home(folder.path());
    home.expire().await;
    assert_eq!(request_tokens(&home, 2, 5).await, 15);
    stop_home(home).await;
    let sizes = segments(folder.path())
        .into_iter()
        .map(|(_, bytes)| bytes.len());
    assert!(sizes.sum::<usize>() < COMPACTED_BYTES, "not compacted");
    let home = start_home(folder.path());
    assert_eq!(request_tokens(&home, 3, 1).await, 16);
}

// Guards against callers that are refused because a home counts its uses twice after an interrupted compaction.
#[tokio::test]
async fn uses_are_counted_once_after_an_interrupted_compaction() {
    let folder = TempDir::new().expect("a folder");
    let home = start_home(folder.path());
    assert_eq!(request_tokens(&home, 1, 10).await, 10);
    stop_home(home).await;
    let older = segments(folder.path());
    fs::write(
        folder.path().join("facts-00000000"),
        vec![0; COMPACTED_BYTES],
    )
    .expect("a segment");
    let home = start_home(folder.path());
    home.expire().await;
    stop_home(home).await;
    for (path, bytes) in older {
        fs::write(path, bytes).expect("an older segment");
    }
    let home = start_home(folder.path());
    assert_eq!(request_tokens(&home, 2, 1).await, 11);
}
