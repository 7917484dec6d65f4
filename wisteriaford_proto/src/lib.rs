//! Messages, log records and settings, generated from the schemas in `proto/`.

/// Serialisation of enum values by name, for configuration files.
pub mod named;

/// Settings published by operators.
#[allow(clippy::all, clippy::pedantic, missing_docs)]
pub mod settings {
    include!("generated/wisteriaford.settings.rs");
}

/// Records stored in the platform's log.
#[allow(clippy::all, clippy::pedantic, missing_docs)]
pub mod record {
    include!("generated/wisteriaford.record.rs");
}

/// Membership protocol between instances.
#[allow(clippy::all, clippy::pedantic, missing_docs)]
pub mod membership {
    include!("generated/wisteriaford.membership.rs");
}

/// Slots of endpoints, granted by their coordinators to ingress instances.
#[allow(clippy::all, clippy::pedantic, missing_docs)]
pub mod admission {
    include!("generated/wisteriaford.admission.rs");
}

/// Training steps and their finished samples.
#[allow(clippy::all, clippy::pedantic, missing_docs)]
pub mod step {
    include!("generated/wisteriaford.step.rs");
}

/// Fleet state shared between instances.
#[allow(clippy::all, clippy::pedantic, missing_docs)]
pub mod fleet {
    include!("generated/wisteriaford.fleet.rs");
}

/// Messages between instances.
#[allow(clippy::all, clippy::pedantic, missing_docs)]
pub mod peer {
    include!("generated/wisteriaford.peer.rs");
}

/// Limits on the requests of endpoints, and permits for them.
#[allow(clippy::all, clippy::pedantic, missing_docs)]
pub mod limits {
    include!("generated/wisteriaford.limits.rs");
}

/// Endpoints that are leaving.
#[allow(clippy::all, clippy::pedantic, missing_docs)]
pub mod departures {
    include!("generated/wisteriaford.departures.rs");
}

/// Versions of software that began streams.
#[allow(clippy::all, clippy::pedantic, missing_docs)]
pub mod streams {
    include!("generated/wisteriaford.streams.rs");
}

/// Records of batch jobs and of leadership leases.
#[allow(clippy::all, clippy::pedantic, missing_docs)]
pub mod job {
    include!("generated/wisteriaford.job.rs");
}

/// Calls to the shared log that one instance makes on behalf of another.
#[allow(clippy::all, clippy::pedantic, missing_docs)]
pub mod relay {
    include!("generated/wisteriaford.relay.rs");
}

/// Requests counted for organisations, and reports of them.
#[allow(clippy::all, clippy::pedantic, missing_docs)]
pub mod usage {
    include!("generated/wisteriaford.usage.rs");
}

/// Work of pools whose number of engines the fleet chooses.
#[allow(clippy::all, clippy::pedantic, missing_docs)]
pub mod scaling {
    include!("generated/wisteriaford.scaling.rs");
}

/// Crash reports shared by gateways.
#[allow(clippy::all, clippy::pedantic, missing_docs)]
pub mod quarantine {
    include!("generated/wisteriaford.quarantine.rs");
}
