//! The table from kind to answer against the one in the design page.

use crate::operator_error::ErrorKind;

const DESIGN: &str = include_str!("../../../docs/DESIGN.md");
const HEADING: &str = "## Errors of the operator's API";

/// Kind, status and name of each line of the table.
fn table() -> Vec<(String, u16, String)> {
    let (_, section) = DESIGN.split_once(HEADING).expect("the section");
    let section = section.split("\n## ").next().unwrap_or_default();
    let rows = section.lines().filter(|line| line.starts_with("| `"));
    rows.map(|row| {
        let cells: Vec<&str> = row.split('|').map(|cell| cell.trim().trim_matches('`')).collect();
        let [_, kind, status, name, ..] = cells.as_slice() else { panic!("{row}") };
        ((*kind).to_owned(), status.parse().expect("a status"), (*name).to_owned())
    })
    .collect()
}

#[test]
fn every_kind_has_the_status_and_name_of_the_design_page() {
    let actual = ErrorKind::ALL.map(|kind| {
        let (status, name) = kind.status_and_name();
        (format!("{kind:?}"), status, name.to_owned())
    });
    let mut actual = actual.to_vec();
    let mut documented = table();
    actual.sort();
    documented.sort();
    assert_eq!(actual, documented);
}

/// These statuses end a request for good; a change that may have been accepted must not get one.
#[test]
fn unavailable_has_a_status_that_lets_the_operator_retry() {
    let (status, _) = ErrorKind::Unavailable.status_and_name();
    assert!(!matches!(status, 400 | 409 | 412 | 413 | 422), "{status}");
}
