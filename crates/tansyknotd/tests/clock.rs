//! Guards against a clock that stops while a host is suspended.
//!
//! `std::time::Instant` does not count the time in which a host is suspended. A daemon that used it
//! would resume with a lease that it takes for valid although another daemon holds it, and with views,
//! waits and deadlines that seem fresh. A test can't suspend a host, so this one checks which clock
//! the sources of the daemon read. The effects of time that passes between two steps of a daemon are
//! tested in virtual time (`tansyknot-fleet`, `suspended.rs`).

use std::{
    fs,
    path::{Path, PathBuf},
};

/// The source folders of a daemon.
const SOURCES: &[&str] = &[
    "crates/tansyknot-core/src",
    "crates/tansyknot-fleet/src",
    "crates/tansyknot-http/src",
    "crates/tansyknotd/src",
    "platform/src",
];
/// Texts of sources that use the clock that stops during a suspension.
const SUSPENDED_CLOCK_USES: &[&str] = &["Instant::now()", "time::Instant", "Instant, ", "Instant}"];
/// The clock that continues during a suspension; its name contains that of the other.
const BOOT_CLOCK: &str = "BootInstant";

fn sources(dir: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(dir).expect("the folder exists");
    let paths = entries.map(|entry| entry.expect("the entry can be read").path());
    paths.flat_map(|path| if path.is_dir() { sources(&path) } else { vec![path] }).collect()
}

#[test]
fn no_daemon_reads_a_clock_that_stops_while_its_host_is_suspended() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let files = SOURCES.iter().flat_map(|dir| sources(&root.join(dir)));
    let reads = |path: &PathBuf| {
        let text =
            fs::read_to_string(path).expect("sources are UTF-8 text").replace(BOOT_CLOCK, "");
        SUSPENDED_CLOCK_USES.iter().any(|clock| text.contains(clock))
    };
    let found: Vec<PathBuf> = files.filter(reads).collect();
    assert!(found.is_empty(), "{found:#?}");
}
