//! Parsing of server-sent events, independent of how the stream is split into chunks.

use quickcheck::quickcheck;
use samphiregrade_gateway::exchange::EventParser;

const STREAM: &[u8] = b"id: 1\ndata: first\n\nx-weight-versions: 4\nid: 2\ndata: second\ndata: line\n\n: note\n\nid: 3\r\ndata:third\r\n\r\n";

quickcheck! {
    fn events_do_not_depend_on_how_the_stream_is_split(step: usize) -> bool {
        let mut parser = EventParser::new(true);
        for piece in STREAM.chunks(step % 30 + 1) {
            parser.read(piece);
        }
        parser.complete_events() == 3 && parser.take_output().as_ref() == b"first\nsecond\nline\nthird\n"
    }
}

#[test]
fn incomplete_event_counts_as_started_only() {
    let mut parser = EventParser::new(true);
    parser.read(b"data: one\n\ndata: tw");
    assert_eq!(parser.complete_events(), 1);
    assert_eq!(parser.started_events(), 2);
    assert_eq!(parser.take_output().as_ref(), b"one\n");
}

quickcheck! {
    fn incomplete_events_are_noticed_wherever_the_stream_ends(step: usize) -> bool {
        // Ends of complete events, and of the comment between them.
        let complete = [0, 19, 71, 78, 79, 100];
        let mut whole = EventParser::new(false);
        let mut ends = Vec::new();
        for (index, byte) in STREAM.iter().enumerate() {
            let mut parser = EventParser::new(step.is_multiple_of(2));
            for piece in STREAM[..index].chunks(step % 30 + 1) {
                parser.read(piece);
            }
            if parser.is_inside_event() != whole.is_inside_event() {
                return false;
            }
            if !whole.is_inside_event() {
                ends.push(index);
            }
            whole.read(&[*byte]);
        }
        ends.push(STREAM.len());
        !whole.is_inside_event() && whole.complete_events() == 3 && ends == complete
    }
}
