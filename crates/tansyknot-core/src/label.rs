//! Labels, and the selectors that match them.

use std::{collections::BTreeMap, fmt, sync::Arc};

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Labels of a service or a target.
pub type Labels = BTreeMap<Arc<str>, Arc<str>>;

/// Why a selector could not be parsed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SelectorError {
    /// A term has no key.
    #[error("a term of the selector has no key: {0:?}")]
    EmptyKey(String),
    /// A key or value has a character that is not allowed in labels.
    #[error("{0:?} has a character that is not a letter, a digit or one of - _ . /")]
    BadCharacter(String),
    /// A list of values is empty or not closed.
    #[error("the list of values is empty or not closed: {0:?}")]
    BadList(String),
}

/// One requirement on labels.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Term {
    In(Arc<str>, Vec<Arc<str>>),
    NotIn(Arc<str>, Vec<Arc<str>>),
    Exists(Arc<str>),
    Missing(Arc<str>),
}

/// A conjunction of requirements on labels. The empty selector matches everything.
///
/// Terms are separated by commas: `zone=north`, `tier!=spare`, `gpu`, `!old`,
/// `family in (permit,registry)`, `family notin (test)`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Selector {
    text: String,
    terms: Vec<Term>,
}

impl Selector {
    /// Parses a selector.
    ///
    /// # Errors
    ///
    /// Fails with the term that could not be parsed.
    pub fn parse(text: &str) -> Result<Self, SelectorError> {
        let mut terms = Vec::new();
        for part in split_terms(text) {
            terms.push(parse_term(part.trim())?);
        }
        Ok(Self { text: text.trim().to_owned(), terms })
    }

    /// Returns whether `labels` match every term.
    pub fn matches(&self, labels: &Labels) -> bool {
        self.terms.iter().all(|term| term.matches(labels))
    }
}

impl Term {
    fn matches(&self, labels: &Labels) -> bool {
        match self {
            Term::In(key, values) => labels.get(key).is_some_and(|v| values.contains(v)),
            Term::NotIn(key, values) => !labels.get(key).is_some_and(|v| values.contains(v)),
            Term::Exists(key) => labels.contains_key(key),
            Term::Missing(key) => !labels.contains_key(key),
        }
    }
}

impl TryFrom<String> for Selector {
    type Error = SelectorError;

    fn try_from(text: String) -> Result<Self, SelectorError> {
        Self::parse(&text)
    }
}

impl From<Selector> for String {
    fn from(selector: Selector) -> String {
        selector.text
    }
}

impl fmt::Display for Selector {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}

/// Splits a selector at the commas outside of parentheses. An empty text has no terms.
fn split_terms(text: &str) -> Vec<&str> {
    if text.trim().is_empty() {
        return Vec::new();
    }
    let mut parts = Vec::new();
    let mut depth = 0_usize;
    let mut start = 0;
    for (at, c) in text.char_indices() {
        match c {
            '(' => depth += 1,
            ')' => depth = depth.saturating_sub(1),
            ',' if depth == 0 => {
                parts.push(&text[start..at]);
                start = at + 1;
            }
            _ => {}
        }
    }
    parts.push(&text[start..]);
    parts
}

fn parse_term(term: &str) -> Result<Term, SelectorError> {
    if let Some((key, list)) = term.split_once(" notin ") {
        return Ok(Term::NotIn(label_text(key)?, value_list(list)?));
    }
    if let Some((key, list)) = term.split_once(" in ") {
        return Ok(Term::In(label_text(key)?, value_list(list)?));
    }
    if let Some((key, value)) = term.split_once("!=") {
        return Ok(Term::NotIn(label_text(key)?, vec![label_text(value)?]));
    }
    if let Some((key, value)) = term.split_once('=') {
        return Ok(Term::In(label_text(key)?, vec![label_text(value)?]));
    }
    if let Some(key) = term.strip_prefix('!') {
        return Ok(Term::Missing(label_text(key)?));
    }
    Ok(Term::Exists(label_text(term)?))
}

fn label_text(text: &str) -> Result<Arc<str>, SelectorError> {
    let text = text.trim();
    if text.is_empty() {
        return Err(SelectorError::EmptyKey(text.to_owned()));
    }
    let allowed = |c: char| c.is_alphanumeric() || matches!(c, '-' | '_' | '.' | '/');
    if !text.chars().all(allowed) {
        return Err(SelectorError::BadCharacter(text.to_owned()));
    }
    Ok(Arc::from(text))
}

fn value_list(text: &str) -> Result<Vec<Arc<str>>, SelectorError> {
    let bad = || SelectorError::BadList(text.to_owned());
    let inner = text.trim().strip_prefix('(').and_then(|t| t.strip_suffix(')')).ok_or_else(bad)?;
    inner.split(',').map(|value| label_text(value).map_err(|_| bad())).collect()
}
