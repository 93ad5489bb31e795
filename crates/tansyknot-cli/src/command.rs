//! The commands, one module each.

pub(crate) mod apply;
pub(crate) mod ask;
pub(crate) mod completions;
pub(crate) mod daemons;
pub(crate) mod explain;
pub(crate) mod explain_logs;
pub(crate) mod get;
pub(crate) mod history;
pub(crate) mod key;
pub(crate) mod logs;
pub(crate) mod settings;
pub(crate) mod status;
