//! Settings are checked as a whole, with the key and the remedy in the message.

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
