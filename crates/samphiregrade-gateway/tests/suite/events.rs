//! Events of a stream, whole however their bytes are cut.

use quickcheck::quickcheck;
use samphiregrade_gateway::exchange::EventParser;

const STREAM: &[u8] = b"id: 1\ndata: first\n\nx-weight-versions: 4\nid: 2\ndata: second\ndata: line\n\n: note\n\nid: 3\r\ndata:third\r\n\r\n";

quickcheck! {
    fn events_are_the_same_however_they_are_cut(step: usize) -> bool {
        let mut tap = EventParser::new(true);
        for piece in STREAM.chunks(step % 30 + 1) {
            tap.read(piece);
        }
        tap.complete_events() == 3 && tap.take_output().as_ref() == b"first\nsecond\nline\nthird\n"
    }
}

#[test]
fn event_that_is_not_whole_counts_as_begun_only() {
    let mut tap = EventParser::new(true);
    tap.read(b"data: one\n\ndata: tw");
    assert_eq!(tap.complete_events(), 1);
    assert_eq!(tap.started_events(), 2);
    assert_eq!(tap.take_output().as_ref(), b"one\n");
}
