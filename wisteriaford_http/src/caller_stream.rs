//! Connection of a caller, with time limits on heads, idleness and unread answers.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio::time::Sleep;

use crate::budget::Phase;
use crate::guard::Charge;
use crate::guard::Slot;

/// Size from which an answer is charged; smaller ones are covered by the charge of the connection.
const MIN_CHARGED_ANSWER_BYTES: u64 = 16 * 1024;

/// Time limits of a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConnectionTimeouts {
    /// Maximum time from the first byte of a head to its end.
    pub head: Duration,
    /// Maximum time between two requests.
    pub idle: Duration,
    /// Maximum time for which nothing of an answer is read.
    pub unread: Duration,
}

/// Reason why a connection was closed by a time limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Expiry {
    /// A head took too long.
    Head,
    /// No request came.
    Idle,
}

/// What to do with a connection that must make way for others.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Eviction {
    /// Refuse the request: its head or its body is still arriving, so it can't have run.
    Refuse,
    /// Answer the request before the connection is closed: it may be running.
    Finish,
    /// Close the connection: it is idle, or its caller isn't reading an answer.
    Close,
}

/// State of the answers that were passed to the connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Sending {
    /// All of them have been sent.
    Done,
    /// Parts may wait to be sent.
    Pending,
    /// Parts were not read in time.
    Unread,
}

#[derive(Debug)]
struct Progress {
    /// Requests whose answers have not been passed to the connection completely.
    requests: usize,
    /// Whether something was received since the last request began.
    has_read: bool,
    /// Requests in a row that had been received before the answer to the one before.
    pipelined: u32,
    /// Whether the last request has an answer.
    has_answer: bool,
    sending: Sending,
    /// Charge of the answer that is being sent.
    answer: Option<Charge>,
    /// Time at which the head that is arriving began.
    head_since: Option<Instant>,
    idle_since: Instant,
}

/// What a connection is doing, shared by its stream and its request handler.
#[derive(Clone, Debug)]
pub(crate) struct Activity {
    progress: Arc<Mutex<Progress>>,
    changed: Arc<Notify>,
    slot: Slot,
}

impl Activity {
    pub(crate) fn new(slot: Slot) -> Self {
        let progress = Progress {
            requests: 0,
            has_read: true,
            pipelined: 0,
            has_answer: false,
            sending: Sending::Done,
            answer: None,
            head_since: None,
            idle_since: Instant::now(),
        };
        Self {
            progress: Arc::new(Mutex::new(progress)),
            changed: Arc::new(Notify::new()),
            slot,
        }
    }

    /// Records that a head has been read; returns how many requests in a row were pipelined.
    pub(crate) fn begin_request(&self) -> u32 {
        let mut progress = self.lock();
        let is_pipelined = !std::mem::take(&mut progress.has_read);
        progress.pipelined = if is_pipelined {
            progress.pipelined.saturating_add(1)
        } else {
            0
        };
        progress.requests += 1;
        progress.has_answer = false;
        progress.head_since = None;
        self.slot.set_phase(Phase::Running);
        progress.pipelined
    }

    /// Records that an answer has been passed to the connection.
    pub(crate) fn end_request(&self) {
        let mut progress = self.lock();
        progress.requests = progress.requests.saturating_sub(1);
        if progress.requests == 0 {
            progress.idle_since = Instant::now();
            self.changed.notify_one();
            self.slot.set_phase(Phase::Idle);
        }
    }

    /// Returns what to do if the connection must make way for others.
    pub(crate) fn eviction(&self) -> Eviction {
        let progress = self.lock();
        let is_running = progress.requests > 0;
        if progress.sending != Sending::Done {
            Eviction::Close
        } else if is_running && !self.slot.is_reading_body() {
            Eviction::Finish
        } else if is_running || progress.head_since.is_some() {
            Eviction::Refuse
        } else {
            Eviction::Close
        }
    }

    /// Records that a request has an answer, which is sent from now on; `bytes` of it are held.
    pub(crate) fn begin_answer(&self, bytes: Option<u64>) {
        let mut progress = self.lock();
        progress.has_answer = true;
        progress.sending = Sending::Pending;
        let bytes = bytes.filter(|bytes| *bytes >= MIN_CHARGED_ANSWER_BYTES);
        let bytes = bytes.map(|bytes| usize::try_from(bytes).unwrap_or(usize::MAX));
        progress.answer = bytes.map(|bytes| self.slot.charge_held(bytes));
    }

    /// Records that everything passed to the connection has been sent.
    fn record_sent(&self) {
        let mut progress = self.lock();
        let is_answering = progress.requests > 0 && progress.has_answer;
        if is_answering || progress.sending != Sending::Pending {
            return;
        }
        progress.sending = Sending::Done;
        progress.answer = None;
        // The next request has its time from the end of the answer before it.
        let now = Instant::now();
        progress.idle_since = now;
        progress.head_since = progress.head_since.map(|_| now);
        self.changed.notify_one();
    }

    /// Returns whether the connection failed because an answer wasn't read.
    pub(crate) fn is_unread(&self) -> bool {
        self.lock().sending == Sending::Unread
    }

    fn lock(&self) -> MutexGuard<'_, Progress> {
        self.progress.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records received bytes; they begin a head unless a request is in progress.
    fn record_read(&self) {
        let mut progress = self.lock();
        // What is received during a request belongs to its body or to a pipelined request.
        progress.has_read |= progress.requests == 0;
        if progress.requests == 0 && progress.head_since.is_none() {
            progress.head_since = Some(Instant::now());
            self.changed.notify_one();
            self.slot.set_phase(Phase::Head);
        }
    }

    /// Waits until a head or the time between two requests takes too long.
    ///
    /// The HTTP library doesn't read again after an answer, so reads can't watch the time.
    pub(crate) async fn expire(&self, timeouts: &ConnectionTimeouts) -> Expiry {
        loop {
            let changed = self.changed.notified();
            match self.deadline(timeouts) {
                None => changed.await,
                Some((deadline, expiry)) if deadline <= Instant::now() => return expiry,
                // A request may have begun by the deadline, so it is computed again.
                Some((deadline, _)) => tokio::select! {
                    () = changed => {}
                    () = tokio::time::sleep_until(deadline) => {}
                },
            }
        }
    }

    /// Returns the end of the time limit that applies now; there is none while a request is in progress or
    /// an answer is being sent.
    fn deadline(&self, timeouts: &ConnectionTimeouts) -> Option<(Instant, Expiry)> {
        let progress = self.lock();
        if progress.requests > 0 || progress.sending != Sending::Done {
            return None;
        }
        Some(match progress.head_since {
            Some(since) => (since + timeouts.head, Expiry::Head),
            None => (progress.idle_since + timeouts.idle, Expiry::Idle),
        })
    }

    fn expire_write(&self) -> io::Error {
        self.lock().sending = Sending::Unread;
        io::ErrorKind::TimedOut.into()
    }
}

/// Connection of a caller; writes fail once an answer has not been read for too long.
#[derive(Debug)]
pub(crate) struct CallerStream {
    stream: TcpStream,
    activity: Activity,
    unread_timeout: Duration,
    write_timer: Option<Pin<Box<Sleep>>>,
}

impl CallerStream {
    pub(crate) fn new(stream: TcpStream, activity: Activity, unread_timeout: Duration) -> Self {
        Self {
            stream,
            activity,
            unread_timeout,
            write_timer: None,
        }
    }

    pub(crate) fn into_inner(self) -> TcpStream {
        self.stream
    }

    fn written<T>(
        &mut self,
        context: &mut Context<'_>,
        written: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if written.is_ready() {
            if self.write_timer.take().is_some() {
                self.activity.slot.set_phase(Phase::Running);
            }
            return written;
        }
        let unread = self.unread_timeout;
        let timer = self.write_timer.get_or_insert_with(|| {
            self.activity.slot.set_phase(Phase::Unread);
            Box::pin(tokio::time::sleep(unread))
        });
        match timer.as_mut().poll(context) {
            Poll::Ready(()) => Poll::Ready(Err(self.activity.expire_write())),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > before {
            self.activity.record_read();
        }
        read
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.written(context, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, buffers);
        self.written(context, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The HTTP library flushes once its buffer is empty.
        self.activity.record_sent();
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
