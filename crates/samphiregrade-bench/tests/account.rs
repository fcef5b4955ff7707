//! Tests of the reports from instances' logs: late and failed programs, and configuration lags.

use samphiregrade_bench::account::LossAccount;
use samphiregrade_bench::lag::LagAccount;

fn request_line(time: u32, program: &str, outcome: &str, left: u32, more: &str) -> String {
    format!(
        "  12.5 entry-a {{\"time_ms\":{time},\"event\":\"request\",\"request\":\"r\",\"program\":\"{program}\",\
         \"status\":200,\"outcome\":\"{outcome}\",\"program_left_ms\":{left}.0,\"total_ms\":100.0{more}}}"
    )
}

#[test]
fn losses_are_grouped_by_window_and_cause() {
    let cut = ",\"detail\":\"i-1 gave no answer: its system has not acknowledged 20 bytes\"";
    let lines = [
        request_line(10_100, "fine", "answered", 900, ""),
        request_line(10_200, "cut", "broken", 900, cut),
        request_line(10_900, "cut", "answered", 0, ""),
        request_line(10_300, "slow", "answered", 0, ""),
        request_line(13_500, "refused", "no-keepers", 500, ""),
        request_line(13_600, "spent", "over-budget", 500, ""),
        "{\"event\":\"start\"}".to_owned(),
        "a line of something else".to_owned(),
        "{\"event\":\"request\",\"time_ms\":tw".to_owned(),
    ];
    let account = LossAccount::read(lines.iter().map(String::as_str), 2.0);
    assert_eq!(account.unreadable, 1);
    let first = &account.windows[&0];
    assert_eq!((first.programs, first.late, first.failed), (3, 2, 0));
    assert_eq!(first.causes["cut path"], 1);
    assert_eq!(first.causes["slow"], 1);
    let second = &account.windows[&1];
    assert_eq!((second.programs, second.late, second.failed), (2, 0, 1));
    assert_eq!(account.causes().len(), 3);
    assert!(account.table().contains("no-keepers 1"));
    assert!(account.plot().expect("a picture").contains("<svg"));
}

#[test]
fn empty_log_gives_an_empty_account() {
    let account = LossAccount::read(std::iter::empty(), 2.0);
    assert!(account.windows.is_empty());
    assert!(account.plot().expect("a picture").contains("<svg"));
}

fn configuration_line(instance: &str, time: u32, version: u32) -> String {
    format!(
        "  12.5 {instance} {{\"time_ms\":{time},\"event\":\"configuration\",\"version\":{version},\"routes\":3}}"
    )
}

fn start_line(instance: &str, time: u32) -> String {
    format!(
        "  12.5 {instance} {{\"time_ms\":{time},\"event\":\"start\",\"instance\":\"{instance}\",\"version\":\"0.1.0\"}}"
    )
}

#[test]
fn entry_with_an_older_configuration_is_reported() {
    let lines = [
        configuration_line("entry-a", 10_000, 4),
        configuration_line("entry-b", 10_100, 4),
        configuration_line("entry-a", 11_000, 7),
        configuration_line("entry-b", 13_400, 7),
        configuration_line("entry-a", 12_000, 9),
        configuration_line("entry-b", 13_400, 9),
        start_line("entry-c", 20_000),
        configuration_line("entry-c", 20_100, 9),
    ];
    let account = LagAccount::read(lines.iter().map(String::as_str));
    assert_eq!(account.versions, 3);
    let lag = &account.lags[0];
    assert_eq!((lag.instance.as_str(), lag.version), ("entry-b", 7));
    assert!((lag.milliseconds - 2400.0).abs() < 0.1);
    let has_late_start = account.lags.iter().any(|lag| lag.instance == "entry-c");
    assert!(
        !has_late_start,
        "versions applied by others while the instance was down are not a lag"
    );
    assert!(
        account
            .table()
            .contains("2400 ms behind the first with version 7: entry-b")
    );
}
