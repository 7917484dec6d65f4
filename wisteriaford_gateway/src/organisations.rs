//! Keys of callers, checked against the configuration in force.

use std::time::Duration;

use wisteriaford_core::gateway::organisations::KeyPolicy;
use wisteriaford_core::gateway::organisations::KeyRefusal;
use wisteriaford_core::gateway::organisations::Sender;
use wisteriaford_core::gateway::route::Route;
use wisteriaford_core::gateway::route::RouteTable;
use wisteriaford_core::id::TableVersion;

use crate::adapter::CallerHead;
use crate::adapter::Topic;
use crate::clock;
use crate::refusal::Answer;
use crate::refusal::Reason;
use crate::refusal::refuse;
use crate::state::Gateway;
use crate::state::lock;

/// Maximum age of the configuration for which an unknown key is refused for good.
///
/// An idle read for publications takes a second. Operators may count on a new key 3 s after the
/// acknowledgement of its version.
const MAX_REFUSAL_AGE: Duration = Duration::from_secs(2);
/// `Retry-After` while the configuration may be outdated.
const NOT_CURRENT_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Returns the sender of a request, if it may use a route.
pub(crate) async fn authorise_call(
    gateway: &Gateway,
    head: &CallerHead,
    route: &Route,
) -> Result<Sender, Reason> {
    authorise(gateway, head, false, |sender, _| sender.may_use(route)).await
}

/// Returns the sender of a request to read or end a batch job, if it may ask for any at its host.
pub(crate) async fn authorise_job_request(
    gateway: &Gateway,
    head: &CallerHead,
) -> Result<Sender, Reason> {
    if gateway.view.load().routes.version == TableVersion(0) {
        return Err(Reason::NoRoutesKnown);
    }
    let may_ask =
        |sender: &Sender, routes: &RouteTable| sender.may_ask_for_jobs(&head.host, routes);
    let sender = authorise(gateway, head, head.key.is_some(), may_ask).await?;
    record_accepted(gateway, &sender);
    Ok(sender)
}

async fn authorise(
    gateway: &Gateway,
    head: &CallerHead,
    depends_on_key: bool,
    is_allowed: impl Fn(&Sender, &RouteTable) -> bool,
) -> Result<Sender, Reason> {
    if gateway.view.load().routes.organisations.is_none() {
        return Ok(Sender::Unrestricted);
    }
    if !gateway.wait_until_current().await {
        return Err(Reason::NotCurrent);
    }
    let sender = |routes: &RouteTable| routes.sender(head.key.as_ref());
    decide(gateway, depends_on_key, sender, is_allowed)
}

/// Returns the sender of a request by the configuration in force, if it is allowed.
pub(crate) fn decide(
    gateway: &Gateway,
    depends_on_key: bool,
    sender: impl FnOnce(&RouteTable) -> Sender,
    is_allowed: impl Fn(&Sender, &RouteTable) -> bool,
) -> Result<Sender, Reason> {
    // Before the configuration is loaded, which is then at least as new.
    let as_of = gateway.freshness(Topic::Publications).as_of();
    let view = gateway.view.load_full();
    let settings = gateway.settings.load();
    let policy = KeyPolicy {
        max_acceptance_age: settings
            .strict_revocation
            .then_some(settings.revocation_timeout),
        max_refusal_age: MAX_REFUSAL_AGE,
    };
    let sender = sender(&view.routes);
    let age = clock::now().since(as_of);
    let is_allowed = |sender: &Sender| is_allowed(sender, &view.routes);
    let decided = policy.decide(sender, age, depends_on_key, is_allowed);
    decided.map_err(|refusal| match refusal {
        KeyRefusal::UnknownKey => Reason::UnknownKey,
        KeyRefusal::NotCurrent => Reason::NotCurrent,
    })
}

/// Returns whether a newer configuration may exist that has an unknown route; where there are
/// organisations, callers rely on new routes as on new keys.
pub(crate) fn may_be_outdated(gateway: &Gateway) -> bool {
    let as_of = gateway.freshness(Topic::Publications).as_of();
    let is_restricted = gateway.view.load().routes.organisations.is_some();
    is_restricted && clock::now().since(as_of) > MAX_REFUSAL_AGE
}

/// Counts a request that was accepted with a key.
pub(crate) fn record_accepted(gateway: &Gateway, sender: &Sender) {
    if let Some(organisation) = sender.organisation() {
        gateway.metrics.record_organisation(organisation);
    }
}

/// Refuses a request because of its sender.
pub(crate) fn refuse_sender(gateway: &Gateway, head: &CallerHead, reason: Reason) -> Answer {
    gateway.metrics.record_refusal(reason);
    if reason != Reason::UnknownKey {
        return refuse(reason, Some(NOT_CURRENT_RETRY_AFTER));
    }
    let due = lock(&gateway.unknown_key_lines).record(clock::now());
    if let Some(count) = due {
        log::warn!(
            count = count, request:% = head.request, host:% = head.host,
            has_key = head.key.is_some(), table = gateway.view.load().routes.version.0;
            "requests without a known key refused"
        );
    }
    refuse(reason, None)
}
