//! The parsing of server-sent events that are received in pieces of every size.

use crate::stack::sse::{EventBuffer, EventError};
use rstest::rstest;

/// Returns what is forwarded of `text`, received in pieces of `size` bytes, and the buffer with the rest.
fn forward_in_pieces(text: &str, size: usize) -> (String, EventBuffer) {
    let (mut events, mut out) = (EventBuffer::default(), Vec::new());
    for step in text.as_bytes().chunks(size) {
        events.push(step).expect("the events are valid");
        out.extend_from_slice(events.complete_events());
        events.drop_complete_events();
    }
    (String::from_utf8(out).expect("the text is valid UTF-8"), events)
}

#[rstest]
#[case::complete("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", Some("2"))]
#[case::partial("id: 1\ndata: a\n\nid: 2\ndata:", "id: 1\ndata: a\n\n", Some("1"))]
#[case::partial_without_its_empty_line("id: 1\ndata: a\n", "", None)]
#[case::with_carriage_returns("id: 1\r\ndata: a\r\n\r\nid: 2\r\n", "id: 1\r\ndata: a\r\n\r\n", Some("1"))]
#[case::without_an_id("data: a\n\n", "data: a\n\n", None)]
#[case::an_id_that_is_not_the_first_line(
    "versions: 3\nid:7\ndata: id: 9\n\n",
    "versions: 3\nid:7\ndata: id: 9\n\n",
    Some("7")
)]
fn only_complete_events_are_forwarded_for_every_size_of_received_pieces(
    #[case] text: &str, #[case] expected: &str, #[case] last: Option<&str>,
) {
    for size in 1..=text.len() {
        let (out, events) = forward_in_pieces(text, size);
        assert_eq!(out, expected, "in pieces of {size} bytes");
        assert_eq!(events.last_event_id(), last.map(str::as_bytes), "in pieces of {size} bytes");
    }
}

#[test]
fn remaining_bytes_count_as_complete_at_the_end_of_the_stream() {
    let (_, mut events) = forward_in_pieces("id: 1\n\nrest", 3);
    events.finish();
    assert_eq!(events.complete_events(), b"rest");
}

#[rstest]
#[case("5", true)]
#[case("10", true)]
#[case("4", false)]
#[case("3", false)]
fn resumed_stream_must_continue_after_the_last_event(#[case] next: &str, #[case] follows: bool) {
    let (_, mut events) = forward_in_pieces("id: 4\ndata: a\n\nid: 5\nda", 4);
    events.prepare_resumption();
    let pushed = events.push(format!("id: {next}\ndata: b\n\n").as_bytes());
    assert_eq!(pushed, if follows { Ok(()) } else { Err(EventError::RepeatedEvent) });
}

#[test]
fn stream_without_ids_is_not_resumed_once_an_event_was_forwarded() {
    assert!(forward_in_pieces("data: a", 2).1.can_resume());
    assert!(!forward_in_pieces("data: a\n\n", 2).1.can_resume());
    assert!(forward_in_pieces("id: 1\n\n", 2).1.can_resume());
}

#[test]
fn oversized_event_is_rejected() {
    let mut events = EventBuffer::default();
    let step = [b'x'; 64 * 1024];
    let ended = (0..8).map(|_| events.push(&step)).find(Result::is_err);
    assert_eq!(ended, Some(Err(EventError::TooLarge)));
}
