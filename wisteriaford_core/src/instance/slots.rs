//! Slot messages, handled as the coordinator of an endpoint and as the ingress of a request.

use wisteriaford_proto::admission::AdmissionMessage;
use wisteriaford_proto::admission::SlotGrant;
use wisteriaford_proto::admission::SlotHeartbeat;
use wisteriaford_proto::admission::SlotRefusal;
use wisteriaford_proto::admission::SlotRefusalReason;
use wisteriaford_proto::admission::admission_message::Body as AdmissionBody;
use wisteriaford_proto::peer::peer_message::Body;

use super::Instance;
use super::status::availability_name;
use crate::admission::QueueOutput;
use crate::admission::SlotDenial;
use crate::coordinator::CoordinatorOutput;
use crate::counters::Counter;
use crate::diagnostic::Diagnostic;
use crate::effect::Effect;
use crate::id::AttemptId;
use crate::id::EndpointId;
use crate::id::Fingerprint;
use crate::id::InstanceId;
use crate::quarantine::Verdict;
use crate::time::Timestamp;

impl Instance {
    pub(super) fn on_admission_message(
        &mut self,
        now: Timestamp,
        from: &InstanceId,
        message: &AdmissionMessage,
    ) {
        match &message.body {
            Some(AdmissionBody::Request(request)) => {
                if let Err(denial) = self.coordinator.request(now, from, request) {
                    let attempt = AttemptId::from(request.attempt.as_str());
                    let endpoint = EndpointId::from(request.endpoint.as_str());
                    self.send_slot_refusal(now, from, &attempt, &endpoint, denial);
                }
            }
            Some(AdmissionBody::Grant(grant)) => self.on_slot_granted(now, grant),
            Some(AdmissionBody::Release(release)) => {
                let endpoint = EndpointId::from(release.endpoint.as_str());
                let attempt = AttemptId::from(release.attempt.as_str());
                let failed = release.failed;
                self.coordinator
                    .release(now, &endpoint, &attempt, release.tokens, failed);
            }
            Some(AdmissionBody::Refusal(refusal)) => self.on_slot_refused(now, refusal),
            Some(AdmissionBody::Heartbeat(heartbeat)) => {
                self.coordinator.heartbeat(now, from, &heartbeat.held);
            }
            None => {}
        }
    }

    pub(super) fn send_slot_refusal(
        &mut self,
        now: Timestamp,
        to: &InstanceId,
        attempt: &AttemptId,
        endpoint: &EndpointId,
        denial: SlotDenial,
    ) {
        let retry_after = denial.retry_after.unwrap_or_default();
        let refusal = SlotRefusal {
            attempt: attempt.to_string(),
            endpoint: endpoint.to_string(),
            reason: SlotRefusalReason::from(denial.reason).into(),
            retry_after_ms: u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX),
        };
        self.send_admission(now, to, AdmissionBody::Refusal(refusal));
    }

    /// Polls coordinated endpoints and lets their queues grant and deny slots.
    pub(super) fn poll_coordinator(&mut self, now: Timestamp) {
        let mut outputs = Vec::new();
        self.coordinator.poll(now, &mut outputs);
        for output in outputs {
            self.on_coordinator_output(now, output);
        }
    }

    pub(super) fn on_coordinator_output(&mut self, now: Timestamp, output: CoordinatorOutput) {
        match output {
            CoordinatorOutput::Queue(endpoint, output) => {
                self.on_queue_output(now, &endpoint, output);
            }
            CoordinatorOutput::Poll(endpoint, address) => {
                self.effects.push(Effect::Poll { endpoint, address });
            }
            CoordinatorOutput::AvailabilityChanged {
                endpoint,
                from,
                to,
                cause,
            } => self.emit_diagnostic(Diagnostic::EndpointChanged {
                endpoint,
                from: availability_name(from),
                to: availability_name(to),
                cause,
            }),
            CoordinatorOutput::Crashed {
                endpoint,
                crash,
                suspects,
                progressed,
            } => {
                self.counters.add(Counter::EndpointCrashes, 1);
                self.quarantine.record_crash(now, &crash, &suspects);
                self.quarantine
                    .record_crash_after_progress(now, &crash, &progressed);
                self.emit_diagnostic(Diagnostic::EndpointCrashed {
                    endpoint: endpoint.clone(),
                    suspects: suspects.len() + progressed.len(),
                });
                self.report_quarantined(now, &endpoint, &suspects);
                self.report_quarantined(now, &endpoint, &progressed);
            }
            CoordinatorOutput::VersionChanged(endpoint, version) => {
                self.emit_diagnostic(Diagnostic::SwapDone { endpoint, version });
            }
        }
    }

    /// Emits a diagnostic for each crash suspect that is refused from now on.
    pub(super) fn report_quarantined(
        &mut self,
        now: Timestamp,
        endpoint: &EndpointId,
        suspects: &[Fingerprint],
    ) {
        let Some(pool) = self.settings.pool_of(endpoint) else {
            return;
        };
        let quarantine_time = pool.quarantine;
        for &suspect in suspects {
            let verdict = self.quarantine.verdict(now, suspect, quarantine_time);
            if matches!(verdict, Verdict::Refused { .. }) {
                let fingerprint = suspect.0;
                self.emit_diagnostic(Diagnostic::RequestQuarantined { fingerprint });
            }
        }
    }

    pub(super) fn on_queue_output(
        &mut self,
        now: Timestamp,
        endpoint: &EndpointId,
        output: QueueOutput,
    ) {
        match output {
            QueueOutput::Grant {
                attempt,
                to,
                ttl,
                version,
            } => {
                let grant = SlotGrant {
                    attempt: attempt.to_string(),
                    endpoint: endpoint.to_string(),
                    ttl_ms: u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX),
                    version: version.0,
                };
                self.send_admission(now, &to, AdmissionBody::Grant(grant));
            }
            QueueOutput::Deny {
                attempt,
                to,
                denial,
            } => self.send_slot_refusal(now, &to, &attempt, endpoint, denial),
        }
    }

    /// Sends a message about slots, or handles it directly if it is for this instance.
    pub(super) fn send_admission(&mut self, now: Timestamp, to: &InstanceId, body: AdmissionBody) {
        let message = AdmissionMessage { body: Some(body) };
        if *to == self.identity.id {
            let local_id = self.identity.id.clone();
            self.on_admission_message(now, &local_id, &message);
            return;
        }
        self.send(to, Body::Admission(message));
    }

    /// Renews the slots held by this instance at the coordinators of their endpoints.
    pub(super) fn send_slot_heartbeats(&mut self, now: Timestamp) {
        for (coordinator, held) in self.held_slots_by_coordinator() {
            let heartbeat = SlotHeartbeat { held };
            self.send_admission(now, &coordinator, AdmissionBody::Heartbeat(heartbeat));
        }
    }
}
