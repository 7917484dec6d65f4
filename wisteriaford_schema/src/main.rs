//! Generates the Rust code of `wisteriaford_proto` from its schemas.

use std::error::Error;
use std::path::Path;

use prost_build::Config;

const SCHEMA_DIR: &str = "wisteriaford_proto/proto";
const OUTPUT_DIR: &str = "wisteriaford_proto/src/generated";
const SCHEMAS: [&str; 15] = [
    "wisteriaford/settings.proto",
    "wisteriaford/record.proto",
    "wisteriaford/membership.proto",
    "wisteriaford/admission.proto",
    "wisteriaford/step.proto",
    "wisteriaford/departures.proto",
    "wisteriaford/fleet.proto",
    "wisteriaford/peer.proto",
    "wisteriaford/limits.proto",
    "wisteriaford/streams.proto",
    "wisteriaford/job.proto",
    "wisteriaford/relay.proto",
    "wisteriaford/quarantine.proto",
    "wisteriaford/scaling.proto",
    "wisteriaford/usage.proto",
];

fn main() -> Result<(), Box<dyn Error>> {
    let descriptors = protox::compile(SCHEMAS, [SCHEMA_DIR])?;
    let mut config = Config::new();
    config.out_dir(Path::new(OUTPUT_DIR));
    config.boxed(".wisteriaford.fleet.FleetMessage.configuration");
    let settings = ".wisteriaford.settings";
    config.message_attribute(settings, "#[derive(serde::Serialize, serde::Deserialize)]");
    config.message_attribute(settings, "#[serde(default)]");
    for (field, module) in [
        ("Caller.priority", "priority"),
        ("Endpoint.kind", "endpoint_kind"),
        ("Route.log_outage", "log_outage_policy"),
    ] {
        let path = format!("{settings}.{field}");
        let attribute = format!("#[serde(with = \"crate::named::{module}\")]");
        config.field_attribute(path, attribute);
    }
    config.compile_fds(descriptors)?;
    Ok(())
}
