//! Checks that the tests that `docs/CONFORMANCE.md` names exist.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

/// The names of tests have more words than any other text that the page formats as code.
const MIN_WORDS_IN_TEST_NAME: usize = 5;

fn repository() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Adds all Rust files below a directory to `found`.
fn rust_files(directory: &Path, found: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(directory).expect("cannot read the directory") {
        let path = entry.expect("cannot read a directory entry").path();
        if path.is_dir() {
            rust_files(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
}

/// Returns the texts that a page formats as code and that look like names of tests.
fn named_tests(page: &str) -> BTreeSet<&str> {
    let code_spans = page.split('`').skip(1).step_by(2);
    let is_name = |text: &&str| {
        text.chars().all(|char| char.is_ascii_lowercase() || char.is_ascii_digit() || char == '_')
    };
    code_spans.filter(is_name).filter(|text| text.split('_').count() >= MIN_WORDS_IN_TEST_NAME).collect()
}

#[test]
fn each_test_that_the_conformance_table_names_exists() {
    let page = std::fs::read_to_string(repository().join("docs/CONFORMANCE.md"))
        .expect("cannot read docs/CONFORMANCE.md");
    let mut files = Vec::new();
    rust_files(&repository().join("crates"), &mut files);
    let sources: Vec<String> =
        files.iter().map(|file| std::fs::read_to_string(file).expect("cannot read a source file")).collect();
    let exists = |name: &&str| sources.iter().any(|source| source.contains(&format!("fn {name}(")));
    let named = named_tests(&page);
    assert!(!named.is_empty(), "the page names no test");
    let missing: Vec<&str> = named.into_iter().filter(|name| !exists(name)).collect();
    assert!(missing.is_empty(), "{missing:?}");
}

#[test]
fn names_of_tests_are_distinguished_from_other_code() {
    let page = "| `metrics.rs` | `a_b_c_d_e`, `order outcome=x` and `two_words` |";
    assert_eq!(named_tests(page), BTreeSet::from(["a_b_c_d_e"]));
}
