//! Checks of an instance's settings.

use samphiregrade::settings::Settings;

const MINIMAL: &str = r#"
[instance]
name = "bilbao-a-0"
failure-domain = "bilbao-a"
[listen]
callers = "127.0.0.1:7000"
operators = "127.0.0.1:7001"
peers = "127.0.0.1:7002"
[platform]
key-value = "http://127.0.0.1:2379"
[links]
authority = "authority.pem"
certificate = "instance.pem"
key = "instance.key"
"#;

#[test]
fn required_keys_suffice() {
    let settings = Settings::parse(MINIMAL).expect("valid settings");
    assert_eq!(settings.shards.count, 8);
}

#[test]
fn unknown_key_is_named_with_its_line() {
    let text = format!("{MINIMAL}[limits]\nbody-byte = 5\n");
    let error = Settings::parse(&text)
        .expect_err("an unknown key")
        .to_string();
    assert!(
        error.contains("body-byte") && error.contains("line"),
        "{error}"
    );
}

#[test]
fn value_out_of_range_is_named_with_a_remedy() {
    let text = format!("{MINIMAL}[shards]\ncount = 0\n");
    let error = Settings::parse(&text).expect_err("a bad value").to_string();
    assert!(
        error.contains("shards.count") && error.contains("at least 1"),
        "{error}"
    );
}

// Guards against an interval that is accepted and ends the reading of load reports later.
#[test]
fn interval_of_zero_is_refused_with_a_remedy() {
    let text = format!("{MINIMAL}[upstreams]\npoll-interval-ms = 0\n");
    let error = Settings::parse(&text).expect_err("a bad value").to_string();
    assert!(
        error.contains("upstreams.poll-interval-ms") && error.contains("at least 1"),
        "{error}"
    );
}
