//! Tests of the platform: pages, zones, lag and rate limit.

use lugwharf_emulator::platform::{InstanceEntry, InstanceState, Platform, PlatformParameters};
use lugwharf_emulator::wire::{Request, Response};
use rstest::rstest;
use serde_json::Value;
use std::time::Duration;

/// The time until a change appears in the list.
const LAG: Duration = Duration::from_millis(800);

/// A platform with three servers in `zone-a` and two in `zone-b`, added at time zero.
fn platform_with_five_servers(rate_per_s: f64, page_size: usize) -> Platform {
    let mut platform = Platform::new(PlatformParameters { lag: LAG, rate_per_s, page_size });
    for index in 0..5_u8 {
        let zone = if index < 3 { "zone-a" } else { "zone-b" };
        let address = ([10, 0, 0, index], 8_080).into();
        platform.put(InstanceEntry::plain(&format!("i-{index}"), "plain", address, zone, 6), Duration::ZERO);
    }
    platform
}

/// Requests a page of the list. Returns the status, the ids on the page and the value of `NextToken`.
fn list(platform: &mut Platform, target: &str, now: Duration) -> (u16, Vec<String>, Value) {
    let response: Response = platform.handle_request(&Request::new("GET", target), now);
    let body: Value = serde_json::from_slice(&response.body).expect("the body is JSON");
    let entries = body["Instances"].as_array().cloned().unwrap_or_default();
    let ids = entries.iter().filter_map(|entry| entry["Id"].as_str().map(str::to_owned)).collect();
    (response.status, ids, body["NextToken"].clone())
}

#[rstest]
#[case::first("/instances", &["i-0", "i-1"], "p-2".into())]
#[case::second("/instances?PageToken=p-2", &["i-2", "i-3"], "p-4".into())]
#[case::last("/instances?PageToken=p-4", &["i-4"], Value::Null)]
#[case::zone("/instances?Zone=zone-b", &["i-3", "i-4"], Value::Null)]
#[case::zone_and_page("/instances?Zone=zone-a&PageToken=p-2", &["i-2"], Value::Null)]
fn list_is_paged_and_filtered_by_zone(#[case] target: &str, #[case] ids: &[&str], #[case] next: Value) {
    let mut platform = platform_with_five_servers(50.0, 2);
    let (status, listed, token) = list(&mut platform, target, LAG);
    assert_eq!((status, listed, token), (200, ids.iter().map(|id| (*id).to_owned()).collect(), next));
}

#[test]
fn list_lags_behind_changes() {
    let mut platform = platform_with_five_servers(50.0, 50);
    assert_eq!(list(&mut platform, "/instances", LAG - Duration::from_millis(1)).1.len(), 0);
    platform.remove("i-1", LAG);
    platform.change("i-2", LAG, |entry| entry.state = InstanceState::Draining);
    assert_eq!(list(&mut platform, "/instances", LAG).1.len(), 5);
    assert_eq!(list(&mut platform, "/instances", LAG * 2).1.len(), 4);
    let response = platform.handle_request(&Request::new("GET", "/instances"), LAG * 2);
    assert!(String::from_utf8_lossy(&response.body).contains(r#""State":"draining""#));
}

#[test]
fn requests_over_the_rate_limit_get_429() {
    let mut platform = platform_with_five_servers(3.0, 50);
    let mut statuses = |now| (0..4).map(|_| list(&mut platform, "/instances", now).0).collect::<Vec<_>>();
    assert_eq!(statuses(LAG), [200, 200, 200, 429]);
    assert_eq!(statuses(LAG + Duration::from_secs(1)), [200, 200, 200, 429]);
}
