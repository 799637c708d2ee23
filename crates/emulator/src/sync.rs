//! Locks that survive a panic.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a value. A panic of another holder does not matter: a test that panicked fails anyway, and what a server recorded
/// before stays readable.
pub(crate) fn lock<T: ?Sized>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
