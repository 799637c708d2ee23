//! Framing: a length of four bytes, big-endian, then one CBOR value (RFC 8949) of that many bytes.

use serde::Serialize;
use serde::de::DeserializeOwned;
use std::io;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// The maximum length of the CBOR value in a frame, in bytes: twice the largest configuration that an operator may send. It
/// keeps a garbled length from reserving memory without bound.
pub const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;
/// The length of the prefix in front of the CBOR value.
const LENGTH_BYTES: usize = 4;
/// The buffer of a frame grows by this many bytes as data comes in, so that a length alone reserves little memory.
const BUFFER_STEP_BYTES: usize = 64 * 1024;

/// Why a frame could not be read or written.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The connection failed, or was closed inside a frame.
    #[error("the connection failed: {0}")]
    Io(#[from] io::Error),
    /// The value is longer than [`MAX_FRAME_BYTES`].
    #[error("a frame of {0} bytes is too long")]
    TooLong(usize),
    /// The message can't be encoded.
    #[error("a message that can't be encoded: {0}")]
    Encode(#[from] ciborium::ser::Error<io::Error>),
    /// The bytes are no message of the expected type.
    #[error("a malformed message: {0}")]
    Decode(#[from] ciborium::de::Error<io::Error>),
}

/// Encodes a message as a frame, its length included.
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

/// Decodes the CBOR value of a frame, without the length in front.
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, FrameError> {
    Ok(ciborium::from_reader(body)?)
}

/// Reads one message; `None` if the connection was closed between two frames.
///
/// Not cancel safe: a future that is dropped inside a frame leaves the reader in the middle of it.
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
