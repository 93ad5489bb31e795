//! Runs the stand-in for the weight store as a process: `--listen ADDRESS --load-ms N`.

use std::net::SocketAddr;

use clap::Parser;

#[derive(Parser)]
struct Args {
    /// The address to listen on.
    #[arg(long)]
    listen: SocketAddr,
    /// The duration of a load at full speed, in ms.
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
