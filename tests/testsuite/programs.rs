//! Decisions on the begin of programs, and on calls under which upstreams end.

use std::time::{Duration, SystemTime};

use samphiregrade::contract::{CallSpec, RanState, RefusalKind, ServiceCall};
use samphiregrade::ids::{ProgramId, ShardEpoch};
use samphiregrade::program::{
    BeginDecision, CallArrival, CallDecision, CallIntent, CallOutcome, LogEntry,
    MAX_ENDED_UPSTREAMS, ProgramBegin, ProgramLimits, ProgramTable, UpstreamEnd, decide_begin,
    decide_call,
};

fn begin(program: &str, organisation: &str, parent: Option<&str>) -> ProgramBegin {
    ProgramBegin {
        program: program.into(),
        organisation: organisation.into(),
        class: "c".into(),
        digest: [0; 16],
        limits: ProgramLimits::default(),
        wishes_tokens: false,
        began: SystemTime::UNIX_EPOCH,
        deadline: SystemTime::UNIX_EPOCH + Duration::from_mins(1),
        parent: parent.map(ProgramId::from),
        depth: 0,
    }
}

// Guards against a sub-agent that another organisation learns of by beginning one with the same key.
#[test]
fn sub_agent_does_not_exist_for_other_organisations() {
    let mut table = ProgramTable::default();
    table.apply(&LogEntry::Begin(begin("parent", "one", None)));
    table.apply(&LogEntry::Begin(begin("child", "one", Some("parent"))));
    let own = decide_begin(&table, begin("child", "one", Some("parent")));
    assert!(matches!(own, BeginDecision::Known(_)), "{own:?}");
    for program in ["child", "unknown"] {
        let foreign = decide_begin(&table, begin(program, "two", Some("parent")));
        let BeginDecision::Refuse(refusal) = foreign else {
            panic!("{program}: {foreign:?}");
        };
        assert_eq!(refusal.kind, RefusalKind::UnknownProgram, "{program}");
    }
}

/// Returns a call that may be repeated.
fn service_call() -> CallSpec {
    CallSpec::Service(ServiceCall {
        service: "s".into(),
        tool: "look".into(),
        arguments: "{}".into(),
        idempotent: true,
    })
}

/// Returns the first call of a program, as it arrives at the primary of an epoch.
fn arrival(epoch: ShardEpoch) -> CallArrival {
    CallArrival {
        program: "p".into(),
        sequence: 1,
        digest: [1; 16],
        spec: service_call(),
        organisation: "one".into(),
        organisation_left: 100,
        class_left: 100,
        epoch,
        running_here: false,
        now: SystemTime::UNIX_EPOCH,
    }
}

// Guards against a takeover after which a call ends upstreams as if none had ended under it.
#[test]
fn upstreams_that_ended_under_a_call_are_remembered_over_takeovers() {
    let mut table = ProgramTable::default();
    table.apply(&LogEntry::Begin(begin("p", "one", None)));
    table.apply(&LogEntry::Intent(CallIntent {
        program: "p".into(),
        sequence: 1,
        digest: [1; 16],
        spec: service_call(),
        reserved: 0,
        epoch: 1,
        accepted: SystemTime::UNIX_EPOCH,
    }));
    let end = LogEntry::UpstreamEnded(UpstreamEnd {
        program: "p".into(),
        sequence: 1,
        ended: SystemTime::UNIX_EPOCH,
    });
    for epoch in 1..=MAX_ENDED_UPSTREAMS as u64 {
        // Each primary finds the call without an outcome, and one more upstream ends.
        let decision = decide_call(&table, &arrival(epoch));
        assert!(
            matches!(decision, CallDecision::Redispatch(_)),
            "{decision:?}"
        );
        table.apply(&end);
    }
    let CallDecision::Replay(CallOutcome::Refused(refusal)) = decide_call(&table, &arrival(9))
    else {
        panic!("the call has no final refusal");
    };
    assert_eq!(refusal.kind, RefusalKind::UpstreamFailed);
    assert_eq!(refusal.ran, RanState::Unknown);
    let program = table.program("p").expect("a program");
    assert!(!program.is_busy(), "the program goes on with its next call");
}
