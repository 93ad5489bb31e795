//! The takeover of the planner's row from another holder.

use std::time::Duration;

use tansyknot_core::clock::Time;

use super::{
    HeldLease, LEASE_DURATION, Lease, LeaseHolder, LeaseOptions, ObservedRow, TAKEOVER_TIMEOUT,
    promise::EXTENSION_LIMIT,
};

/// Until when the holder of a row could have sent orders.
#[derive(Clone, Copy, Debug)]
struct PossibleOrders {
    until: Time,
    /// Until when they could have gone to targets that the row does not name, if they could.
    unnamed_until: Option<Time>,
}

impl Lease {
    /// Returns the lease that `me` has after it takes the row over now; `None` if the row is not
    /// free yet.
    pub(super) fn take_over(
        &self,
        seen: &ObservedRow,
        me: &LeaseHolder,
        options: LeaseOptions,
        now: Time,
    ) -> Option<HeldLease> {
        let before = &seen.holder;
        // A holder that the copy does not know may have sent orders since.
        let is_copy = super::is_copy(before, seen.version);
        let is_same_host =
            !is_copy && before.daemon == me.daemon && before.address.ip() == me.address.ip();
        let is_released = !is_copy && before.released;
        let possible = self.possible_orders(seen, me);
        let is_free = is_same_host
            || is_released
            || (now.since(seen.since) >= TAKEOVER_TIMEOUT && now >= possible.until);
        if !is_free {
            return None;
        }
        let fence = self.next_fence(seen.version);
        let mut held = HeldLease { fence, since: now, ..HeldLease::default() };
        // The row was written before it was read, so these cooldowns end late rather than early.
        held.all_cooldown_end = seen.since + Duration::from_millis(before.all_rest);
        if is_copy {
            held.all_cooldown_end =
                held.all_cooldown_end.max(now + options.unknown_holder_cooldown());
        }
        if is_same_host {
            // The earlier incarnation on this host has ended, and both count as one holder. The
            // next holder has to observe the cooldown of the targets that the earlier one sent
            // orders to.
            held.covered.extend(before.covers.keys().map(|target| (target.clone(), now)));
            if before.extends {
                held.others_cooldown_end = now + options.cooldown();
            }
        } else if let Some(until) = possible.unnamed_until.filter(|_| !is_released) {
            held.all_cooldown_end = held.all_cooldown_end.max(until + options.cooldown());
        }
        for (target, cooldown_ms) in &before.rests {
            let end = seen.since + Duration::from_millis(*cooldown_ms);
            held.cooldown_ends.insert(target.clone(), end);
        }
        for (target, idle_ms) in before.covers.iter().filter(|_| !is_same_host) {
            let end = if is_released {
                now + options.cooldown().saturating_sub(Duration::from_millis(*idle_ms))
            } else {
                possible.until + options.cooldown()
            };
            let latest_end = held.cooldown_ends.entry(target.clone()).or_default();
            *latest_end = (*latest_end).max(end);
        }
        Some(held)
    }

    /// Returns until when the holder of the row could have sent orders, and to which targets.
    fn possible_orders(&self, seen: &ObservedRow, me: &LeaseHolder) -> PossibleOrders {
        let lapses_at = seen.since + LEASE_DURATION;
        let is_copy = super::is_copy(&seen.holder, seen.version);
        let may_extend = seen.holder.extends || (is_copy && me.extends);
        if !may_extend {
            return PossibleOrders { until: lapses_at, unnamed_until: None };
        }
        let made = self.made.filter(|made| is_copy || made.fence == seen.holder.fence);
        match made.filter(|made| made.is_acknowledged) {
            Some(made) => PossibleOrders {
                until: lapses_at.max(made.until),
                unnamed_until: made.unnamed_until,
            },
            None => {
                let until = seen.since + EXTENSION_LIMIT;
                PossibleOrders { until, unnamed_until: Some(until) }
            }
        }
    }
}
