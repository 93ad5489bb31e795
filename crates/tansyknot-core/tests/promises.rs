//! Every test that docs/PROMISES.md names exists.

use std::{fs, path::Path};

const PROMISES_PAGE: &str = include_str!("../../../docs/PROMISES.md");

/// Returns the concatenated text of all test files of the workspace.
fn test_files() -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let crates = fs::read_dir(root.join("crates"))
        .expect("the workspace has a `crates` directory")
        .flatten();
    let mut text = String::new();
    for package in crates.map(|dir| dir.path()).chain([root.join("platform")]) {
        let Ok(tests) = fs::read_dir(package.join("tests")) else { continue };
        for file in tests.flatten().filter(|f| f.path().extension().is_some_and(|e| e == "rs")) {
            text.push_str(&fs::read_to_string(file.path()).expect("a test file is UTF-8 text"));
        }
    }
    text
}

fn is_test_name(word: &str) -> bool {
    word.contains('_')
        && word.chars().all(|c| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '_')
}

#[test]
fn every_test_named_on_the_page_exists() {
    let files = test_files();
    let quoted = PROMISES_PAGE.split('`').skip(1).step_by(2);
    let names: Vec<&str> = quoted
        .map(|word| word.strip_suffix("::*").unwrap_or(word))
        .filter(|word| is_test_name(word))
        .collect();
    assert!(names.len() > 40, "the page names only {} tests", names.len());
    let missing: Vec<&&str> =
        names.iter().filter(|name| !files.contains(&format!("fn {name}("))).collect();
    assert!(missing.is_empty(), "these tests don't exist: {missing:?}");
}
