//! Requests that may have crashed endpoints: which of them may run, and what is told to the other
//! instances.
//!
//! A gateway sees only that a run was lost: its connection broke, or nothing came for long. The
//! report of such a run stays unconfirmed until the endpoint is known to have crashed: nothing
//! listens at its address, or its entry was removed or replaced.

mod completions;
mod record;

use std::time::Duration;

use compact_str::CompactString;
use indexmap::IndexMap;
use indexmap::IndexSet;
use wisteriaford_proto::fleet::Suspect;

use crate::gateway::endpoint::Endpoint;
use crate::gateway::suspects::completions::Completions;
pub use crate::gateway::suspects::record::QuarantineRecord;
pub use crate::gateway::suspects::record::RecordError;
pub use crate::gateway::suspects::record::StoredKeys;
pub use crate::gateway::suspects::record::decode_record;
pub use crate::gateway::suspects::record::decode_reports;
pub use crate::gateway::suspects::record::encode_reports;
pub use crate::gateway::suspects::record::report_record;
pub use crate::gateway::suspects::record::trial_record;
use crate::id::Fingerprint;
use crate::quarantine::CrashedRun;
use crate::quarantine::LOG_POLICY;
use crate::quarantine::Quarantine;
use crate::quarantine::Verdict;
use crate::time::Timestamp;

/// Time for which crashes count against a request; one that crashes endpoints again and again is
/// tried once in each refusal time until then.
pub const CRASH_RETENTION: Duration = Duration::from_secs(3_600);
/// Silence after which a run counts as lost even though its connection is open.
pub const LOST_SILENCE: Duration = Duration::from_secs(1);
/// Time for which another instance's trial keeps this one from running the request.
pub const TRIAL_TTL: Duration = Duration::from_secs(2);
/// Maximum time for which a crash keeps an item from running.
const MAX_OWED_DELAY: Duration = Duration::from_secs(4);
/// Delay after which a request may come again that was refused because a repeat of it is running.
const REPEAT_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Time from the loss of a run to the confirmation that its endpoint crashed: an entry expires some
/// seconds after the crash, and later if the list of endpoints is out of reach.
const CONFIRMATION_TIME: Duration = Duration::from_secs(20);
/// Time from a broken connection until a port without a listener still tells of the same crash.
const PROBE_TIME: Duration = Duration::from_secs(2);
/// Maximum number of crashes kept.
const MAX_CRASHES: usize = 256;
/// Maximum number of lost runs kept for each endpoint.
const MAX_LOST_RUNS: usize = 64;

/// How a run ended without an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Loss {
    /// The connection broke.
    Broken,
    /// Nothing came for [`LOST_SILENCE`] or longer.
    Silent,
}

/// How it became known that an endpoint crashed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CrashSign {
    /// Nothing listens at its address.
    PortClosed,
    /// Its entry was removed or replaced by that of another incarnation.
    EntryGone,
}

/// When and how an instance learned of a crash.
#[derive(Clone, Copy, Debug)]
struct KnownCrash {
    at: Timestamp,
    sign: CrashSign,
}

/// Trial of another instance.
#[derive(Clone, Copy, Debug)]
struct ForeignTrial {
    seen_at: Timestamp,
    until: Timestamp,
}

/// Run that ended without an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LostRun {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Start of the run.
    pub began_at: Timestamp,
    /// End of the run.
    pub ended_at: Timestamp,
    /// Whether the run had produced output.
    pub progressed: bool,
    /// How it ended.
    pub loss: Loss,
}

/// Whether a request may run now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// It may run.
    Run,
    /// It may run while no repeat runs at this instance; this instance now counts as running it.
    RunAlone,
    /// Like [`Admission::RunAlone`], but the instance must acquire the trial in the log first.
    RunOnTrial,
    /// It may not run.
    Refuse {
        /// Time until it may be sent again.
        retry_after: Duration,
    },
}

/// Effect of a crash that became known.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CrashEffect {
    /// Number of runs that were lost at the endpoint.
    pub lost_runs: usize,
    /// Requests that are refused from now on.
    pub refused: Vec<Fingerprint>,
}

/// Returns the id of the crash that ends an endpoint's incarnation, the same at every instance.
#[must_use]
pub fn crash_id(endpoint: &Endpoint) -> CompactString {
    endpoint.incarnation()
}

/// Suspects known to a gateway, and the runs whose endpoints may have crashed.
#[derive(Clone, Debug)]
pub struct Suspects {
    quarantine: Quarantine,
    completions: Completions,
    /// Lost runs by the id of the crash that would have ended them.
    lost_runs: IndexMap<CompactString, Vec<LostRun>>,
    /// Known crashes, oldest first.
    crashes: IndexMap<CompactString, KnownCrash>,
    /// Requests that may run only once at a time and are running here.
    running_alone: IndexSet<Fingerprint>,
    /// Trials of other instances.
    trials: IndexMap<Fingerprint, ForeignTrial>,
}

impl Default for Suspects {
    fn default() -> Self {
        Self {
            quarantine: Quarantine::new(LOG_POLICY, CRASH_RETENTION),
            completions: Completions::default(),
            lost_runs: IndexMap::new(),
            crashes: IndexMap::new(),
            running_alone: IndexSet::new(),
            trials: IndexMap::new(),
        }
    }
}

impl Suspects {
    /// Returns whether a request may run now; if only alone, it counts as running until
    /// [`Suspects::end_alone`].
    pub fn admit(&mut self, now: Timestamp, fingerprint: Fingerprint) -> Admission {
        let verdict = self.quarantine.verdict(now, fingerprint, CRASH_RETENTION);
        let admission = match verdict {
            Verdict::Unrestricted => return Admission::Run,
            Verdict::Refused { until } => {
                let retry_after = until.since(now);
                return Admission::Refuse { retry_after };
            }
            Verdict::Alone => Admission::RunAlone,
            Verdict::Trial => Admission::RunOnTrial,
        };
        let is_tried = verdict == Verdict::Trial && self.is_tried_elsewhere(now, fingerprint);
        if is_tried || !self.running_alone.insert(fingerprint) {
            let retry_after = REPEAT_RETRY_AFTER;
            return Admission::Refuse { retry_after };
        }
        admission
    }

    /// Returns the time for which a request is refused whose trial was acquired: acquiring it takes a
    /// while, in which another instance's trial may have crashed an endpoint.
    #[must_use]
    pub fn refusal_after_trial(
        &self,
        now: Timestamp,
        fingerprint: Fingerprint,
    ) -> Option<Duration> {
        match self.quarantine.verdict(now, fingerprint, CRASH_RETENTION) {
            Verdict::Refused { until } => Some(until.since(now)),
            Verdict::Unrestricted | Verdict::Alone | Verdict::Trial => None,
        }
    }

    /// Returns whether an item, or the call of its scorer, may run now.
    ///
    /// Batch jobs bring no requests that crash endpoints by themselves, so that crashes delay them but
    /// never keep them from running: they are owed.
    pub fn admit_owed(&mut self, now: Timestamp, fingerprint: Fingerprint) -> Admission {
        let admission = self.admit(now, fingerprint);
        let is_due = || {
            let last_crash_at = self
                .quarantine
                .last_crash_at(now, fingerprint, CRASH_RETENTION);
            last_crash_at.is_some_and(|at| now.since(at) >= MAX_OWED_DELAY)
        };
        let is_refused = matches!(admission, Admission::Refuse { .. });
        if is_refused && is_due() && self.running_alone.insert(fingerprint) {
            return Admission::RunAlone;
        }
        admission
    }

    /// Records that a request that ran alone, or was about to, no longer runs.
    pub fn end_alone(&mut self, fingerprint: Fingerprint) {
        self.running_alone.swap_remove(&fingerprint);
    }

    /// Returns whether a crash counts against a request.
    #[must_use]
    pub fn is_suspect(&self, now: Timestamp, fingerprint: Fingerprint) -> bool {
        self.quarantine
            .is_suspect(now, fingerprint, CRASH_RETENTION)
    }

    /// Records that a request was answered, so that earlier crashes had another cause; returns
    /// whether there were any.
    pub fn record_completed(&mut self, now: Timestamp, fingerprint: Fingerprint) -> bool {
        self.completions.insert(now, fingerprint);
        self.quarantine.record_completed(fingerprint)
    }

    /// Records that an endpoint answered, so that it had not crashed before.
    pub fn record_answer(&mut self, now: Timestamp, endpoint: &Endpoint) {
        self.quarantine.record_answer(now, &crash_id(endpoint));
    }

    /// Records a run that was lost at an endpoint, as its entry was when the run began; `listed` is
    /// the entry by its name now.
    ///
    /// The end of an endpoint that is being taken out of service is no crash.
    pub fn record_lost(&mut self, endpoint: &Endpoint, listed: Option<&Endpoint>, run: LostRun) {
        // The entry by that name may be of another incarnation.
        let listed = listed.filter(|listed| listed.started_unix_ms == endpoint.started_unix_ms);
        let is_leaving = endpoint.leaving || listed.is_some_and(|listed| listed.leaving);
        if is_leaving || self.completions.contains(run.ended_at, run.fingerprint) {
            return;
        }
        let crash = crash_id(endpoint);
        if let Some(known) = self.crashes.get(&crash) {
            // An endpoint whose entry was removed some time ago may have left as planned.
            if run.loss == Loss::Silent || run.ended_at.since(known.at) < PROBE_TIME {
                self.report(&crash, &run, true);
            }
            return;
        }
        self.report(&crash, &run, false);
        remove_oldest_if_full(&mut self.lost_runs);
        let runs = self.lost_runs.entry(crash).or_default();
        if runs.len() < MAX_LOST_RUNS {
            runs.push(run);
        }
    }

    /// Discards the lost runs that began before a time, and those of their reports that were neither
    /// confirmed nor sent: this instance lost its own links.
    pub fn discard_lost(&mut self, began_before: Timestamp) {
        for runs in self.lost_runs.values_mut() {
            runs.retain(|run| run.began_at >= began_before);
        }
        self.lost_runs.retain(|_, runs| !runs.is_empty());
        self.quarantine.discard_unsent(began_before);
    }

    /// Records that an endpoint crashed, which confirms the reports of the runs lost there; returns
    /// `None` if the crash was known already.
    pub fn record_crash(
        &mut self,
        now: Timestamp,
        endpoint: &Endpoint,
        sign: CrashSign,
    ) -> Option<CrashEffect> {
        let crash = crash_id(endpoint);
        if self.crashes.contains_key(&crash) {
            return None;
        }
        let mut runs = self.lost_runs.shift_remove(&crash).unwrap_or_default();
        runs.retain(|run| is_caused_by_crash(now, run, sign));
        for run in &runs {
            self.report(&crash, run, true);
        }
        if sign == CrashSign::EntryGone {
            self.quarantine.confirm(&crash);
        }
        remove_oldest_if_full(&mut self.crashes);
        self.crashes.insert(crash, KnownCrash { at: now, sign });
        let mut refused: Vec<_> = runs.iter().map(|run| run.fingerprint).collect();
        refused.retain(|fingerprint| self.is_refused(now, *fingerprint));
        Some(CrashEffect {
            lost_runs: runs.len(),
            refused,
        })
    }

    /// Merges a crash report from another instance; returns whether it makes the request be refused
    /// from now on.
    pub fn merge(&mut self, now: Timestamp, suspect: &Suspect) -> bool {
        let fingerprint = Fingerprint(suspect.fingerprint);
        let was_refused = self.is_refused(now, fingerprint);
        self.quarantine.merge(now, suspect);
        // The crash of its endpoint ends a trial, once it is confirmed: until then, it doesn't count
        // in full against the next trial.
        let crashed_at = now - Duration::from_millis(suspect.age_ms);
        let trial = self.trials.get(&fingerprint);
        if !suspect.unconfirmed && trial.is_some_and(|trial| trial.seen_at <= crashed_at) {
            self.trials.swap_remove(&fingerprint);
        }
        let known = self.crashes.get(suspect.crash.as_str());
        if known.is_some_and(|known| known.sign == CrashSign::EntryGone) {
            self.quarantine.confirm(&suspect.crash);
        }
        self.clear_if_completed(now, fingerprint);
        !was_refused && self.is_refused(now, fingerprint)
    }

    /// Records that another instance runs a request on trial for `ttl` from now on.
    pub fn record_trial(&mut self, now: Timestamp, fingerprint: Fingerprint, ttl: Duration) {
        remove_oldest_if_full(&mut self.trials);
        let trial = ForeignTrial {
            seen_at: now,
            until: now + ttl.min(TRIAL_TTL),
        };
        self.trials.insert(fingerprint, trial);
    }

    /// Returns whether another instance runs a request on trial.
    pub fn is_tried_elsewhere(&mut self, now: Timestamp, fingerprint: Fingerprint) -> bool {
        self.trials.retain(|_, trial| trial.until > now);
        self.trials.contains_key(&fingerprint)
    }

    /// Returns crash reports to send to the other instances; empty once there are no more.
    pub fn take_reports(&mut self, now: Timestamp) -> Vec<Suspect> {
        self.quarantine.updates(now)
    }

    fn is_refused(&self, now: Timestamp, fingerprint: Fingerprint) -> bool {
        let verdict = self.quarantine.verdict(now, fingerprint, CRASH_RETENTION);
        matches!(verdict, Verdict::Refused { .. })
    }

    fn report(&mut self, crash: &str, run: &LostRun, confirmed: bool) {
        let run = CrashedRun {
            fingerprint: run.fingerprint,
            began_at: run.began_at,
            ended_at: run.ended_at,
            progressed: run.progressed,
            confirmed,
        };
        self.quarantine.record_run(crash, &run);
        self.clear_if_completed(run.ended_at, run.fingerprint);
    }

    fn clear_if_completed(&mut self, now: Timestamp, fingerprint: Fingerprint) {
        if self.completions.contains(now, fingerprint) {
            self.quarantine.record_completed(fingerprint);
        }
    }
}

/// Returns whether a run may have ended because its endpoint crashed.
fn is_caused_by_crash(now: Timestamp, run: &LostRun, sign: CrashSign) -> bool {
    let elapsed = now.since(run.ended_at);
    match sign {
        // A silent endpoint whose port is closed now was not dark before.
        CrashSign::PortClosed => run.loss == Loss::Broken && elapsed < PROBE_TIME,
        CrashSign::EntryGone => elapsed < CONFIRMATION_TIME,
    }
}

fn remove_oldest_if_full<K, V>(map: &mut IndexMap<K, V>)
where
    K: std::hash::Hash + Eq,
{
    if map.len() >= MAX_CRASHES {
        map.shift_remove_index(0);
    }
}
