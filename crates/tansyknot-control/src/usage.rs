//! When each service was last used by any daemon, as far as its coordinator has been informed.

use std::{collections::HashMap, sync::Mutex, time::Duration};

use tansyknot_core::{clock::Time, name::ServiceName};
use tansyknot_policy::gaps::Gaps;

/// The shortest gap between two uses that counts as idle time.
const MIN_IDLE_GAP: Duration = Duration::from_secs(1);

/// The last use of one service and the idle gaps before it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageRecord {
    /// The latest recorded use.
    pub last_used: Time,
    /// The idle gaps before it.
    pub gaps: Gaps,
}

/// The recorded use of every service.
#[derive(Debug, Default)]
pub struct Usage {
    services: Mutex<HashMap<ServiceName, UsageRecord>>,
}

impl Usage {
    /// Records a use at `at`, by this daemon or reported by a peer.
    pub fn record(&self, service: &ServiceName, at: Time) {
        let mut services = self.services.lock().expect("no holder of the lock panics");
        match services.get_mut(service) {
            Some(usage) => {
                let gap = at.since(usage.last_used);
                if gap >= MIN_IDLE_GAP {
                    usage.gaps.record(gap);
                }
                usage.last_used = usage.last_used.max(at);
            }
            None => {
                let new_record = UsageRecord { last_used: at, gaps: Gaps::default() };
                services.insert(service.clone(), new_record);
            }
        }
    }

    /// Returns the use of a service.
    ///
    /// A service without a record counts as used `now`, so that a daemon that has just restarted
    /// does not remove replicas whose use it has not seen.
    pub fn get_or_insert(&self, service: &ServiceName, now: Time) -> UsageRecord {
        let mut services = self.services.lock().expect("no holder of the lock panics");
        let new_record = || UsageRecord { last_used: now, gaps: Gaps::default() };
        services.entry(service.clone()).or_insert_with(new_record).clone()
    }
}
