//! Messages, log records and settings, generated from the schemas in `proto/`.

/// Names of enumerations in configuration files.
pub mod named;

/// Settings that operators publish.
#[allow(clippy::all, clippy::pedantic, missing_docs)]
#[path = "generated/wisteriaford.settings.rs"]
pub mod settings;

/// Records that the system keeps in the platform's log.
#[allow(clippy::all, clippy::pedantic, missing_docs)]
#[path = "generated/wisteriaford.record.rs"]
pub mod record;

/// Membership between the instances.
#[allow(clippy::all, clippy::pedantic, missing_docs)]
#[path = "generated/wisteriaford.membership.rs"]
pub mod membership;

/// Slots of endpoints, granted by their stewards to entries.
#[allow(clippy::all, clippy::pedantic, missing_docs)]
#[path = "generated/wisteriaford.admission.rs"]
pub mod admission;

/// Training steps and their finished samples.
#[allow(clippy::all, clippy::pedantic, missing_docs)]
#[path = "generated/wisteriaford.step.rs"]
pub mod step;

/// State of the fleet that instances share.
#[allow(clippy::all, clippy::pedantic, missing_docs)]
#[path = "generated/wisteriaford.fleet.rs"]
pub mod fleet;

/// Messages between the instances.
#[allow(clippy::all, clippy::pedantic, missing_docs)]
#[path = "generated/wisteriaford.peer.rs"]
pub mod peer;
