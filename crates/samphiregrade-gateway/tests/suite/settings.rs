//! Settings are checked as a whole, with the key and the remedy in the message.

use std::time::Duration;

use samphiregrade_gateway::settings::{GatewaySettings, GatewaySettingsError};

const GOOD: &str = r#"
[instance]
name = "entry-1"
failure-domain = "a"

[listen]
address = "127.0.0.1"
clients = "127.0.0.1:8080"
link-ports = [7400, 7410]

[store]
address = "127.0.0.1:2379"
"#;

#[test]
fn good_settings_have_defaults() {
    let settings = GatewaySettings::parse(GOOD).expect("good settings");
    assert_eq!(settings.tolerance.instances, 1);
    assert_eq!(settings.listen.metrics().port(), 7401);
    assert!(!settings.instance.first_start);
}

#[test]
fn unknown_key_is_named() {
    let text = GOOD.replace("link-ports", "link-port");
    let error = GatewaySettings::parse(&text).expect_err("an unknown key");
    assert!(error.to_string().contains("link-port"), "{error}");
}

#[test]
fn value_out_of_range_is_named_with_its_remedy() {
    let text = GOOD.replace("[7400, 7410]", "[7400, 7400]");
    let error = GatewaySettings::parse(&text).expect_err("one port");
    assert!(matches!(
        error,
        GatewaySettingsError::BadValue {
            key: "listen.link-ports",
            ..
        }
    ));
    assert!(error.to_string().contains("name a first and a last one"));
}

// Guards against waits that are chosen one by one and add up to more than a configuration may take.
#[test]
fn waits_on_the_way_of_a_configuration_fit_into_its_time() {
    // Time within which an entry has heard from each keeper.
    let heard = Duration::from_millis(250);
    for (drain, configuration) in [(2000, 2000), (4000, 4000), (4000, 2000), (2000, 6000)] {
        let times = format!(
            "{GOOD}[times]\ndrain-milliseconds = {drain}.0\nconfiguration-milliseconds = {configuration}.0\n"
        );
        let settings = GatewaySettings::parse(&times).expect("good settings");
        let pace = settings.follow_timing();
        let in_force = Duration::from_millis(drain.min(configuration));
        assert!(pace.batch_delay + heard + pace.source_timeout() <= in_force * 3 / 4);
    }
}

#[test]
fn time_of_a_configuration_is_that_of_draining_where_none_is_named() {
    let settings = GatewaySettings::parse(GOOD).expect("good settings");
    assert_eq!(settings.times.propagation_limit(), settings.times.drain());
    let text = format!("{GOOD}[times]\nconfiguration-milliseconds = -1.0\n");
    let error = GatewaySettings::parse(&text).expect_err("a negative time");
    assert!(
        error.to_string().contains("configuration-milliseconds"),
        "{error}"
    );
}
