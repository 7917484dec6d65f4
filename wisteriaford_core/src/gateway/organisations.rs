//! Organisations that callers belong to, and the keys that prove it.
//!
//! Keys are kept and looked up by their digests. The time of a look-up depends only on digests, so it
//! tells nothing about how much of a guessed key is right, and no log line can show a key.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use sha2::Digest;
use sha2::Sha256;

use crate::gateway::job::JobHead;
use crate::gateway::route::Route;
use crate::gateway::route::RouteKind;
use crate::gateway::route::RouteTable;
use crate::id::OrganisationId;

/// Digest of a key.
#[derive(Clone, Copy, Eq, Hash, PartialEq)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Returns the digest of a key.
    #[must_use]
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }
}

/// Shows nothing of the digest, from which short keys can be guessed.
impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyDigest(..)")
    }
}

/// Customer that callers belong to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Organisation {
    /// Name of the organisation.
    pub id: OrganisationId,
    /// Priority of its requests, which takes precedence over that of their routes; 0 is the highest.
    pub priority: Option<u32>,
}

/// Organisations of a configuration and their keys.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Organisations {
    by_id: IndexMap<OrganisationId, Arc<Organisation>>,
    by_key: IndexMap<KeyDigest, Arc<Organisation>>,
}

impl Organisations {
    /// Adds an organisation with its keys. A key that is already known stays with its organisation.
    pub fn add(&mut self, organisation: Organisation, keys: impl IntoIterator<Item = KeyDigest>) {
        let id = organisation.id.clone();
        let organisation = self
            .by_id
            .entry(id)
            .or_insert_with(|| Arc::new(organisation));
        for key in keys {
            let entry = self.by_key.entry(key);
            entry.or_insert_with(|| Arc::clone(organisation));
        }
    }

    /// Returns the organisation that a key belongs to.
    #[must_use]
    pub fn find(&self, key: &KeyDigest) -> Option<&Arc<Organisation>> {
        self.by_key.get(key)
    }

    /// Returns an organisation by name.
    #[must_use]
    pub fn get(&self, id: &OrganisationId) -> Option<&Arc<Organisation>> {
        self.by_id.get(id)
    }

    /// Returns the number of organisations.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Returns whether there are no organisations.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }
}

/// How long an instance relies on keys without confirming that its configuration is the newest.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct KeyPolicy {
    /// Maximum age of the configuration for which a key that it has is valid; `None` for no maximum.
    pub max_acceptance_age: Option<Duration>,
    /// Maximum age of the configuration for which a key that it doesn't have is refused for good.
    pub max_refusal_age: Duration,
}

/// Why a request isn't accepted from its sender.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum KeyRefusal {
    /// The newest configuration doesn't have the key.
    UnknownKey,
    /// A newer configuration may decide otherwise.
    NotCurrent,
}

impl KeyPolicy {
    /// Returns who sends a request: `sender` according to a configuration of an age, if `is_allowed`
    /// allows it.
    ///
    /// Where nobody needs a key, a sender whose key may have been removed is anonymous, unless the
    /// answer depends on the key.
    ///
    /// # Errors
    ///
    /// Fails if the sender isn't allowed, or a newer configuration may decide otherwise.
    pub fn decide(
        &self,
        sender: Sender,
        age: Duration,
        depends_on_key: bool,
        is_allowed: impl Fn(&Sender) -> bool,
    ) -> Result<Sender, KeyRefusal> {
        let is_expired = self.max_acceptance_age.is_some_and(|max| age > max);
        let may_be_known = age > self.max_refusal_age;
        let is_unsure = match sender {
            Sender::Unrestricted => return Ok(sender),
            Sender::Anonymous => may_be_known,
            Sender::Member(_) => is_expired,
        };
        if is_unsure && depends_on_key {
            return Err(KeyRefusal::NotCurrent);
        }
        let sender = if is_expired {
            Sender::Anonymous
        } else {
            sender
        };
        if is_allowed(&sender) {
            return Ok(sender);
        }
        Err(if is_expired || may_be_known {
            KeyRefusal::NotCurrent
        } else {
            KeyRefusal::UnknownKey
        })
    }
}

/// Sender of a request, as far as its key tells.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Sender {
    /// The configuration has no organisations, so that nobody needs a key.
    Unrestricted,
    /// Somebody without a valid key.
    Anonymous,
    /// Somebody with a key of an organisation.
    Member(Arc<Organisation>),
}

impl Sender {
    /// Returns the sender's organisation.
    #[must_use]
    pub fn organisation(&self) -> Option<&OrganisationId> {
        match self {
            Self::Member(organisation) => Some(&organisation.id),
            Self::Unrestricted | Self::Anonymous => None,
        }
    }

    /// Returns whether the sender may use a route.
    #[must_use]
    pub fn may_use(&self, route: &Route) -> bool {
        route.is_public || *self != Self::Anonymous
    }

    /// Returns the priority of the sender's requests on a route.
    #[must_use]
    pub fn priority(&self, route: &Route) -> u32 {
        let own = match self {
            Self::Member(organisation) => organisation.priority,
            Self::Unrestricted | Self::Anonymous => None,
        };
        own.unwrap_or(route.priority)
    }

    /// Returns whether a batch job exists for the sender.
    ///
    /// A batch job without an organisation was accepted by an older build, or on a public route. It is
    /// visible to every organisation: an older build shows it to everyone, and 404 would tell its
    /// submitter that an accepted batch job is lost.
    #[must_use]
    pub fn may_see(&self, job: &JobHead, routes: &RouteTable) -> bool {
        match (self, &job.organisation) {
            (Self::Unrestricted, _) | (Self::Member(_), None) => true,
            (Self::Member(organisation), Some(owner)) => organisation.id == *owner,
            (Self::Anonymous, Some(_)) => false,
            (Self::Anonymous, None) => routes
                .find(&job.host, &job.path)
                .is_some_and(|route| route.is_public),
        }
    }

    /// Returns whether the sender may ask for batch jobs at a host: anonymously only where a public
    /// route accepts them.
    #[must_use]
    pub fn may_ask_for_jobs(&self, host: &str, routes: &RouteTable) -> bool {
        *self != Self::Anonymous
            || routes.iter().any(|route| {
                route.host == host && route.is_public && route.kind == RouteKind::Batch
            })
    }
}
