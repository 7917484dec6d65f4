//! Endpoints that this instance coordinates: polling, slot queues and crash detection.

use std::time::Duration;

use compact_str::CompactString;
use indexmap::IndexMap;
use wisteriaford_proto::admission::HeldSlot;
use wisteriaford_proto::admission::SlotRequest;
use wisteriaford_proto::fleet::Availability;
use wisteriaford_proto::fleet::EndpointState;

use crate::admission::HeldGrant;
use crate::admission::QueueOutput;
use crate::admission::QueueSettings;
use crate::admission::QueuedSlotRequest;
use crate::admission::SlotDenial;
use crate::admission::SlotQueue;
use crate::event::EndpointReport;
use crate::event::PollFailure;
use crate::hash::hash_parts;
use crate::id::AttemptId;
use crate::id::CallerId;
use crate::id::EndpointId;
use crate::id::Fingerprint;
use crate::id::Incarnation;
use crate::id::InstanceId;
use crate::id::Version;
use crate::refusal::RefusalReason;
use crate::settings::Settings;
use crate::time::Timestamp;

/// Interval at which ingress instances renew the slots that they hold.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Polling interval for an endpoint that answers.
pub const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Polling interval for an endpoint that loads weights, short so that the next load starts soon.
pub const LOADING_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Polling interval for an endpoint whose last poll failed.
pub const POLL_RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which an unanswered poll is sent again.
pub const POLL_TIMEOUT: Duration = Duration::from_secs(8);
/// Consecutive polls without a valid answer after which an endpoint counts as down.
const UNANSWERED_POLLS_UNTIL_DOWN: u32 = 2;
/// Failed requests that are kept per endpoint, in case a crash is detected later.
const MAX_FAILED_REQUESTS: usize = 64;
/// Time after which a tracked request that is not renewed is dropped.
const TRACKED_REQUEST_TTL: Duration = Duration::from_secs(10);

/// Action or observation of the coordinator of an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub enum CoordinatorOutput {
    /// The slot queue of an endpoint granted or denied a slot.
    Queue(EndpointId, QueueOutput),
    /// The endpoint at this address has to be polled for its state.
    Poll(EndpointId, CompactString),
    /// The availability of an endpoint changed.
    AvailabilityChanged {
        /// Endpoint.
        endpoint: EndpointId,
        /// Availability before.
        from: Availability,
        /// Availability now.
        to: Availability,
        /// Cause, as a stable text.
        cause: &'static str,
    },
    /// An endpoint crashed while it ran these requests.
    Crashed {
        /// Endpoint.
        endpoint: EndpointId,
        /// Unique identifier of the crash.
        crash: CompactString,
        /// Requests in progress that are not known to have produced a token there.
        suspects: Vec<Fingerprint>,
        /// Requests in progress that had produced tokens there.
        progressed: Vec<Fingerprint>,
    },
    /// An endpoint now serves another model version.
    VersionChanged(EndpointId, Version),
}

/// Cause of the state in which slot requests wait until the coordinator has polled the endpoint.
const NOT_POLLED: &str = "not polled yet";

/// Request that waits for a slot or holds one.
struct TrackedRequest {
    fingerprint: Fingerprint,
    renewed_at: Timestamp,
    is_granted: bool,
}

/// Sources that report an endpoint as leaving; any one of them is enough.
#[derive(Clone, Copy, Debug, Default)]
struct LeavingSources {
    configuration: bool,
    list: bool,
    endpoint: bool,
}

impl LeavingSources {
    fn cause(self) -> Option<&'static str> {
        if self.configuration {
            Some("configuration")
        } else if self.list {
            Some("instance list")
        } else if self.endpoint {
            Some("endpoint")
        } else {
            None
        }
    }
}

/// One endpoint that this instance coordinates.
struct CoordinatedEndpoint {
    address: CompactString,
    queue: SlotQueue,
    tracked_requests: IndexMap<AttemptId, TrackedRequest>,
    /// Failed requests, and whether they had produced tokens.
    failed: Vec<(Fingerprint, bool)>,
    /// Whether an attempt has failed since the last poll that was answered.
    has_unexplained_failure: bool,
    next_poll_at: Timestamp,
    unanswered_polls: u32,
    leaving: LeavingSources,
    /// Whether the last report dates from before this process was paused.
    report_predates_pause: bool,
    report: Option<EndpointReport>,
    availability: Availability,
    cause: &'static str,
}

/// Endpoints that this instance coordinates.
pub struct Coordinator {
    seed: u64,
    endpoints: IndexMap<EndpointId, CoordinatedEndpoint>,
    outputs: Vec<CoordinatorOutput>,
}

impl Coordinator {
    /// Creates a coordinator without endpoints.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            endpoints: IndexMap::new(),
            outputs: Vec::new(),
        }
    }

    /// Returns whether this instance coordinates an endpoint.
    #[must_use]
    pub fn coordinates(&self, endpoint: &EndpointId) -> bool {
        self.endpoints.contains_key(endpoint)
    }

    /// Returns the endpoints that this instance coordinates.
    pub fn endpoints(&self) -> impl Iterator<Item = &EndpointId> {
        self.endpoints.keys()
    }

    /// Returns the last report of an endpoint that this instance coordinates.
    #[must_use]
    pub fn report(&self, endpoint: &EndpointId) -> Option<&EndpointReport> {
        self.endpoints.get(endpoint)?.report.as_ref()
    }

    /// Returns the availability of an endpoint that this instance coordinates.
    #[must_use]
    pub fn availability(&self, endpoint: &EndpointId) -> Option<Availability> {
        Some(self.endpoints.get(endpoint)?.availability)
    }

    /// Takes over an endpoint or applies its new settings; returns whether it was taken over.
    pub fn take_over(
        &mut self,
        now: Timestamp,
        settings: &Settings,
        endpoint: &EndpointId,
    ) -> bool {
        let Some(configured) = settings.endpoints.get(endpoint) else {
            return false;
        };
        let Some(queue_settings) = queue_settings(settings, endpoint) else {
            return false;
        };
        let weights = share_weights(settings);
        let is_new = !self.endpoints.contains_key(endpoint);
        if is_new {
            let seed = hash_parts(&[endpoint.as_str().as_bytes(), &self.seed.to_le_bytes()]);
            let queue = SlotQueue::new(now, queue_settings.clone(), seed);
            let coordinated = CoordinatedEndpoint::new(now, configured.address.clone(), queue);
            self.endpoints.insert(endpoint.clone(), coordinated);
        }
        if let Some(coordinated) = self.endpoints.get_mut(endpoint) {
            coordinated.address.clone_from(&configured.address);
            coordinated.queue.configure(queue_settings, &weights);
            coordinated.leaving.configuration = configured.leaving;
        }
        is_new
    }

    /// Gives up an endpoint; waiting requests are sent again to its new coordinator.
    pub fn give_up(&mut self, endpoint: &EndpointId) {
        self.endpoints.shift_remove(endpoint);
    }

    /// Sets whether the platform's instance list reports an endpoint as leaving.
    pub fn set_listed_leaving(&mut self, endpoint: &EndpointId, is_leaving: bool) {
        if let Some(coordinated) = self.endpoints.get_mut(endpoint) {
            coordinated.leaving.list = is_leaving;
        }
    }

    /// Stops granting slots of every endpoint until it has been polled again, for use after a pause
    /// of this process.
    pub fn invalidate_reports(&mut self, now: Timestamp) {
        for coordinated in self.endpoints.values_mut() {
            coordinated.report_predates_pause = true;
            coordinated.next_poll_at = now;
            coordinated.update_availability();
        }
    }

    /// Queues a request for a slot.
    ///
    /// # Errors
    ///
    /// Returns a denial if this instance doesn't coordinate the endpoint or its slot queue denies
    /// the request.
    pub fn request(
        &mut self,
        now: Timestamp,
        from: &InstanceId,
        request: &SlotRequest,
    ) -> Result<(), SlotDenial> {
        let endpoint = EndpointId::from(request.endpoint.as_str());
        let Some(coordinated) = self.endpoints.get_mut(&endpoint) else {
            return Err(SlotDenial {
                reason: RefusalReason::NotCoordinator,
                retry_after: None,
            });
        };
        let slot_request = queued_slot_request(now, from, request);
        let fingerprint = Fingerprint(request.fingerprint);
        let attempt = slot_request.attempt.clone();
        coordinated.queue.request(now, slot_request)?;
        coordinated.track_request(now, attempt, fingerprint, false);
        Ok(())
    }

    /// Releases a slot or cancels a waiting request.
    pub fn release(
        &mut self,
        now: Timestamp,
        endpoint: &EndpointId,
        attempt: &AttemptId,
        tokens: u32,
        failed: bool,
    ) {
        let Some(coordinated) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        coordinated.queue.release(now, attempt, tokens);
        let tracked = coordinated.tracked_requests.swap_remove(attempt);
        if !failed {
            return;
        }
        // The endpoint may have crashed: poll it at once and keep the request as a suspect.
        coordinated.next_poll_at = now;
        coordinated.has_unexplained_failure = true;
        if let Some(tracked) = tracked
            && coordinated.failed.len() < MAX_FAILED_REQUESTS
        {
            coordinated.failed.push((tracked.fingerprint, tokens > 0));
        }
    }

    /// Renews the slots that an instance holds.
    pub fn heartbeat(&mut self, now: Timestamp, from: &InstanceId, held: &[HeldSlot]) {
        for (endpoint, coordinated) in &mut self.endpoints {
            let held = held
                .iter()
                .filter(|slot| slot.endpoint == endpoint.as_str());
            let mut grants = Vec::new();
            for slot in held {
                let attempt = AttemptId::from(slot.attempt.as_str());
                let fingerprint = Fingerprint(slot.fingerprint);
                coordinated.track_request(now, attempt, fingerprint, true);
                grants.push(held_grant(slot));
            }
            if !grants.is_empty() {
                coordinated.queue.heartbeat(now, from, &grants);
            }
        }
    }

    /// Removes the grants and waiting requests of an instance that failed.
    pub fn remove_instance(&mut self, instance: &InstanceId) {
        for coordinated in self.endpoints.values_mut() {
            coordinated.queue.remove_instance(instance);
        }
    }

    /// Handles the result of polling an endpoint.
    pub fn on_poll_result(
        &mut self,
        now: Timestamp,
        endpoint: &EndpointId,
        result: Result<EndpointReport, PollFailure>,
    ) {
        let Some(coordinated) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        let version = coordinated.version();
        let crash = match result {
            Ok(report) => coordinated.on_report(now, report),
            Err(failure) => coordinated.on_poll_failure(now, failure),
        };
        if let Some(crash) = crash {
            self.outputs.push(CoordinatorOutput::Crashed {
                endpoint: endpoint.clone(),
                crash: CompactString::from(format!("{endpoint}@{}", crash.incarnation)),
                suspects: crash.suspects,
                progressed: crash.progressed,
            });
        }
        if coordinated.version() != version {
            let version = coordinated.version();
            let reached = CoordinatorOutput::VersionChanged(endpoint.clone(), version);
            self.outputs.push(reached);
        }
    }

    /// Polls the endpoints that are due and appends the outputs of their slot queues.
    pub fn poll(&mut self, now: Timestamp, outputs: &mut Vec<CoordinatorOutput>) {
        let mut queue_outputs = Vec::new();
        for (endpoint, coordinated) in &mut self.endpoints {
            if now >= coordinated.next_poll_at {
                coordinated.next_poll_at = now + POLL_TIMEOUT;
                let address = coordinated.address.clone();
                let poll = CoordinatorOutput::Poll(endpoint.clone(), address);
                self.outputs.push(poll);
            }
            if let Some((from, to)) = coordinated.update_availability() {
                self.outputs.push(CoordinatorOutput::AvailabilityChanged {
                    endpoint: endpoint.clone(),
                    from,
                    to,
                    cause: coordinated.cause,
                });
            }
            coordinated.queue.poll(now, &mut queue_outputs);
            coordinated.expire_tracked_requests(now);
            for output in queue_outputs.drain(..) {
                coordinated.on_queue_output(&output);
                let output = CoordinatorOutput::Queue(endpoint.clone(), output);
                self.outputs.push(output);
            }
        }
        outputs.append(&mut self.outputs);
    }

    /// Returns the state of an endpoint to publish to the fleet, once a poll has had a result.
    #[must_use]
    pub fn state(&self, endpoint: &EndpointId) -> Option<EndpointState> {
        let coordinated = self.endpoints.get(endpoint)?;
        let is_polled = coordinated.report.is_some() || coordinated.unanswered_polls > 0;
        is_polled.then(|| EndpointState {
            endpoint: endpoint.to_string(),
            version: coordinated.version().0,
            in_flight: u32::try_from(coordinated.queue.in_flight()).unwrap_or(u32::MAX),
            queued: u32::try_from(coordinated.queue.queued()).unwrap_or(u32::MAX),
            availability: coordinated.availability.into(),
            // Both are set by the exchange.
            sequence: 0,
            steward: String::new(),
        })
    }
}

/// A crash of an endpoint.
struct Crash {
    incarnation: Incarnation,
    suspects: Vec<Fingerprint>,
    progressed: Vec<Fingerprint>,
}

impl CoordinatedEndpoint {
    fn new(now: Timestamp, address: CompactString, queue: SlotQueue) -> Self {
        Self {
            address,
            queue,
            tracked_requests: IndexMap::new(),
            failed: Vec::new(),
            has_unexplained_failure: false,
            next_poll_at: now,
            unanswered_polls: 0,
            leaving: LeavingSources::default(),
            report_predates_pause: false,
            report: None,
            availability: Availability::Swapping,
            cause: NOT_POLLED,
        }
    }

    fn track_request(
        &mut self,
        now: Timestamp,
        attempt: AttemptId,
        fingerprint: Fingerprint,
        is_granted: bool,
    ) {
        let before = self.tracked_requests.get(&attempt);
        let was_granted = before.is_some_and(|tracked| tracked.is_granted);
        let tracked = TrackedRequest {
            fingerprint,
            renewed_at: now,
            is_granted: is_granted || was_granted,
        };
        self.tracked_requests.insert(attempt, tracked);
    }

    fn on_queue_output(&mut self, output: &QueueOutput) {
        match output {
            QueueOutput::Grant { attempt, .. } => {
                if let Some(tracked) = self.tracked_requests.get_mut(attempt) {
                    tracked.is_granted = true;
                }
            }
            QueueOutput::Deny { attempt, .. } => {
                self.tracked_requests.swap_remove(attempt);
            }
        }
    }

    fn expire_tracked_requests(&mut self, now: Timestamp) {
        self.tracked_requests
            .retain(|_, tracked| now.since(tracked.renewed_at) < TRACKED_REQUEST_TTL);
    }

    fn version(&self) -> Version {
        self.report.map_or(Version(0), |report| report.version)
    }

    fn on_report(&mut self, now: Timestamp, report: EndpointReport) -> Option<Crash> {
        let is_loading = report.loading_version > Version(0);
        self.next_poll_at = now
            + if is_loading {
                LOADING_POLL_INTERVAL
            } else {
                POLL_INTERVAL
            };
        self.unanswered_polls = 0;
        self.report_predates_pause = false;
        self.has_unexplained_failure = false;
        let before = self.report.replace(report);
        let restarted = before.filter(|before| before.incarnation != report.incarnation);
        if restarted.is_some() {
            // A new process answers, so the leaving state of the previous one no longer applies.
            self.leaving.endpoint = false;
        }
        // The flag is sticky, since a delayed report must not clear it.
        self.leaving.endpoint |= report.leaving;
        if restarted.is_none() {
            self.failed.clear();
        }
        restarted.and_then(|before| self.collect_crash(before.incarnation))
    }

    fn on_poll_failure(&mut self, now: Timestamp, failure: PollFailure) -> Option<Crash> {
        self.next_poll_at = now + POLL_RETRY_INTERVAL;
        match failure {
            PollFailure::Refused => self.unanswered_polls = UNANSWERED_POLLS_UNTIL_DOWN,
            PollFailure::TimedOut | PollFailure::Malformed => self.unanswered_polls += 1,
        }
        // Only a refused connection shows that the process is gone; an endpoint that doesn't answer
        // may just be unreachable.
        if failure != PollFailure::Refused {
            return None;
        }
        let incarnation = self.report.as_ref()?.incarnation;
        self.collect_crash(incarnation)
    }

    fn collect_crash(&mut self, incarnation: Incarnation) -> Option<Crash> {
        let mut suspects = Vec::new();
        let mut progressed = Vec::new();
        for (fingerprint, has_made_tokens) in self.failed.drain(..) {
            if has_made_tokens {
                progressed.push(fingerprint);
            } else {
                suspects.push(fingerprint);
            }
        }
        let granted = self
            .tracked_requests
            .values()
            .filter(|tracked| tracked.is_granted);
        suspects.extend(granted.map(|tracked| tracked.fingerprint));
        self.tracked_requests
            .retain(|_, tracked| !tracked.is_granted);
        suspects.sort_unstable();
        suspects.dedup();
        progressed.retain(|fingerprint| suspects.binary_search(fingerprint).is_err());
        progressed.sort_unstable();
        progressed.dedup();
        let is_crash = !suspects.is_empty() || !progressed.is_empty();
        is_crash.then_some(Crash {
            incarnation,
            suspects,
            progressed,
        })
    }

    fn update_availability(&mut self) -> Option<(Availability, Availability)> {
        let (now, cause) = if self.unanswered_polls >= UNANSWERED_POLLS_UNTIL_DOWN {
            (Availability::Down, "no answer to polls")
        } else if let Some(cause) = self.leaving.cause() {
            (Availability::EndpointLeaving, cause)
        } else if self.report.is_none() || self.report_predates_pause {
            (Availability::Swapping, NOT_POLLED)
        } else {
            (Availability::Serving, "answers polls")
        };
        self.queue
            .set_endpoint(self.version(), self.queue_availability(now));
        if now == self.availability {
            return None;
        }
        let before = self.availability;
        self.availability = now;
        self.cause = cause;
        Some((before, now))
    }

    /// Returns the availability that the slot queue is given.
    ///
    /// After a failed attempt, requests wait until a poll is answered: a request that is granted a
    /// slot of a crashed endpoint would become a suspect of that crash.
    fn queue_availability(&self, availability: Availability) -> Availability {
        if self.has_unexplained_failure && availability == Availability::Serving {
            return Availability::Swapping;
        }
        availability
    }
}

fn queue_settings(settings: &Settings, endpoint: &EndpointId) -> Option<QueueSettings> {
    let configured = settings.endpoints.get(endpoint)?;
    let pool = settings.pools.get(&configured.pool)?;
    Some(QueueSettings {
        slots: configured.slots,
        interactive_cap_percent: pool.interactive_cap_percent,
        queue_limit: pool.queue_limit,
        heartbeat_interval: HEARTBEAT_INTERVAL,
    })
}

fn share_weights(settings: &Settings) -> IndexMap<CallerId, u32> {
    let callers = settings.callers.values();
    callers
        .map(|caller| (caller.id.clone(), caller.share_weight))
        .collect()
}

fn queued_slot_request(
    now: Timestamp,
    from: &InstanceId,
    request: &SlotRequest,
) -> QueuedSlotRequest {
    QueuedSlotRequest {
        attempt: AttemptId::from(request.attempt.as_str()),
        from: from.clone(),
        caller: CallerId::from(request.caller.as_str()),
        priority: request.priority(),
        expected_tokens: request.expected_tokens,
        rank: request.rank,
        deadline: now + Duration::from_millis(request.deadline_in_ms),
        oldest_version: Version(request.oldest_version),
        alone: request.alone,
    }
}

fn held_grant(slot: &HeldSlot) -> HeldGrant {
    HeldGrant {
        attempt: AttemptId::from(slot.attempt.as_str()),
        caller: CallerId::from(slot.caller.as_str()),
        priority: slot.priority(),
        alone: slot.alone,
    }
}
