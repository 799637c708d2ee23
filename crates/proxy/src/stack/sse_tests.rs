use crate::stack::sse::{EventBuffer, EventError};
use rstest::rstest;

/// What goes on when `text` comes in pieces of `size` bytes, and what is held back.
fn passed(text: &str, size: usize) -> (String, EventBuffer) {
    let (mut events, mut out) = (EventBuffer::default(), Vec::new());
    for piece in text.as_bytes().chunks(size) {
        events.push(piece).expect("events");
        out.extend_from_slice(events.complete());
        events.drop_complete();
    }
    (String::from_utf8(out).expect("text"), events)
}

#[rstest]
#[case::whole("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", Some("2"))]
#[case::torn("id: 1\ndata: a\n\nid: 2\ndata:", "id: 1\ndata: a\n\n", Some("1"))]
#[case::torn_before_its_empty_line("id: 1\ndata: a\n", "", None)]
#[case::with_returns("id: 1\r\ndata: a\r\n\r\nid: 2\r\n", "id: 1\r\ndata: a\r\n\r\n", Some("1"))]
#[case::without_an_id("data: a\n\n", "data: a\n\n", None)]
#[case::an_id_that_is_not_the_first_line(
    "versions: 3\nid:7\ndata: id: 9\n\n",
    "versions: 3\nid:7\ndata: id: 9\n\n",
    Some("7")
)]
fn only_whole_events_go_on_however_they_come(
    #[case] text: &str, #[case] expected: &str, #[case] last: Option<&str>,
) {
    for size in 1..=text.len() {
        let (out, events) = passed(text, size);
        assert_eq!(out, expected, "in pieces of {size}");
        assert_eq!(events.last_event_id(), last.map(str::as_bytes), "in pieces of {size}");
    }
}

#[test]
fn an_end_passes_the_rest_on() {
    let (_, mut events) = passed("id: 1\n\nrest", 3);
    events.finish();
    assert_eq!(events.complete(), b"rest");
}

#[rstest]
#[case("5", true)]
#[case("10", true)]
#[case("4", false)]
#[case("3", false)]
fn a_resumed_stream_has_to_rise(#[case] next: &str, #[case] rises: bool) {
    let (_, mut events) = passed("id: 4\ndata: a\n\nid: 5\nda", 4);
    events.prepare_resumption();
    let pushed = events.push(format!("id: {next}\ndata: b\n\n").as_bytes());
    assert_eq!(pushed, if rises { Ok(()) } else { Err(EventError::RepeatedEvent) });
}

#[test]
fn without_ids_nothing_is_resumed_once_an_event_has_gone_on() {
    assert!(passed("data: a", 2).1.can_resume());
    assert!(!passed("data: a\n\n", 2).1.can_resume());
    assert!(passed("id: 1\n\n", 2).1.can_resume());
}

#[test]
fn an_event_without_end_is_bounded() {
    let mut events = EventBuffer::default();
    let piece = [b'x'; 64 * 1024];
    let ended = (0..8).map(|_| events.push(&piece)).find(Result::is_err);
    assert_eq!(ended, Some(Err(EventError::TooLarge)));
}
