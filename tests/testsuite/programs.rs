//! Decisions on the begin of programs.

use std::time::{Duration, SystemTime};

use samphiregrade::contract::RefusalKind;
use samphiregrade::ids::ProgramId;
use samphiregrade::program::{
    BeginDecision, LogEntry, ProgramBegin, ProgramLimits, ProgramTable, decide_begin,
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
