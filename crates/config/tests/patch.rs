//! What a change of named items makes of a configuration, and what is said of one that can't be made.

use lugwharf_config::{Configuration, ConfigurationPatch, FaultKind};
use rstest::rstest;
use serde_json::{Value, json};

fn route(name: &str, prefix: &str, timeout_ms: u64) -> Value {
    json!({"Name": name, "Host": "a.example", "PathPrefix": prefix, "RouteKind": "safe", "TimeoutMs": timeout_ms,
           "Service": "s-1"})
}

fn base() -> Value {
    json!({
        "Version": 7,
        "Routes": [route("r-1", "/x/", 100), route("r-2", "/y/", 200)],
        "Services": [{"Name": "s-1"}, {"Name": "s-2", "MaxConns": 5}],
        "Limits": {"MaxHeaderBytes": 100},
        "Unknown": [1]
    })
}

fn apply(patch: &Value) -> Result<Value, (FaultKind, String)> {
    let fault = |fault: lugwharf_config::ConfigFault| (fault.kind, fault.field);
    let patch = ConfigurationPatch::parse(patch.to_string().as_bytes()).map_err(fault)?;
    let bytes = patch.apply(base().to_string().as_bytes()).map_err(fault)?;
    Configuration::parse(&bytes).expect("a valid result");
    Ok(serde_json::from_slice(&bytes).expect("JSON"))
}

#[rstest]
#[case::nothing(json!({"Version": 9}), json!({}))]
#[case::a_route_is_replaced_in_its_place(
    json!({"Version": 9, "Upsert": {"Routes": [route("r-1", "/z/", 300)]}}),
    json!({"Routes": [route("r-1", "/z/", 300), route("r-2", "/y/", 200)]})
)]
#[case::a_route_is_added(
    json!({"Version": 9, "Upsert": {"Routes": [route("r-3", "/z/", 300)]}}),
    json!({"Routes": [route("r-1", "/x/", 100), route("r-2", "/y/", 200), route("r-3", "/z/", 300)]})
)]
#[case::one_goes_and_another_takes_its_place(
    json!({"Version": 9, "Upsert": {"Routes": [route("r-3", "/x/", 300)]}, "Remove": {"Routes": ["r-1"]}}),
    json!({"Routes": [route("r-2", "/y/", 200), route("r-3", "/x/", 300)]})
)]
#[case::a_service_is_replaced(
    json!({"Version": 9, "Upsert": {"Services": [{"Name": "s-2", "MaxConns": 6}]}}),
    json!({"Services": [{"Name": "s-1"}, {"Name": "s-2", "MaxConns": 6}]})
)]
#[case::a_service_goes(json!({"Version": 9, "Remove": {"Services": ["s-2"]}}), json!({"Services": [{"Name": "s-1"}]}))]
fn alters_what_it_names_and_nothing_else(#[case] patch: Value, #[case] altered: Value) {
    let mut wanted = base();
    wanted["Version"] = json!(9);
    for (field, value) in altered.as_object().expect("fields") {
        wanted[field] = value.clone();
    }
    assert_eq!(apply(&patch), Ok(wanted));
}

#[rstest]
#[case::no_version(json!({}), FaultKind::Schema, "")]
#[case::version_zero(json!({"Version": 0}), FaultKind::Schema, "/Version")]
#[case::an_unknown_part(json!({"Version": 9, "Drop": {}}), FaultKind::Schema, "")]
#[case::an_unknown_list(json!({"Version": 9, "Upsert": {"Limits": []}}), FaultKind::Schema, "/Upsert")]
#[case::an_item_without_a_name(json!({"Version": 9, "Upsert": {"Routes": [{}]}}), FaultKind::Schema, "/Upsert/Routes/0")]
#[case::no_list(json!({"Version": 9, "Remove": {"Routes": "r-1"}}), FaultKind::Schema, "/Remove/Routes")]
#[case::an_item_twice(
    json!({"Version": 9, "Upsert": {"Routes": [route("r-1", "/x/", 1), route("r-1", "/z/", 1)]}}),
    FaultKind::SameName, "/Upsert/Routes"
)]
#[case::replaced_and_removed(
    json!({"Version": 9, "Upsert": {"Routes": [route("r-1", "/x/", 1)]}, "Remove": {"Routes": ["r-1"]}}),
    FaultKind::SameName, "/Remove/Routes"
)]
#[case::an_unknown_name(json!({"Version": 9, "Remove": {"Routes": ["r-2", "r-9"]}}), FaultKind::UnknownName, "/Remove/Routes/1")]
#[case::a_service_in_use_goes(json!({"Version": 9, "Remove": {"Services": ["s-1"]}}), FaultKind::UnknownService, "/Routes/0/Service")]
#[case::a_place_that_is_taken(
    json!({"Version": 9, "Upsert": {"Routes": [route("r-3", "/y/", 1)]}}), FaultKind::SamePlace, "/Routes/2/PathPrefix"
)]
#[case::a_route_that_breaks_the_schema(
    json!({"Version": 9, "Upsert": {"Routes": [{"Name": "r-3"}]}}), FaultKind::Schema, "/Routes/2"
)]
#[case::a_route_without_time(
    json!({"Version": 9, "Upsert": {"Routes": [route("r-3", "/z/", 0)]}}), FaultKind::NoTimeout, "/Routes/2/TimeoutMs"
)]
fn names_the_place_at_fault(#[case] patch: Value, #[case] kind: FaultKind, #[case] field: &str) {
    assert_eq!(apply(&patch), Err((kind, field.to_owned())));
}

#[test]
fn what_is_no_json_is_said_to_be_none() {
    let fault = ConfigurationPatch::parse(b"{").expect_err("a fault");
    assert_eq!(fault.kind, FaultKind::NotJson);
}

/// A change that is computed by two processes is one change.
#[test]
fn leads_to_the_same_bytes_however_the_base_is_spaced() {
    let patch = json!({"Version": 9, "Upsert": {"Routes": [route("r-1", "/z/", 300)]}}).to_string();
    let patch = ConfigurationPatch::parse(patch.as_bytes()).expect("a patch");
    let spaced = serde_json::to_vec_pretty(&base()).expect("text");
    let dense = base().to_string().into_bytes();
    assert_eq!(patch.apply(&spaced), patch.apply(&dense));
}
