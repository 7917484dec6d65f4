//! Checks that endpoints receive no new work after the configuration, the platform's list or the
//! engine reported them as leaving.

use std::time::Duration;

use wisteriaford_core::id::AvailabilityZone;
use wisteriaford_core::id::InstanceId;
use wisteriaford_core::id::Region;
use wisteriaford_core::membership::ListedInstance;
use wisteriaford_core::membership::ListedState;
use wisteriaford_core::time::Timestamp;

use super::Harness;
use super::count;
use super::fixture;
use super::fixture::ENGINES;
use super::fixture::REGION;

/// Time after which a leaving endpoint must receive no new work.
const LEAVING_DEADLINE: Duration = Duration::from_secs(8);

/// Source of the information that an endpoint is leaving.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(super) enum Source {
    Configuration,
    List,
    Engine,
}

/// Start of the leaving state, and the number of attempts received when the deadline passed.
pub(super) struct Leaving {
    since: Timestamp,
    attempts: Option<u64>,
}

impl Harness {
    pub(super) fn record_configured_leaving(&mut self, leaving: Option<usize>) {
        let is_current = |(engine, source): &(usize, Source)| {
            *source != Source::Configuration || leaving == Some(*engine)
        };
        self.leaving.retain(|key, _| is_current(key));
        if let Some(engine) = leaving {
            self.record_leaving(engine, Source::Configuration);
        }
    }

    pub(super) fn record_leaving(&mut self, engine: usize, source: Source) {
        let since = self.fleet.now();
        let leaving = Leaving {
            since,
            attempts: None,
        };
        self.leaving.entry((engine, source)).or_insert(leaving);
    }

    /// Lists an engine as leaving in the platform's list.
    pub(crate) fn list_leaving(&mut self, engine: usize) {
        let live = self.instances.iter().map(|id| ListedInstance {
            id: id.clone(),
            address: format!("{id}:7401").into(),
            availability_zone: AvailabilityZone::from("a"),
            region: Region::from(REGION),
            state: ListedState::Live,
        });
        let mut listed: Vec<ListedInstance> = live.collect();
        self.record_leaving(engine, Source::List);
        let leaving = self
            .leaving
            .keys()
            .filter(|(_, source)| *source == Source::List);
        listed.extend(leaving.map(|(engine, _)| ListedInstance {
            id: InstanceId::from(fixture::engine_name(*engine).as_str()),
            address: fixture::engine_address(*engine).into(),
            availability_zone: AvailabilityZone::from("a"),
            region: Region::from(REGION),
            state: ListedState::Leaving,
        }));
        self.fleet.listed = Some(listed);
        count("endpoints listed as leaving", 1);
    }

    /// Lists an engine as live in the platform's list.
    pub(crate) fn list_live(&mut self, engine: usize) {
        self.leaving.shift_remove(&(engine, Source::List));
        let name = fixture::engine_name(engine);
        for listed in self.fleet.listed.iter_mut().flatten() {
            if listed.id.as_str() == name {
                listed.state = ListedState::Live;
            }
        }
    }

    /// Lists one engine as live if all engines are leaving. Otherwise no engine may receive new
    /// work and no step can progress.
    pub(super) fn list_one_live(&mut self) {
        let is_leaving = |engine: &usize| self.leaving.keys().any(|(id, _)| id == engine);
        if !(0..ENGINES).all(|engine| is_leaving(&engine)) {
            return;
        }
        let is_only_listed = |engine: &usize| {
            let configured = self.leaving.contains_key(&(*engine, Source::Configuration));
            self.leaving.contains_key(&(*engine, Source::List)) && !configured
        };
        // Engines that report themselves as leaving are replaced when the faults end.
        let listed = (0..ENGINES).find(is_only_listed);
        if let Some(engine) = listed {
            self.list_live(engine);
        }
    }

    /// Makes an engine report that it is leaving.
    pub(crate) fn report_leaving(&mut self, engine: usize) {
        let address = fixture::engine_address(engine);
        let fake = &mut self.fleet.engines[address.as_str()];
        if fake.is_down || fake.is_unresponsive {
            return;
        }
        fake.is_leaving = true;
        self.record_leaving(engine, Source::Engine);
        count("endpoints leaving", 1);
    }

    pub(super) fn check_leaving(&mut self) {
        let now = self.fleet.now();
        let fake = |index: usize| &self.fleet.engines[fixture::engine_address(index).as_str()];
        self.leaving
            .retain(|(engine, source), _| *source != Source::Engine || fake(*engine).is_leaving);
        for ((engine, source), leaving) in &mut self.leaving {
            let attempts = fake(*engine).attempts_received;
            if *source == Source::Engine && fake(*engine).is_unresponsive {
                // An unresponsive engine cannot report that it is leaving.
                leaving.since = now;
                leaving.attempts = None;
            }
            if now.since(leaving.since) < LEAVING_DEADLINE {
                continue;
            }
            let expected = *leaving.attempts.get_or_insert(attempts);
            assert_eq!(
                attempts, expected,
                "new work for engine-{engine}, which is leaving according to {source:?}"
            );
            count("checks of leaving endpoints", 1);
        }
    }
}
