//! A runner as a process of its own: `runner ID [--events N] [--pause-ms N] [--unframed]
//! [--fail-one-in N] [--fail-status N] [--fail-after-ms N] [--fail-for-ms N]`.

use std::{io, time::Duration};

use review_standins::runner::{self, Options};

fn main() -> io::Result<()> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let number = |name: &str, default: u64| {
        let at = args.iter().position(|arg| arg == name);
        at.and_then(|at| args.get(at + 1)).and_then(|v| v.parse().ok()).unwrap_or(default)
    };
    runner::serve(Options {
        id: args.first().cloned().unwrap_or_default(),
        events: number("--events", 58),
        pause: Duration::from_millis(number("--pause-ms", 60)),
        is_unframed: args.iter().any(|arg| arg == "--unframed"),
        fail_one_in: number("--fail-one-in", 0),
        fail_status: number("--fail-status", 500) as u16,
        fail_after: Duration::from_millis(number("--fail-after-ms", 0)),
        fail_for: Duration::from_millis(number("--fail-for-ms", 0)),
    })
}
