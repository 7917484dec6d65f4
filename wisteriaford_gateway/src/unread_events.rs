//! Memory of the events of a stream that its caller has not read yet.

use std::time::Duration;

use bytes::Bytes;
use hyper::body::Frame;
use tokio::sync::mpsc;
use wisteriaford_http::Charge;
use wisteriaford_http::Slot;

use crate::client::CallError;

/// Maximum number of events that are buffered for a slow caller.
pub(crate) const BUFFERED_EVENTS: usize = 16;
/// Size from which an event is charged. As many smaller ones as are buffered are covered by the charge of
/// the connection.
const MIN_CHARGED_EVENT_BYTES: usize = 1024;
/// Size from which the buffer of an event that is arriving is charged.
const MIN_CHARGED_BUFFER_BYTES: usize = 16 * 1024;
/// Interval at which an event that waits for memory looks for it.
const MEMORY_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Sender of the events of a stream, which charges them to the caller's connection until they are sent.
pub(crate) struct EventSender {
    frames: mpsc::Sender<Result<Frame<Bytes>, CallError>>,
    slot: Option<Slot>,
    buffer: Option<Charge>,
}

/// The caller has disconnected.
pub(crate) struct Disconnected;

impl EventSender {
    /// Returns a sender and the receiver of the frames.
    pub(crate) fn new(
        slot: Option<Slot>,
    ) -> (Self, mpsc::Receiver<Result<Frame<Bytes>, CallError>>) {
        let (frames, receiver) = mpsc::channel(BUFFERED_EVENTS);
        let sender = Self {
            frames,
            slot,
            buffer: None,
        };
        (sender, receiver)
    }

    /// Waits until the caller has disconnected.
    pub(crate) async fn closed(&self) {
        self.frames.closed().await;
    }

    /// Charges the buffer of the event that is arriving instead of that before.
    pub(crate) fn charge_buffer(&mut self, bytes: usize) {
        let bytes = if bytes < MIN_CHARGED_BUFFER_BYTES {
            0
        } else {
            bytes
        };
        if self.buffer.as_ref().map_or(0, Charge::bytes) != bytes {
            self.buffer = None;
            let slot = self.slot.as_ref().filter(|_| bytes > 0);
            self.buffer = slot.map(|slot| slot.charge_held(bytes));
        }
    }

    /// Sends an event, once there is memory for it.
    pub(crate) async fn send(&self, event: Vec<u8>) -> Result<(), Disconnected> {
        let event = tokio::select! {
            event = self.charge(event) => event,
            () = self.closed() => return Err(Disconnected),
        };
        let sent = self.frames.send(Ok(Frame::data(event))).await;
        sent.map_err(|_| Disconnected)
    }

    /// Ends the stream with an error, so that the caller doesn't take it for a complete one.
    pub(crate) async fn fail(&self, error: CallError) {
        // A caller that has disconnected doesn't need it.
        drop(self.frames.send(Err(error)).await);
    }

    /// Charges an event, which is held already. Without room it waits until the caller has read those before:
    /// a stream that is read goes on, however much others hold.
    async fn charge(&self, event: Vec<u8>) -> Bytes {
        let Some(slot) = &self.slot else {
            return event.into();
        };
        if event.len() < MIN_CHARGED_EVENT_BYTES {
            return event.into();
        }
        let charge = slot.charge_held(event.len());
        while !slot.is_within_budget() && self.frames.capacity() < BUFFERED_EVENTS {
            tokio::time::sleep(MEMORY_CHECK_INTERVAL).await;
        }
        charge.hold(event)
    }
}
