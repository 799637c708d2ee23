//! Framing: a four-byte big-endian length, followed by one CBOR value (RFC 8949) of that many bytes.

use serde::Serialize;
use serde::de::DeserializeOwned;
use std::io;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// The maximum length of the CBOR value in a frame, in bytes. A frame has room for two configurations of the
/// maximum size that an operator may submit (three eighths of this limit) and the headers of earlier entries.
/// The limit also bounds the memory that a corrupted length can reserve.
pub const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;
/// The size of the length prefix in bytes.
const LENGTH_BYTES: usize = 4;
/// The read buffer of a frame grows in steps of this many bytes as data arrives, so that a length prefix
/// without data reserves little memory.
const BUFFER_STEP_BYTES: usize = 64 * 1024;

/// The reason why a frame could not be read or written.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The connection failed, or was closed in the middle of a frame.
    #[error("connection failed: {0}")]
    Io(#[from] io::Error),
    /// The CBOR value is longer than [`MAX_FRAME_BYTES`]; contains its length in bytes.
    #[error("frame of {0} bytes exceeds the maximum of {MAX_FRAME_BYTES} bytes")]
    TooLong(usize),
    /// The message cannot be encoded.
    #[error("message cannot be encoded: {0}")]
    Encode(#[from] ciborium::ser::Error<io::Error>),
    /// The bytes are not a message of the expected type.
    #[error("malformed message: {0}")]
    Decode(#[from] ciborium::de::Error<io::Error>),
}

/// Encodes a message as a frame, including the length prefix.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, FrameError> {
    let mut frame = vec![0; LENGTH_BYTES];
    ciborium::into_writer(message, &mut frame)?;
    let length = frame.len() - LENGTH_BYTES;
    if length > MAX_FRAME_BYTES {
        return Err(FrameError::TooLong(length));
    }
    frame[..LENGTH_BYTES].copy_from_slice(&(length as u32).to_be_bytes());
    Ok(frame)
}

/// Decodes the CBOR value of a frame, without the length prefix.
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, FrameError> {
    Ok(ciborium::from_reader(body)?)
}

/// Reads one message. Returns `None` if the connection was closed between two frames or within the length
/// prefix of a frame.
///
/// This function is not cancel safe: if the future is dropped while reading a frame, the reader is left in
/// the middle of that frame.
pub async fn read_frame<T: DeserializeOwned>(
    reader: &mut (impl AsyncRead + Unpin),
) -> Result<Option<T>, FrameError> {
    let mut length = [0; LENGTH_BYTES];
    match reader.read_exact(&mut length).await {
        Ok(_) => {}
        Err(error) if error.kind() == io::ErrorKind::UnexpectedEof => return Ok(None),
        Err(error) => return Err(error.into()),
    }
    let length = u32::from_be_bytes(length) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(FrameError::TooLong(length));
    }
    let mut body = Vec::with_capacity(length.min(BUFFER_STEP_BYTES));
    while body.len() < length {
        let filled = body.len();
        body.resize((filled + BUFFER_STEP_BYTES).min(length), 0);
        reader.read_exact(&mut body[filled..]).await?;
    }
    decode(&body).map(Some)
}

/// Writes one message and flushes the writer.
pub async fn write_frame<T: Serialize>(
    writer: &mut (impl AsyncWrite + Unpin), message: &T,
) -> Result<(), FrameError> {
    writer.write_all(&encode(message)?).await?;
    writer.flush().await?;
    Ok(())
}
