//! The list of hosts as a process: `--listen ADDRESS`; fill it with `POST /hosts`.

use std::net::SocketAddr;

use clap::Parser;

#[derive(Parser)]
struct Args {
    /// Where it listens.
    #[arg(long)]
    listen: SocketAddr,
}

fn main() -> std::io::Result<()> {
    let (running, _state) = tansyknot_standins::hosts::start(Args::parse().listen)?;
    println!("hosts on {}", running.address);
    loop {
        std::thread::park();
    }
}
