//! The configuration in force: versions, the digest and lookups.

use proptest::prelude::*;
use tansyknot_config::{
    document,
    object::Object,
    objects_in_force::{ConfigObjects, ObjectChange},
};
use yare::parameterized;

fn objects(text: &str) -> Vec<Object> {
    document::read(text, "test").expect("the objects are valid")
}

fn store(text: &str) -> ConfigObjects {
    let mut store = ConfigObjects::default();
    for object in objects(text) {
        store.apply(&ObjectChange::Put(object), 1);
    }
    store
}

const SERVICE: &str = "kind: service\nname: s\nlabels: {desk: a}\nbackend: {plain: {}}\n---\n\
    kind: adapter\nname: s-fr\nservice: s\n---\n";

#[parameterized(
    higher_rank = { "kind: rule\nname: a\nservices: ''\ntargets: ''\n---\n\
        kind: rule\nname: b\nservices: ''\ntargets: ''\nrank: 1\n", Some("b") },
    first_name = { "kind: rule\nname: b\nservices: ''\ntargets: ''\n---\n\
        kind: rule\nname: a\nservices: ''\ntargets: ''\n", Some("a") },
    only_matching = { "kind: rule\nname: a\nservices: desk=b\ntargets: ''\n---\n\
        kind: rule\nname: b\nservices: desk=a\ntargets: ''\n", Some("b") },
    none = { "kind: rule\nname: a\nservices: desk=b\ntargets: ''\n", None },
)]
fn rule_in_force(rules: &str, expected: Option<&str>) {
    let store = store(&format!("{SERVICE}{rules}"));
    for name in ["s", "s-fr"] {
        let resolved = store.resolve(name).expect("the service exists");
        assert_eq!(resolved.rule.map(|r| r.name.as_str()), expected);
    }
}

#[test]
fn new_key_of_a_caller_replaces_the_old_one() {
    let caller = |hash: &str| format!("kind: caller\nname: c\nkey_sha256: {}\n", hash.repeat(64));
    let mut store = store(&caller("a"));
    store.apply(&ObjectChange::Put(objects(&caller("b")).remove(0)), 2);
    assert!(store.caller(&"a".repeat(64)).is_none());
    assert!(store.caller(&"b".repeat(64)).is_some());
}

fn op_from_number(i: u8) -> ObjectChange {
    let text = format!("kind: adapter\nname: a{}\nservice: s{}\n", i % 4, i);
    if i.is_multiple_of(5) {
        ObjectChange::Delete(format!("adapter/a{}", i % 4))
    } else {
        ObjectChange::Put(objects(&text).remove(0))
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    /// Stale scans return older versions of objects, late or repeatedly. These must not overwrite
    /// a later version.
    #[test]
    fn older_puts_never_undo_later_ones(changes in prop::collection::vec(1_u8..100, 1..40)) {
        let mut expected = ConfigObjects::default();
        for (version, i) in changes.iter().enumerate() {
            expected.apply(&op_from_number(*i), version as u64 + 1);
        }
        let mut repeated = expected.clone();
        for stored in expected.objects() {
            for version in 1..=stored.version {
                repeated.apply(&ObjectChange::Put(stored.object.clone()), version);
            }
        }
        prop_assert_eq!(repeated.digest(), expected.digest());
        prop_assert_eq!(repeated.objects(), expected.objects());
    }

    /// The digest depends on the set of objects and versions only, not on the order of changes.
    #[test]
    fn digest_is_independent_of_order(changes in prop::collection::vec(1_u8..100, 1..40)) {
        let mut expected = ConfigObjects::default();
        for (version, i) in changes.iter().enumerate() {
            expected.apply(&op_from_number(*i), version as u64 + 1);
        }
        let mut rebuilt = ConfigObjects::default();
        for stored in expected.objects().into_iter().rev() {
            rebuilt.apply(&ObjectChange::Put(stored.object), stored.version);
        }
        prop_assert_eq!(rebuilt.digest(), expected.digest());
    }

    #[test]
    fn version_only_rises(versions in prop::collection::vec(any::<u64>(), 1..20)) {
        let mut store = ConfigObjects::default();
        let mut highest = 0;
        for version in versions {
            store.raise_version(version);
            highest = highest.max(version);
            prop_assert_eq!(store.version(), highest);
        }
    }
}
