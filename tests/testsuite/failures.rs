//! Short scenarios with faults. The tests check outcomes, never durations.

use crate::support::check_scenario;

/// Returns a short scenario with two instances in each failure domain.
fn scenario(name: &str, faults: &str) -> String {
    format!(
        "name = \"{name}\"\ndeployment = \"cantabrica\"\nduration = \"8s\"\ndrain = \"60s\"\n\
         [load]\nprograms-per-second = 4.0\n\
         [cluster]\ninstances = 2\nengines = 6\nshards = 3\n{faults}"
    )
}

fn fault(at: &str, duration: &str, kind: &str, target: &str) -> String {
    format!(
        "[[faults]]\nat = \"{at}\"\nfor = \"{duration}\"\nkind = \"{kind}\"\ntarget = \"{target}\"\n"
    )
}

#[test]
fn killed_primary_is_taken_over() {
    check_scenario(&scenario("kill", &fault("3s", "4s", "kill", "primary")));
}

#[test]
fn resumed_primary_breaks_no_promise() {
    check_scenario(&scenario("pause", &fault("3s", "4s", "pause", "primary")));
}

#[test]
fn graceful_stop_interrupts_no_program() {
    check_scenario(&scenario(
        "stop",
        &fault("2s", "8s", "stop", "instance:bilbao-b/0"),
    ));
}

#[test]
fn key_value_outage_with_a_killed_instance_loses_nothing() {
    let outage = fault("2s", "5s", "outage", "key-value");
    let kill = fault("3s", "3s", "kill", "primary");
    check_scenario(&scenario("outage-kill", &format!("{outage}{kill}")));
}

#[test]
fn partitioned_domain_keeps_serving_and_recovers() {
    check_scenario(&scenario(
        "cut",
        &fault("2s", "5s", "cut", "failure-domain:bilbao-c"),
    ));
}

#[test]
fn lost_tool_replies_cause_no_repeated_call() {
    let faults = fault("1s", "6s", "lose-replies", "tools");
    check_scenario(&scenario("lossy", &format!("{faults}fraction = 0.5\n")));
}

#[test]
fn lost_key_value_replies_during_a_takeover_fork_no_history() {
    let lossy = fault("1s", "7s", "lose-replies", "key-value");
    let kill = fault("3s", "3s", "kill", "primary");
    check_scenario(&scenario(
        "lossy-kill",
        &format!("{lossy}fraction = 0.5\n{kill}"),
    ));
}
