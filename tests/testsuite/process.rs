//! Process of an instance: its file descriptors, metrics and dump.

use std::fs;

use samphiregrade_http::OutgoingRequest;

use crate::support::{send, small_settings, with_cluster};

#[test]
fn process_uses_epoll_without_io_uring_and_reports_its_state() {
    with_cluster(small_settings(), |cluster| async move {
        let instance = cluster.instances.values().next().expect("an instance");
        let id = instance.id().expect("a running process");
        let links = fs::read_dir(format!("/proc/{id}/fd")).expect("the descriptors");
        let targets: Vec<String> = links
            .filter_map(|link| fs::read_link(link.ok()?.path()).ok())
            .map(|target| target.to_string_lossy().into_owned())
            .collect();
        assert!(
            targets.iter().any(|target| target.contains("eventpoll")),
            "{targets:?}"
        );
        assert!(
            !targets.iter().any(|target| target.contains("uring")),
            "{targets:?}"
        );

        let url = format!("{}/metrics", instance.operators);
        let metrics = send(&cluster.pool, OutgoingRequest::get(&url)).await.text();
        for name in [
            "samphiregrade_platform_calls_total",
            "samphiregrade_shards_primary",
        ] {
            assert!(
                metrics.lines().any(|line| line.starts_with(name)),
                "{name}\n{metrics}"
            );
        }
        let dump = cluster.dump(&instance.name).await.expect("a dump");
        for part in [
            "shards",
            "scheduler",
            "peers",
            "maps",
            "platform",
            "configuration-revision",
        ] {
            assert!(!dump[part].is_null(), "{part}");
        }
    });
}
