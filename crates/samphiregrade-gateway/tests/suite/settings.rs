//! Validation of settings: error messages name the key and the remedy.

use std::time::Duration;

use samphiregrade_gateway::settings::{GatewaySettings, GatewaySettingsError};

const VALID: &str = r#"
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
fn valid_settings_have_defaults() {
    let settings = GatewaySettings::parse(VALID).expect("valid settings");
    assert_eq!(settings.tolerance.instances, 1);
    assert_eq!(settings.listen.metrics().port(), 7401);
    assert!(!settings.instance.first_start);
}

#[test]
fn unknown_key_is_named() {
    let text = VALID.replace("link-ports", "link-port");
    let error = GatewaySettings::parse(&text).expect_err("an unknown key");
    assert!(error.to_string().contains("link-port"), "{error}");
}

#[test]
fn value_out_of_range_is_named_with_its_remedy() {
    let text = VALID.replace("[7400, 7410]", "[7400, 7400]");
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

// Guards against delays that are chosen separately and together exceed the propagation limit of a configuration.
#[test]
fn delays_of_a_configuration_fit_into_its_propagation_limit() {
    // Time within which an entry has received a message from each keeper.
    let contact_interval = Duration::from_millis(250);
    for (drain, configuration) in [(2000, 2000), (4000, 4000), (4000, 2000), (2000, 6000)] {
        let times = format!(
            "{VALID}[times]\ndrain-milliseconds = {drain}.0\nconfiguration-milliseconds = {configuration}.0\n"
        );
        let settings = GatewaySettings::parse(&times).expect("valid settings");
        let timing = settings.follow_timing();
        let limit = Duration::from_millis(drain.min(configuration));
        assert!(timing.batch_delay + contact_interval + timing.source_timeout() <= limit * 3 / 4);
    }
}

#[test]
fn propagation_limit_defaults_to_the_drain_time() {
    let settings = GatewaySettings::parse(VALID).expect("valid settings");
    assert_eq!(settings.times.propagation_limit(), settings.times.drain());
    let text = format!("{VALID}[times]\nconfiguration-milliseconds = -1.0\n");
    let error = GatewaySettings::parse(&text).expect_err("a negative time");
    assert!(
        error.to_string().contains("configuration-milliseconds"),
        "{error}"
    );
}
