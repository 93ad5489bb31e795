//! The scan of an event stream in random pieces, compared with a plain model of the whole.

use rand::{Rng, SeedableRng, rngs::StdRng};
use tansyknot_http::events::{EVENT_END, EventScanner};

const SEEDS: u64 = 2_000;
const FRAGMENTS: [&str; 9] =
    ["\n", "\n\n", ":", "id:", " 7", "data: x", "a", "id: 12\n", ": c\n\n"];

/// What a stream holds, found by looking at all of it.
#[derive(Debug, PartialEq, Eq)]
struct Model {
    count: u64,
    has_fields: bool,
    last_id: Option<String>,
    ends_with_event: bool,
    lacks_id: bool,
}

/// Returns whether an event of `text` has fields and no identifier. What follows the last blank line is no
/// event yet.
fn lacks_id(text: &str) -> bool {
    let mut events: Vec<&str> = text.split("\n\n").collect();
    events.pop();
    events.into_iter().any(|event| {
        let mut fields =
            event.split('\n').filter(|line| !line.is_empty() && !line.starts_with(':'));
        let has_id = event.split('\n').any(|line| line.starts_with("id:"));
        fields.next().is_some() && !has_id
    })
}

fn model_of(text: &str) -> Model {
    let (lines, _) = text.rsplit_once('\n').unwrap_or(("", ""));
    let lines: Vec<&str> =
        if text.contains('\n') { lines.split('\n').collect() } else { Vec::new() };
    let ids = lines.iter().rev().filter_map(|line| line.strip_prefix("id:"));
    let bytes = text.as_bytes();
    Model {
        count: bytes.windows(EVENT_END.len()).filter(|w| *w == EVENT_END).count() as u64,
        has_fields: lines.iter().any(|line| !line.is_empty() && !line.starts_with(':')),
        last_id: ids.map(|id| id.trim().to_owned()).next(),
        ends_with_event: text.ends_with("\n\n"),
        lacks_id: lacks_id(text),
    }
}

fn scanned(scanner: &EventScanner) -> Model {
    Model {
        count: scanner.count(),
        has_fields: scanner.has_fields(),
        last_id: scanner.last_id().map(str::to_owned),
        ends_with_event: scanner.is_at_event_end(),
        lacks_id: scanner.lacks_id(),
    }
}

#[test]
fn events_in_random_pieces_are_scanned_as_in_a_plain_model() {
    for seed in 0..SEEDS {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut text = String::new();
        let mut scanner = EventScanner::default();
        for _ in 0..rng.random_range(1..12) {
            let fragments = rng.random_range(0..4);
            let fragment = |_| FRAGMENTS[rng.random_range(0..FRAGMENTS.len())];
            let piece: String = (0..fragments).map(fragment).collect();
            let before = text.len();
            text.push_str(&piece);
            let end = text.rfind("\n\n").map(|at| at + EVENT_END.len()).filter(|end| *end > before);
            let found = scanner.last_event_end(piece.as_bytes());
            assert_eq!(found, end.map(|end| end - before), "seed {seed}: {text:?} after {before}");
            scanner.scan(piece.as_bytes());
            assert_eq!(scanned(&scanner), model_of(&text), "seed {seed}: {text:?}");
        }
    }
}
