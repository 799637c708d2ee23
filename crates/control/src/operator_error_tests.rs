//! Compares the status and name of each error kind with the table in the design document.

use crate::operator_error::ErrorKind;

const DESIGN: &str = include_str!("../../../docs/DESIGN.md");
const HEADING: &str = "## Errors of the operator's API";

/// Returns the kind, the status and the name in each row of the table.
fn table() -> Vec<(String, u16, String)> {
    let (_, section) = DESIGN.split_once(HEADING).expect("docs/DESIGN.md has no section with this heading");
    let section = section.split("\n## ").next().unwrap_or_default();
    let rows = section.lines().filter(|line| line.starts_with("| `"));
    rows.map(|row| {
        let cells: Vec<&str> = row.split('|').map(|cell| cell.trim().trim_matches('`')).collect();
        let [_, kind, status, name, ..] = cells.as_slice() else {
            panic!("the row has too few cells: {row}")
        };
        (
            (*kind).to_owned(),
            status.parse().expect("the documented status is not a number"),
            (*name).to_owned(),
        )
    })
    .collect()
}

#[test]
fn every_kind_has_the_documented_status_and_name() {
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

/// The operator does not retry after these statuses, so a change that may have been accepted must not be
/// answered with one.
#[test]
fn unavailable_has_a_status_that_lets_the_operator_retry() {
    let (status, _) = ErrorKind::Unavailable.status_and_name();
    assert!(!matches!(status, 400 | 409 | 412 | 413 | 422), "{status}");
}
