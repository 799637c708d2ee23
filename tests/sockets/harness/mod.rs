//! Upstreams, a discovery service, a sidecar process and a client for tests, on loopback sockets with ports
//! assigned by the kernel.

mod discovery;
mod message;
mod sidecar;
mod upstream;

pub use discovery::Discovery;
pub use message::{Answer, ReceivedMessage, Reply, call};
pub use sidecar::Sidecar;
pub use upstream::Upstream;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::Duration;

/// The timeout of waits, long enough for a slow machine. It is reached only if a test fails.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// A counter that several upstreams share.
#[derive(Clone, Default)]
pub struct SharedCounter(Arc<AtomicUsize>);

impl SharedCounter {
    /// Increments the counter and returns its new value, from 1.
    pub fn increment(&self) -> usize {
        self.0.fetch_add(1, Ordering::SeqCst) + 1
    }
}

/// State with a condition variable, so that a test can wait for a change.
struct Monitor<T>(Mutex<T>, Condvar);

impl<T> Monitor<T> {
    fn new(value: T) -> Arc<Self> {
        Arc::new(Monitor(Mutex::new(value), Condvar::new()))
    }

    fn get(&self) -> MutexGuard<'_, T> {
        self.0.lock().expect("no thread has panicked while it held the lock")
    }

    fn update<R>(&self, update: impl FnOnce(&mut T) -> R) -> R {
        let result = update(&mut self.get());
        self.1.notify_all();
        result
    }

    fn wait(&self, what: &str, condition: impl Fn(&T) -> bool) -> MutexGuard<'_, T> {
        let (state, timeout) = self
            .1
            .wait_timeout_while(self.get(), WAIT_TIMEOUT, |s| !condition(s))
            .expect("no thread has panicked while it held the lock");
        assert!(!timeout.timed_out(), "timed out waiting for {what}");
        state
    }
}
