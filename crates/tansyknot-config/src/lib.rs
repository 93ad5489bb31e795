//! Settings files of daemons, the objects of the configuration, and the YAML documents that
//! operators apply.

pub mod document;
pub mod fleet;
pub mod object;
pub mod objects_in_force;
pub mod settings;
pub mod unit;
pub mod yaml;
