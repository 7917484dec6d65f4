//! Faults of a fleet, switched while it runs.

use std::time::Duration;

use wisteriaford_core::event::AttemptEvent;
use wisteriaford_core::event::AttemptFailure;
use wisteriaford_core::event::Event;
use wisteriaford_core::event::LogStream;
use wisteriaford_core::id::InstanceId;
use wisteriaford_core::id::Offset;
use wisteriaford_proto::record::Record;

use super::Fleet;
use super::Item;
use crate::node::NodeState;

impl Fleet {
    /// Ends an instance's process at once.
    pub fn kill(&mut self, instance: &InstanceId) {
        if let Some(node) = self.nodes.get_mut(instance) {
            node.state = NodeState::Gone;
            node.held.clear();
        }
    }

    /// Starts a new process for an instance that is gone; it knows nothing.
    pub fn restart(&mut self, instance: &InstanceId) {
        let Some(node) = self.nodes.get(instance) else {
            return;
        };
        let identity = node.identity.clone();
        let zone = identity.availability_zone.as_str();
        self.kill(instance);
        self.start(identity.id.as_str(), zone, identity.region.as_str());
    }

    /// Pauses an instance's process; what arrives waits.
    pub fn freeze(&mut self, instance: &InstanceId) {
        if let Some(node) = self.nodes.get_mut(instance)
            && node.state == NodeState::Running
        {
            node.state = NodeState::Frozen;
        }
    }

    /// Lets a paused process go on; what arrived meanwhile is handled first.
    pub fn resume(&mut self, instance: &InstanceId) {
        let Some(node) = self.nodes.get_mut(instance) else {
            return;
        };
        if node.state != NodeState::Frozen {
            return;
        }
        node.state = NodeState::Running;
        for event in std::mem::take(&mut node.held) {
            self.handle(instance, event);
        }
    }

    /// Drops what one instance sends to another, in this direction alone.
    pub fn cut(&mut self, from: &InstanceId, to: &InstanceId) {
        self.cuts.push((from.clone(), to.clone()));
    }

    /// Ends all cuts.
    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    /// Crashes the engine at an address and starts it again after a while.
    pub fn crash_engine(&mut self, address: &str, restart_after: Option<Duration>) {
        let Some(engine) = self.engines.get_mut(address) else {
            return;
        };
        let was_loading = engine.loading.is_some();
        let broken = engine.crash();
        let incarnation = engine.incarnation.0;
        if was_loading {
            self.loads_running = self.loads_running.saturating_sub(1);
        }
        for (attempt, stream) in broken {
            if stream.is_silent {
                continue;
            }
            let failed = AttemptEvent::Failed(AttemptFailure::Broken);
            let at = self.now + self.settings.region_latency;
            let event = Event::Attempt(attempt, failed);
            let item = Item::Event(stream.to, stream.run, event);
            self.schedule.push(at, item);
        }
        if let Some(after) = restart_after {
            let at = self.now + after;
            let item = Item::Restart(address.into(), incarnation);
            self.schedule.push(at, item);
        }
    }

    /// Starts an engine that is gone again.
    pub fn restart_engine(&mut self, address: &str) {
        if let Some(engine) = self.engines.get_mut(address)
            && engine.is_down
        {
            engine.restart();
        }
    }

    /// Appends a record to the log as an operator's tool does; none if the answer is lost.
    pub fn append(&mut self, stream: LogStream, record: &Record) -> Option<Offset> {
        let offset = self.log.append(self.now, stream, record).ok();
        self.wake_readers(stream);
        offset
    }
}
