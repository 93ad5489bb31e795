//! The figures of a daemon that serves a fleet, as docs/METRICS.md lists them.

/// One kind of figure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Metric {
    /// Its name; the page puts `tansyknot_` before it and the unit behind it.
    pub name: &'static str,
    /// How it is written on the page.
    pub kind: Kind,
    /// What the label `of` holds.
    pub of: &'static str,
    /// What it says.
    pub text: &'static str,
}

/// How a figure is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A sum that only rises; its name ends with `_total`.
    Counter,
    /// A value of this moment.
    Gauge,
    /// Quantiles and a count of spans; its name ends with `_seconds`.
    Spans,
}

impl Metric {
    /// Returns the name of its series on the page.
    pub fn series(&self) -> String {
        let Self { name, kind, .. } = self;
        match kind {
            Kind::Counter => format!("tansyknot_{name}_total"),
            Kind::Gauge => format!("tansyknot_{name}"),
            Kind::Spans => format!("tansyknot_{name}_seconds"),
        }
    }
}

macro_rules! metrics {
    ($($constant:ident = $name:literal, $kind:ident, $of:literal, $text:literal;)*) => {
        $(
            #[doc = $text]
            pub const $constant: Metric =
                Metric { name: $name, kind: Kind::$kind, of: $of, text: $text };
        )*

        /// Every figure.
        pub const ALL: &[Metric] = &[$($constant,)*];
    };
}

metrics! {
    ANSWERED = "answered", Counter, "route", "Requests with a target's whole answer.";
    TARGET_ERROR = "target_error", Counter, "route", "Requests answered with a target's own failure.";
    NO_TARGET_IN_TIME = "no_target_in_time", Counter, "route", "Requests that no target could take in time; not run.";
    REFUSED_BY_TARGETS = "refused_by_targets", Counter, "route", "Requests that targets refused, with no further send allowed; not run.";
    STOPPING = "stopping", Counter, "route", "Requests that the daemon could not finish before its stop; not run.";
    NO_ANSWER_IN_TIME = "no_answer_in_time", Counter, "route", "Requests whose target was silent until their time was over.";
    TARGET_FAILED = "target_failed", Counter, "route", "Requests whose target broke off or sent nonsense.";
    STREAM_BROKEN = "stream_broken", Counter, "route", "Streams that broke off after a part was passed on.";
    CALLER_LEFT = "caller_left", Counter, "route", "Requests whose caller left.";
    REFUSED_ON_ARRIVAL = "refused_on_arrival", Counter, "reason", "Requests refused before any target was looked for.";
    QUOTA_GRANTED = "quota_granted", Counter, "team", "Requests for which the team's quota had room.";
    QUOTA_OVER = "quota_over", Counter, "team", "Requests refused because the team's quota was used up; not run.";
    QUOTA_UNKNOWN = "quota_unknown", Counter, "team", "Requests refused because nobody answered who keeps the accounts; not run.";
    QUOTA_LENT = "quota_lent", Counter, "peers", "Requests taken by what the planner had lent, as it did not answer.";
    QUOTA_LEFT = "quota_left", Gauge, "team", "Units that the team's account has left, at the planner.";
    KEYS_AGE = "keys_age_seconds", Gauge, "daemon", "How old the view of the keys is; -1 if requests need none or nothing is known.";
    POISON_REQUEST = "poison_request", Counter, "route", "Requests rejected because targets have crashed under them; not run.";
    REQUEST = "request", Spans, "route", "From a request's arrival to its end.";
    FIRST_EVENT = "first_event", Spans, "route", "From a request's arrival to the first event passed on.";
    GAP = "gap", Spans, "route", "The longest pause between two events of a stream.";
    WAITED = "waited", Spans, "route", "How long requests waited for a load or a free place.";
    SENDS_AGAIN = "sends_again", Counter, "route", "Sends of requests beyond the first.";
    CUT_OFF = "cut_off", Counter, "service", "Sends whose target closed or reset the connection before its whole answer.";
    CRASHED = "crashed", Counter, "service", "Targets that this daemon has seen end while they had requests.";
    SIGNALS = "signals", Counter, "signal", "Backpressure signals that changed what this daemon knows of a target: limit, leaving, rest.";
    SIGNALS_MALFORMED = "signals_malformed", Counter, "signal", "Backpressure signals that can't be read.";
    SIGNAL_HELD = "signal_held", Counter, "signal", "Requests that waited for their turn or the end of a rest, and were sent.";
    SIGNAL_ELSEWHERE = "signal_elsewhere", Counter, "signal", "Requests sent elsewhere than to a target that holds the model and takes less or nothing by its signal.";
    SIGNAL_REJECTED = "signal_rejected", Counter, "signal", "Requests rejected as their turn, or the end of a rest, would come too late; not run.";
    ORDERS = "orders", Counter, "service", "Orders that targets accepted.";
    ORDERS_FAILED = "orders_failed", Counter, "service", "Tasks that stopped before their last order was done.";
    LOAD = "load", Spans, "service", "From a load's acceptance to its being there.";
    PEER_BYTES_IN = "peer_bytes_in", Counter, "peers", "Bytes of datagrams from other daemons.";
    PEER_BYTES_OUT = "peer_bytes_out", Counter, "peers", "Bytes of datagrams to other daemons.";
    STORE_CALLS = "store_calls", Counter, "kind of call", "Calls to the platform's store.";
    STORE_CALLS_FAILED = "store_calls_failed", Counter, "kind of call", "Calls without an answer, or refused.";
    STORE_CONFLICTS = "store_conflicts", Counter, "kind of call", "Writes that came second.";
    STORE_CALL = "store_call", Spans, "kind of call", "How long calls took, the wait for changes included.";
    IS_PLANNER = "is_planner", Gauge, "daemon", "1 if this daemon is the planner.";
    FENCE = "fence", Gauge, "daemon", "The planner's fencing token as this daemon knows it.";
    CONFIG_VERSION = "config_version", Gauge, "daemon", "The configuration in force.";
    CONFIG_TOLD = "config_told", Gauge, "daemon", "The newest configuration that the planner has told of; above `config_version`, this daemon is behind.";
    DAEMONS = "daemons", Gauge, "daemon", "Daemons that share the retry budgets, as this daemon knows.";
    RETRIES_SPENT = "retries_spent", Gauge, "service", "Second sends of this daemon within the window of the retry budget.";
    RETRIES_ALLOWED = "retries_allowed", Gauge, "service", "Second sends that its part of the budget allows it there.";
    POISON_CONVICTED = "poison_convicted", Gauge, "daemon", "Requests that are rejected because targets have crashed under them.";
    POISON_SUSPECTED = "poison_suspected", Gauge, "daemon", "Requests that were at a target when it crashed, and not often enough to be rejected.";
    TARGETS = "targets", Gauge, "daemon", "Targets known.";
    TARGETS_KEPT = "targets_kept", Gauge, "daemon", "Targets whose entries are gone and that are kept for now, as they may have lapsed while the store was away.";
    LIST_VERSION = "list_version", Gauge, "daemon", "The newest version of the store as of which something of the list of targets is known.";
    LIST_CALL_AGE = "list_call_age_seconds", Gauge, "daemon", "Since this daemon's own last call for the list; -1 before the first, large at daemons that follow the planner.";
    CONFIG_CALL_AGE = "config_call_age_seconds", Gauge, "daemon", "The same for the configuration.";
}
