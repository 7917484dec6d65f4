//! Process of one instance of a fleet.

use indexmap::IndexMap;
use wisteriaford_core::effect::Effect;
use wisteriaford_core::event::Event;
use wisteriaford_core::event::InstanceIdentity;
use wisteriaford_core::event::LogStream;
use wisteriaford_core::id::Offset;
use wisteriaford_core::instance::Instance;
use wisteriaford_core::time::Timestamp;

/// Event handler that replaces the core, to run another implementation in the same simulation.
pub trait EventHandler {
    /// Handles an event that happened at `now` and appends the resulting effects to `effects`.
    fn handle(&mut self, now: Timestamp, event: Event, effects: &mut Vec<Effect>);
}

/// Creates the event handler that replaces the core of an instance.
pub type HandlerFactory = Box<dyn Fn(&InstanceIdentity) -> Box<dyn EventHandler>>;

/// State of an instance's process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NodeState {
    /// The process runs.
    Running,
    /// The process is suspended and cannot detect it.
    Paused,
    /// The process has ended.
    Stopped,
}

/// Instance with the state of its process and its log readers.
pub(crate) struct Node {
    pub(crate) identity: InstanceIdentity,
    pub(crate) instance: Instance,
    /// Handler that replaces the core, if any.
    pub(crate) custom_handler: Option<Box<dyn EventHandler>>,
    pub(crate) state: NodeState,
    /// Number of this run of the process. Actions scheduled for an earlier run are dropped.
    pub(crate) run: u64,
    /// Events that arrived while the process was paused.
    pub(crate) pending_events: Vec<Event>,
    /// Offset of the next read, by log stream.
    pub(crate) log_offsets: IndexMap<LogStream, Offset>,
    /// End of the reader's pause after a read that returned records, and whether a read is
    /// scheduled for that time.
    pub(crate) log_pauses: IndexMap<LogStream, (Timestamp, bool)>,
}
