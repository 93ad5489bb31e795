//! Runs the stand-in for a model engine as a process.

use std::{net::SocketAddr, time::Duration};

use clap::Parser;
use tansyknot_core::host::Fencing;
use tansyknot_standins::engine::{self, EngineOptions};

#[derive(Parser)]
struct Args {
    /// The address to listen on.
    #[arg(long)]
    listen: SocketAddr,
    /// The memory for models, in GB.
    #[arg(long, default_value_t = 80)]
    memory_gb: u64,
    /// Ignore fencing tokens instead of checking them.
    #[arg(long)]
    ignore_fencing: bool,
    /// The address of the weight store, the source of remote checkpoints.
    #[arg(long)]
    weights: Option<SocketAddr>,
    /// The duration of a load from the host's local disk, in ms.
    #[arg(long, default_value_t = 300)]
    disk_load_ms: u64,
    /// The time to the first token, in ms.
    #[arg(long, default_value_t = 20)]
    first_token_ms: u64,
    /// The time between tokens, in ms.
    #[arg(long, default_value_t = 20)]
    token_gap_ms: u64,
}

fn main() -> std::io::Result<()> {
    let args = Args::parse();
    let options = EngineOptions {
        memory_bytes: args.memory_gb * 1_000_000_000,
        fencing: if args.ignore_fencing { Fencing::Ignored } else { Fencing::Checked },
        disk_load: Duration::from_millis(args.disk_load_ms),
        weights: args.weights,
        first_token: Duration::from_millis(args.first_token_ms),
        token_gap: Duration::from_millis(args.token_gap_ms),
        ..EngineOptions::default()
    };
    let (running, _engine) = engine::start(args.listen, options)?;
    println!("engine on {}", running.address);
    loop {
        std::thread::park();
    }
}
