//! Starting and stopping a stand-in.

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;

use clap::Args;
use clap::Command;
use clap::FromArgMatches;
use clap::Subcommand;
use derive_more::Display;
use derive_more::Error;

use crate::engine::Engine;
use crate::engine::EngineSettings;
use crate::faults::FaultChange;
use crate::faults::FaultSettings;
use crate::faults::Faults;
use crate::instance_list::InstanceList;
use crate::instance_list::InstanceListSettings;
use crate::log_service::LogService;
use crate::log_service::LogSettings;
use crate::plain_service::PlainService;
use crate::plain_service::PlainServiceSettings;
use crate::platform_cloud::PlatformCloud;
use crate::platform_cloud::PlatformCloudSettings;
use crate::platform_endpoint::PlatformEndpoint;
use crate::platform_endpoint::PlatformEndpointSettings;
use crate::platform_store::AddressView;
use crate::platform_store::PlatformStore;
use crate::platform_store::PlatformStoreSettings;
use crate::scorer::Scorer;
use crate::scorer::ScorerSettings;
use crate::server::CrashAction;
use crate::server::Server;
use crate::server::Service;
use crate::weight_store::WeightStore;
use crate::weight_store::WeightStoreSettings;

/// Error returned when a stand-in can't start.
#[derive(Debug, Display, Error)]
#[display("cannot listen on {listen}: {source}")]
pub struct StartError {
    listen: SocketAddr,
    source: io::Error,
}

/// Kind of stand-in to run, with its settings.
#[derive(Clone, Debug, Subcommand)]
pub enum Standin {
    /// Append-only log
    Log(LogSettings),
    /// Weight store
    WeightStore(WeightStoreSettings),
    /// The platform's list of instances
    InstanceList(InstanceListSettings),
    /// Model engine
    Engine(EngineSettings),
    /// Plain HTTP service
    PlainService(PlainServiceSettings),
    /// Scorer of samples
    Scorer(ScorerSettings),
    /// Log store of the users' platform
    PlatformStore(PlatformStoreSettings),
    /// Endpoint on the users' platform
    PlatformEndpoint(PlatformEndpointSettings),
    /// API of the users' platform for duties
    PlatformCloud(PlatformCloudSettings),
}

impl Standin {
    /// Starts the stand-in on a free port of 127.0.0.1; after a crash it stays down until it is
    /// restarted.
    ///
    /// # Errors
    ///
    /// Fails if it can't listen.
    pub fn start(self) -> Result<StandinHandle, StartError> {
        self.start_at(any_loopback_port(), CrashAction::GoDown)
    }

    /// Starts the stand-in on an address; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Fails if it can't listen.
    pub fn start_at(
        self,
        listen: SocketAddr,
        crash_action: CrashAction,
    ) -> Result<StandinHandle, StartError> {
        let faults = Arc::new(Faults::default());
        let service = self.into_service(&faults);
        let server = Server::start(listen, service, Arc::clone(&faults), crash_action)
            .map_err(|source| StartError { listen, source })?;
        Ok(StandinHandle { server, faults })
    }

    fn into_service(self, faults: &Arc<Faults>) -> Arc<dyn Service> {
        match self {
            Self::Log(settings) => Arc::new(LogService::new(settings)),
            Self::WeightStore(settings) => Arc::new(WeightStore::new(settings)),
            Self::InstanceList(settings) => Arc::new(InstanceList::new(&settings)),
            Self::Engine(settings) => Arc::new(Engine::new(settings, Arc::clone(faults))),
            Self::PlainService(settings) => {
                Arc::new(PlainService::new(settings, Arc::clone(faults)))
            }
            Self::Scorer(settings) => Arc::new(Scorer::new(settings)),
            Self::PlatformStore(settings) => Arc::new(PlatformStore::new(settings)),
            Self::PlatformCloud(settings) => Arc::new(PlatformCloud::new(settings)),
            Self::PlatformEndpoint(settings) => {
                Arc::new(PlatformEndpoint::new(settings, Arc::clone(faults)))
            }
        }
    }
}

/// Handle to a running stand-in, which stops when the handle is dropped.
pub struct StandinHandle {
    server: Server,
    faults: Arc<Faults>,
}

impl StandinHandle {
    /// Returns the address on which the stand-in listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Serves a store at another address as well, to a reader with a view of its own; the faults are
    /// shared.
    ///
    /// # Errors
    ///
    /// Fails if it can't listen, or if the stand-in has no such views.
    pub fn start_view(&self, view: AddressView) -> io::Result<Self> {
        let service = self.server.service().with_view(view);
        let service = service.ok_or(io::ErrorKind::Unsupported)?;
        let faults = Arc::clone(&self.faults);
        let listen = any_loopback_port();
        let server = Server::start(listen, service, Arc::clone(&faults), CrashAction::GoDown)?;
        Ok(Self { server, faults })
    }

    /// Changes the given faults, as `POST /faults` does.
    pub fn change_faults(&self, change: FaultChange) {
        self.server.change_faults(change);
    }

    /// Returns the current fault settings.
    #[must_use]
    pub fn faults(&self) -> FaultSettings {
        self.faults.settings()
    }

    /// Crashes the stand-in, as a crash marker does; setting `down` to false restarts it.
    pub fn crash(&self) {
        self.server.crash();
    }

    /// Stops the stand-in, closing its open connections and joining its threads.
    pub fn stop(self) {
        drop(self);
    }

    /// Blocks while the stand-in runs, which is until the process ends.
    pub fn wait(mut self) {
        self.server.wait();
    }
}

fn any_loopback_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// Returns the settings with every flag at its default.
fn settings_from_flag_defaults<T: Args + FromArgMatches>() -> T {
    let command = T::augment_args(Command::new("settings").no_binary_name(true));
    let matches = command.get_matches_from(std::iter::empty::<&str>());
    T::from_arg_matches(&matches).unwrap_or_else(|error| error.exit())
}

macro_rules! default_from_flags {
    ($($settings:ty),+ $(,)?) => {
        $(impl Default for $settings {
            fn default() -> Self {
                settings_from_flag_defaults()
            }
        })+
    };
}

default_from_flags!(
    EngineSettings,
    InstanceListSettings,
    LogSettings,
    PlainServiceSettings,
    PlatformCloudSettings,
    PlatformEndpointSettings,
    PlatformStoreSettings,
    ScorerSettings,
    WeightStoreSettings,
);
