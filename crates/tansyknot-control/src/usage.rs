//! When each service was last used, over all daemons, as its coordinator knows it.

use std::{collections::HashMap, sync::Mutex, time::Duration};

use tansyknot_core::{clock::Time, name::ServiceName};
use tansyknot_policy::gaps::Gaps;

/// A gap shorter than this is not idle time.
const SHORTEST_GAP: Duration = Duration::from_secs(1);

/// The use of one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Use {
    /// The last use that is known.
    pub last: Time,
    /// The idle gaps before it.
    pub gaps: Gaps,
}

/// The use of every service that this daemon has heard of.
#[derive(Debug, Default)]
pub struct Usage {
    services: Mutex<HashMap<ServiceName, Use>>,
}

impl Usage {
    /// Records a use at `at`, by this daemon or as a peer reported it.
    pub fn record(&self, service: &ServiceName, at: Time) {
        let mut services = self.services.lock().expect("no holder of the lock panics");
        match services.get_mut(service) {
            Some(known) => {
                let gap = at.since(known.last);
                if gap >= SHORTEST_GAP {
                    known.gaps.record(gap);
                }
                known.last = known.last.max(at);
            }
            None => {
                let first = Use { last: at, gaps: Gaps::default() };
                services.insert(service.clone(), first);
            }
        }
    }

    /// Returns the use of a service. One never heard of counts as used `now`: after a restart
    /// nothing is removed on no knowledge.
    pub fn get_or_begin(&self, service: &ServiceName, now: Time) -> Use {
        let mut services = self.services.lock().expect("no holder of the lock panics");
        let begin = || Use { last: now, gaps: Gaps::default() };
        services.entry(service.clone()).or_insert_with(begin).clone()
    }
}
