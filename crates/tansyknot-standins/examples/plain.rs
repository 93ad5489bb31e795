//! Runs the stand-in for a plain service as a process: `--listen ADDRESS`.

use std::net::SocketAddr;

use clap::Parser;

#[derive(Parser)]
struct Args {
    /// The address to listen on.
    #[arg(long)]
    listen: SocketAddr,
}

fn main() -> std::io::Result<()> {
    let (running, _state) = tansyknot_standins::plain::start(Args::parse().listen)?;
    println!("plain on {}", running.address);
    loop {
        std::thread::park();
    }
}
