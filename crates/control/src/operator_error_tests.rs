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
fn every_kind_answers_as_the_design_page_says() {
    let told = ErrorKind::ALL.map(|kind| {
        let (status, name) = kind.status_and_name();
        (format!("{kind:?}"), status, name.to_owned())
    });
    let mut told = told.to_vec();
    let mut wanted = table();
    told.sort();
    wanted.sort();
    assert_eq!(told, wanted);
}

/// These end a call of the operator, so that a change that may have been taken must not get them.
#[test]
fn what_the_core_can_not_decide_ends_no_call() {
    let (status, _) = ErrorKind::Unavailable.status_and_name();
    assert!(!matches!(status, 400 | 409 | 412 | 413 | 422), "{status}");
}
