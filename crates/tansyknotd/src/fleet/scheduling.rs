//! Translates the scheduling settings into the options of the fleet.

use tansyknot_config::fleet;
use tansyknot_fleet::scheduling::{
    Admission, CopyPolicy, RoomAccounting, SchedulingOptions, TargetChoice, WeightStorePacing,
};

/// Returns the options that the settings select.
pub(super) fn options(settings: &fleet::FleetScheduling) -> SchedulingOptions {
    SchedulingOptions {
        weight_store: match settings.weight_store {
            fleet::WeightStorePacing::Fixed => WeightStorePacing::Fixed,
            fleet::WeightStorePacing::Observed => WeightStorePacing::Observed,
        },
        target_choice: match settings.target_choice {
            fleet::TargetChoice::LeastRequests => TargetChoice::LeastRequests,
            fleet::TargetChoice::ExpectedTime => TargetChoice::ExpectedTime,
        },
        admission: match settings.admission {
            fleet::Admission::Unordered => Admission::Unordered,
            fleet::Admission::Ordered => Admission::Ordered,
        },
        room: match settings.room {
            fleet::RoomAccounting::Requests => RoomAccounting::Requests,
            fleet::RoomAccounting::Tokens => RoomAccounting::Tokens,
        },
        copies: match settings.copies {
            fleet::CopyPolicy::RateSteps => CopyPolicy::RateSteps,
            fleet::CopyPolicy::ServiceTime => CopyPolicy::ServiceTime,
        },
    }
}
