//! Tests of framing: messages survive a round trip, and truncated, oversized and malformed frames are errors.

use lugwharf_protocol::{
    AgentRequest, ConfigRecord, FeedMessage, FrameError, MAX_FRAME_BYTES, Update, VersionVector, decode,
    encode, read_frame, write_frame,
};

fn update() -> Update {
    Update {
        vector: VersionVector { config: 3, ..VersionVector::default() },
        config: Some(ConfigRecord { version: 3, bytes: vec![0, 255, 10, 13] }),
        ..Update::default()
    }
}

#[tokio::test]
async fn a_written_frame_is_read_back() {
    let mut link = Vec::new();
    write_frame(&mut link, &update()).await.expect("written");
    write_frame(&mut link, &update()).await.expect("written");
    let mut link = link.as_slice();
    for _ in 0..2 {
        assert_eq!(read_frame::<Update>(&mut link).await.expect("read"), Some(update()));
    }
    assert_eq!(read_frame::<Update>(&mut link).await.expect("end of stream"), None);
}

/// During an upgrade, processes of two versions run on the same machine, so an update is encoded under the
/// name of its variant.
#[test]
fn a_feed_update_is_encoded_under_its_variant_name() {
    let frame = encode(&FeedMessage::Update(update())).expect("encoded");
    // A map with one entry whose key is a text string of six bytes.
    const ENCODED_VARIANT: &[u8] = b"\xa1\x66Update";
    let body = &frame[size_of::<u32>()..];
    assert!(body.starts_with(ENCODED_VARIANT), "{body:x?}");
    assert_eq!(decode::<FeedMessage>(body).expect("decoded"), FeedMessage::Update(update()));
}

#[tokio::test]
async fn a_configuration_is_encoded_as_a_byte_string() {
    let mut large = update();
    large.config = Some(ConfigRecord { version: 1, bytes: vec![200; 100_000] });
    assert!(encode(&large).expect("encoded").len() < 100_300);
}

#[tokio::test]
async fn a_truncated_frame_is_an_io_error() {
    let bytes = encode(&update()).expect("encoded");
    for length in 4..bytes.len() {
        let mut link = &bytes[..length];
        assert!(matches!(read_frame::<Update>(&mut link).await, Err(FrameError::Io(_))), "{length}");
    }
}

#[tokio::test]
async fn a_length_above_the_maximum_is_rejected_before_reading() {
    let length = (MAX_FRAME_BYTES as u32 + 1).to_be_bytes();
    assert!(matches!(read_frame::<Update>(&mut &length[..]).await, Err(FrameError::TooLong(_))));
}

#[tokio::test]
async fn malformed_bytes_are_a_decode_error() {
    for body in [&b"GET / HTTP/1.1\r\n\r\n"[..], &[], &[0xff; 64], &[0xbf, 0x61]] {
        let mut frame = (body.len() as u32).to_be_bytes().to_vec();
        frame.extend_from_slice(body);
        let read = read_frame::<AgentRequest>(&mut frame.as_slice()).await;
        assert!(matches!(read, Err(FrameError::Decode(_))), "{body:?}: {read:?}");
    }
}
