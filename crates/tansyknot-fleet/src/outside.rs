//! What the fleet needs of the outside: the store, the targets' orders, and the wire's dialect.

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
};

/// An entry of the list of targets as a change tells it.
#[derive(Clone, Debug)]
pub enum TargetChange {
    /// The entry is new or has changed.
    Put(Box<Target>),
    /// The entry is gone.
    Removed(Removal),
}

/// What came of following the list of targets.
#[derive(Clone, Debug)]
pub enum TargetNews {
    /// Changes since the version that was asked for.
    Changes {
        /// The changes in order.
        changes: Vec<TargetChange>,
        /// The version to go on from.
        version: u64,
    },
    /// The store does not remember that far back: the list must be read anew.
    HistoryLost,
}

/// Which of this project's own rows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RowName {
    /// Who the planner is, and what it may order.
    Planner,
    /// Requests under which targets have crashed.
    Poison,
}

/// A row of this project's own.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnRow {
    /// Its value.
    pub value: Vec<u8>,
    /// Its version.
    pub version: u64,
}

/// What became of a conditional write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Written {
    /// It took effect; the row has this version.
    Done(u64),
    /// The row had another version; this is the row, if there is one.
    Conflict(Option<OwnRow>),
}

/// A client of the platform's store.
pub trait Store: Send + Sync {
    /// Reads the whole list of targets, and the version to follow it from, `within` a span.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer or answers nonsense.
    fn targets(&self, within: Duration) -> Result<(Vec<Target>, u64)>;

    /// Returns what changed in the list of targets after `version`, without waiting.
    ///
    /// # Errors
    ///
    /// Fails as [`Store::targets`] does.
    fn target_changes(&self, version: u64) -> Result<TargetNews>;

    /// Reads the operators' configuration `within` a span; `None` if there is none yet.
    ///
    /// # Errors
    ///
    /// Fails as [`Store::targets`] does.
    fn catalog(&self, within: Duration) -> Result<(Option<Catalog>, u64)>;

    /// Waits up to `wait` for a change after `version`; `None` if the history is lost.
    ///
    /// # Errors
    ///
    /// Fails as [`Store::targets`] does.
    fn catalog_changes(
        &self,
        version: u64,
        wait: Duration,
    ) -> Result<Option<(Option<Catalog>, u64)>>;

    /// Reads a row of this project's own; `None` if there is none yet.
    ///
    /// # Errors
    ///
    /// Fails as [`Store::targets`] does.
    fn row(&self, name: RowName) -> Result<Option<OwnRow>>;

    /// Writes a row of this project's own if it has version `expected`; 0 means that there is none.
    ///
    /// # Errors
    ///
    /// Fails as [`Store::targets`] does; the write may then have taken effect.
    fn write_row(&self, name: RowName, expected: u64, value: &[u8]) -> Result<Written>;
}

/// What a target is told to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Load a model, or an adapter of a model that it holds.
    Load {
        /// The model.
        model: ModelName,
        /// The adapter.
        adapter: Option<AdapterName>,
    },
    /// Remove a model, or one adapter.
    Remove {
        /// The model.
        model: ModelName,
        /// The adapter.
        adapter: Option<AdapterName>,
    },
}

/// An order to a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// What to do.
    pub action: Action,
    /// The target carries it out only if it has accepted this many orders.
    pub expected: u64,
    /// The daemon that orders.
    pub holder: Arc<str>,
    /// The fencing token.
    pub fence: u64,
}

/// How a target answered an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ordered {
    /// It is being carried out.
    Accepted,
    /// It already holds, or was carried out at once.
    Done,
    /// Another order is under way, or the count of orders differs.
    Conflict,
    /// It can't be carried out, or the address belongs to another target.
    Refused,
}

/// Sends orders to targets and asks them for reports.
pub trait Targets: Send + Sync {
    /// Sends an order. `still_allowed` is asked after the connection stands, immediately before
    /// the first byte is sent.
    ///
    /// # Errors
    ///
    /// Fails if no answer came; the order may then be carried out later.
    fn order(
        &self,
        target: &Target,
        order: &Order,
        still_allowed: &dyn Fn() -> bool,
    ) -> Result<Ordered>;

    /// Asks a target what it holds and does.
    ///
    /// # Errors
    ///
    /// Fails if it does not answer or answers nonsense.
    fn report(&self, target: &Target) -> Result<Report>;
}

/// What a request asks for, as its head says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ask {
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
    /// The tokens that it says it takes, those of its answer included.
    pub tokens: Option<u64>,
}

/// A part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// A hash of what it says.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// Whose request a target is told that it gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sender<'a> {
    /// There are no teams, and header lines of callers mean nothing here.
    Anybody,
    /// A request that needs no key.
    Public,
    /// A team's.
    Team(&'a TeamName),
}

/// What the daemon sets on a request that it passes on.
#[derive(Clone, Debug)]
pub struct Forward<'a> {
    /// The only target that may run it.
    pub target: &'a TargetName,
    /// Time left for it.
    pub left: Duration,
    /// Its rank at the engine; 0 goes first.
    pub urgency: u8,
    /// Whose request it is.
    pub sender: Sender<'a>,
    /// The number of the last event that the caller has, if a stream goes on.
    pub resume_after: Option<&'a str>,
}

/// What a target's answer says beside status and body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is an answer of a run.
    Ran,
    /// The target says that it did not run the request.
    NotRun,
    /// Another target has the address, or the model is not there; nothing was run.
    Misdirected {
        /// Whether the named target itself answered: it does not hold the model.
        same_target: bool,
    },
    /// The answer belongs to another request.
    Foreign,
}

/// Reads and writes the heads of requests and answers.
pub trait Dialect: Send + Sync {
    /// Reads what a request asks for.
    fn ask(&self, head: &Head) -> Ask;

    /// Reads the key that a request came with.
    fn key<'a>(&self, head: &'a Head) -> Option<&'a str>;

    /// Returns the header lines of the request that a target gets.
    fn forward(&self, head: &Head, to: &Forward<'_>) -> Vec<(String, String)>;

    /// Judges an answer to the request `id` that was sent to `target`.
    fn judge(
        &self,
        id: &str,
        target: &TargetName,
        status: u16,
        headers: &[(String, String)],
    ) -> Verdict;

    /// Reads the backpressure signals in an answer to the request `id`; `None` if it need not be an
    /// answer of `target` to that request.
    fn signals(
        &self,
        id: &str,
        target: &TargetName,
        status: u16,
        headers: &[(String, String)],
    ) -> Option<Signals>;

    /// Returns the header lines of a refusal.
    fn refusal(&self, id: &str, retry_after: Option<Duration>) -> Vec<(String, String)>;
}

/// Where a daemon's peer listens.
pub type PeerAddress = SocketAddr;

/// The way to other daemons.
pub trait Datagrams: Send + Sync {
    /// Sends a datagram; it may be lost all the same.
    ///
    /// # Errors
    ///
    /// Fails if it was not sent.
    fn send(&self, bytes: &[u8], to: SocketAddr) -> io::Result<()>;
}

impl Datagrams for UdpSocket {
    fn send(&self, bytes: &[u8], to: SocketAddr) -> io::Result<()> {
        self.send_to(bytes, to).map(drop)
    }
}
