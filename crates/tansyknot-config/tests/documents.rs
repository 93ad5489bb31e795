//! Settings files and documents of objects: reading, and errors reported with their line.

use proptest::prelude::*;
use tansyknot_config::{
    document, settings,
    unit::{Bytes, DurationSetting},
};
use yare::parameterized;

const SETTINGS: &str = include_str!("../../../examples/settings/daemon.yaml");
const OBJECTS: &str = include_str!("../../../examples/settings/objects.yaml");

fn error_text(result: miette::Result<impl Sized>) -> String {
    match result {
        Ok(_) => String::new(),
        Err(report) => format!("{report:?}"),
    }
}

#[test]
fn example_files_are_valid() {
    assert_eq!(error_text(settings::read(SETTINGS, "daemon.yaml")), "");
    assert_eq!(error_text(document::read(OBJECTS, "objects.yaml")), "");
}

#[parameterized(
    unknown_key = { "drain:\n  timeout: 5m", "drain:\n  timeuot: 5m", "timeuot" },
    bad_unit = { "timeout: 2s", "timeout: 2 parsecs", "parsecs" },
    no_unit = { "timeout: 2s", "timeout: '2'", "unit" },
    bad_address = { "127.0.0.1:17001", "table-host:1", "platform" },
    zero_bound = { "connections: 4096", "connections: 0", "zero" },
    same_listener = { "operators: 127.0.0.1:17101", "operators: 127.0.0.1:17100", "same address" },
    missing_name = { "name: dakar-a-1", "", "name" },
    slow_refresh = { "limits:", "refresh: {config: 10s}\nlimits:", "refresh.config" },
)]
fn invalid_setting_is_rejected_with_its_cause(valid: &str, invalid: &str, cause: &str) {
    let text = SETTINGS.replacen(valid, invalid, 1);
    assert_ne!(text, SETTINGS);
    let report = error_text(settings::read(&text, "daemon.yaml"));
    assert!(report.contains(cause), "{report}");
}

#[test]
fn invalid_setting_is_reported_with_file_and_line() {
    let text = SETTINGS.replacen("timeout: 2s", "timeout: 2 parsecs", 1);
    let line = text.lines().position(|l| l.contains("parsecs")).expect("the line exists") + 1;
    let report = error_text(settings::read(&text, "daemon.yaml"));
    assert!(report.contains(&format!("daemon.yaml:{line}:")), "{report}");
}

#[parameterized(
    unknown_kind = { "kind: service\nname: registry", "kind: servant\nname: registry", "servant" },
    bad_selector = { "services: \"desk=registry\"", "services: \"desk=\"", "selector" },
    min_above_max = { "replicas: {max: 1}", "replicas: {max: 1, min: 2}", "replicas.min" },
    no_memory = { "memory: 16GB, adapter_memory", "memory: 0GB, adapter_memory", "zero" },
    bad_hash = { "key_sha256: ", "key_sha256: x", "key_sha256" },
    bad_name = { "name: registry\nlabels", "name: a/b\nlabels", "not a name" },
    twice = { "name: placement-summary", "name: permit-assistant", "twice" },
    retention = { "at_least: 30s", "at_least: 30m", "retention" },
)]
fn invalid_object_is_rejected_with_its_cause(valid: &str, invalid: &str, cause: &str) {
    let text = OBJECTS.replacen(valid, invalid, 1);
    let report = error_text(document::read(&text, "objects.yaml"));
    assert!(report.contains(cause), "{report}");
}

#[parameterized(
    ms = { "250ms", 250 }, s = { "30s", 30_000 }, m = { "10m", 600_000 },
    h = { "2h", 7_200_000 }, d = { "1d", 86_400_000 }, spaced = { " 5 s ", 5000 },
)]
fn duration_is_parsed_and_formatted(text: &str, ms: u64) {
    let duration = DurationSetting::try_from(text.to_owned()).expect("the duration is valid");
    assert_eq!(duration, DurationSetting::from_millis(ms));
    assert_eq!(DurationSetting::try_from(duration.to_string()), Ok(duration));
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    #[test]
    fn any_text_is_read_or_rejected(text in "\\PC{0,200}") {
        let _ = settings::read(&text, "x");
        let _ = document::read(&text, "x");
    }

    #[test]
    fn sizes_round_trip(n in any::<u64>()) {
        let size = Bytes::new(n);
        prop_assert_eq!(Bytes::try_from(size.to_string()), Ok(size));
    }
}
