//! Faults that a test switches on and off.

use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Faults as they are set now.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is a switch of the protocol"
)]
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct FaultSettings {
    /// Connections are accepted and closed without an answer.
    pub down: bool,
    /// Time that each request waits before it is handled.
    pub slow_ms: u64,
    /// Number of coming requests other than `GET` that take effect and get no answer.
    pub lose_answers: u64,
    /// Number of coming loads of weights that fail.
    pub fail_swaps: u64,
    /// Text that crashes the stand-in when a body holds it; empty for none.
    pub crash_marker: String,
    /// Open and new connections are held and nothing is sent.
    pub silent: bool,
    /// Connections open when this was last set to true are silent for good.
    pub silent_streams: bool,
    /// Orders with an old fencing number are taken.
    pub ignore_fencing: bool,
    /// New work is refused as leaving.
    pub leaving: bool,
    /// Tokens a second of one stream; 0 for the rate in the settings.
    pub tokens_per_s: u32,
}

/// Any part of the faults, to be set together.
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
    /// See [`FaultSettings::fail_swaps`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub fail_swaps: Option<u64>,
    /// See [`FaultSettings::crash_marker`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub crash_marker: Option<String>,
    /// See [`FaultSettings::silent`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub silent: Option<bool>,
    /// See [`FaultSettings::silent_streams`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub silent_streams: Option<bool>,
    /// See [`FaultSettings::ignore_fencing`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub ignore_fencing: Option<bool>,
    /// See [`FaultSettings::leaving`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub leaving: Option<bool>,
    /// See [`FaultSettings::tokens_per_s`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub tokens_per_s: Option<u32>,
}

impl FaultChange {
    fn apply(self, settings: &mut FaultSettings) {
        set(&mut settings.down, self.down);
        set(&mut settings.slow_ms, self.slow_ms);
        set(&mut settings.lose_answers, self.lose_answers);
        set(&mut settings.fail_swaps, self.fail_swaps);
        set(&mut settings.crash_marker, self.crash_marker);
        set(&mut settings.silent, self.silent);
        set(&mut settings.silent_streams, self.silent_streams);
        set(&mut settings.ignore_fencing, self.ignore_fencing);
        set(&mut settings.leaving, self.leaving);
        set(&mut settings.tokens_per_s, self.tokens_per_s);
    }
}

fn set<T>(value: &mut T, change: Option<T>) {
    if let Some(change) = change {
        *value = change;
    }
}

/// What a connection may do now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Passage {
    /// Bytes pass.
    Open,
    /// The connection is silent for good: bytes are dropped and it stays open.
    Silent,
    /// The connection is to be closed.
    Cut,
}

#[derive(Debug, Default)]
struct FaultState {
    settings: FaultSettings,
    silenced: u64,
    crashes: u64,
    crashed: bool,
    stopping: bool,
}

/// Faults of one stand-in, shared by its connections.
#[derive(Debug, Default)]
pub struct Faults {
    state: Mutex<FaultState>,
    changed: Condvar,
}

impl Faults {
    /// Returns the faults as they are set now.
    #[must_use]
    pub fn settings(&self) -> FaultSettings {
        self.lock().settings.clone()
    }

    /// Sets a part of the faults; returns true if this restarts the stand-in after a crash.
    pub fn change(&self, change: FaultChange) -> bool {
        let mut state = self.lock();
        if change.silent_streams == Some(true) {
            state.silenced += 1;
        }
        change.apply(&mut state.settings);
        let restarted = state.crashed && !state.settings.down;
        if restarted {
            state.crashed = false;
        }
        self.changed.notify_all();
        restarted
    }

    /// Returns the mark of a connection opened now; see [`Faults::passage`].
    pub(crate) fn mark(&self) -> ConnectionMark {
        let state = self.lock();
        ConnectionMark {
            silenced: state.silenced,
            crashes: state.crashes,
        }
    }

    /// Waits while everything is silent, then says what the connection may do.
    pub(crate) fn passage(&self, mark: ConnectionMark) -> Passage {
        let mut state = self.lock();
        while state.settings.silent && !state.stopping && !state.settings.down {
            state = self
                .changed
                .wait(state)
                .unwrap_or_else(PoisonError::into_inner);
        }
        if state.stopping || state.settings.down || mark.crashes < state.crashes {
            return Passage::Cut;
        }
        if mark.silenced < state.silenced {
            return Passage::Silent;
        }
        Passage::Open
    }

    /// Waits for `duration`; returns false at once if the stand-in stops or crashes.
    pub(crate) fn sleep(&self, mark: ConnectionMark, duration: Duration) -> bool {
        let state = self.lock();
        let (state, _) = self
            .changed
            .wait_timeout_while(state, duration, |state| {
                !state.stopping && mark.crashes == state.crashes
            })
            .unwrap_or_else(PoisonError::into_inner);
        !state.stopping && mark.crashes == state.crashes
    }

    pub(crate) fn take_lost_answer(&self) -> bool {
        take(&mut self.lock().settings.lose_answers)
    }

    pub(crate) fn take_failed_swap(&self) -> bool {
        take(&mut self.lock().settings.fail_swaps)
    }

    /// Puts the stand-in down as after a crash: open connections are cut.
    pub(crate) fn crash(&self) {
        let mut state = self.lock();
        state.crashed = true;
        state.crashes += 1;
        state.settings.down = true;
        self.changed.notify_all();
    }

    pub(crate) fn stop(&self) {
        self.lock().stopping = true;
        self.changed.notify_all();
    }

    /// Returns true if the stand-in is down or stops, or crashed since the connection was opened.
    pub(crate) fn is_over(&self, mark: ConnectionMark) -> bool {
        let state = self.lock();
        state.stopping || state.settings.down || mark.crashes < state.crashes
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.lock().stopping
    }

    fn lock(&self) -> MutexGuard<'_, FaultState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn take(count: &mut u64) -> bool {
    let taken = *count > 0;
    *count = count.saturating_sub(1);
    taken
}

/// Number of the silences and crashes before a connection was opened.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConnectionMark {
    silenced: u64,
    crashes: u64,
}
