//! The error type of calls to the platform and to peers.

use thiserror::Error;

/// The result of a call to the platform or a peer.
pub type Result<T> = std::result::Result<T, Error>;

/// A failed call. The variant tells whether and how the call may be retried.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum Error {
    /// No byte of the call was sent. It may be retried anywhere.
    #[error("{service} could not be reached: {detail}")]
    Unreachable {
        /// The service that was called.
        service: &'static str,
        /// The error of the transport.
        detail: String,
    },
    /// The call was sent and its result is unknown. A write may have taken effect.
    #[error("{service} gave no answer: {detail}")]
    Unknown {
        /// The service that was called.
        service: &'static str,
        /// The error of the transport.
        detail: String,
    },
    /// The other side replied that it did nothing. The call may be retried later.
    #[error("{service} refused for now: {detail}")]
    Busy {
        /// The service that was called.
        service: &'static str,
        /// The reason given by the other side.
        detail: String,
    },
    /// The reply could not be parsed.
    #[error("{service} sent a malformed answer: {detail}")]
    Malformed {
        /// The service that was called.
        service: &'static str,
        /// What could not be parsed.
        detail: String,
    },
    /// The other side does not offer this operation.
    #[error("{service} does not support {operation}")]
    NotSupported {
        /// The service that was called.
        service: &'static str,
        /// The unsupported operation.
        operation: &'static str,
    },
    /// A condition of a transaction did not hold; nothing was written.
    #[error("a condition on {key} did not hold")]
    Conflict {
        /// The key of the first row whose version differed.
        key: String,
    },
    /// An engine refused an order because it has seen a higher fencing token.
    #[error("the engine has seen fencing token {seen}, later than this order's")]
    StaleFence {
        /// The highest token that the engine has seen.
        seen: u64,
    },
    /// An engine has too little memory for a load.
    #[error("the engine has too little memory")]
    OutOfMemory,
}

impl Error {
    /// Creates an [`Error::Unreachable`].
    pub fn unreachable(service: &'static str, detail: impl ToString) -> Self {
        Self::Unreachable { service, detail: detail.to_string() }
    }

    /// Creates an [`Error::Unknown`].
    pub fn unknown(service: &'static str, detail: impl ToString) -> Self {
        Self::Unknown { service, detail: detail.to_string() }
    }

    /// Creates an [`Error::Busy`].
    pub fn busy(service: &'static str, detail: impl ToString) -> Self {
        Self::Busy { service, detail: detail.to_string() }
    }

    /// Creates an [`Error::Malformed`].
    pub fn malformed(service: &'static str, detail: impl ToString) -> Self {
        Self::Malformed { service, detail: detail.to_string() }
    }

    /// Returns whether the call may have taken effect although it failed.
    pub fn may_have_taken_effect(&self) -> bool {
        matches!(self, Self::Unknown { .. } | Self::Malformed { .. })
    }
}
