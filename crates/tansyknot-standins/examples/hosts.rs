//! Runs the stand-in for the list of hosts as a process: `--listen ADDRESS`. `POST /hosts` sets
//! the list.

use std::net::SocketAddr;

use clap::Parser;

#[derive(Parser)]
struct Args {
    /// The address to listen on.
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
