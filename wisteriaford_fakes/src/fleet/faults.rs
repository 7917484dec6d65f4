//! Fault injection at run time.

use std::time::Duration;

use wisteriaford_core::event::AttemptEvent;
use wisteriaford_core::event::AttemptFailure;
use wisteriaford_core::event::Event;
use wisteriaford_core::event::LogStream;
use wisteriaford_core::id::InstanceId;
use wisteriaford_core::id::Offset;
use wisteriaford_proto::record::Record;

use super::Action;
use super::Fleet;
use crate::node::NodeState;

impl Fleet {
    /// Kills an instance's process without a graceful shutdown.
    pub fn kill(&mut self, instance: &InstanceId) {
        if let Some(node) = self.nodes.get_mut(instance) {
            node.state = NodeState::Stopped;
            node.pending_events.clear();
        }
    }

    /// Starts a new process for an instance, without any state of the previous one.
    pub fn restart(&mut self, instance: &InstanceId) {
        let Some(node) = self.nodes.get(instance) else {
            return;
        };
        let identity = node.identity.clone();
        let zone = identity.availability_zone.as_str();
        self.kill(instance);
        self.start(identity.id.as_str(), zone, identity.region.as_str());
    }

    /// Pauses an instance's process. Events that arrive meanwhile are kept.
    pub fn pause(&mut self, instance: &InstanceId) {
        if let Some(node) = self.nodes.get_mut(instance)
            && node.state == NodeState::Running
        {
            node.state = NodeState::Paused;
        }
    }

    /// Resumes a paused process, which first handles the events that arrived meanwhile.
    pub fn resume(&mut self, instance: &InstanceId) {
        let Some(node) = self.nodes.get_mut(instance) else {
            return;
        };
        if node.state != NodeState::Paused {
            return;
        }
        node.state = NodeState::Running;
        for event in std::mem::take(&mut node.pending_events) {
            self.handle(instance, event);
        }
    }

    /// Drops messages from one instance to another, in this direction only.
    pub fn block_link(&mut self, from: &InstanceId, to: &InstanceId) {
        self.blocked_links.push((from.clone(), to.clone()));
    }

    /// Unblocks all links.
    pub fn heal_links(&mut self) {
        self.blocked_links.clear();
    }

    /// Crashes the engine at an address and restarts it after a delay, if one is given.
    pub fn crash_engine(&mut self, address: &str, restart_after: Option<Duration>) {
        let Some(engine) = self.engines.get_mut(address) else {
            return;
        };
        let was_loading = engine.loading.is_some();
        let interrupted = engine.crash();
        let incarnation = engine.incarnation.0;
        if was_loading {
            self.loads_running = self.loads_running.saturating_sub(1);
        }
        for (attempt, stream) in interrupted {
            if stream.is_stalled {
                continue;
            }
            let failed = AttemptEvent::Failed(AttemptFailure::Broken);
            let at = self.now + self.settings.region_latency;
            let event = Event::Attempt(attempt, failed);
            let action = Action::Deliver(stream.client, stream.process_run, event);
            self.schedule.push(at, action);
        }
        if let Some(after) = restart_after {
            let at = self.now + after;
            let action = Action::RestartEngine(address.into(), incarnation);
            self.schedule.push(at, action);
        }
    }

    /// Restarts an engine that is down.
    pub fn restart_engine(&mut self, address: &str) {
        if let Some(engine) = self.engines.get_mut(address)
            && engine.is_down
        {
            engine.restart();
        }
    }

    /// Appends a record to the log on behalf of an operator.
    ///
    /// Returns none if the log is down or the answer is lost.
    pub fn append(&mut self, stream: LogStream, record: &Record) -> Option<Offset> {
        let offset = self.log.append(self.now, stream, record).ok();
        self.wake_readers(stream);
        offset
    }
}
