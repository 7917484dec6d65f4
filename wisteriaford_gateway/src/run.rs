//! Runs of requests at endpoints: whether they may start, and how they end.

use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::net::TcpStream;
use wisteriaford_core::gateway::answer_match;
use wisteriaford_core::gateway::endpoint::Endpoint;
use wisteriaford_core::gateway::suspects::Admission;
use wisteriaford_core::gateway::suspects::CrashSign;
use wisteriaford_core::gateway::suspects::LOST_SILENCE;
use wisteriaford_core::gateway::suspects::Loss;
use wisteriaford_core::gateway::suspects::LostRun;
use wisteriaford_core::gateway::suspects::crash_id;
use wisteriaford_core::id::EndpointId;
use wisteriaford_core::id::Fingerprint;
use wisteriaford_core::time::Timestamp;

use crate::carry::CarryError;
use crate::client::CallError;
use crate::clock;
use crate::crash_reports;
use crate::reach;
use crate::sends::SendKind;
use crate::state::Gateway;

/// Delay of the probe of an endpoint whose connection broke, in which a crashed process closes its
/// port as well.
const PROBE_DELAY: Duration = Duration::from_millis(20);
/// Time limit for connecting to a probed endpoint, or for its answer.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// `Retry-After` of a request whose trial another instance holds, or that can't acquire one.
const TRIAL_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Permission to run a request once; a repeat that may only run alone is refused until it is dropped.
pub(crate) struct RunPermit {
    gateway: Arc<Gateway>,
    alone: Option<Fingerprint>,
}

impl RunPermit {
    /// Returns the permission of a request that [`Suspects::admit`] admitted.
    ///
    /// [`Suspects::admit`]: wisteriaford_core::gateway::suspects::Suspects::admit
    pub(crate) fn admitted(gateway: &Arc<Gateway>, fingerprint: Fingerprint, alone: bool) -> Self {
        Self {
            gateway: Arc::clone(gateway),
            alone: alone.then_some(fingerprint),
        }
    }

    /// Returns whether the request may run only alone. It is not retried then: whether its endpoint
    /// crashed again is known a little later.
    pub(crate) fn is_alone(&self) -> bool {
        self.alone.is_some()
    }
}

impl Drop for RunPermit {
    fn drop(&mut self) {
        if let Some(fingerprint) = self.alone {
            self.gateway.suspects().end_alone(fingerprint);
        }
    }
}

/// Returns the permission to run a request once, or the time until it may be sent again.
pub(crate) async fn admit(
    gateway: &Arc<Gateway>,
    fingerprint: Fingerprint,
) -> Result<RunPermit, Duration> {
    let admission = gateway.suspects().admit(clock::now(), fingerprint);
    let permit = |alone| RunPermit::admitted(gateway, fingerprint, alone);
    match admission {
        Admission::Run => Ok(permit(false)),
        Admission::RunAlone => Ok(permit(true)),
        Admission::RunOnTrial => {
            let permit = permit(true);
            if !crash_reports::acquire_trial(gateway, fingerprint).await {
                return Err(TRIAL_RETRY_AFTER);
            }
            // The guard must be released before the permit is dropped, which locks as well.
            let refusal = gateway
                .suspects()
                .refusal_after_trial(clock::now(), fingerprint);
            refusal.map_or(Ok(permit), |retry_after| {
                log::info!(
                    fingerprint:% = fingerprint, retry_after_ms = retry_after.as_millis();
                    "trial not used, the request was quarantined meanwhile"
                );
                Err(retry_after)
            })
        }
        Admission::Refuse { retry_after } => Err(retry_after),
    }
}

/// Run of a request at an endpoint, from sending it to the end of the answer.
///
/// A run that is dropped while nothing has come for long counts as lost: the caller has left, or its
/// deadline has passed.
pub(crate) struct Run {
    permit: RunPermit,
    endpoint: Endpoint,
    fingerprint: Fingerprint,
    began_at: Timestamp,
    last_output_at: Timestamp,
    progressed: bool,
    reports_drop: bool,
    has_ended: bool,
}

impl Run {
    /// Begins a run.
    pub(crate) fn begin(endpoint: &Endpoint, fingerprint: Fingerprint, permit: RunPermit) -> Self {
        let now = clock::now();
        Self {
            permit,
            endpoint: endpoint.clone(),
            fingerprint,
            began_at: now,
            last_output_at: now,
            progressed: false,
            reports_drop: true,
            has_ended: false,
        }
    }

    /// Lets the run be dropped at any time without counting as lost.
    pub(crate) fn ignore_drop(&mut self) {
        self.reports_drop = false;
    }

    /// Returns whether the request may run only alone.
    pub(crate) fn is_alone(&self) -> bool {
        self.permit.is_alone()
    }

    /// Returns the endpoint that the request runs at.
    pub(crate) fn endpoint(&self) -> &EndpointId {
        &self.endpoint.id
    }

    /// Returns the time at which the run began.
    pub(crate) fn began_at(&self) -> Timestamp {
        self.began_at
    }

    /// Returns the entry by which the endpoint was selected.
    pub(crate) fn entry(&self) -> &Endpoint {
        &self.endpoint
    }

    /// Records that output has arrived.
    pub(crate) fn record_output(&mut self) {
        self.last_output_at = clock::now();
        self.progressed = true;
    }

    /// Ends the run with a complete answer.
    pub(crate) fn complete(mut self) {
        self.has_ended = true;
        let gateway = &self.permit.gateway;
        let mut suspects = gateway.suspects();
        suspects.record_answer(clock::now(), &self.endpoint);
        let is_cleared = suspects.record_completed(clock::now(), self.fingerprint);
        drop(suspects);
        if is_cleared {
            log::info!(
                fingerprint:% = self.fingerprint, endpoint:% = self.endpoint.id;
                "request completed, crashes no longer count against it"
            );
            gateway.reports_wake.notify_one();
        }
    }

    /// Ends the run without a conclusion about the request.
    pub(crate) fn dismiss(&mut self) {
        self.has_ended = true;
    }

    /// Ends the run without an answer; a short silence is no loss: the deadline may have passed.
    pub(crate) fn lose(mut self, loss: Loss) {
        self.record_loss(loss);
    }

    fn record_loss(&mut self, loss: Loss) {
        let is_short = clock::now().since(self.last_output_at) < LOST_SILENCE;
        let is_noticed = std::mem::replace(&mut self.has_ended, true);
        if is_noticed || (loss == Loss::Silent && is_short) {
            return;
        }
        let gateway = &self.permit.gateway;
        if loss == Loss::Broken {
            gateway.links().record_lost(clock::now());
        }
        if gateway.is_excused(self.began_at) {
            log::info!(
                fingerprint:% = self.fingerprint, endpoint:% = self.endpoint.id, loss:? = loss;
                "run lost with the links of this instance"
            );
            return;
        }
        let view = gateway.view.load();
        let listed = view.endpoints.get(&self.endpoint.id);
        let run = LostRun {
            fingerprint: self.fingerprint,
            began_at: self.began_at,
            ended_at: clock::now(),
            progressed: self.progressed,
            loss,
        };
        gateway.suspects().record_lost(&self.endpoint, listed, run);
        let lost_at_us = run.ended_at.0;
        gateway
            .unverified_loss_at_us
            .store(lost_at_us, Ordering::Release);
        gateway.reports_wake.notify_one();
        log::info!(
            fingerprint:% = self.fingerprint, endpoint:% = self.endpoint.id, loss:? = loss,
            progressed = self.progressed, leaving = listed.map(|listed| listed.leaving),
            took_ms = run.ended_at.since(run.began_at).as_millis();
            "run lost, its endpoint may have crashed"
        );
        if loss == Loss::Broken && gateway.begin_probe(&self.endpoint) {
            tokio::spawn(probe(Arc::clone(gateway), self.endpoint.clone()));
        }
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        if self.reports_drop {
            self.record_loss(Loss::Silent);
        }
    }
}

/// Returns whether a request may begin to run at an endpoint: one under suspicion runs only where a
/// probe is answered, so that it is not blamed for an endpoint that is down already.
pub(crate) async fn may_begin(
    gateway: &Arc<Gateway>,
    endpoint: &Endpoint,
    fingerprint: Fingerprint,
) -> bool {
    let now = clock::now();
    let is_suspect = gateway.suspects().is_suspect(now, fingerprint);
    // A probe would count towards the limit of an endpoint.
    if !is_suspect || gateway.announced_limits().get(endpoint).is_some() {
        return true;
    }
    let request = gateway.endpoints.inspection_request(&endpoint.id);
    let sent_at = gateway.record_send(endpoint, SendKind::Probe);
    let answer = reach::call(gateway, endpoint, request, PROBE_TIMEOUT);
    let checked = answer.await.and_then(|answer| {
        let protocol = &gateway.endpoints;
        let metadata = protocol.decode_answer(answer.status, &answer.headers);
        answer_match::check_control(metadata.identity()).map_err(CallError::lost)?;
        Ok(metadata)
    });
    match checked {
        Ok(metadata) => {
            gateway.record_answer(endpoint, sent_at, &metadata);
            true
        }
        Err(error) => {
            log::info!(
                fingerprint:% = fingerprint, endpoint:% = endpoint.id, error:% = error;
                "probe before a run failed"
            );
            let mut load_balancer = gateway.load_balancer();
            load_balancer.record_unreachable(clock::now(), &endpoint.id);
            false
        }
    }
}

/// Finds out whether an endpoint crashed: nothing listens then at its address.
async fn probe(gateway: Arc<Gateway>, endpoint: Endpoint) {
    tokio::time::sleep(PROBE_DELAY).await;
    let is_crashed = is_port_closed(&gateway, &endpoint).await;
    gateway.end_probe(&endpoint);
    if is_crashed {
        record_crash(&gateway, &endpoint, CrashSign::PortClosed);
    }
}

/// Returns whether nothing listens at the address of an endpoint, as seen from an instance whose own links
/// work.
async fn is_port_closed(gateway: &Arc<Gateway>, endpoint: &Endpoint) -> bool {
    let began_at = clock::now();
    if !gateway.links().is_cut() {
        let connect = TcpStream::connect(endpoint.address);
        let connected = tokio::time::timeout(PROBE_TIMEOUT, connect).await;
        let is_refused = connected.is_ok_and(|connected| {
            connected.is_err_and(|error| error.kind() == io::ErrorKind::ConnectionRefused)
        });
        if !is_refused || reach::check(gateway, began_at).await {
            return is_refused;
        }
    }
    let connected = reach::connect_over_others(gateway, endpoint).await;
    matches!(connected, Err(CarryError::Unreached { .. }))
}

/// Records that an endpoint crashed.
pub(crate) fn record_crash(gateway: &Gateway, endpoint: &Endpoint, sign: CrashSign) {
    let effect = gateway
        .suspects()
        .record_crash(clock::now(), endpoint, sign);
    let Some(effect) = effect else {
        return;
    };
    gateway.metrics.endpoint_crashes.add(1, &[]);
    gateway
        .load_balancer()
        .record_crash(clock::now(), &endpoint.id);
    log::info!(
        endpoint:% = endpoint.id, crash:% = crash_id(endpoint), sign:? = sign,
        lost_runs = effect.lost_runs;
        "endpoint ended without notice"
    );
    for fingerprint in effect.refused {
        log::warn!(
            fingerprint:% = fingerprint, endpoint:% = endpoint.id;
            "request quarantined, it crashes endpoints"
        );
    }
    gateway.reports_wake.notify_one();
}
