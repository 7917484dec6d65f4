//! The platform's stand-ins, started together.

use crate::instance_list::InstanceListSettings;
use crate::log_service::LogSettings;
use crate::scorer::ScorerSettings;
use crate::standin::Standin;
use crate::standin::StandinHandle;
use crate::standin::StartError;
use crate::weight_store::WeightStoreSettings;

/// Settings of the platform's stand-ins.
#[derive(Clone, Debug, Default)]
pub struct PlatformSettings {
    /// Settings of the log.
    pub log: LogSettings,
    /// Settings of the weight store.
    pub weight_store: WeightStoreSettings,
    /// Settings of the instance list.
    pub instance_list: InstanceListSettings,
    /// Settings of the scorer.
    pub scorer: ScorerSettings,
}

/// Running stand-ins of the platform, which stop when dropped.
pub struct Platform {
    /// Handle to the log.
    pub log: StandinHandle,
    /// Handle to the weight store.
    pub weight_store: StandinHandle,
    /// Handle to the instance list.
    pub instance_list: StandinHandle,
    /// Handle to the scorer.
    pub scorer: StandinHandle,
}

impl Platform {
    /// Starts the log, weight store, instance list and scorer with default settings.
    ///
    /// # Errors
    ///
    /// Fails if one of them can't listen.
    pub fn start() -> Result<Self, StartError> {
        Self::start_with(PlatformSettings::default())
    }

    /// Starts the log, weight store, instance list and scorer on free ports of 127.0.0.1.
    ///
    /// # Errors
    ///
    /// Fails if one of them can't listen.
    pub fn start_with(settings: PlatformSettings) -> Result<Self, StartError> {
        Ok(Self {
            log: Standin::Log(settings.log).start()?,
            weight_store: Standin::WeightStore(settings.weight_store).start()?,
            instance_list: Standin::InstanceList(settings.instance_list).start()?,
            scorer: Standin::Scorer(settings.scorer).start()?,
        })
    }
}
