//! The error type of everything that talks to the platform.

use thiserror::Error;

/// The result of a call to the platform or a peer.
pub type Result<T> = std::result::Result<T, Error>;

/// Says what failed, in kinds that tell a caller what it may retry.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum Error {
    /// No byte of the call was sent. It may be retried anywhere.
    #[error("{service} could not be reached: {detail}")]
    Unreachable {
        /// What was called.
        service: &'static str,
        /// What the transport said.
        detail: String,
    },
    /// The call was sent and its result is not known. A write may have taken effect.
    #[error("{service} gave no answer: {detail}")]
    Unknown {
        /// What was called.
        service: &'static str,
        /// What the transport said.
        detail: String,
    },
    /// The other side answered that it did nothing and may be asked again later.
    #[error("{service} refused for now: {detail}")]
    Busy {
        /// What was called.
        service: &'static str,
        /// What the other side said.
        detail: String,
    },
    /// The answer could not be understood.
    #[error("{service} sent a malformed answer: {detail}")]
    Malformed {
        /// What was called.
        service: &'static str,
        /// What did not parse.
        detail: String,
    },
    /// The other side does not offer this operation.
    #[error("{service} does not support {operation}")]
    NotSupported {
        /// What was called.
        service: &'static str,
        /// What was asked of it.
        operation: &'static str,
    },
    /// The condition of a write did not hold; nothing was written.
    #[error("a condition on {key} did not hold")]
    Conflict {
        /// The first row whose version differed.
        key: String,
    },
    /// An engine refused an order because it has seen a higher fencing token.
    #[error("the engine has seen fencing token {seen}, later than this order's")]
    StaleFence {
        /// The highest token that the engine has seen.
        seen: u64,
    },
    /// An engine has not enough memory for a load.
    #[error("the engine has too little memory")]
    OutOfMemory,
}

impl Error {
    /// Makes an [`Error::Unreachable`].
    pub fn unreachable(service: &'static str, detail: impl ToString) -> Self {
        Self::Unreachable { service, detail: detail.to_string() }
    }

    /// Makes an [`Error::Unknown`].
    pub fn unknown(service: &'static str, detail: impl ToString) -> Self {
        Self::Unknown { service, detail: detail.to_string() }
    }

    /// Makes an [`Error::Busy`].
    pub fn busy(service: &'static str, detail: impl ToString) -> Self {
        Self::Busy { service, detail: detail.to_string() }
    }

    /// Makes an [`Error::Malformed`].
    pub fn malformed(service: &'static str, detail: impl ToString) -> Self {
        Self::Malformed { service, detail: detail.to_string() }
    }

    /// Tells whether the call may have taken effect although it failed.
    pub fn may_have_taken_effect(&self) -> bool {
        matches!(self, Self::Unknown { .. } | Self::Malformed { .. })
    }
}
