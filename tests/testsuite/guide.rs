//! The guide documents every settings key, record kind and metric, and its summary lists every page.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

use samphiregrade::record::RecordKind;
use samphiregrade::settings::{LimitSection, MembershipSection, ShardSection, UpstreamSection};
use samphiregrade_gateway::settings::GatewaySettings;
use samphiregrade_http::OutgoingRequest;
use serde::Serialize;

use crate::support::{send, small_settings, with_cluster};

fn page(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("guide/src")
        .join(name);
    fs::read_to_string(path).expect("a page of the guide")
}

/// Returns the keys of a settings section.
fn keys<Section>(section: &Section) -> Vec<String>
where
    Section: Serialize,
{
    let value = toml::Value::try_from(section).expect("a section that can be written");
    let table = value.as_table().expect("a table");
    table.keys().cloned().collect()
}

#[test]
fn every_settings_key_is_documented() {
    let text = page("settings.md");
    let mut all = keys(&ShardSection::default());
    all.extend(keys(&MembershipSection::default()));
    all.extend(keys(&UpstreamSection::default()));
    all.extend(keys(&LimitSection::default()));
    let missing: Vec<_> = all
        .iter()
        .filter(|key| !text.contains(&format!("| `{key}` |")))
        .collect();
    assert!(missing.is_empty(), "{missing:?}");
}

#[test]
fn every_gateway_settings_key_is_documented() {
    let text = page("platform-machines.md");
    let settings = GatewaySettings::parse(
        "[instance]\nname = \"k\"\nfailure-domain = \"a\"\ndata-folder = \"d\"\n\
         [listen]\naddress = \"127.0.0.1\"\nclients = \"127.0.0.1:1\"\nreadiness = \"127.0.0.1:2\"\n\
         link-ports = [3, 5]\n[store]\naddress = \"127.0.0.1:6\"\n",
    )
    .expect("good settings");
    let value = toml::Value::try_from(settings).expect("settings that can be written");
    let mut missing = Vec::new();
    for (section, content) in value.as_table().expect("a table") {
        for key in content.as_table().expect("a section").keys() {
            if !text.contains(&format!("| `{section}.{key}` |")) {
                missing.push(format!("{section}.{key}"));
            }
        }
    }
    assert!(missing.is_empty(), "{missing:?}");
}

#[test]
fn every_record_kind_is_documented() {
    let text = page("records.md");
    for kind in RecordKind::ALL {
        assert!(text.contains(&format!("## `{kind}`")), "{kind}");
    }
}

#[test]
fn every_page_is_listed() {
    let summary = page("SUMMARY.md");
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("guide/src");
    for entry in fs::read_dir(folder).expect("the guide's folder") {
        let name = entry
            .expect("a file")
            .file_name()
            .to_string_lossy()
            .into_owned();
        assert!(
            name == "SUMMARY.md" || summary.contains(&format!("({name})")),
            "{name}"
        );
    }
}

#[test]
fn every_metric_is_documented() {
    with_cluster(small_settings(), |cluster| async move {
        let instance = cluster.instances.values().next().expect("an instance");
        let url = format!("{}/metrics", instance.operators);
        let metrics = send(&cluster.pool, OutgoingRequest::get(&url)).await.text();
        let lines = metrics
            .lines()
            .filter(|line| line.starts_with("samphiregrade_"));
        let names: BTreeSet<&str> = lines
            .filter_map(|line| line.split(['{', ' ']).next())
            .collect();
        let text = page("metrics.md");
        let missing: Vec<_> = names
            .iter()
            .filter(|name| !text.contains(&format!("| `{name}` |")))
            .collect();
        assert!(names.len() > 15 && missing.is_empty(), "{missing:?}");
    });
}
