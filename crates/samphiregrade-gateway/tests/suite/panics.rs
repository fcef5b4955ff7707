//! Panics of an instance: told in its log, and no end of the process.

use std::process::Command;

use samphiregrade_gateway::observe::{Logbook, install_logger};

/// Set for the process whose task panics; its log is its standard output.
const ROLE: &str = "SAMPHIREGRADE_TEST_PANICS";

const TEST: &str = "panics::panic_of_a_task_is_told_in_the_log_and_the_process_goes_on";

async fn panic_in_a_task() {
    install_logger(log::LevelFilter::Info);
    let task = tokio::spawn(async { panic!("a task that fails") });
    assert!(task.await.expect_err("a failed task").is_panic());
    Logbook::global().record("goes-on", &());
    Logbook::global().flush();
}

#[tokio::test]
async fn panic_of_a_task_is_told_in_the_log_and_the_process_goes_on() {
    if std::env::var_os(ROLE).is_some() {
        panic_in_a_task().await;
        return;
    }
    let program = std::env::current_exe().expect("this program");
    let mut command = Command::new(program);
    let ran = command.args(["--exact", TEST]).env(ROLE, "1").output();
    let ran = ran.expect("a process that ran");
    let log = String::from_utf8_lossy(&ran.stdout);
    let told = log
        .lines()
        .find(|line| line.contains("\"event\":\"panic\""));
    let told = told.expect("a line about the panic");
    assert!(told.contains("\"message\":\"a task that fails\""), "{told}");
    assert!(told.contains("panics.rs"), "{told}");
    assert!(log.contains("\"event\":\"goes-on\""), "{log}");
    assert!(ran.status.success());
}
