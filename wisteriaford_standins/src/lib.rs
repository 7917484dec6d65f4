//! Minimal stand-ins for the platform and for the endpoints that wisteriaford serves.
//!
//! Each stand-in serves its part of the published protocols over HTTP/1.1, either as a separate
//! process or on threads of a test. Faults can be injected while it runs.

pub mod engine;
pub mod error;
pub mod faults;
pub mod instance_list;
pub mod log_service;
pub mod plain_service;
pub mod platform;
pub mod platform_cloud;
pub mod platform_endpoint;
pub mod platform_store;
pub mod proxy;
pub mod request;
pub mod scorer;
pub mod server;
pub mod standin;
pub mod text;
pub mod weight_store;

mod connection;
mod flood;
mod lagged;
mod memory;
mod port;
mod rate;

pub use engine::EngineSettings;
pub use faults::FaultChange;
pub use faults::FaultSettings;
pub use flood::Flood;
pub use flood::FloodServer;
pub use instance_list::InstanceListSettings;
pub use log_service::LogSettings;
pub use memory::resident_kb;
pub use plain_service::PlainServiceSettings;
pub use platform::Platform;
pub use platform::PlatformSettings;
pub use platform_cloud::CloudBehaviour;
pub use platform_cloud::PlatformCloudSettings;
pub use platform_endpoint::PlatformEndpointSettings;
pub use platform_store::AddressView;
pub use platform_store::PlatformStoreSettings;
pub use port::free_address;
pub use proxy::Direction;
pub use proxy::NewConnections;
pub use proxy::SilentProxy;
pub use scorer::ScorerSettings;
pub use server::CrashAction;
pub use standin::Standin;
pub use standin::StandinHandle;
pub use standin::StartError;
pub use text::expected_score_milli;
pub use text::expected_text;
pub use text::expected_tokens;
pub use text::prefix_hash;
pub use weight_store::WeightStoreSettings;
