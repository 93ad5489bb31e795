//! The weight store as a process: `--listen ADDRESS --load-ms N`.

use std::net::SocketAddr;

use clap::Parser;

#[derive(Parser)]
struct Args {
    /// Where it listens.
    #[arg(long)]
    listen: SocketAddr,
    /// How long a load takes at full speed.
    #[arg(long, default_value_t = 1500)]
    load_ms: u64,
}

fn main() -> std::io::Result<()> {
    let args = Args::parse();
    let (running, _state) = tansyknot_standins::weights::start(args.listen, args.load_ms)?;
    println!("weights on {}", running.address);
    loop {
        std::thread::park();
    }
}
