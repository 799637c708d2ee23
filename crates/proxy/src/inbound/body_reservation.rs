//! The memory for the bodies of requests, which all client connections share.

use crate::inbound::error_response::RequestError;
use crate::state::ProxyState;

/// A reservation in the process's memory for request bodies. Dropping it releases the memory.
pub struct BodyReservation<'a> {
    state: &'a ProxyState,
    bytes: u64,
}

impl<'a> BodyReservation<'a> {
    /// Creates a reservation of zero bytes.
    pub fn new(state: &'a ProxyState) -> BodyReservation<'a> {
        BodyReservation { state, bytes: 0 }
    }

    /// Reserves more bytes.
    ///
    /// # Errors
    /// [`RequestError::Saturated`] if they are not available.
    pub fn extend(&mut self, bytes: usize) -> Result<(), RequestError> {
        let free = self.state.free_body_bytes.get();
        let remaining = free.checked_sub(bytes as u64).ok_or(RequestError::Saturated)?;
        self.state.free_body_bytes.set(remaining);
        self.bytes += bytes as u64;
        Ok(())
    }
}

impl Drop for BodyReservation<'_> {
    fn drop(&mut self) {
        self.state.release_body_bytes(self.bytes);
    }
}
