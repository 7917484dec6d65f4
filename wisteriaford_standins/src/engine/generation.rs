//! One streamed answer of an engine.

use std::io::ErrorKind;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde_json::Value;
use serde_json::json;

use super::Inner;
use super::scheduler::Priority;
use super::scheduler::Ticket;
use crate::connection::Connection;
use crate::error::RequestError;
use crate::error::Result;
use crate::request::Request;
use crate::server::Reply;
use crate::text::Answer;
use crate::text::prefix_hash;

const CONTENT_TYPE: &str = "application/x-ndjson";
const WAIT_SLICE: Duration = Duration::from_millis(100);
const MAX_TOKENS_LIMIT: u32 = 1_000_000;

#[derive(Deserialize)]
struct GenerateRequest {
    request_id: String,
    prompt: String,
    seed: u64,
    max_tokens: u32,
    priority: Priority,
    #[serde(default)]
    from_token: u32,
}

/// Slot or place in the queue, given back when dropped.
struct Place<'a> {
    inner: &'a Inner,
    ticket: Ticket,
    incarnation: u64,
}

impl Place<'_> {
    /// Returns the loaded version, or `None` once the request is cancelled or the engine restarted.
    fn version(&self) -> Option<u64> {
        let state = self.inner.lock();
        let held = state.incarnation == self.incarnation && state.scheduler.holds(self.ticket);
        held.then(|| state.weights.version())
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        let mut state = self.inner.lock();
        if state.incarnation == self.incarnation {
            state.scheduler.finish(self.ticket);
            self.inner.publish(&mut state);
        }
        self.inner.slot_freed.notify_all();
    }
}

/// Answers `POST /generate`.
pub(super) fn generate(
    inner: &Inner,
    request: &Request,
    connection: &mut Connection,
) -> Result<Reply> {
    let wanted: GenerateRequest = request.json()?;
    if wanted.max_tokens == 0 || wanted.max_tokens > MAX_TOKENS_LIMIT {
        return Err(RequestError::Parameter { name: "max_tokens" });
    }
    let place = enqueue(inner, &wanted)?;
    connection.begin_chunks(CONTENT_TYPE)?;
    if wait_for_slot(&place, connection)? {
        stream(&place, &wanted, connection)?;
    }
    connection.end_chunks()?;
    Ok(Reply::Sent)
}

fn enqueue<'a>(inner: &'a Inner, wanted: &GenerateRequest) -> Result<Place<'a>> {
    if inner.faults.settings().leaving {
        return Err(RequestError::Leaving);
    }
    let mut state = inner.lock();
    if inner.settings.refuse_while_loading && state.weights.loading_version() != 0 {
        return Err(RequestError::Swapping);
    }
    let request_id = wanted.request_id.clone();
    let ticket = state.scheduler.enqueue(wanted.priority, request_id)?;
    inner.publish(&mut state);
    Ok(Place {
        inner,
        ticket,
        incarnation: state.incarnation,
    })
}

/// Waits for a slot; returns false if the request is cancelled before.
fn wait_for_slot(place: &Place<'_>, connection: &Connection) -> Result<bool> {
    let inner = place.inner;
    let mut state = inner.lock();
    while !state.scheduler.try_run(place.ticket) {
        if state.incarnation != place.incarnation || !state.scheduler.holds(place.ticket) {
            return Ok(false);
        }
        (state, _) = inner
            .slot_freed
            .wait_timeout(state, WAIT_SLICE)
            .unwrap_or_else(PoisonError::into_inner);
        drop(state);
        if connection.is_over() {
            return Err(RequestError::Connection(
                ErrorKind::ConnectionAborted.into(),
            ));
        }
        state = inner.lock();
    }
    inner.publish(&mut state);
    inner.slot_freed.notify_all();
    Ok(true)
}

fn stream(place: &Place<'_>, wanted: &GenerateRequest, connection: &mut Connection) -> Result<()> {
    let answer = Answer::new(&wanted.prompt, wanted.seed, wanted.max_tokens);
    pause(connection, first_token_wait(place.inner, &wanted.prompt))?;
    let line_wait = Duration::from_millis(place.inner.settings.line_ms);
    let mut from_token = wanted.from_token;
    let mut due = Pace::default();
    while from_token < answer.total_tokens() {
        pause(connection, line_wait)?;
        let Some(version) = place.version() else {
            return Ok(());
        };
        let made = due.advance(line_wait, tokens_per_s(place.inner));
        let to_token = from_token.saturating_add(made).min(answer.total_tokens());
        if to_token == from_token {
            continue;
        }
        let line = json!({
            "from_token": from_token,
            "tokens": to_token - from_token,
            "text": answer.text(from_token, to_token),
            "version": version,
        });
        send_line(connection, &line)?;
        from_token = to_token;
    }
    let done = json!({"done": true, "total_tokens": answer.total_tokens()});
    send_line(connection, &done)
}

fn first_token_wait(inner: &Inner, prompt: &str) -> Duration {
    let cached = inner
        .lock()
        .cache
        .touch(prefix_hash(prompt), Instant::now());
    let wait_ms = if cached {
        inner.settings.cached_first_token_ms
    } else {
        inner.settings.first_token_ms
    };
    Duration::from_millis(wait_ms)
}

fn tokens_per_s(inner: &Inner) -> u32 {
    match inner.faults.settings().tokens_per_s {
        0 => inner.settings.tokens_per_s,
        rate => rate,
    }
}

fn pause(connection: &Connection, wait: Duration) -> Result<()> {
    if connection.sleep(wait) {
        Ok(())
    } else {
        Err(RequestError::Connection(
            ErrorKind::ConnectionAborted.into(),
        ))
    }
}

fn send_line(connection: &mut Connection, line: &Value) -> Result<()> {
    Ok(connection.send_chunk(format!("{line}\n").as_bytes())?)
}

/// Tokens due by a rate, with the part of a token that is left over.
#[derive(Default)]
struct Pace {
    /// Thousand million parts of a token.
    nano_tokens: u128,
}

impl Pace {
    const NANOS: u128 = 1_000_000_000;

    fn advance(&mut self, passed: Duration, rate_per_s: u32) -> u32 {
        self.nano_tokens += passed.as_nanos() * u128::from(rate_per_s);
        let whole = self.nano_tokens / Self::NANOS;
        self.nano_tokens %= Self::NANOS;
        u32::try_from(whole).unwrap_or(u32::MAX)
    }
}
