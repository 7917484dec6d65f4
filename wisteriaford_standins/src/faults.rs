//! Faults that tests inject while a stand-in runs.

use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Current fault settings.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is a separate switch in the protocol"
)]
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct FaultSettings {
    /// Accept connections and close them without an answer.
    pub down: bool,
    /// Delay before each request is handled, in milliseconds.
    pub slow_ms: u64,
    /// Number of upcoming requests, not counting `GET`, that take effect but get no answer.
    pub lose_answers: u64,
    /// Number of upcoming answers whose body breaks off halfway.
    pub truncate_answers: u64,
    /// Number of upcoming answers that are followed by an answer to another request.
    pub extra_answers: u64,
    /// Number of upcoming streams that stop after some events, with their connection open; only streams
    /// from the first event on, so that no stream meets the faults of two endpoints.
    pub stall_streams: u64,
    /// Number of upcoming streams that are those of another request.
    pub foreign_streams: u64,
    /// Number of upcoming versions of the weights that are named with a wrong byte, in heads and in lines.
    pub garble_versions: u64,
    /// Number of upcoming weight loads that fail.
    pub fail_swaps: u64,
    /// Text for which an endpoint reports a failure if a request body contains it; empty for none.
    pub failure_marker: String,
    /// Text that crashes the stand-in if a request body contains it; empty for none.
    pub crash_marker: String,
    /// Whether the marker silences the stand-in instead of crashing it, as if its machine failed.
    pub marker_silences: bool,
    /// Keep open and new connections open, but send nothing.
    pub silent: bool,
    /// Connections that were open when this was last set to true never send anything again.
    pub silent_streams: bool,
    /// Accept orders with an outdated fencing number.
    pub ignore_fencing: bool,
    /// Say in all answers that the stand-in is leaving, and serve as before.
    pub announces_leaving: bool,
    /// Requests per second, in thousandths, that the stand-in announces in all answers as its limit;
    /// 0 for none.
    pub request_limit_milli: u64,
    /// Refuse new work because the stand-in is leaving.
    pub leaving: bool,
    /// Tokens per second of each stream; 0 for the rate in the settings.
    pub tokens_per_s: u32,
}

/// Change of any subset of the faults, applied atomically.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultChange {
    /// See [`FaultSettings::down`]; after a crash, false restarts the stand-in.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub down: Option<bool>,
    /// See [`FaultSettings::slow_ms`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub slow_ms: Option<u64>,
    /// See [`FaultSettings::lose_answers`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub lose_answers: Option<u64>,
    /// See [`FaultSettings::truncate_answers`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub truncate_answers: Option<u64>,
    /// See [`FaultSettings::extra_answers`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub extra_answers: Option<u64>,
    /// See [`FaultSettings::stall_streams`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub stall_streams: Option<u64>,
    /// See [`FaultSettings::foreign_streams`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub foreign_streams: Option<u64>,
    /// See [`FaultSettings::garble_versions`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub garble_versions: Option<u64>,
    /// See [`FaultSettings::fail_swaps`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub fail_swaps: Option<u64>,
    /// See [`FaultSettings::failure_marker`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub failure_marker: Option<String>,
    /// See [`FaultSettings::crash_marker`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub crash_marker: Option<String>,
    /// See [`FaultSettings::marker_silences`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub marker_silences: Option<bool>,
    /// See [`FaultSettings::silent`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub silent: Option<bool>,
    /// See [`FaultSettings::silent_streams`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub silent_streams: Option<bool>,
    /// See [`FaultSettings::ignore_fencing`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub ignore_fencing: Option<bool>,
    /// See [`FaultSettings::announces_leaving`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub announces_leaving: Option<bool>,
    /// See [`FaultSettings::request_limit_milli`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_limit_milli: Option<u64>,
    /// See [`FaultSettings::leaving`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub leaving: Option<bool>,
    /// See [`FaultSettings::tokens_per_s`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub tokens_per_s: Option<u32>,
}

impl FaultChange {
    fn apply(self, settings: &mut FaultSettings) {
        set_if_some(&mut settings.down, self.down);
        set_if_some(&mut settings.slow_ms, self.slow_ms);
        set_if_some(&mut settings.lose_answers, self.lose_answers);
        set_if_some(&mut settings.truncate_answers, self.truncate_answers);
        set_if_some(&mut settings.extra_answers, self.extra_answers);
        set_if_some(&mut settings.stall_streams, self.stall_streams);
        set_if_some(&mut settings.foreign_streams, self.foreign_streams);
        set_if_some(&mut settings.garble_versions, self.garble_versions);
        set_if_some(&mut settings.fail_swaps, self.fail_swaps);
        set_if_some(&mut settings.failure_marker, self.failure_marker);
        set_if_some(&mut settings.crash_marker, self.crash_marker);
        set_if_some(&mut settings.marker_silences, self.marker_silences);
        set_if_some(&mut settings.silent, self.silent);
        set_if_some(&mut settings.silent_streams, self.silent_streams);
        set_if_some(&mut settings.ignore_fencing, self.ignore_fencing);
        set_if_some(&mut settings.announces_leaving, self.announces_leaving);
        set_if_some(&mut settings.request_limit_milli, self.request_limit_milli);
        set_if_some(&mut settings.leaving, self.leaving);
        set_if_some(&mut settings.tokens_per_s, self.tokens_per_s);
    }
}

fn set_if_some<T>(value: &mut T, change: Option<T>) {
    if let Some(change) = change {
        *value = change;
    }
}

/// What a connection may do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ConnectionState {
    /// Data is sent normally.
    Open,
    /// The connection stays open, but all further data is discarded.
    Silent,
    /// The connection must be closed.
    Closed,
}

#[derive(Debug, Default)]
struct FaultState {
    settings: FaultSettings,
    silence_count: u64,
    crash_count: u64,
    crashed: bool,
    stopping: bool,
}

/// Faults of a stand-in, shared by its connections.
#[derive(Debug, Default)]
pub struct Faults {
    state: Mutex<FaultState>,
    changed: Condvar,
}

impl Faults {
    /// Returns the current fault settings.
    #[must_use]
    pub fn settings(&self) -> FaultSettings {
        self.lock().settings.clone()
    }

    /// Changes the given faults; returns true if this restarts the stand-in after a crash.
    pub fn change(&self, change: FaultChange) -> bool {
        let mut state = self.lock();
        if change.silent_streams == Some(true) {
            state.silence_count += 1;
        }
        change.apply(&mut state.settings);
        let restarted = state.crashed && !state.settings.down;
        if restarted {
            state.crashed = false;
        }
        self.changed.notify_all();
        restarted
    }

    /// Returns the epoch for a connection that is opened now; see [`Faults::wait_for_state`].
    pub(crate) fn current_epoch(&self) -> ConnectionEpoch {
        let state = self.lock();
        ConnectionEpoch {
            silence_count: state.silence_count,
            crash_count: state.crash_count,
        }
    }

    /// Waits while the stand-in is silent, then returns what the connection may do.
    pub(crate) fn wait_for_state(&self, epoch: ConnectionEpoch) -> ConnectionState {
        let mut state = self.lock();
        while state.settings.silent && !state.stopping && !state.settings.down {
            state = self
                .changed
                .wait(state)
                .unwrap_or_else(PoisonError::into_inner);
        }
        if state.stopping || state.settings.down || epoch.crash_count < state.crash_count {
            return ConnectionState::Closed;
        }
        if epoch.silence_count < state.silence_count {
            return ConnectionState::Silent;
        }
        ConnectionState::Open
    }

    /// Sleeps for `duration`; returns false immediately if the stand-in stops or crashes.
    pub(crate) fn sleep(&self, epoch: ConnectionEpoch, duration: Duration) -> bool {
        let state = self.lock();
        let (state, _) = self
            .changed
            .wait_timeout_while(state, duration, |state| {
                !state.stopping && epoch.crash_count == state.crash_count
            })
            .unwrap_or_else(PoisonError::into_inner);
        !state.stopping && epoch.crash_count == state.crash_count
    }

    pub(crate) fn consume_lost_answer(&self) -> bool {
        consume(&mut self.lock().settings.lose_answers)
    }

    pub(crate) fn consume_truncated_answer(&self) -> bool {
        consume(&mut self.lock().settings.truncate_answers)
    }

    pub(crate) fn consume_extra_answer(&self) -> bool {
        consume(&mut self.lock().settings.extra_answers)
    }

    pub(crate) fn consume_stalled_stream(&self) -> bool {
        consume(&mut self.lock().settings.stall_streams)
    }

    pub(crate) fn consume_foreign_stream(&self) -> bool {
        consume(&mut self.lock().settings.foreign_streams)
    }

    pub(crate) fn consume_garbled_version(&self) -> bool {
        consume(&mut self.lock().settings.garble_versions)
    }

    pub(crate) fn consume_failed_swap(&self) -> bool {
        consume(&mut self.lock().settings.fail_swaps)
    }

    /// Marks the stand-in as crashed and down, which closes its open connections.
    pub(crate) fn crash(&self) {
        let mut state = self.lock();
        state.crashed = true;
        state.crash_count += 1;
        state.settings.down = true;
        self.changed.notify_all();
    }

    pub(crate) fn stop(&self) {
        self.lock().stopping = true;
        self.changed.notify_all();
    }

    /// Returns true if the stand-in is down or stopping, or has crashed since the connection was
    /// opened.
    pub(crate) fn is_closed(&self, epoch: ConnectionEpoch) -> bool {
        let state = self.lock();
        state.stopping || state.settings.down || epoch.crash_count < state.crash_count
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.lock().stopping
    }

    fn lock(&self) -> MutexGuard<'_, FaultState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn consume(count: &mut u64) -> bool {
    let consumed = *count > 0;
    *count = count.saturating_sub(1);
    consumed
}

/// Numbers of silences and crashes before a connection was opened.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConnectionEpoch {
    silence_count: u64,
    crash_count: u64,
}
