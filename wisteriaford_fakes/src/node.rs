//! One instance of a fleet, as its machine sees it.

use indexmap::IndexMap;
use wisteriaford_core::effect::Effect;
use wisteriaford_core::event::Event;
use wisteriaford_core::event::Identity;
use wisteriaford_core::event::LogStream;
use wisteriaford_core::id::Offset;
use wisteriaford_core::instance::Instance;
use wisteriaford_core::time::Timestamp;

/// What may decide in place of the core, so that another version is driven the same way.
pub trait Decide {
    /// Handles an event that happened at `now` and appends what is to be done to `effects`.
    fn handle(&mut self, now: Timestamp, event: Event, effects: &mut Vec<Effect>);
}

/// Makes what decides in place of the core.
pub type Maker = Box<dyn Fn(&Identity) -> Box<dyn Decide>>;

/// What an instance's process does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NodeState {
    /// It runs.
    Running,
    /// It is paused and does not know it.
    Frozen,
    /// It is gone.
    Gone,
}

/// One instance and what its machine holds for it.
pub(crate) struct Node {
    pub(crate) identity: Identity,
    pub(crate) instance: Instance,
    /// What decides in place of the core.
    pub(crate) other: Option<Box<dyn Decide>>,
    pub(crate) state: NodeState,
    /// Run of the process; what was scheduled for an earlier one is dropped.
    pub(crate) run: u64,
    /// Events that arrived while it was frozen.
    pub(crate) held: Vec<Event>,
    /// Where the log is read from next.
    pub(crate) log_from: IndexMap<LogStream, Offset>,
    /// Until when its reader rests after a read that brought records, and whether it is due then.
    pub(crate) log_rests: IndexMap<LogStream, (Timestamp, bool)>,
}
