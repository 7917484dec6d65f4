//! Requests that were in progress when an endpoint crashed.
//!
//! One crash makes a request a suspect, which runs alone from then on; a second, distinct crash
//! has it refused. A request that had made tokens at the endpoint is the less likely cause: it
//! runs beside others until its second crash, and is refused at its third. A run that completes clears it of the crashes seen so far, and the clearing
//! spreads like the sightings, so that an innocent request isn't condemned by another instance.

use std::time::Duration;

use compact_str::CompactString;
use indexmap::IndexMap;
use wisteriaford_proto::fleet::Suspect;

use crate::id::Fingerprint;
use crate::time::Timestamp;

/// Suspects that are remembered.
pub const MAX_SUSPECTS: usize = 4_096;
/// Crashes that are remembered for each suspect.
pub const MAX_CRASHES: usize = 8;
/// Sightings in one round of gossip.
pub const MAX_UPDATES: usize = 32;
/// Rounds of gossip that a sighting is sent in.
pub const GOSSIP_ROUNDS: u32 = 8;
/// Distinct crashes at which a request is refused.
pub const CRASHES_TO_REFUSE: usize = 2;
/// Distinct crashes at which a request is refused that had made tokens at some of them.
pub const CRASHES_TO_REFUSE_PROGRESSED: usize = 3;

/// Whether a request may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It may run beside others.
    Free,
    /// It may run with nothing else at the endpoint.
    Alone,
    /// It may not run.
    Refused {
        /// When it may be sent again.
        until: Timestamp,
    },
}

#[derive(Clone, Debug)]
struct Sighting {
    seen: Timestamp,
    cleared: bool,
    progressed: bool,
    rounds_left: u32,
}

type Sightings = IndexMap<CompactString, Sighting>;

/// Suspects that an instance knows of.
#[derive(Clone, Debug)]
pub struct Quarantine {
    retention: Duration,
    suspects: IndexMap<Fingerprint, Sightings>,
}

impl Quarantine {
    /// Returns an empty quarantine that forgets sightings after `retention`.
    #[must_use]
    pub fn new(retention: Duration) -> Self {
        Self {
            retention,
            suspects: IndexMap::new(),
        }
    }

    /// Sets how long sightings count: the longest quarantine of any pool.
    pub fn set_retention(&mut self, retention: Duration) {
        self.retention = retention;
    }

    /// Takes the requests that were in progress at a crash.
    ///
    /// `crash` must be the same at every instance that saw it and distinct for each crash, such
    /// as the endpoint with the incarnation that ended.
    pub fn note_crash(&mut self, now: Timestamp, crash: &str, fingerprints: &[Fingerprint]) {
        for &fingerprint in fingerprints {
            self.insert(fingerprint, crash, now, false, false);
        }
    }

    /// Takes the requests that had made tokens at an endpoint before it crashed.
    pub fn note_crash_after_progress(
        &mut self,
        now: Timestamp,
        crash: &str,
        fingerprints: &[Fingerprint],
    ) {
        for &fingerprint in fingerprints {
            self.insert(fingerprint, crash, now, false, true);
        }
    }

    /// Takes a sighting from another instance.
    pub fn merge(&mut self, now: Timestamp, suspect: &Suspect) {
        let seen = now - Duration::from_millis(suspect.age_ms);
        if now.since(seen) >= self.retention {
            return;
        }
        let fingerprint = Fingerprint(suspect.fingerprint);
        let (cleared, progressed) = (suspect.cleared, suspect.progressed);
        self.insert(fingerprint, &suspect.crash, seen, cleared, progressed);
    }

    /// Clears a request that completed of the crashes seen so far.
    pub fn note_completed(&mut self, fingerprint: Fingerprint) {
        let Some(sightings) = self.suspects.get_mut(&fingerprint) else {
            return;
        };
        for sighting in sightings.values_mut().filter(|s| !s.cleared) {
            sighting.cleared = true;
            sighting.rounds_left = GOSSIP_ROUNDS;
        }
    }

    /// Returns whether a request may run; a refusal lasts `hold` after the last crash.
    #[must_use]
    pub fn verdict(&self, now: Timestamp, fingerprint: Fingerprint, hold: Duration) -> Verdict {
        let Some(sightings) = self.suspects.get(&fingerprint) else {
            return Verdict::Free;
        };
        let hold = hold.min(self.retention);
        let counted = sightings.values().filter(|s| !s.cleared);
        let counted = counted.filter(|s| now.since(s.seen) < hold);
        let counted: Vec<_> = counted.collect();
        let total = counted.len();
        let fresh = counted.iter().filter(|s| !s.progressed).count();
        let Some(last) = counted.iter().map(|s| s.seen).max() else {
            return Verdict::Free;
        };
        if fresh >= CRASHES_TO_REFUSE || total >= CRASHES_TO_REFUSE_PROGRESSED {
            return Verdict::Refused { until: last + hold };
        }
        if fresh > 0 || total > 1 {
            return Verdict::Alone;
        }
        Verdict::Free
    }

    /// Returns sightings to gossip, the least sent first, and forgets what has aged out.
    pub fn updates(&mut self, now: Timestamp) -> Vec<Suspect> {
        self.forget_aged(now);
        let mut pending: Vec<_> = self
            .suspects
            .iter_mut()
            .flat_map(|(&id, sightings)| sightings.iter_mut().map(move |(c, s)| (id, c, s)))
            .filter(|(_, _, sighting)| sighting.rounds_left > 0)
            .collect();
        pending.sort_by_key(|(_, _, sighting)| std::cmp::Reverse(sighting.rounds_left));
        pending.truncate(MAX_UPDATES);
        let updates = pending.into_iter().map(|(fingerprint, crash, sighting)| {
            sighting.rounds_left -= 1;
            Suspect {
                fingerprint: fingerprint.0,
                crash: crash.to_string(),
                age_ms: u64::try_from(now.since(sighting.seen).as_millis()).unwrap_or(u64::MAX),
                cleared: sighting.cleared,
                progressed: sighting.progressed,
            }
        });
        updates.collect()
    }

    /// Returns the number of suspects that are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns whether there are no suspects.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    fn insert(
        &mut self,
        fingerprint: Fingerprint,
        crash: &str,
        seen: Timestamp,
        cleared: bool,
        progressed: bool,
    ) {
        self.make_room(fingerprint);
        let sightings = self.suspects.entry(fingerprint).or_default();
        if sightings.len() >= MAX_CRASHES && !sightings.contains_key(crash) {
            sightings.shift_remove_index(0);
        }
        let sighting = sightings
            .entry(CompactString::from(crash))
            .or_insert(Sighting {
                seen,
                cleared: false,
                progressed,
                rounds_left: GOSSIP_ROUNDS,
            });
        if sighting.progressed && !progressed {
            sighting.progressed = false;
            sighting.rounds_left = GOSSIP_ROUNDS;
        }
        if cleared && !sighting.cleared {
            sighting.cleared = true;
            sighting.rounds_left = GOSSIP_ROUNDS;
        }
    }

    fn make_room(&mut self, fingerprint: Fingerprint) {
        if self.suspects.len() < MAX_SUSPECTS || self.suspects.contains_key(&fingerprint) {
            return;
        }
        self.suspects.shift_remove_index(0);
    }

    fn forget_aged(&mut self, now: Timestamp) {
        let retention = self.retention;
        self.suspects.retain(|_, sightings| {
            sightings.retain(|_, sighting| now.since(sighting.seen) < retention);
            !sightings.is_empty()
        });
    }
}
