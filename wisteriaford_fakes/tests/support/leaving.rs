//! Endpoints that leave, as the configuration, the platform's list or they themselves say.

use std::time::Duration;

use wisteriaford_core::id::AvailabilityZone;
use wisteriaford_core::id::InstanceId;
use wisteriaford_core::id::Region;
use wisteriaford_core::membership::ListedInstance;
use wisteriaford_core::membership::ListedState;
use wisteriaford_core::time::Timestamp;

use super::World;
use super::count;
use super::setting;
use super::setting::ENGINES;
use super::setting::REGION;

/// Time after which an endpoint that is leaving gets nothing new.
const LEFT_WITHIN: Duration = Duration::from_secs(8);

/// Who says that an endpoint is leaving.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(super) enum Source {
    Configuration,
    List,
    Engine,
}

/// An endpoint that is leaving, and what it had begun when that had to be known.
pub(super) struct Leaving {
    since: Timestamp,
    begun: Option<u64>,
}

impl World {
    pub(super) fn note_configured_leaving(&mut self, leaving: Option<usize>) {
        let is_said = |(engine, source): &(usize, Source)| {
            *source != Source::Configuration || leaving == Some(*engine)
        };
        self.leaving.retain(|key, _| is_said(key));
        if let Some(engine) = leaving {
            self.note_leaving(engine, Source::Configuration);
        }
    }

    pub(super) fn note_leaving(&mut self, engine: usize, source: Source) {
        let since = self.fleet.now();
        let leaving = Leaving { since, begun: None };
        self.leaving.entry((engine, source)).or_insert(leaving);
    }

    /// Lets the platform's list say that an engine is leaving.
    pub(crate) fn list_leaving(&mut self, engine: usize) {
        let live = self.instances.iter().map(|id| ListedInstance {
            id: id.clone(),
            address: format!("{id}:7401").into(),
            availability_zone: AvailabilityZone::from("a"),
            region: Region::from(REGION),
            state: ListedState::Live,
        });
        let mut listed: Vec<ListedInstance> = live.collect();
        self.note_leaving(engine, Source::List);
        let left = self.leaving.keys().filter(|(_, by)| *by == Source::List);
        listed.extend(left.map(|(engine, _)| ListedInstance {
            id: InstanceId::from(setting::engine_name(*engine).as_str()),
            address: setting::engine_address(*engine).into(),
            availability_zone: AvailabilityZone::from("a"),
            region: Region::from(REGION),
            state: ListedState::Leaving,
        }));
        self.fleet.listed = Some(listed);
        count("endpoints listed as leaving", 1);
    }

    /// Lets the platform's list say that an engine is live.
    pub(crate) fn list_back(&mut self, engine: usize) {
        self.leaving.shift_remove(&(engine, Source::List));
        let name = setting::engine_name(engine);
        for listed in self.fleet.listed.iter_mut().flatten() {
            if listed.id.as_str() == name {
                listed.state = ListedState::Live;
            }
        }
    }

    /// Lists one engine as live again where every engine is leaving: none of them may get new
    /// work, so no step could go on.
    pub(super) fn list_one_back(&mut self) {
        let is_leaving = |engine: &usize| self.leaving.keys().any(|(left, _)| left == engine);
        if !(0..ENGINES).all(|engine| is_leaving(&engine)) {
            return;
        }
        let by_list_alone = |engine: &usize| {
            let configured = self.leaving.contains_key(&(*engine, Source::Configuration));
            self.leaving.contains_key(&(*engine, Source::List)) && !configured
        };
        // An engine that says so itself is replaced when the faults end.
        let listed = (0..ENGINES).find(by_list_alone);
        if let Some(engine) = listed {
            self.list_back(engine);
        }
    }

    /// Lets an engine say itself that it is leaving.
    pub(crate) fn engine_leaves(&mut self, engine: usize) {
        let address = setting::engine_address(engine);
        let fake = &mut self.fleet.engines[address.as_str()];
        if fake.is_down || fake.is_unresponsive {
            return;
        }
        fake.is_leaving = true;
        self.note_leaving(engine, Source::Engine);
        count("endpoints leaving", 1);
    }

    pub(super) fn check_leaving(&mut self) {
        let now = self.fleet.now();
        let fake = |index: usize| &self.fleet.engines[setting::engine_address(index).as_str()];
        self.leaving
            .retain(|(engine, by), _| *by != Source::Engine || fake(*engine).is_leaving);
        for ((engine, by), leaving) in &mut self.leaving {
            let begun = fake(*engine).attempts_received;
            if *by == Source::Engine && fake(*engine).is_unresponsive {
                // It cannot say so while nothing of it gets through.
                leaving.since = now;
                leaving.begun = None;
            }
            if now.since(leaving.since) < LEFT_WITHIN {
                continue;
            }
            let known = *leaving.begun.get_or_insert(begun);
            assert_eq!(
                begun, known,
                "new work for engine-{engine}, leaving by {by:?}"
            );
            count("looks at endpoints that left", 1);
        }
    }
}
