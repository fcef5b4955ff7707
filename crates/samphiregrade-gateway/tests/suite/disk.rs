//! Tests of facts on disk: restarts, torn and damaged frames, and compaction.

use std::fs;
use std::path::{Path, PathBuf};
use std::time::Instant;

use samphiregrade_gateway::fact::{
    DiskState, FactDisk, FactRecord, KeeperService, RecoveredFacts, TurnContent,
};
use samphiregrade_gateway::limits::LimitRule;
use tempfile::TempDir;

use crate::facts::turn;

fn segments(folder: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(folder).expect("a folder");
    let mut paths: Vec<PathBuf> = entries
        .map(|entry| entry.expect("an entry").path())
        .collect();
    paths.retain(|path| {
        path.file_name()
            .is_some_and(|name| name.to_string_lossy().starts_with("facts-"))
    });
    paths.sort();
    paths
}

/// Returns whether a turn is known; checks that its content on disk is as written.
async fn is_readable(disk: &FactDisk, recovered: &mut RecoveredFacts, id: &str) -> bool {
    let Some(chain) = recovered.index.chain(&id.into(), Instant::now()) else {
        return false;
    };
    let [TurnContent::Disk(location)] = chain.turns[..] else {
        panic!("{id} is not on disk");
    };
    let turns = disk.read(vec![location]).await.expect("a readable turn");
    assert_eq!(
        (&*turns[0].input, &*turns[0].output),
        (&b"input "[..], &b"output\n"[..])
    );
    true
}

async fn append(disk: &FactDisk, fact: FactRecord) -> bool {
    disk.append(vec![fact]).await.is_some()
}

fn fact(id: &str) -> FactRecord {
    turn(id, None, b"input ", b"output\n")
}

#[tokio::test]
async fn facts_and_state_survive_a_restart() {
    let folder = TempDir::new().expect("a folder");
    let (disk, recovered) = FactDisk::open(folder.path()).expect("a disk");
    assert!(recovered.state.is_none());
    assert!(append(&disk, fact("a")).await);
    let state = DiskState {
        complete: true,
        ..DiskState::default()
    };
    assert!(disk.write_state(state.clone()).await);
    let (disk, mut recovered) = FactDisk::open(folder.path()).expect("a disk");
    assert_eq!(recovered.state, Some(state));
    assert!(is_readable(&disk, &mut recovered, "a").await);
}

#[tokio::test]
async fn torn_end_loses_only_unsynced_facts() {
    let folder = TempDir::new().expect("a folder");
    let (disk, _) = FactDisk::open(folder.path()).expect("a disk");
    assert!(append(&disk, fact("a")).await);
    let segment = segments(folder.path())[0].clone();
    let intact = fs::read(&segment).expect("a segment");
    for cut in 1..intact.len() {
        let torn = [&intact[..], &intact[..cut]].concat();
        fs::write(&segment, torn).expect("a torn segment");
        let (disk, mut recovered) = FactDisk::open(folder.path()).expect("a disk");
        assert_eq!(recovered.damaged, 1, "cut at {cut}");
        assert!(
            is_readable(&disk, &mut recovered, "a").await,
            "cut at {cut}"
        );
    }
}

#[tokio::test]
async fn damaged_frame_is_rejected_and_nothing_is_written_after_it() {
    let folder = TempDir::new().expect("a folder");
    let (disk, _) = FactDisk::open(folder.path()).expect("a disk");
    assert!(append(&disk, fact("a")).await);
    let segment = segments(folder.path())[0].clone();
    let mut bytes = fs::read(&segment).expect("a segment");
    let last = bytes.len() - 1;
    bytes[last] ^= 1;
    fs::write(&segment, bytes).expect("a damaged segment");
    let (disk, mut recovered) = FactDisk::open(folder.path()).expect("a disk");
    assert!(!is_readable(&disk, &mut recovered, "a").await);
    assert!(append(&disk, fact("b")).await);
    let (disk, mut recovered) = FactDisk::open(folder.path()).expect("a disk");
    assert!(is_readable(&disk, &mut recovered, "b").await);
    assert_eq!(segments(folder.path()).len(), 2);
}

#[tokio::test]
async fn compaction_keeps_rewritten_and_new_facts() {
    let folder = TempDir::new().expect("a folder");
    let (disk, _) = FactDisk::open(folder.path()).expect("a disk");
    for id in ["a", "b", "c"] {
        assert!(append(&disk, fact(id)).await);
    }
    assert!(disk.begin_segment().await);
    assert!(append(&disk, fact("b")).await);
    assert!(append(&disk, fact("d")).await);
    disk.remove_older();
    assert!(append(&disk, fact("e")).await);
    let (disk, mut recovered) = FactDisk::open(folder.path()).expect("a disk");
    let mut kept = Vec::new();
    for id in ["a", "b", "c", "d", "e"] {
        if is_readable(&disk, &mut recovered, id).await {
            kept.push(id);
        }
    }
    assert_eq!(kept, ["b", "d", "e"]);
}

#[tokio::test]
async fn disk_that_refuses_writes_acknowledges_nothing() {
    let folder = TempDir::new().expect("a folder");
    let (disk, _) = FactDisk::open(folder.path()).expect("a disk");
    fs::remove_dir_all(folder.path()).expect("a removed folder");
    assert!(!append(&disk, fact("a")).await);
    fs::create_dir_all(folder.path()).expect("a folder again");
    assert!(append(&disk, fact("b")).await);
}

// Guards against a fact that counts as durable although it can't be read back, and hides all facts behind it.
#[tokio::test]
async fn fact_above_the_frame_limit_is_not_durable_and_harms_no_other_fact() {
    const FRAME_LIMIT: usize = 64 << 20;
    let folder = TempDir::new().expect("a folder");
    let (disk, _) = FactDisk::open(folder.path()).expect("a disk");
    assert!(append(&disk, fact("a")).await);
    let oversized = turn("b", None, &vec![b'x'; FRAME_LIMIT], b"output\n");
    assert!(!append(&disk, oversized).await);
    assert!(append(&disk, fact("c")).await);
    let (disk, mut recovered) = FactDisk::open(folder.path()).expect("a disk");
    assert_eq!(recovered.damaged, 0);
    for id in ["a", "c"] {
        assert!(is_readable(&disk, &mut recovered, id).await, "{id}");
    }
}

// Guards against a keeper that reports turns as absent although it has lost the record of what it holds.
#[tokio::test]
async fn keeper_whose_state_is_lost_or_damaged_is_incomplete_even_at_a_first_start() {
    let folder = TempDir::new().expect("a folder");
    let restart = |first_start: bool| {
        let (disk, recovered) = FactDisk::open(folder.path()).expect("a disk");
        KeeperService::new(disk, recovered, first_start, LimitRule::default())
    };
    let service = restart(true);
    assert!(service.is_complete());
    assert!(service.set_complete(true).await);
    assert!(restart(true).is_complete());
    let state = folder.path().join("state");
    let mut bytes = fs::read(&state).expect("a state");
    bytes[14] ^= 1;
    fs::write(&state, bytes).expect("a damaged state");
    assert!(!restart(true).is_complete());
    let (disk, _) = FactDisk::open(folder.path()).expect("a disk");
    assert!(append(&disk, fact("a")).await);
    fs::remove_file(&state).expect("a removed state");
    assert!(!restart(true).is_complete());
}
