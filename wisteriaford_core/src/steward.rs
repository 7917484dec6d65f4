//! Endpoints that this instance looks after: polls, queues for slots, crashes.

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
use crate::admission::SlotAsk;
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

/// Interval at which entries renew the slots that they hold.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Interval of polls of an endpoint that answers.
pub const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Interval of polls of an endpoint that loads weights, so that the next load can begin soon.
pub const LOADING_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Interval of polls of an endpoint that does not answer.
pub const POLL_RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which a poll without an answer is sent again.
pub const POLL_TIMEOUT: Duration = Duration::from_secs(8);
/// Polls without an answer in time after which an endpoint is taken as down.
const SILENT_POLLS: u32 = 2;
/// Requests whose fingerprints are kept after they failed, for a crash seen later.
const MAX_FAILED: usize = 64;
/// Time after which a fingerprint that nobody renews is forgotten.
const FINGERPRINT_TTL: Duration = Duration::from_secs(10);

/// What the steward of an endpoint found out.
#[derive(Clone, Debug, PartialEq)]
pub enum StewardOutput {
    /// The queue of an endpoint grants or denies a slot.
    Queue(EndpointId, QueueOutput),
    /// Ask the endpoint at this address for its state.
    Poll(EndpointId, CompactString),
    /// The availability of an endpoint changed.
    Changed {
        /// Endpoint.
        endpoint: EndpointId,
        /// Availability before.
        from: Availability,
        /// Availability now.
        to: Availability,
        /// Stable name of the cause.
        cause: &'static str,
    },
    /// An endpoint crashed under these requests.
    Crashed {
        /// Endpoint.
        endpoint: EndpointId,
        /// Unique name of the crash.
        crash: CompactString,
        /// Requests in progress that had made no token there, as far as is known.
        suspects: Vec<Fingerprint>,
        /// Requests in progress that had made tokens there.
        progressed: Vec<Fingerprint>,
    },
    /// An endpoint reached another version.
    Reached(EndpointId, Version),
}

/// Cause of the state in which asks wait until a new steward knows the endpoint.
const NOT_POLLED: &str = "not polled yet";

/// Fingerprint of a request that waits for a slot or holds one.
struct Known {
    fingerprint: Fingerprint,
    renewed_at: Timestamp,
    is_granted: bool,
}

/// Who says that an endpoint is leaving; one is enough.
#[derive(Clone, Copy, Debug, Default)]
struct LeavingBy {
    configuration: bool,
    list: bool,
    endpoint: bool,
}

impl LeavingBy {
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

/// One endpoint that this instance looks after.
struct Stewarded {
    address: CompactString,
    queue: SlotQueue,
    fingerprints: IndexMap<AttemptId, Known>,
    /// Requests that failed, and whether they had made tokens.
    failed: Vec<(Fingerprint, bool)>,
    /// Whether an attempt failed that no answered poll explains yet.
    is_in_doubt: bool,
    next_poll_at: Timestamp,
    silent_polls: u32,
    leaving: LeavingBy,
    /// Whether the last report is older than a pause of this process.
    is_distrusted: bool,
    report: Option<EndpointReport>,
    availability: Availability,
    cause: &'static str,
}

/// Endpoints that this instance looks after.
pub struct Stewards {
    seed: u64,
    endpoints: IndexMap<EndpointId, Stewarded>,
    outputs: Vec<StewardOutput>,
}

impl Stewards {
    /// Returns a steward of nothing.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            endpoints: IndexMap::new(),
            outputs: Vec::new(),
        }
    }

    /// Returns whether this instance looks after an endpoint.
    #[must_use]
    pub fn holds(&self, endpoint: &EndpointId) -> bool {
        self.endpoints.contains_key(endpoint)
    }

    /// Returns the endpoints that this instance looks after.
    pub fn endpoints(&self) -> impl Iterator<Item = &EndpointId> {
        self.endpoints.keys()
    }

    /// Returns the last report of an endpoint that this instance looks after.
    #[must_use]
    pub fn report(&self, endpoint: &EndpointId) -> Option<&EndpointReport> {
        self.endpoints.get(endpoint)?.report.as_ref()
    }

    /// Returns the availability of an endpoint that this instance looks after.
    #[must_use]
    pub fn availability(&self, endpoint: &EndpointId) -> Option<Availability> {
        Some(self.endpoints.get(endpoint)?.availability)
    }

    /// Takes an endpoint over, or its new settings; returns whether it is new.
    pub fn take(&mut self, now: Timestamp, settings: &Settings, endpoint: &EndpointId) -> bool {
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
            let stewarded = Stewarded::new(now, configured.address.clone(), queue);
            self.endpoints.insert(endpoint.clone(), stewarded);
        }
        if let Some(stewarded) = self.endpoints.get_mut(endpoint) {
            stewarded.address.clone_from(&configured.address);
            stewarded.queue.configure(queue_settings, &weights);
            stewarded.leaving.configuration = configured.leaving;
        }
        is_new
    }

    /// Gives an endpoint up; those that wait ask its new steward.
    pub fn leave(&mut self, endpoint: &EndpointId) {
        self.endpoints.shift_remove(endpoint);
    }

    /// Takes whether the platform's list says that an endpoint is leaving.
    pub fn set_listed_leaving(&mut self, endpoint: &EndpointId, is_leaving: bool) {
        if let Some(stewarded) = self.endpoints.get_mut(endpoint) {
            stewarded.leaving.list = is_leaving;
        }
    }

    /// Grants nothing until each endpoint was polled again, after a pause of this process.
    pub fn distrust_reports(&mut self, now: Timestamp) {
        for stewarded in self.endpoints.values_mut() {
            stewarded.is_distrusted = true;
            stewarded.next_poll_at = now;
            stewarded.update_availability();
        }
    }

    /// Takes a request for a slot.
    ///
    /// # Errors
    ///
    /// Denies it if this instance does not look after the endpoint, or as the queue says.
    pub fn request(
        &mut self,
        now: Timestamp,
        from: &InstanceId,
        request: &SlotRequest,
    ) -> Result<(), SlotDenial> {
        let endpoint = EndpointId::from(request.endpoint.as_str());
        let Some(stewarded) = self.endpoints.get_mut(&endpoint) else {
            return Err(SlotDenial {
                reason: RefusalReason::NotSteward,
                retry_after: None,
            });
        };
        let ask = slot_ask(now, from, request);
        let fingerprint = Fingerprint(request.fingerprint);
        let attempt = ask.attempt.clone();
        stewarded.queue.request(now, ask)?;
        stewarded.know(now, attempt, fingerprint, false);
        Ok(())
    }

    /// Takes a slot back, or a place in the queue.
    pub fn release(
        &mut self,
        now: Timestamp,
        endpoint: &EndpointId,
        attempt: &AttemptId,
        tokens: u32,
        failed: bool,
    ) {
        let Some(stewarded) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        stewarded.queue.release(now, attempt, tokens);
        let fingerprint = stewarded.fingerprints.swap_remove(attempt);
        if !failed {
            return;
        }
        // The endpoint may be gone: look at once, and remember whom to suspect.
        stewarded.next_poll_at = now;
        stewarded.is_in_doubt = true;
        if let Some(known) = fingerprint
            && stewarded.failed.len() < MAX_FAILED
        {
            stewarded.failed.push((known.fingerprint, tokens > 0));
        }
    }

    /// Renews the slots that an instance holds.
    pub fn heartbeat(&mut self, now: Timestamp, from: &InstanceId, held: &[HeldSlot]) {
        for (endpoint, stewarded) in &mut self.endpoints {
            let held = held
                .iter()
                .filter(|slot| slot.endpoint == endpoint.as_str());
            let mut grants = Vec::new();
            for slot in held {
                let attempt = AttemptId::from(slot.attempt.as_str());
                let fingerprint = Fingerprint(slot.fingerprint);
                stewarded.know(now, attempt, fingerprint, true);
                grants.push(held_grant(slot));
            }
            if !grants.is_empty() {
                stewarded.queue.heartbeat(now, from, &grants);
            }
        }
    }

    /// Drops what an instance that failed held or waited for.
    pub fn forget_instance(&mut self, instance: &InstanceId) {
        for stewarded in self.endpoints.values_mut() {
            stewarded.queue.forget_instance(instance);
        }
    }

    /// Takes the answer of an endpoint to a poll.
    pub fn polled(
        &mut self,
        now: Timestamp,
        endpoint: &EndpointId,
        result: Result<EndpointReport, PollFailure>,
    ) {
        let Some(stewarded) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        let version = stewarded.version();
        let crash = match result {
            Ok(report) => stewarded.reported(now, report),
            Err(failure) => stewarded.poll_failed(now, failure),
        };
        if let Some(crash) = crash {
            self.outputs.push(StewardOutput::Crashed {
                endpoint: endpoint.clone(),
                crash: CompactString::from(format!("{endpoint}@{}", crash.incarnation)),
                suspects: crash.suspects,
                progressed: crash.progressed,
            });
        }
        if stewarded.version() != version {
            let version = stewarded.version();
            let reached = StewardOutput::Reached(endpoint.clone(), version);
            self.outputs.push(reached);
        }
    }

    /// Polls what is due and lets the queues grant and deny.
    pub fn poll(&mut self, now: Timestamp, outputs: &mut Vec<StewardOutput>) {
        let mut queue_outputs = Vec::new();
        for (endpoint, stewarded) in &mut self.endpoints {
            if now >= stewarded.next_poll_at {
                stewarded.next_poll_at = now + POLL_TIMEOUT;
                let address = stewarded.address.clone();
                let poll = StewardOutput::Poll(endpoint.clone(), address);
                self.outputs.push(poll);
            }
            if let Some((from, to)) = stewarded.update_availability() {
                self.outputs.push(StewardOutput::Changed {
                    endpoint: endpoint.clone(),
                    from,
                    to,
                    cause: stewarded.cause,
                });
            }
            stewarded.queue.poll(now, &mut queue_outputs);
            stewarded.forget_fingerprints(now);
            for output in queue_outputs.drain(..) {
                stewarded.note_queue_output(&output);
                let output = StewardOutput::Queue(endpoint.clone(), output);
                self.outputs.push(output);
            }
        }
        outputs.append(&mut self.outputs);
    }

    /// Returns the state of an endpoint to be spread, once it was polled.
    #[must_use]
    pub fn state(&self, endpoint: &EndpointId) -> Option<EndpointState> {
        let stewarded = self.endpoints.get(endpoint)?;
        let is_known = stewarded.report.is_some() || stewarded.silent_polls > 0;
        is_known.then(|| EndpointState {
            endpoint: endpoint.to_string(),
            version: stewarded.version().0,
            in_flight: u32::try_from(stewarded.queue.in_flight()).unwrap_or(u32::MAX),
            queued: u32::try_from(stewarded.queue.queued()).unwrap_or(u32::MAX),
            availability: stewarded.availability.into(),
            // The exchange sets both.
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

impl Stewarded {
    fn new(now: Timestamp, address: CompactString, queue: SlotQueue) -> Self {
        Self {
            address,
            queue,
            fingerprints: IndexMap::new(),
            failed: Vec::new(),
            is_in_doubt: false,
            next_poll_at: now,
            silent_polls: 0,
            leaving: LeavingBy::default(),
            is_distrusted: false,
            report: None,
            availability: Availability::Swapping,
            cause: NOT_POLLED,
        }
    }

    fn know(
        &mut self,
        now: Timestamp,
        attempt: AttemptId,
        fingerprint: Fingerprint,
        is_granted: bool,
    ) {
        let before = self.fingerprints.get(&attempt);
        let was_granted = before.is_some_and(|known| known.is_granted);
        let known = Known {
            fingerprint,
            renewed_at: now,
            is_granted: is_granted || was_granted,
        };
        self.fingerprints.insert(attempt, known);
    }

    fn note_queue_output(&mut self, output: &QueueOutput) {
        match output {
            QueueOutput::Grant { attempt, .. } => {
                if let Some(known) = self.fingerprints.get_mut(attempt) {
                    known.is_granted = true;
                }
            }
            QueueOutput::Deny { attempt, .. } => {
                self.fingerprints.swap_remove(attempt);
            }
        }
    }

    fn forget_fingerprints(&mut self, now: Timestamp) {
        self.fingerprints
            .retain(|_, known| now.since(known.renewed_at) < FINGERPRINT_TTL);
    }

    fn version(&self) -> Version {
        self.report.map_or(Version(0), |report| report.version)
    }

    fn reported(&mut self, now: Timestamp, report: EndpointReport) -> Option<Crash> {
        let is_loading = report.loading_version > Version(0);
        self.next_poll_at = now
            + if is_loading {
                LOADING_POLL_INTERVAL
            } else {
                POLL_INTERVAL
            };
        self.silent_polls = 0;
        self.is_distrusted = false;
        self.is_in_doubt = false;
        let before = self.report.replace(report);
        let restarted = before.filter(|before| before.incarnation != report.incarnation);
        if restarted.is_some() {
            // Another program answers now, so what was said of the one before is over.
            self.leaving.endpoint = false;
        }
        // It is remembered, as a report that lags must not take it back.
        self.leaving.endpoint |= report.leaving;
        if restarted.is_none() {
            self.failed.clear();
        }
        restarted.and_then(|before| self.crash(before.incarnation))
    }

    fn poll_failed(&mut self, now: Timestamp, failure: PollFailure) -> Option<Crash> {
        self.next_poll_at = now + POLL_RETRY_INTERVAL;
        match failure {
            PollFailure::Refused => self.silent_polls = SILENT_POLLS,
            PollFailure::TimedOut | PollFailure::Malformed => self.silent_polls += 1,
        }
        // Only a refused connection says that the program is gone; a silent one may be cut off.
        if failure != PollFailure::Refused {
            return None;
        }
        let incarnation = self.report.as_ref()?.incarnation;
        self.crash(incarnation)
    }

    fn crash(&mut self, incarnation: Incarnation) -> Option<Crash> {
        let mut suspects = Vec::new();
        let mut progressed = Vec::new();
        for (fingerprint, has_progressed) in self.failed.drain(..) {
            if has_progressed {
                progressed.push(fingerprint);
            } else {
                suspects.push(fingerprint);
            }
        }
        let granted = self.fingerprints.values().filter(|known| known.is_granted);
        suspects.extend(granted.map(|known| known.fingerprint));
        self.fingerprints.retain(|_, known| !known.is_granted);
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
        let (now, cause) = if self.silent_polls >= SILENT_POLLS {
            (Availability::Down, "no answer to polls")
        } else if let Some(cause) = self.leaving.cause() {
            (Availability::EndpointLeaving, cause)
        } else if self.report.is_none() || self.is_distrusted {
            (Availability::Swapping, NOT_POLLED)
        } else {
            (Availability::Serving, "answers polls")
        };
        self.queue
            .set_endpoint(self.version(), self.availability_to_queue(now));
        if now == self.availability {
            return None;
        }
        let before = self.availability;
        self.availability = now;
        self.cause = cause;
        Some((before, now))
    }

    /// Lets asks wait after a failed attempt until a poll is answered: who is granted a slot of an
    /// endpoint that has crashed would be taken for a suspect of that crash.
    fn availability_to_queue(&self, availability: Availability) -> Availability {
        if self.is_in_doubt && availability == Availability::Serving {
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

fn slot_ask(now: Timestamp, from: &InstanceId, request: &SlotRequest) -> SlotAsk {
    SlotAsk {
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
