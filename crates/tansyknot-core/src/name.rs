//! Names of things, each a shared immutable string of its own type.

use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Wraps a name. The text is taken as it is.
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
    /// An adapter loaded beside the model of a service.
    AdapterName;
    /// A model engine or plain service that requests are sent to.
    TargetName;
    /// A model that engines load, as the operators named it.
    ModelName;
    /// A caller, as the operators named the holder of a key.
    CallerName;
    /// A team, as the operators named it.
    TeamName;
    /// A rule, as the operators named it.
    RuleName;
    /// A daemon, stable over restarts of the process on one address.
    DaemonName;
    /// An availability zone.
    ZoneName;
    /// One run of a process: a new value at each start.
    Incarnation;
    /// One request of a caller; the daemon makes it and returns it.
    RequestId;
    /// One attempt at a target for a request.
    AttemptId;
}

/// Makes an identifier that no other process makes: 128 random bits as hexadecimal digits.
pub fn random_id() -> String {
    format!("{:032x}", rand::random::<u128>())
}
