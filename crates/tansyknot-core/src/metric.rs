//! The metrics of a daemon that serves a fleet. docs/METRICS.md lists them.

/// The definition of one metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Metric {
    /// The name. The metrics page adds the prefix `tansyknot_` and a suffix for the kind.
    pub name: &'static str,
    /// The kind, which determines the format on the metrics page.
    pub kind: MetricKind,
    /// The meaning of the label `of`.
    pub of: &'static str,
    /// The description.
    pub text: &'static str,
}

/// The kind of a metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MetricKind {
    /// A sum that only increases; the name of its series ends with `_total`.
    Counter,
    /// A current value.
    Gauge,
    /// Quantiles and a count of durations; the name of its series ends with `_seconds`.
    Durations,
}

impl Metric {
    /// Returns the name of the series on the metrics page.
    pub fn series(&self) -> String {
        let Self { name, kind, .. } = self;
        match kind {
            MetricKind::Counter => format!("tansyknot_{name}_total"),
            MetricKind::Gauge => format!("tansyknot_{name}"),
            MetricKind::Durations => format!("tansyknot_{name}_seconds"),
        }
    }
}

macro_rules! metrics {
    ($($constant:ident = $name:literal, $kind:ident, $of:literal, $text:literal;)*) => {
        $(
            #[doc = $text]
            pub const $constant: Metric =
                Metric { name: $name, kind: MetricKind::$kind, of: $of, text: $text };
        )*

        /// Every metric.
        pub const ALL: &[Metric] = &[$($constant,)*];
    };
}

metrics! {
    ANSWERED = "answered", Counter, "route", "Requests that received a target's full response.";
    TARGET_ERROR = "target_error", Counter, "route", "Requests that received a target's error response.";
    NO_TARGET_IN_TIME = "no_target_in_time", Counter, "route", "Requests that no target could accept before their deadline; not run.";
    ZONES_DRAINED = "zones_drained", Counter, "route", "Requests whose service has targets only in drained availability zones; not run.";
    REGION_UNAVAILABLE = "region_unavailable", Counter, "route", "Requests whose service has no target in a region that they are bound to; not run.";
    SOFTWARE_UNAVAILABLE = "software_unavailable", Counter, "route", "Requests refused because no target that can serve the rest of their stream runs the software that began it; not run.";
    TARGETS_UNREACHABLE = "targets_unreachable", Counter, "route", "Requests refused because neither this daemon nor another one reaches a target of the service; not run.";
    REFUSED_BY_TARGETS = "refused_by_targets", Counter, "route", "Requests that targets refused and that may not be retried further; not run.";
    STOPPING = "stopping", Counter, "route", "Requests that the daemon could not finish before it stopped; not run.";
    NO_ANSWER_IN_TIME = "no_answer_in_time", Counter, "route", "Requests whose target did not respond before their deadline.";
    TARGET_FAILED = "target_failed", Counter, "route", "Requests whose target closed the connection early or sent an invalid response.";
    STREAM_BROKEN = "stream_broken", Counter, "route", "Streams that broke after a part of them was sent to the caller.";
    CALLER_LEFT = "caller_left", Counter, "route", "Requests whose caller disconnected.";
    CALLER_STALLED = "caller_stalled", Counter, "route", "Requests whose caller was disconnected because it did not read its response.";
    REQUEST_BYTES = "request_bytes", Gauge, "daemon", "Bytes that the bodies of requests hold, from their first byte until their request has ended.";
    REQUEST_BYTES_PEAK = "request_bytes_peak", Gauge, "daemon", "The most bytes that the bodies of requests have held.";
    RESPONSE_BYTES = "response_bytes", Gauge, "daemon", "Bytes that responses hold of the total that they share with the bodies of requests.";
    BODIES_EVICTED = "bodies_evicted", Gauge, "daemon", "Bodies without progress, or slow ones, that gave way to others because the memory for requests was used up; not run.";
    NO_BUFFER = "no_buffer", Counter, "route", "Requests whose response was dropped because the daemon held too many bytes of other responses; a target has run them.";
    REFUSED_ON_ARRIVAL = "refused_on_arrival", Counter, "reason", "Requests refused before a target was selected.";
    QUOTA_GRANTED = "quota_granted", Counter, "team", "Requests that the team's quota allowed.";
    QUOTA_OVER = "quota_over", Counter, "team", "Requests refused because the team's quota was exhausted; not run.";
    QUOTA_UNKNOWN = "quota_unknown", Counter, "team", "Requests refused because the planner, which keeps the quota accounts, did not respond; not run.";
    QUOTA_LENT = "quota_lent", Counter, "peers", "Requests allowed by the quota that the planner had lent, because it did not respond.";
    QUOTA_LEFT = "quota_left", Gauge, "team", "Units left in the team's quota account, at the planner.";
    KEYS_AGE = "keys_age_seconds", Gauge, "daemon", "Age of the view of the keys; -1 if requests need no key or there is no view.";
    POISON_REQUEST = "poison_request", Counter, "route", "Requests rejected because targets have crashed while they had them; not run.";
    REQUEST = "request", Durations, "route", "Time from a request's arrival to its end.";
    FIRST_EVENT = "first_event", Durations, "route", "Time from a request's arrival to the first event sent to the caller.";
    GAP = "gap", Durations, "route", "The longest pause between two events of a stream.";
    WAITED = "waited", Durations, "route", "Time that requests waited for a load or a free slot.";
    WAIT_EXPECTED = "wait_expected", Durations, "route", "Expected waits of requests that got a slot from the queue, when they joined it.";
    WAIT_ACTUAL = "wait_actual", Durations, "route", "Time that requests which got a slot from the queue waited in it.";
    ORIGIN_LOOKUP = "origin_lookup", Durations, "route", "Time until the origin of a resumed stream was found, or known not to be found.";
    STREAMS_RESUMED = "streams_resumed", Counter, "route", "Requests that resume a stream of an earlier attempt.";
    SENDS_AGAIN = "sends_again", Counter, "route", "Retries of requests.";
    UNREACHABLE = "unreachable", Counter, "service", "Connections to targets that could not be opened; nothing was sent over them.";
    TARGET_PROBES = "target_probes", Counter, "service", "Probes of targets that had become unresponsive.";
    TUNNELS_OPENED = "tunnels_opened", Counter, "service", "Connections to targets that this daemon has opened through another daemon.";
    TUNNELS_SERVED = "tunnels_served", Counter, "service", "Connections to targets that this daemon has opened for other daemons.";
    CUT_OFF = "cut_off", Counter, "service", "Sends whose target closed or reset the connection before its full response.";
    CRASHED = "crashed", Counter, "service", "Targets that ended while they had requests, as seen by this daemon.";
    SIGNALS = "signals", Counter, "signal", "Backpressure signals that changed this daemon's state of a target: limit, leaving, rest (retry delay).";
    SIGNALS_MALFORMED = "signals_malformed", Counter, "signal", "Malformed backpressure signals.";
    SIGNAL_HELD = "signal_held", Counter, "signal", "Requests sent after they had waited for a permit or for the end of a retry delay.";
    SIGNAL_ELSEWHERE = "signal_elsewhere", Counter, "signal", "Requests sent to another target because a target with the model has signalled reduced or no capacity.";
    SIGNAL_REJECTED = "signal_rejected", Counter, "signal", "Requests rejected because a permit, or the end of a retry delay, would come too late; not run.";
    ORDERS = "orders", Counter, "service", "Orders that targets accepted.";
    ORDERS_FAILED = "orders_failed", Counter, "service", "Tasks that stopped before their last order was done.";
    ORDERS_REFUSED = "orders_refused", Counter, "service", "Orders that a target refused because it was executing another one; they are sent again.";
    LOAD = "load", Durations, "service", "Time from the acceptance of a load to its completion.";
    NO_ROOM = "no_room", Durations, "service", "How long requested models had no room at any target, counted at the planner when it ends.";
    NO_ROOM_REFUSED = "no_room_refused", Counter, "route", "Requests refused because the planner has announced that their model gets no room; not run.";
    NO_ROOM_MODELS = "no_room_models", Gauge, "daemon", "Requested models that get no room, as last announced by the planner.";
    PEER_BYTES_IN = "peer_bytes_in", Counter, "peers", "Bytes of datagrams from other daemons.";
    PEER_BYTES_OUT = "peer_bytes_out", Counter, "peers", "Bytes of datagrams to other daemons.";
    STORE_CALLS = "store_calls", Counter, "kind of call", "Calls to the platform's store.";
    STORE_CALLS_FAILED = "store_calls_failed", Counter, "kind of call", "Calls to the platform's store that failed or were refused.";
    STORE_CONFLICTS = "store_conflicts", Counter, "kind of call", "Writes that conflicted with another daemon's write.";
    STORE_CALL = "store_call", Durations, "kind of call", "Duration of calls to the platform's store, including the wait for changes.";
    IS_PLANNER = "is_planner", Gauge, "daemon", "1 if this daemon is the planner.";
    FENCE = "fence", Gauge, "daemon", "The planner's fencing token, as last seen by this daemon.";
    CONFIG_VERSION = "config_version", Gauge, "daemon", "The version of the configuration in force.";
    CONFIG_TOLD = "config_told", Gauge, "daemon", "The newest version of the configuration that the planner has published; if it is greater than `config_version`, this daemon is behind.";
    DAEMONS = "daemons", Gauge, "daemon", "Daemons that share the retry budgets, as seen by this daemon.";
    RETRIES_SPENT = "retries_spent", Gauge, "service", "Retries by this daemon within the window of the retry budget.";
    RETRIES_ALLOWED = "retries_allowed", Gauge, "service", "Retries that this daemon's share of the retry budget allows in that window.";
    POISON_CONVICTED = "poison_convicted", Gauge, "daemon", "Requests that are rejected because targets have crashed while they had them.";
    POISON_SUSPECTED = "poison_suspected", Gauge, "daemon", "Requests that were at a target when it crashed, but not often enough to be rejected.";
    TARGETS = "targets", Gauge, "daemon", "Targets in this daemon's view.";
    TARGETS_KEPT = "targets_kept", Gauge, "daemon", "Targets that are retained although their entries are gone, because the entries may have expired while the store was unavailable.";
    SERVICES_CUT_OFF = "services_cut_off", Gauge, "daemon", "Services of which this daemon reaches no target by itself.";
    PATHS_FAILED = "paths_failed", Gauge, "daemon", "Targets that this daemon does not reach by itself.";
    TARGETS_SUSPECT = "targets_suspect", Gauge, "daemon", "Targets that this daemon avoids because it could not reach them or they did not respond.";
    TARGETS_UNRESPONSIVE = "targets_unresponsive", Gauge, "daemon", "Targets that have begun no response to this daemon for longer than a responsive one takes, although requests wait for one.";
    TARGETS_SLOW = "targets_slow", Gauge, "daemon", "Targets that the planner has announced as slow (1.1 times the typical time) or failing (2 in 100 requests); 0 unless `scheduling.target_choice` is `expected_time`.";
    LIST_VERSION = "list_version", Gauge, "daemon", "The newest version of the store in this daemon's view of the list of targets.";
    LIST_CALL_AGE = "list_call_age_seconds", Gauge, "daemon", "Time since this daemon's own last call for the list of targets; -1 before the first call, large at daemons that follow the planner.";
    CONFIG_CALL_AGE = "config_call_age_seconds", Gauge, "daemon", "Time since this daemon's own last call for the configuration; -1 before the first call, large at daemons that follow the planner.";
}
