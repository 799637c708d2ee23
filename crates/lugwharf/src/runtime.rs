//! The asynchronous runtime of a process or of one of its threads.

use eyre::{Result, WrapErr};
use std::future::Future;

/// Runs `task` to its end on a runtime of the calling thread.
///
/// One thread: the machines have a fraction of a core, and a second thread would only cost wake-ups and memory.
pub fn block_on(task: impl Future<Output = Result<()>>) -> Result<()> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().wrap_err("the runtime")?;
    let result = runtime.block_on(task);
    // Nobody waits for the tasks that are still running.
    runtime.shutdown_background();
    result
}
