//! Reading the text of a running call.

use std::sync::Arc;

use samphiregrade::contract::TokenUsage;
use samphiregrade::program::CallOutcome;
use samphiregrade::shard::{StreamBuffer, StreamRead};

fn finished(text: &str) -> (Arc<StreamBuffer>, CallOutcome) {
    let buffer = Arc::new(StreamBuffer::default());
    buffer.push(text);
    let outcome = CallOutcome::Answer {
        text: text.into(),
        usage: TokenUsage::default(),
    };
    buffer.finish(outcome.clone());
    (buffer, outcome)
}

#[tokio::test]
async fn reader_gets_the_rest_and_then_the_outcome() {
    let (buffer, outcome) = finished("one two");
    let reader = buffer.reader();
    assert_eq!(reader.read(4).await, StreamRead::Text("two".to_owned()));
    assert_eq!(reader.read(7).await, StreamRead::Finished(outcome.clone()));
    assert_eq!(reader.outcome().await, Some(outcome));
}

// Guards against a reader that takes a shorter text than it has read before for complete.
#[tokio::test]
async fn reader_starts_over_if_its_offset_does_not_fit_the_finished_text() {
    let (buffer, outcome) = finished("ein Stück");
    for offset in [7, 11, 100] {
        let reader = buffer.reader();
        assert_eq!(reader.read(offset).await, StreamRead::Restarted, "{offset}");
        assert_eq!(
            reader.read(0).await,
            StreamRead::Text("ein Stück".to_owned())
        );
        assert_eq!(reader.outcome().await, Some(outcome.clone()));
    }
}
