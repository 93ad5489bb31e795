//! A daemon's contacts with the store.

use std::fmt;

use tansyknot_core::clock::Time;

/// A version of the configuration, as the store showed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfigRead {
    /// The version of the configuration.
    pub version: u64,
    /// The version of the store as of which it was read.
    pub store_version: u64,
}

/// From where a daemon has a configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigSource {
    /// The daemon has read it from the store.
    Store,
    /// Another daemon has handed over the whole configuration.
    Daemon,
    /// A notice of another daemon had the difference to the version before.
    Notice,
}

impl fmt::Display for ConfigSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ConfigSource::Store => "store",
            ConfigSource::Daemon => "daemon",
            ConfigSource::Notice => "notice",
        })
    }
}

/// When the last successful calls to the store began, and whether the store responds.
#[derive(Clone, Copy, Debug, Default)]
pub struct Contacts {
    /// Start of the last successful call for the list of targets.
    pub list: Option<Time>,
    /// The moment as of which the last successful call showed the configuration.
    pub config: Option<Time>,
    /// What the store showed of the configuration in force.
    pub config_read: Option<ConfigRead>,
    /// Whether the last call that followed the store failed.
    pub is_lost: bool,
    /// When the store last responded again after failed calls.
    pub returned_at: Option<Time>,
}
