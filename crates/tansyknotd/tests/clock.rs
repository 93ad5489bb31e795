//! Daemons on hosts that are suspended.
//!
//! What would go wrong: a planner's host is suspended for seconds, another daemon takes the lease,
//! and on waking the first one takes its own for valid, as its clock has stood still; views, waits and
//! requests' deadlines seem as fresh as before. The cause: `std::time::Instant` does not count the
//! time in which a host is suspended. A host can't be suspended here, so this looks at which clock the
//! daemon's sources read; what follows from time that passes between two steps of a daemon is tested
//! in virtual time (`tansyknot-fleet`, `suspended.rs`).

use std::{
    fs,
    path::{Path, PathBuf},
};

/// What a daemon is made of.
const SOURCES: &[&str] = &[
    "crates/tansyknot-core/src",
    "crates/tansyknot-fleet/src",
    "crates/tansyknot-http/src",
    "crates/tansyknotd/src",
    "platform/src",
];
/// Readings of the clock that stands still.
const STANDS_STILL: &[&str] = &["Instant::now()", "time::Instant", "Instant, ", "Instant}"];
/// The clock that goes on, whose name ends like that of the other.
const GOES_ON: &str = "BootInstant";

fn sources(dir: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(dir).expect("the folder is there");
    let paths = entries.map(|entry| entry.expect("its entries can be read").path());
    paths.flat_map(|path| if path.is_dir() { sources(&path) } else { vec![path] }).collect()
}

#[test]
fn no_daemon_reads_a_clock_that_stands_still_while_its_host_is_suspended() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let files = SOURCES.iter().flat_map(|dir| sources(&root.join(dir)));
    let reads = |path: &PathBuf| {
        let text = fs::read_to_string(path).expect("sources are text").replace(GOES_ON, "");
        STANDS_STILL.iter().any(|clock| text.contains(clock))
    };
    let found: Vec<PathBuf> = files.filter(reads).collect();
    assert!(found.is_empty(), "{found:#?}");
}
