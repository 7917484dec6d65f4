//! Supervision of tasks that run as long as the gateway.

use std::future::Future;
use std::panic::AssertUnwindSafe;
use std::time::Duration;

use futures_util::FutureExt;

/// Delay before a task that panicked is started again.
const RESTART_DELAY: Duration = Duration::from_millis(200);

/// Runs a task, and starts it again after a panic.
///
/// A panic ends only the task that it happens in, which would leave the process without, for example,
/// its routes or its leader.
pub async fn restart_on_panic<F>(name: &'static str, mut start: impl FnMut() -> F)
where
    F: Future<Output = ()>,
{
    while AssertUnwindSafe(start()).catch_unwind().await.is_err() {
        log::error!(task = name; "task panicked, starting it again");
        tokio::time::sleep(RESTART_DELAY).await;
    }
}
