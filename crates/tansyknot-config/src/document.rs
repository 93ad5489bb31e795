//! Reading and validation of documents of objects.

use std::collections::BTreeSet;

use miette::Diagnostic;
use thiserror::Error;

use crate::{
    object::{Backend, Object},
    yaml,
};

/// Maximum length of an object's name.
const MAX_NAME_BYTES: usize = 120;

/// A semantic error in an object that parses.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic)]
pub enum ObjectError {
    /// A name is empty, too long or has characters that are not allowed in paths and keys.
    #[error("{key:?} is not a name")]
    #[diagnostic(help("use 1 to 120 letters, digits, '-', '_' or '.'"))]
    Name {
        /// The object.
        key: String,
    },
    /// The minimum number of replicas is above the maximum.
    #[error("{key}: replicas.min is above replicas.max")]
    #[diagnostic(help("raise replicas.max or lower replicas.min"))]
    ReplicaBounds {
        /// The object.
        key: String,
    },
    /// The minimum retention is above the maximum.
    #[error("{key}: retention.at_least is above retention.at_most")]
    #[diagnostic(help("raise retention.at_most or lower retention.at_least"))]
    RetentionBounds {
        /// The object.
        key: String,
    },
    /// A number that must be positive is zero.
    #[error("{key}: {field} is zero")]
    #[diagnostic(help("give a positive number"))]
    Zero {
        /// The object.
        key: String,
        /// The field.
        field: &'static str,
    },
    /// The hash of a key is malformed.
    #[error("{key}: key_sha256 is not 64 hexadecimal digits")]
    #[diagnostic(help("`tansyknot key` generates a key and its hash"))]
    KeyHash {
        /// The object.
        key: String,
    },
    /// The document defines an object twice.
    #[error("{key} is defined twice")]
    #[diagnostic(help("remove one of the two definitions"))]
    Duplicate {
        /// The object.
        key: String,
    },
}

/// Reads the objects of a multi-document YAML file with one object per YAML document.
///
/// # Errors
///
/// Returns a report with the line of the error and a hint.
pub fn read(text: &str, file: &str) -> miette::Result<Vec<Object>> {
    let objects: Vec<Object> = yaml::read_many(text, file)?;
    check(&objects)?;
    Ok(objects)
}

/// Validates objects, each by itself and against duplicates.
///
/// # Errors
///
/// Returns the first error found.
pub fn check(objects: &[Object]) -> Result<(), ObjectError> {
    let mut keys = BTreeSet::new();
    for object in objects {
        let key = object.key();
        check_object(object, &key)?;
        if !keys.insert(key.clone()) {
            return Err(ObjectError::Duplicate { key });
        }
    }
    Ok(())
}

fn check_object(object: &Object, key: &str) -> Result<(), ObjectError> {
    check_name(key)?;
    let zero = |field| Err(ObjectError::Zero { key: key.to_owned(), field });
    match object {
        Object::Service(s) => match &s.backend {
            Backend::Model(m) if m.memory.get() == 0 => zero("backend.model.memory"),
            _ => Ok(()),
        },
        Object::Adapter(_) => Ok(()),
        Object::Rule(r) if r.replicas.min > r.replicas.max => {
            Err(ObjectError::ReplicaBounds { key: key.to_owned() })
        }
        Object::Rule(r) if r.retention.at_least > r.retention.at_most => {
            Err(ObjectError::RetentionBounds { key: key.to_owned() })
        }
        Object::Rule(r) if r.requests.in_flight_per_replica == 0 => {
            zero("requests.in_flight_per_replica")
        }
        Object::Rule(r) if r.requests.deadline.duration().is_zero() => zero("requests.deadline"),
        Object::Rule(_) => Ok(()),
        Object::Caller(c) if !is_sha256_hex(&c.key_sha256) => {
            Err(ObjectError::KeyHash { key: key.to_owned() })
        }
        Object::Caller(c) if c.limits.in_flight == 0 => zero("limits.in_flight"),
        Object::Caller(c) if c.limits.rate_per_s == 0 => zero("limits.rate_per_s"),
        Object::Caller(c) if c.limits.burst == 0 => zero("limits.burst"),
        Object::Caller(_) => Ok(()),
    }
}

fn check_name(key: &str) -> Result<(), ObjectError> {
    let name = key.split_once('/').map_or(key, |(_, name)| name);
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    let is_valid = !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.chars().all(allowed);
    if is_valid { Ok(()) } else { Err(ObjectError::Name { key: key.to_owned() }) }
}

fn is_sha256_hex(text: &str) -> bool {
    text.len() == 64 && text.chars().all(|c| c.is_ascii_hexdigit())
}
