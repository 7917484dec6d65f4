//! Connection that stops reading once a budget of bytes is used up.
//!
//! The HTTP library skips interim answers without limit, so that their sender could keep it busy for
//! good.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

/// Number of bytes that may still be read, shared by a connection and its user.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReadBudget(Arc<AtomicUsize>);

impl ReadBudget {
    /// Limits the bytes that are read from now on.
    pub(crate) fn limit(&self, max_bytes: usize) {
        self.0.store(max_bytes, Ordering::Release);
    }

    /// Lifts the limit.
    pub(crate) fn lift(&self) {
        self.limit(usize::MAX);
    }

    fn remaining(&self) -> usize {
        self.0.load(Ordering::Acquire)
    }

    fn spend(&self, bytes: usize) {
        let spend = |remaining: usize| match remaining {
            usize::MAX => None,
            _ => Some(remaining.saturating_sub(bytes)),
        };
        // An error means that there is no limit.
        let _ = self
            .0
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, spend);
    }
}

/// Connection whose reads fail once its budget is used up.
#[derive(Debug)]
pub(crate) struct BudgetedStream<S> {
    stream: S,
    budget: ReadBudget,
}

impl<S> BudgetedStream<S> {
    /// Wraps a connection; its budget isn't limited at first.
    pub(crate) fn new(stream: S, budget: ReadBudget) -> Self {
        budget.lift();
        Self { stream, budget }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for BudgetedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let remaining = self.budget.remaining();
        if remaining == 0 {
            let error = io::Error::new(io::ErrorKind::InvalidData, "head of the answer too large");
            return Poll::Ready(Err(error));
        }
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        self.budget.spend(buffer.filled().len() - before);
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for BudgetedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
