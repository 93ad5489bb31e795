//! The interfaces to the platform: its store, orders to targets, and the wire format of requests.

use std::{
    io,
    net::{SocketAddr, UdpSocket},
    sync::Arc,
    time::Duration,
};

use tansyknot_core::{
    Result,
    name::{AdapterName, ModelName, TargetName, TeamName},
};
use tansyknot_http::head::Head;

use crate::{
    backpressure::Signals,
    catalog::Catalog,
    target::{Removal, Report, Target},
    zone_drain::ZoneUpdate,
};

/// A change of an entry in the list of targets.
#[derive(Clone, Debug)]
pub enum TargetChange {
    /// The entry is new or has changed.
    Put(Box<Target>),
    /// The entry was removed.
    Removed(Removal),
}

/// The result of following the list of targets.
#[derive(Clone, Debug)]
pub enum TargetListUpdate {
    /// Changes since the requested version.
    Changes {
        /// The changes in order.
        changes: Vec<TargetChange>,
        /// The version from which to continue.
        version: u64,
    },
    /// The store's history does not reach back that far: the list must be read in full.
    HistoryLost,
}

/// The operators' documents, or their changes, as a response of the store shows them.
#[derive(Clone, Debug)]
pub struct OperatorUpdate {
    /// The configuration; `None` if there is none yet, or if it has not changed.
    pub catalog: Option<Catalog>,
    /// The drained zones.
    pub zones: ZoneUpdate,
    /// Whether a response to a call that follows changes brought any.
    pub has_changes: bool,
    /// The version from which to continue.
    pub version: u64,
}

/// The names of the daemons' own rows in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RowName {
    /// The planner's lease, and the targets that it may order.
    Planner,
    /// Requests under which targets have crashed.
    Poison,
}

/// A row of the daemons' own in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreRow {
    /// Its value.
    pub value: Vec<u8>,
    /// Its version.
    pub version: u64,
}

/// The result of a conditional write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect; the row has this version.
    Done(u64),
    /// The row had another version; this is the current row, if there is one.
    Conflict(Option<StoreRow>),
}

/// A client of the platform's store.
pub trait Store: Send + Sync {
    /// Reads the full list of targets and the version from which to follow it, `within` a time
    /// limit.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not respond or its response is malformed.
    fn targets(&self, within: Duration) -> Result<(Vec<Target>, u64)>;

    /// Reads the list of targets if a single response has room for it; `None` if it is longer.
    ///
    /// # Errors
    ///
    /// Returns an error in the same cases as [`Store::targets`].
    fn short_list(&self, within: Duration) -> Result<Option<(Vec<Target>, u64)>> {
        self.targets(within).map(Some)
    }

    /// Returns what changed in the list of targets after `version`, without waiting.
    ///
    /// # Errors
    ///
    /// Returns an error in the same cases as [`Store::targets`].
    fn target_changes(&self, version: u64) -> Result<TargetListUpdate>;

    /// Reads the operators' documents `within` a time limit.
    ///
    /// # Errors
    ///
    /// Returns an error in the same cases as [`Store::targets`].
    fn operator_docs(&self, within: Duration) -> Result<OperatorUpdate>;

    /// Waits up to `wait` for a change of the operators' documents after `version`; `None` if the
    /// store's history is lost.
    ///
    /// # Errors
    ///
    /// Returns an error in the same cases as [`Store::targets`].
    fn operator_changes(&self, version: u64, wait: Duration) -> Result<Option<OperatorUpdate>>;

    /// Reads one of the daemons' own rows; `None` if it does not exist yet.
    ///
    /// # Errors
    ///
    /// Returns an error in the same cases as [`Store::targets`].
    fn row(&self, name: RowName) -> Result<Option<StoreRow>>;

    /// Writes one of the daemons' own rows if it has version `expected`; 0 means that it does not
    /// exist.
    ///
    /// # Errors
    ///
    /// Returns an error in the same cases as [`Store::targets`]; the write may still have taken
    /// effect.
    fn write_row(&self, name: RowName, expected: u64, value: &[u8]) -> Result<WriteOutcome>;
}

/// The action that an order demands of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Load a model, or an adapter of a loaded model.
    Load {
        /// The model.
        model: ModelName,
        /// The adapter, if the order is for one.
        adapter: Option<AdapterName>,
    },
    /// Remove a model, or one of its adapters.
    Remove {
        /// The model.
        model: ModelName,
        /// The adapter, if the order is for one.
        adapter: Option<AdapterName>,
    },
}

/// An order to a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The action.
    pub action: Action,
    /// The number of orders that the target must have accepted so far for it to accept this one.
    pub expected_orders: u64,
    /// The name of the daemon that sends the order.
    pub holder: Arc<str>,
    /// The fencing token of the daemon's lease.
    pub fence: u64,
}

/// A target's response to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderReply {
    /// The target executes the order.
    Accepted,
    /// The target already had the result of the order, or reached it immediately.
    Done,
    /// Another order is being executed, or the number of accepted orders differs.
    Conflict,
    /// The order cannot be executed, or the address belongs to another target.
    Refused,
}

/// A client that sends orders to targets and queries their reports.
pub trait Targets: Send + Sync {
    /// Sends an order. `still_allowed` is called once the connection is established, immediately
    /// before the first byte is sent.
    ///
    /// # Errors
    ///
    /// Returns an error if no response arrived; the order may still be executed later.
    fn order(
        &self,
        target: &Target,
        order: &Order,
        still_allowed: &dyn Fn() -> bool,
    ) -> Result<OrderReply>;

    /// Queries a target's report of its models and its work.
    ///
    /// # Errors
    ///
    /// Returns an error if the target does not respond or its response is malformed.
    fn report(&self, target: &Target) -> Result<Report>;
}

/// The properties of a request as read from its head.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestParams {
    /// The caller's identifier of this request.
    pub id: String,
    /// How long the caller waits.
    pub deadline: Option<Duration>,
    /// The model.
    pub model: Option<ModelName>,
    /// The adapter of the model.
    pub adapter: Option<AdapterName>,
    /// The parts of the prompt that other requests share, in order.
    pub shared_parts: Vec<PromptPart>,
    /// The number of tokens that the request declares, including those of its response.
    pub tokens: Option<u64>,
    /// The tokens of the prompt, if the request declares them.
    pub prompt_tokens: Option<u64>,
    /// The number of output tokens that the response is expected to have.
    pub expected_output: Option<u64>,
    /// The stream that the request resumes, if it resumes one.
    pub resumption: Option<Resumption>,
}

impl RequestParams {
    /// Returns the tokens that the request is expected to keep in the cache of its target; 0 if it
    /// declares none.
    pub fn expected_tokens(&self) -> u64 {
        self.prompt_tokens.unwrap_or(0).saturating_add(self.expected_output.unwrap_or(0))
    }

    /// Returns the identifiers of the shared parts of the prompt, separated by commas.
    pub fn shared_part_ids(&self) -> String {
        let ids = self.shared_parts.iter().map(|part| format!("{:x}", part.id));
        ids.collect::<Vec<_>>().join(",")
    }
}

/// An earlier attempt's stream that a request resumes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Resumption {
    /// The identifier of the attempt that brought the stream's first event, if the caller names it.
    pub first_attempt: Option<String>,
    /// The identifier of the last event that the caller has received.
    pub last_event: String,
}

/// A part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// A hash of its content.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// The sender of a request, as the target receives it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestSender<'a> {
    /// Teams are not configured, and the caller's own header lines have no meaning here.
    NoTeams,
    /// The request needs no key.
    Public,
    /// The request of a team.
    Team(&'a TeamName),
}

/// The properties that the daemon sets on a request that it forwards.
#[derive(Clone, Debug)]
pub struct ForwardParams<'a> {
    /// The only target that may run it.
    pub target: &'a TargetName,
    /// The time left until the request's deadline.
    pub time_left: Duration,
    /// The request's rank at the engine; 0 is served first.
    pub urgency: u8,
    /// The request's sender.
    pub sender: RequestSender<'a>,
    /// The number of the last event that the caller has received, if a stream is resumed.
    pub resume_after: Option<&'a str>,
}

/// What a target's response implies beside its status and body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseClass {
    /// The target ran the request.
    Ran,
    /// The target reports that it did not run the request.
    NotRun,
    /// Another target has the address, or the model is not loaded; the request did not run.
    Misdirected {
        /// Whether the named target itself responded, because the model is not loaded there.
        same_target: bool,
    },
    /// The response is not verified as the target's response to this request: it names another
    /// request, lacks the seal, or has a content encoding that was not requested.
    Unverified,
}

/// Reads and writes the heads of requests and responses.
pub trait Dialect: Send + Sync {
    /// Reads the properties of a request.
    fn request_params(&self, head: &Head) -> RequestParams;

    /// Reads the key of a request.
    fn key<'a>(&self, head: &'a Head) -> Option<&'a str>;

    /// Returns the header lines of a request that is forwarded to a target.
    fn forward(&self, head: &Head, to: &ForwardParams<'_>) -> Vec<(String, String)>;

    /// Classifies a response to the request `id` that was sent to `target`.
    fn classify(
        &self,
        id: &str,
        target: &TargetName,
        status: u16,
        headers: &[(String, String)],
    ) -> ResponseClass;

    /// Reads the backpressure signals in a response to the request `id`; `None` if the response may
    /// not be one of `target` to that request.
    fn signals(
        &self,
        id: &str,
        target: &TargetName,
        status: u16,
        headers: &[(String, String)],
    ) -> Option<Signals>;

    /// Returns a call that any target responds to without using a slot for it.
    fn liveness_call(&self, target: &Target) -> Vec<u8>;

    /// Returns the header lines of a refusal of the request `id`.
    fn refusal(&self, id: &str, retry_after: Option<Duration>) -> Vec<(String, String)>;
}

/// The address at which a peer of a daemon receives messages.
pub type PeerAddress = SocketAddr;

/// A sender of datagrams to other daemons.
pub trait DatagramSender: Send + Sync {
    /// Sends a datagram, which may be lost even if this succeeds.
    ///
    /// # Errors
    ///
    /// Returns an error if the datagram was not sent.
    fn send(&self, bytes: &[u8], to: SocketAddr) -> io::Result<()>;
}

impl DatagramSender for UdpSocket {
    fn send(&self, bytes: &[u8], to: SocketAddr) -> io::Result<()> {
        self.send_to(bytes, to).map(drop)
    }
}
