//! Requests under which targets crash.

pub mod key;
