//! Messages, log records and settings, generated from the schemas in `proto/`.

/// Names of enumerations in configuration files.
pub mod named;

/// Settings that operators publish.
#[allow(clippy::all, clippy::pedantic, missing_docs)]
pub mod settings {
    include!("generated/wisteriaford.settings.rs");
}

/// Records that the system keeps in the platform's log.
#[allow(clippy::all, clippy::pedantic, missing_docs)]
pub mod record {
    include!("generated/wisteriaford.record.rs");
}

/// Membership between the instances.
#[allow(clippy::all, clippy::pedantic, missing_docs)]
pub mod membership {
    include!("generated/wisteriaford.membership.rs");
}

/// Slots of endpoints, granted by their stewards to entries.
#[allow(clippy::all, clippy::pedantic, missing_docs)]
pub mod admission {
    include!("generated/wisteriaford.admission.rs");
}

/// Training steps and their finished samples.
#[allow(clippy::all, clippy::pedantic, missing_docs)]
pub mod step {
    include!("generated/wisteriaford.step.rs");
}

/// State of the fleet that instances share.
#[allow(clippy::all, clippy::pedantic, missing_docs)]
pub mod fleet {
    include!("generated/wisteriaford.fleet.rs");
}

/// Messages between the instances.
#[allow(clippy::all, clippy::pedantic, missing_docs)]
pub mod peer {
    include!("generated/wisteriaford.peer.rs");
}

/// Records of batch jobs and of the runner's lease.
#[allow(clippy::all, clippy::pedantic, missing_docs)]
pub mod job {
    include!("generated/wisteriaford.job.rs");
}

/// Calls of the shared log that one instance makes for another.
#[allow(clippy::all, clippy::pedantic, missing_docs)]
pub mod relay {
    include!("generated/wisteriaford.relay.rs");
}
