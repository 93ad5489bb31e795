//! Name types, each a shared immutable string.

use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates a name from a text, without validation.
            pub fn new(text: impl Into<Arc<str>>) -> Self {
                Self(text.into())
            }

            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Debug::fmt(&self.0, f)
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(Arc::from(text))
            }
        }
    )*};
}

names! {
    /// A service that callers name in their requests.
    ServiceName;
    /// An adapter loaded with the model of a service.
    AdapterName;
    /// A model engine or plain service that requests are sent to.
    TargetName;
    /// A model that engines load, as named by the operators.
    ModelName;
    /// A version of the software that a target runs, which is not the version of its models.
    SoftwareVersion;
    /// A caller (the holder of a key), as named by the operators.
    CallerName;
    /// A team, as named by the operators.
    TeamName;
    /// A rule, as named by the operators.
    RuleName;
    /// A daemon. The name stays the same when its process restarts at the same address.
    DaemonName;
    /// An availability zone.
    ZoneName;
    /// A region, which contains availability zones.
    RegionName;
    /// One run of a process. It changes at each start.
    Incarnation;
    /// One request of a caller. The daemon generates it and returns it to the caller.
    RequestId;
    /// One attempt to send a request to a target.
    AttemptId;
}

/// Returns a unique identifier: 128 random bits in hexadecimal digits.
pub fn random_id() -> String {
    format!("{:032x}", rand::random::<u128>())
}
