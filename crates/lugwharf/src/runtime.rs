//! The asynchronous runtime of a process or of one of its threads.

use eyre::{Result, WrapErr};
use std::future::Future;

/// Runs `task` to completion on a single-threaded runtime in the calling thread.
///
/// The machines have a fraction of a core, so a second thread would only cost wake-ups and memory.
pub fn block_on(task: impl Future<Output = Result<()>>) -> Result<()> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().wrap_err("the runtime")?;
    let result = runtime.block_on(task);
    // Does not wait for tasks that are still running, as nobody needs their results.
    runtime.shutdown_background();
    result
}
