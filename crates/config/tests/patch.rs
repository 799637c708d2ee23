//! Tests of applying patches, and of the errors of patches that cannot be applied.

use lugwharf_config::{ConfigErrorKind, Configuration, ConfigurationPatch};
use rstest::rstest;
use serde_json::{Value, json};

fn route(name: &str, prefix: &str, timeout_ms: u64) -> Value {
    json!({"Name": name, "Host": "a.example", "PathPrefix": prefix, "RouteKind": "safe", "TimeoutMs": timeout_ms,
           "Service": "s-1"})
}

fn base_configuration() -> Value {
    json!({
        "Version": 7,
        "Routes": [route("r-1", "/x/", 100), route("r-2", "/y/", 200)],
        "Services": [{"Name": "s-1"}, {"Name": "s-2", "MaxConns": 5}],
        "Limits": {"MaxHeaderBytes": 100},
        "Unknown": [1]
    })
}

/// Applies a patch to [`base_configuration`]. An error is returned as its kind and field.
fn apply_to_base(patch: &Value) -> Result<Value, (ConfigErrorKind, String)> {
    let kind_and_field = |error: lugwharf_config::ConfigError| (error.kind, error.field);
    let patch = ConfigurationPatch::parse(patch.to_string().as_bytes()).map_err(kind_and_field)?;
    let bytes = patch.apply(base_configuration().to_string().as_bytes()).map_err(kind_and_field)?;
    Configuration::parse(&bytes).expect("the resulting configuration is valid");
    Ok(serde_json::from_slice(&bytes).expect("the resulting configuration is JSON"))
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
#[case::a_route_is_removed_and_another_gets_its_prefix(
    json!({"Version": 9, "Upsert": {"Routes": [route("r-3", "/x/", 300)]}, "Remove": {"Routes": ["r-1"]}}),
    json!({"Routes": [route("r-2", "/y/", 200), route("r-3", "/x/", 300)]})
)]
#[case::a_service_is_replaced(
    json!({"Version": 9, "Upsert": {"Services": [{"Name": "s-2", "MaxConns": 6}]}}),
    json!({"Services": [{"Name": "s-1"}, {"Name": "s-2", "MaxConns": 6}]})
)]
#[case::a_service_is_removed(json!({"Version": 9, "Remove": {"Services": ["s-2"]}}), json!({"Services": [{"Name": "s-1"}]}))]
fn a_patch_changes_only_the_named_items(#[case] patch: Value, #[case] changed_fields: Value) {
    let mut expected = base_configuration();
    expected["Version"] = json!(9);
    for (field, value) in changed_fields.as_object().expect("the changed fields are a JSON object") {
        expected[field] = value.clone();
    }
    assert_eq!(apply_to_base(&patch), Ok(expected));
}

#[rstest]
#[case::no_version(json!({}), ConfigErrorKind::Schema, "")]
#[case::version_zero(json!({"Version": 0}), ConfigErrorKind::Schema, "/Version")]
#[case::an_unknown_field(json!({"Version": 9, "Drop": {}}), ConfigErrorKind::Schema, "")]
#[case::an_unknown_list(json!({"Version": 9, "Upsert": {"Limits": []}}), ConfigErrorKind::Schema, "/Upsert")]
#[case::an_item_without_a_name(json!({"Version": 9, "Upsert": {"Routes": [{}]}}), ConfigErrorKind::Schema, "/Upsert/Routes/0")]
#[case::no_list(json!({"Version": 9, "Remove": {"Routes": "r-1"}}), ConfigErrorKind::Schema, "/Remove/Routes")]
#[case::an_item_twice(
    json!({"Version": 9, "Upsert": {"Routes": [route("r-1", "/x/", 1), route("r-1", "/z/", 1)]}}),
    ConfigErrorKind::DuplicateName, "/Upsert/Routes"
)]
#[case::replaced_and_removed(
    json!({"Version": 9, "Upsert": {"Routes": [route("r-1", "/x/", 1)]}, "Remove": {"Routes": ["r-1"]}}),
    ConfigErrorKind::DuplicateName, "/Remove/Routes"
)]
#[case::an_unknown_name(json!({"Version": 9, "Remove": {"Routes": ["r-2", "r-9"]}}), ConfigErrorKind::UnknownName, "/Remove/Routes/1")]
#[case::a_service_in_use_is_removed(json!({"Version": 9, "Remove": {"Services": ["s-1"]}}), ConfigErrorKind::UnknownService, "/Routes/0/Service")]
#[case::a_prefix_that_is_in_use(
    json!({"Version": 9, "Upsert": {"Routes": [route("r-3", "/y/", 1)]}}), ConfigErrorKind::DuplicateRoute, "/Routes/2/PathPrefix"
)]
#[case::a_route_that_breaks_the_schema(
    json!({"Version": 9, "Upsert": {"Routes": [{"Name": "r-3"}]}}), ConfigErrorKind::Schema, "/Routes/2"
)]
#[case::a_route_with_a_zero_timeout(
    json!({"Version": 9, "Upsert": {"Routes": [route("r-3", "/z/", 0)]}}), ConfigErrorKind::ZeroTimeout, "/Routes/2/TimeoutMs"
)]
fn the_error_of_a_patch_names_the_place(
    #[case] patch: Value, #[case] kind: ConfigErrorKind, #[case] field: &str,
) {
    assert_eq!(apply_to_base(&patch), Err((kind, field.to_owned())));
}

#[test]
fn text_that_is_not_json_is_reported_as_such() {
    let error = ConfigurationPatch::parse(b"{").expect_err("the text is not JSON");
    assert_eq!(error.kind, ConfigErrorKind::NotJson);
}

/// Two processes that apply the same patch must produce the same bytes.
#[test]
fn the_result_does_not_depend_on_the_whitespace_of_the_base() {
    let patch = json!({"Version": 9, "Upsert": {"Routes": [route("r-1", "/z/", 300)]}}).to_string();
    let patch = ConfigurationPatch::parse(patch.as_bytes()).expect("the patch is valid");
    let pretty = serde_json::to_vec_pretty(&base_configuration()).expect("the base is encoded");
    let compact = base_configuration().to_string().into_bytes();
    assert_eq!(patch.apply(&pretty), patch.apply(&compact));
}
