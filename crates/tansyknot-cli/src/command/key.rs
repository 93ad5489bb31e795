//! `key`: generates a key for a caller.

use std::process::ExitCode;

use tansyknot_config::objects_in_force;
use tansyknot_core::name;

/// Runs `key`.
pub(crate) fn run() -> miette::Result<ExitCode> {
    let key = format!("tk-{}", name::random_id());
    println!("key:        {key}");
    println!("key_sha256: {}", objects_in_force::key_hash(&key));
    Ok(ExitCode::SUCCESS)
}
