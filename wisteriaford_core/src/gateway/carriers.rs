//! Choice of the instances over which endpoints are connected to.

use std::cmp::Reverse;
use std::time::Duration;

use compact_str::CompactString;
use indexmap::IndexMap;

use crate::hash::rendezvous_rank;
use crate::time::Timestamp;

/// Time for which an instance that couldn't carry a connection comes last.
const FAILURE_TIME: Duration = Duration::from_secs(2);
/// Time for which an answer over an instance shows that it still reaches endpoints: what it carries in this
/// time after its links are cut may be lost.
const ANSWER_TIME: Duration = Duration::from_millis(100);
/// Time without an answer of an instance, since it was late with one, after which requests no longer wait for
/// it.
const MAX_LATE: Duration = Duration::from_secs(1);
/// Time for which the instance at either end of a carried connection is told of departures.
const PARTNER_TIME: Duration = Duration::from_secs(12);

/// What an instance knows of those that carry its connections, and of those whose it carries.
#[derive(Clone, Debug, Default)]
pub struct Carriers {
    /// Instance that carried the last connection.
    last_good: Option<CompactString>,
    failed_at: IndexMap<CompactString, Timestamp>,
    /// Time since which each instance that was late with an answer has not answered.
    late_since: IndexMap<CompactString, Timestamp>,
    /// Time of the last answer of an endpoint over each instance.
    answered_at: IndexMap<CompactString, Timestamp>,
    /// Time of the last carried connection with each instance, in either direction.
    partners: IndexMap<CompactString, Timestamp>,
}

impl Carriers {
    /// Returns up to `count` instances in the order in which they are asked to carry a connection.
    ///
    /// Each instance has an order of its own, so that the instances that are cut off spread over the
    /// others.
    pub fn order<'a>(
        &self,
        now: Timestamp,
        own_host: &str,
        hosts: impl Iterator<Item = &'a CompactString>,
        count: usize,
    ) -> Vec<&'a CompactString> {
        let mut ranked: Vec<_> = hosts
            .map(|host| {
                let failed_at = self.failed_at.get(host);
                let has_failed = failed_at.is_some_and(|at| now.since(*at) < FAILURE_TIME);
                let is_last_good = self.last_good.as_ref() == Some(host);
                let rank = Reverse(rendezvous_rank(own_host, host));
                (has_failed, !is_last_good, rank, host)
            })
            .collect();
        ranked.sort_unstable();
        ranked.truncate(count);
        ranked.into_iter().map(|(.., host)| host).collect()
    }

    /// Records that an instance carries a connection for this one.
    pub fn record_good(&mut self, now: Timestamp, host: &CompactString) {
        self.failed_at.swap_remove(host);
        self.record_answer(host);
        self.last_good = Some(host.clone());
        self.record_partner(now, host);
    }

    /// Records that an instance couldn't carry a connection.
    pub fn record_failed(&mut self, now: Timestamp, host: &CompactString) {
        self.failed_at
            .retain(|_, failed_at| now.since(*failed_at) < FAILURE_TIME);
        self.failed_at.insert(host.clone(), now);
        self.answered_at.swap_remove(host);
    }

    /// Records that an instance that was asked to carry a connection is late with its answer.
    pub fn record_late(&mut self, now: Timestamp, host: &CompactString) {
        self.late_since.entry(host.clone()).or_insert(now);
    }

    /// Records that an instance answered a request to carry a connection, whatever it answered.
    pub fn record_answer(&mut self, host: &CompactString) {
        self.late_since.swap_remove(host);
    }

    /// Returns whether a request that nothing else can serve waits for an instance that is late.
    #[must_use]
    pub fn may_wait(&self, now: Timestamp, host: &CompactString) -> bool {
        let late_since = self.late_since.get(host);
        late_since.is_none_or(|late_since| now.since(*late_since) < MAX_LATE)
    }

    /// Forgets the instances that `is_known` rejects.
    pub fn retain(&mut self, is_known: impl Fn(&CompactString) -> bool) {
        self.late_since.retain(|host, _| is_known(host));
    }

    /// Records that an endpoint answered over an instance.
    pub fn record_answered(&mut self, now: Timestamp, host: &CompactString) {
        self.answered_at
            .retain(|_, answered_at| now.since(*answered_at) < ANSWER_TIME);
        self.answered_at.insert(host.clone(), now);
    }

    /// Returns whether a connection over an instance may be used before anything has come over it.
    #[must_use]
    pub fn is_proven(&self, now: Timestamp, host: &CompactString) -> bool {
        let answered_at = self.answered_at.get(host);
        answered_at.is_some_and(|at| now.since(*at) < ANSWER_TIME)
    }

    /// Records that there is a carried connection between an instance and this one.
    pub fn record_partner(&mut self, now: Timestamp, host: &CompactString) {
        self.partners.retain(|_, at| now.since(*at) < PARTNER_TIME);
        self.partners.insert(host.clone(), now);
    }

    /// Returns the instances with which this one has, or lately had, carried connections.
    pub fn partners(&self, now: Timestamp) -> impl Iterator<Item = &CompactString> {
        let partners = self.partners.iter();
        let recent = partners.filter(move |(_, at)| now.since(**at) < PARTNER_TIME);
        recent.map(|(host, _)| host)
    }
}
