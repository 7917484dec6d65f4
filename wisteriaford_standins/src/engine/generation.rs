//! Generation requests and their streamed answers.

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
const CONNECTION_CHECK_INTERVAL: Duration = Duration::from_millis(100);
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

/// Request in the scheduler, removed from its queue or slot when dropped.
struct ScheduledRequest<'a> {
    inner: &'a Inner,
    ticket: Ticket,
    incarnation: u64,
}

impl ScheduledRequest<'_> {
    /// Returns the loaded weight version, or `None` if the request was cancelled or the engine has
    /// restarted.
    fn version(&self) -> Option<u64> {
        let state = self.inner.lock();
        let is_scheduled =
            state.incarnation == self.incarnation && state.scheduler.contains(self.ticket);
        is_scheduled.then(|| state.weights.version())
    }
}

impl Drop for ScheduledRequest<'_> {
    fn drop(&mut self) {
        let mut state = self.inner.lock();
        if state.incarnation == self.incarnation {
            state.scheduler.finish(self.ticket);
            self.inner.record_report(&mut state);
        }
        self.inner.slot_freed.notify_all();
    }
}

/// Handles `POST /generate`.
pub(super) fn generate(
    inner: &Inner,
    request: &Request,
    connection: &mut Connection,
) -> Result<Reply> {
    let parameters: GenerateRequest = request.json()?;
    if parameters.max_tokens == 0 || parameters.max_tokens > MAX_TOKENS_LIMIT {
        return Err(RequestError::Parameter { name: "max_tokens" });
    }
    let scheduled = enqueue(inner, &parameters)?;
    connection.begin_chunks(CONTENT_TYPE)?;
    if wait_for_slot(&scheduled, connection)? {
        stream_answer(&scheduled, &parameters, connection)?;
    }
    connection.end_chunks()?;
    Ok(Reply::Sent)
}

fn enqueue<'a>(inner: &'a Inner, parameters: &GenerateRequest) -> Result<ScheduledRequest<'a>> {
    if inner.faults.settings().leaving {
        return Err(RequestError::Leaving);
    }
    let mut state = inner.lock();
    if inner.settings.refuse_while_loading && state.weights.loading_version() != 0 {
        return Err(RequestError::Swapping);
    }
    let request_id = parameters.request_id.clone();
    let ticket = state.scheduler.enqueue(parameters.priority, request_id)?;
    inner.record_report(&mut state);
    Ok(ScheduledRequest {
        inner,
        ticket,
        incarnation: state.incarnation,
    })
}

/// Waits for a slot; returns false if the request is cancelled or the engine restarts meanwhile.
fn wait_for_slot(scheduled: &ScheduledRequest<'_>, connection: &Connection) -> Result<bool> {
    let inner = scheduled.inner;
    let mut state = inner.lock();
    while !state.scheduler.try_start(scheduled.ticket) {
        if state.incarnation != scheduled.incarnation || !state.scheduler.contains(scheduled.ticket)
        {
            return Ok(false);
        }
        (state, _) = inner
            .slot_freed
            .wait_timeout(state, CONNECTION_CHECK_INTERVAL)
            .unwrap_or_else(PoisonError::into_inner);
        drop(state);
        if connection.is_closed() {
            return Err(RequestError::Connection(
                ErrorKind::ConnectionAborted.into(),
            ));
        }
        state = inner.lock();
    }
    inner.record_report(&mut state);
    inner.slot_freed.notify_all();
    Ok(true)
}

fn stream_answer(
    scheduled: &ScheduledRequest<'_>,
    parameters: &GenerateRequest,
    connection: &mut Connection,
) -> Result<()> {
    let answer = Answer::new(&parameters.prompt, parameters.seed, parameters.max_tokens);
    sleep_or_abort(
        connection,
        first_token_delay(scheduled.inner, &parameters.prompt),
    )?;
    let line_interval = Duration::from_millis(scheduled.inner.settings.line_ms);
    let mut from_token = parameters.from_token;
    let mut pacer = TokenPacer::default();
    while from_token < answer.total_tokens() {
        sleep_or_abort(connection, line_interval)?;
        let Some(version) = scheduled.version() else {
            return Ok(());
        };
        let generated = pacer.advance(line_interval, token_rate(scheduled.inner));
        let to_token = from_token
            .saturating_add(generated)
            .min(answer.total_tokens());
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

fn first_token_delay(inner: &Inner, prompt: &str) -> Duration {
    let cached = inner
        .lock()
        .cache
        .touch(prefix_hash(prompt), Instant::now());
    let delay_ms = if cached {
        inner.settings.cached_first_token_ms
    } else {
        inner.settings.first_token_ms
    };
    Duration::from_millis(delay_ms)
}

fn token_rate(inner: &Inner) -> u32 {
    match inner.faults.settings().tokens_per_s {
        0 => inner.settings.tokens_per_s,
        rate => rate,
    }
}

fn sleep_or_abort(connection: &Connection, duration: Duration) -> Result<()> {
    if connection.sleep(duration) {
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

/// Converts elapsed time to whole tokens at a rate, carrying over the fraction of a token.
#[derive(Default)]
struct TokenPacer {
    /// Fraction of a token that is carried over, in billionths.
    carried_nano_tokens: u128,
}

impl TokenPacer {
    const NANOS_PER_TOKEN: u128 = 1_000_000_000;

    fn advance(&mut self, elapsed: Duration, rate_per_s: u32) -> u32 {
        self.carried_nano_tokens += elapsed.as_nanos() * u128::from(rate_per_s);
        let whole_tokens = self.carried_nano_tokens / Self::NANOS_PER_TOKEN;
        self.carried_nano_tokens %= Self::NANOS_PER_TOKEN;
        u32::try_from(whole_tokens).unwrap_or(u32::MAX)
    }
}
