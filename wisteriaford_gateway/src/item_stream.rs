//! Streams of items at engines: the request, the check of the answer, and its events.

use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use http::StatusCode;
use http_body_util::BodyExt;
use wisteriaford_core::gateway::answer_match;
use wisteriaford_core::gateway::event_sequence;
use wisteriaford_core::gateway::load_balancer::StreamEvents;
use wisteriaford_core::gateway::schedule::EventEffect;
use wisteriaford_core::gateway::schedule::RunOutcome;
use wisteriaford_core::gateway::schedule::RunStart;
use wisteriaford_core::gateway::version_label;
use wisteriaford_core::gateway::version_label::LabelError;
use wisteriaford_core::gateway::version_label::VersionLabel;
use wisteriaford_core::id::Version;

use crate::adapter::AnswerMetadata;
use crate::client::CallError;
use crate::client::IncomingAnswer;
use crate::clock;
use crate::event_stream::EventReader;
use crate::reach;
use crate::run::Run;
use crate::sends::SendKind;
use crate::state::Gateway;

/// Time without an event after which an item is moved to another engine: ten events of a slow
/// engine.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Silence timeout while the engine may be loading weights: a load of 0.9 s that waits for two
/// others.
const LOADING_SILENCE_TIMEOUT: Duration = Duration::from_secs(4);
/// Interval at which a silent item is checked for having stalled while its engine goes on with others.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of times that a silence timeout is doubled.
const MAX_TIMEOUT_DOUBLINGS: u32 = 4;

/// How a run ended, and why.
type RunFailure = (RunOutcome, CompactString);

fn failure(outcome: RunOutcome, cause: impl std::fmt::Display) -> RunFailure {
    (outcome, compact_str::format_compact!("{cause}"))
}

/// Runs an item on the engine that was chosen for it, until its stream ends.
pub(crate) async fn stream_item(
    gateway: &Arc<Gateway>,
    start: &RunStart,
    run: &mut Run,
) -> Result<(), RunFailure> {
    let removes_identity =
        start.job.organisation.is_some() || gateway.view.load().routes.organisations.is_some();
    let request = gateway.endpoints.item_request(start, removes_identity);
    let endpoint = &start.endpoint;
    let kind = match start.after_event {
        Some(_) => SendKind::ResumedItem,
        None => SendKind::Item,
    };
    let sent_at = gateway.record_send(endpoint, kind);
    let opened = reach::open(gateway, endpoint, request, false);
    let timeout = extend_timeout(LOADING_SILENCE_TIMEOUT, start);
    let opened = tokio::time::timeout(timeout, opened).await;
    let answer = match opened {
        Err(_) => return Err(failure(RunOutcome::Silent, "no answer in time")),
        Ok(Err(error @ CallError::Unreachable { .. })) => {
            return Err(failure(RunOutcome::Unreachable, error));
        }
        Ok(Err(error)) => return Err(failure(RunOutcome::Broken, error)),
        Ok(Ok(answer)) => answer,
    };
    let metadata = gateway
        .endpoints
        .decode_answer(answer.response.status(), answer.response.headers());
    gateway.record_answer(endpoint, sent_at, &metadata);
    let version = match check_head(gateway, start, &answer, &metadata) {
        Ok(version) => version,
        Err(failure) => {
            run.dismiss();
            return Err(failure);
        }
    };
    if !answer.response.status().is_success() {
        let refusal = refusal(gateway, answer.response.status(), metadata.not_run);
        if refusal.0 == RunOutcome::Broken {
            run.dismiss();
        }
        answer.discard_body().await;
        return Err(refusal);
    }
    read_events(gateway, start, run, answer, version).await
}

/// Returns the version of the events that follow a label; it may be unknown for items without a model.
fn checked_version(
    gateway: &Gateway,
    start: &RunStart,
    before: Option<Version>,
    label: VersionLabel,
) -> Result<Option<Version>, LabelError> {
    let Some(model) = &start.job.model else {
        return Ok(label.valid().or(before));
    };
    let newest = gateway.view.load().weights.get(model).copied();
    version_label::check(before, label, newest).map(Some)
}

/// Checks the head of an answer, and returns the version of the weights that it names.
fn check_head(
    gateway: &Gateway,
    start: &RunStart,
    answer: &IncomingAnswer,
    metadata: &AnswerMetadata,
) -> Result<Option<Version>, RunFailure> {
    let expected = start.item.id.as_str();
    answer_match::check(expected, metadata.identity(), false)
        .map_err(|mismatch| failure(RunOutcome::Broken, mismatch))?;
    if !answer.response.status().is_success() {
        return Ok(None);
    }
    let label = metadata
        .version
        .map_or(VersionLabel::Missing, VersionLabel::Valid);
    let named = checked_version(gateway, start, None, label);
    let named = named.map_err(|error| failure(RunOutcome::Broken, error))?;
    let Some(version) = named else {
        return Ok(None);
    };
    if let Some(model) = &start.job.model {
        gateway
            .plan()
            .record_version(&start.endpoint.id, model, version);
    }
    let wrong = version < start.min_version || start.exact_version.is_some_and(|v| v != version);
    if wrong {
        return Err(failure(
            RunOutcome::WrongVersion,
            format_args!("the engine has version {version}"),
        ));
    }
    Ok(named)
}

fn refusal(gateway: &Gateway, status: StatusCode, not_run: bool) -> RunFailure {
    let outcome = if not_run && status == StatusCode::SERVICE_UNAVAILABLE {
        RunOutcome::Full
    } else if not_run {
        RunOutcome::NotRun
    } else if gateway.endpoints.is_permanent_failure(status) {
        RunOutcome::Impossible
    } else if status == StatusCode::INTERNAL_SERVER_ERROR {
        RunOutcome::Failed
    } else {
        RunOutcome::Broken
    };
    failure(outcome, status)
}

async fn read_events(
    gateway: &Gateway,
    start: &RunStart,
    run: &mut Run,
    mut answer: IncomingAnswer,
    mut version: Option<Version>,
) -> Result<(), RunFailure> {
    let mut reader = EventReader::default();
    let mut events = StreamEvents::new(clock::now());
    loop {
        // Bytes without an event don't count: comments may come without end.
        let silence = events.silence(clock::now());
        let timeout = silence_timeout(gateway, start).saturating_sub(silence);
        let wait = timeout.min(STALL_CHECK_INTERVAL);
        let frame = tokio::time::timeout(wait, answer.response.body_mut().frame()).await;
        let bytes = match frame {
            Err(_) if is_stalled(gateway, start, &events) => {
                // An engine that goes on has not crashed.
                run.dismiss();
                return Err(failure(
                    RunOutcome::Silent,
                    "stalled while its engine goes on with others",
                ));
            }
            Err(_) if wait < timeout => continue,
            Err(_) => return Err(failure(RunOutcome::Silent, "no event in time")),
            Ok(Some(Err(error))) => return Err(failure(RunOutcome::Broken, error)),
            // Bytes may come so fast that the time limit of the read never ends it.
            Ok(Some(Ok(_))) if timeout.is_zero() => {
                return Err(failure(RunOutcome::Silent, "no event in time"));
            }
            Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            Ok(None) if reader.has_partial_event() => {
                return Err(failure(
                    RunOutcome::Broken,
                    "the stream ended within an event",
                ));
            }
            Ok(None) if !answer.has_marked_end() => {
                return Err(failure(
                    RunOutcome::Broken,
                    "the end of the stream isn't marked",
                ));
            }
            Ok(None) if gateway.schedule().event_count(start) == 0 => {
                run.dismiss();
                return Err(failure(
                    RunOutcome::Broken,
                    "the stream ended without an event",
                ));
            }
            Ok(None) => {
                answer.keep_connection();
                return Ok(());
            }
        };
        reader.push(&bytes);
        loop {
            let event = reader.next_event();
            let event = event.map_err(|error| {
                run.dismiss();
                failure(RunOutcome::Broken, error)
            })?;
            let Some(event) = event else { break };
            let mut labels = event
                .other_lines
                .iter()
                .map(|line| gateway.endpoints.decode_version_line(line));
            let label = labels.find(|label| *label != VersionLabel::Missing);
            let checked = checked_version(gateway, start, version, label.unwrap_or_default());
            version = checked.map_err(|error| {
                run.dismiss();
                failure(RunOutcome::Broken, error)
            })?;
            if !event.is_progress() {
                continue;
            }
            let last = gateway.schedule().last_event(start);
            let checked = event_sequence::check(last, event.number, event.has_data);
            let number = checked.map_err(|error| {
                run.dismiss();
                failure(RunOutcome::Broken, error)
            })?;
            run.record_output();
            reach::record_heard(gateway, &answer);
            record_event(gateway, start, &mut events);
            let effect = gateway
                .schedule()
                .on_event(start, number, event.data, version);
            let (outcome, cause) = match effect {
                EventEffect::Recorded => continue,
                EventEffect::Stale => (RunOutcome::Broken, "the run is no longer needed".into()),
                EventEffect::Truncated(error) => (RunOutcome::Broken, error.to_string()),
                EventEffect::TooLarge => {
                    let cause = "the output exceeds the record size of the log";
                    (RunOutcome::TooLarge, cause.into())
                }
            };
            run.dismiss();
            return Err(failure(outcome, cause));
        }
    }
}

/// Records an event with the load balancer, and the time since the last one as the engine's pace.
fn record_event(gateway: &Gateway, start: &RunStart, events: &mut StreamEvents) {
    let is_loading = is_loading(gateway, start);
    let (now, endpoint) = (clock::now(), &start.endpoint);
    let mut load_balancer = gateway.load_balancer();
    let elapsed = load_balancer.record_event(now, &endpoint.id, events);
    if events.is_first() {
        let taken = (!is_loading).then_some(elapsed);
        load_balancer.record_first_event(now, &endpoint.pool, &endpoint.id, taken);
    } else if !is_loading {
        load_balancer.record_pace(now, &endpoint.pool, &endpoint.id, elapsed);
    }
}

fn is_stalled(gateway: &Gateway, start: &RunStart, events: &StreamEvents) -> bool {
    let load_balancer = gateway.load_balancer();
    load_balancer.is_stalled(clock::now(), &start.endpoint.id, events)
}

fn silence_timeout(gateway: &Gateway, start: &RunStart) -> Duration {
    let timeout = if is_loading(gateway, start) {
        LOADING_SILENCE_TIMEOUT
    } else {
        SILENCE_TIMEOUT
    };
    extend_timeout(timeout, start)
}

/// Doubles a timeout for each run of the item that ended silently since its last event: if all
/// engines are slow, an item that is moved too soon never gets on.
fn extend_timeout(timeout: Duration, start: &RunStart) -> Duration {
    timeout * (1 << start.silent_runs.min(MAX_TIMEOUT_DOUBLINGS))
}

fn is_loading(gateway: &Gateway, start: &RunStart) -> bool {
    let model = start.job.model.as_ref();
    model.is_some_and(|model| gateway.plan().is_loading(&start.endpoint.id, model))
}
