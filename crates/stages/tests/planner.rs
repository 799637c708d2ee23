//! Tests of the planner's decisions: which servers change their stage, and when.

use lugwharf_protocol::{ServerEntry, ServerState, Stage};
use lugwharf_stages::target::{Demand, decode_targets};
use lugwharf_stages::{OrderOutcome, Planner, PlannerSettings, StageReport};
use rstest::rstest;
use std::collections::BTreeMap;
use std::time::Duration;

/// The time that a server takes to change its stage.
const SWITCH: Duration = Duration::from_secs(2);

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn demand(decode_in_flight: f64) -> Demand {
    Demand { decode_in_flight, slots: 64, min_decode_share: 0.25, max_utilization: 0.6 }
}

fn server(number: u16, zone: &str, stage: Stage) -> ServerEntry {
    ServerEntry {
        id: format!("i-{number}"),
        service: "s".to_owned(),
        address: ([127, 0, 0, 1], 8000 + number).into(),
        zone: zone.to_owned(),
        slots: 64,
        state: ServerState::Ready,
        warmup_remaining_ms: 0,
        stage: Some(stage),
        models: Vec::new(),
    }
}

/// Two zones of four servers each; in each zone, the first `decode` servers decode.
fn fleet(decode: u16) -> Vec<ServerEntry> {
    let stage = |number| if number < decode { Stage::Decode } else { Stage::Prefill };
    let zone = |zone: &'static str, first: u16| (0..4).map(move |n| server(first + n, zone, stage(n)));
    zone("a", 0).chain(zone("b", 10)).collect()
}

fn plan(planner: &mut Planner, now: Duration, servers: &[ServerEntry], demand: &Demand) {
    let servers: Vec<&ServerEntry> = servers.iter().collect();
    planner.plan(now, "s", &servers, demand);
}

fn planner_with_lease() -> Planner {
    let mut planner = Planner::new(PlannerSettings::default());
    planner.lease_acquired(Duration::ZERO);
    planner
}

fn take_ordered_stages(planner: &mut Planner, now: Duration) -> Vec<(String, Stage)> {
    planner.take_due_orders(now).into_iter().map(|order| (order.id, order.stage)).collect()
}

#[rstest]
#[case(&[6, 6, 6], 0.0, &[2, 2, 1])]
#[case(&[6, 6, 6], 200.0, &[2, 2, 2])]
#[case(&[6, 6, 6], 345.0, &[3, 3, 3])]
#[case(&[2, 2], 0.0, &[1, 1])]
#[case(&[1, 5], 0.0, &[1, 1])]
#[case(&[3, 3], 1e9, &[2, 2])]
#[case(&[1], 0.0, &[1])]
#[case::empty_zone(&[0, 4], 0.0, &[0, 1])]
#[case::smaller_zone_is_further_below_its_share(&[11, 7], 0.0, &[3, 2])]
#[case::larger_zone_is_further_below_its_share(&[13, 5], 0.0, &[4, 1])]
fn decode_targets_meet_the_demand_and_leave_both_stages_in_each_zone(
    #[case] servers: &[usize], #[case] in_flight: f64, #[case] expected: &[usize],
) {
    let names = ["a", "b", "c"];
    let servers: BTreeMap<&str, usize> = names.into_iter().zip(servers.iter().copied()).collect();
    let targets: Vec<usize> = decode_targets(&servers, &demand(in_flight)).into_values().collect();
    assert_eq!(targets, expected);
}

#[test]
fn nothing_is_ordered_before_the_acquisition_delay() {
    let mut planner = planner_with_lease();
    let servers = fleet(3);
    plan(&mut planner, seconds(3.0), &servers, &demand(0.0));
    assert!(take_ordered_stages(&mut planner, seconds(3.1)).is_empty());
    plan(&mut planner, seconds(3.3), &servers, &demand(0.0));
    assert!(take_ordered_stages(&mut planner, seconds(3.5)).is_empty(), "announced, not ordered yet");
    let orders = take_ordered_stages(&mut planner, seconds(3.7));
    assert_eq!(orders.len(), 4);
    assert!(orders.iter().all(|(_, stage)| *stage == Stage::Prefill));
    assert!(take_ordered_stages(&mut planner, seconds(3.8)).is_empty(), "each is returned once");
}

#[test]
fn changing_server_is_draining_from_its_announcement_until_the_list_shows_it() {
    let mut planner = planner_with_lease();
    let servers = fleet(3);
    plan(&mut planner, seconds(4.0), &servers, &demand(0.0));
    let draining = |planner: &Planner| {
        let mut shown = fleet(3);
        planner.mark_changing_as_draining(&mut shown);
        shown.iter().filter(|server| server.state == ServerState::Draining).count()
    };
    assert_eq!(draining(&planner), 4);
    let orders = planner.take_due_orders(seconds(5.0));
    orders
        .iter()
        .for_each(|order| planner.record_outcome(seconds(5.0), &order.id, OrderOutcome::Accepted, SWITCH));
    assert_eq!(draining(&planner), 4);
    let mut changed = fleet(3);
    for server in &mut changed {
        if orders.iter().any(|order| order.id == server.id) {
            server.stage = Some(Stage::Prefill);
        }
    }
    planner.confirm_changes(&changed);
    assert_eq!(draining(&planner), 0);
}

#[test]
fn order_of_unknown_outcome_keeps_its_server_draining_until_it_could_have_changed() {
    let mut planner = planner_with_lease();
    plan(&mut planner, seconds(4.0), &fleet(2), &demand(0.0));
    let orders = planner.take_due_orders(seconds(5.0));
    assert_eq!(orders.len(), 2);
    orders
        .iter()
        .for_each(|order| planner.record_outcome(seconds(5.0), &order.id, OrderOutcome::Unknown, SWITCH));
    let mut shown = fleet(2);
    planner.mark_changing_as_draining(&mut shown);
    assert_eq!(shown.iter().filter(|server| server.state == ServerState::Draining).count(), 2);
    let servers = fleet(2);
    plan(&mut planner, seconds(9.1), &servers, &demand(0.0));
    assert_eq!(draining_count(&planner, &servers), 2, "only a report can tell");
    let ordered = |server: &&ServerEntry| orders.iter().any(|order| order.id == server.id);
    let unchanged = StageReport { stage: Stage::Decode, is_changing_stage: false, revision: 0 };
    for server in servers.iter().filter(ordered) {
        planner.record_report(seconds(9.2), server, unchanged, SWITCH);
    }
    assert_eq!(draining_count(&planner, &servers), 0, "the order was lost");
}

#[test]
fn under_load_one_server_of_a_zone_changes_at_a_time_followed_by_a_cooldown() {
    let mut planner = planner_with_lease();
    let servers = fleet(3);
    plan(&mut planner, seconds(4.0), &servers, &demand(10.0));
    let orders = planner.take_due_orders(seconds(5.0));
    assert_eq!(orders.len(), 2);
    plan(&mut planner, seconds(5.1), &servers, &demand(10.0));
    assert!(planner.take_due_orders(seconds(6.0)).is_empty(), "two are in progress");
    orders
        .iter()
        .for_each(|order| planner.record_outcome(seconds(6.0), &order.id, OrderOutcome::Rejected, SWITCH));
    plan(&mut planner, seconds(7.0), &servers, &demand(10.0));
    assert!(planner.take_due_orders(seconds(8.0)).is_empty(), "a cooldown");
    plan(&mut planner, seconds(17.0), &servers, &demand(10.0));
    assert_eq!(planner.take_due_orders(seconds(18.0)).len(), 2);
}

#[test]
fn more_requests_in_flight_reassign_servers_to_decode() {
    let mut planner = planner_with_lease();
    plan(&mut planner, seconds(4.0), &fleet(1), &demand(150.0));
    let orders = take_ordered_stages(&mut planner, seconds(5.0));
    assert_eq!(orders.len(), 2);
    assert!(orders.iter().all(|(_, stage)| *stage == Stage::Decode));
}

#[test]
fn nothing_is_ordered_after_the_lease_is_lost() {
    let mut planner = planner_with_lease();
    plan(&mut planner, seconds(4.0), &fleet(3), &demand(0.0));
    planner.lease_lost();
    assert!(planner.take_due_orders(seconds(9.0)).is_empty());
    plan(&mut planner, seconds(9.0), &fleet(3), &demand(0.0));
    assert!(planner.take_due_orders(seconds(10.0)).is_empty());
    planner.lease_acquired(seconds(11.0));
    plan(&mut planner, seconds(12.0), &fleet(3), &demand(0.0));
    assert!(planner.take_due_orders(seconds(13.0)).is_empty());
}

#[test]
fn decode_servers_of_a_burst_are_retained_for_a_while() {
    let mut planner = planner_with_lease();
    plan(&mut planner, seconds(4.0), &fleet(2), &demand(150.0));
    plan(&mut planner, seconds(8.0), &fleet(2), &demand(1.0));
    assert!(planner.take_due_orders(seconds(9.0)).is_empty(), "the next burst may come");
    plan(&mut planner, seconds(90.0), &fleet(2), &demand(1.0));
    assert_eq!(planner.take_due_orders(seconds(91.0)).len(), 2);
}

#[rstest]
#[case::one_surplus_under_load(&[2, 1], 10.0, 0)]
#[case::two_surplus_under_load(&[2, 2], 10.0, 2)]
#[case::one_surplus_without_load(&[2, 1], 0.0, 1)]
fn single_surplus_decode_server_is_not_reassigned_under_load(
    #[case] decode: &[u16], #[case] in_flight: f64, #[case] orders: usize,
) {
    let stage = |number, decode| if number < decode { Stage::Decode } else { Stage::Prefill };
    let zones = [("a", 0, decode[0]), ("b", 10, decode[1])];
    let servers: Vec<ServerEntry> = zones
        .into_iter()
        .flat_map(|(zone, first, decode)| (0..4).map(move |n| server(first + n, zone, stage(n, decode))))
        .collect();
    let mut planner = planner_with_lease();
    plan(&mut planner, seconds(4.0), &servers, &demand(in_flight));
    assert_eq!(planner.take_due_orders(seconds(5.0)).len(), orders);
}

/// The lease is lost while an order is outstanding, and acquired again; the outcome arrives while the next
/// change is only announced.
#[rstest]
#[case(OrderOutcome::Accepted)]
#[case(OrderOutcome::Unknown)]
#[case(OrderOutcome::Rejected)]
fn outcome_of_an_order_under_an_earlier_lease_is_ignored(#[case] late: OrderOutcome) {
    let mut planner = planner_with_lease();
    plan(&mut planner, seconds(4.0), &fleet(2), &demand(0.0));
    let orders = planner.take_due_orders(seconds(5.0));
    assert_eq!(orders.len(), 2);
    planner.lease_lost();
    planner.lease_acquired(seconds(6.0));
    plan(&mut planner, seconds(10.0), &fleet(2), &demand(0.0));
    orders.iter().for_each(|order| planner.record_outcome(seconds(10.1), &order.id, late, SWITCH));
    assert_eq!(planner.take_due_orders(seconds(11.0)), orders, "each is returned under this lease too");
}

/// A second outcome would keep the server out of service for longer, or return it too soon.
#[test]
fn only_the_first_outcome_of_an_order_counts() {
    let mut planner = planner_with_lease();
    plan(&mut planner, seconds(4.0), &fleet(2), &demand(0.0));
    let orders = planner.take_due_orders(seconds(5.0));
    orders
        .iter()
        .for_each(|order| planner.record_outcome(seconds(5.0), &order.id, OrderOutcome::Accepted, SWITCH));
    orders
        .iter()
        .for_each(|order| planner.record_outcome(seconds(5.1), &order.id, OrderOutcome::Rejected, SWITCH));
    let mut shown = fleet(2);
    planner.mark_changing_as_draining(&mut shown);
    assert_eq!(shown.iter().filter(|server| server.state == ServerState::Draining).count(), 2);
}

/// Returns how many of the servers are shown as draining.
fn draining_count(planner: &Planner, servers: &[ServerEntry]) -> usize {
    let mut shown = servers.to_vec();
    planner.mark_changing_as_draining(&mut shown);
    shown.iter().filter(|server| server.state == ServerState::Draining).count()
}

#[test]
fn server_that_rejected_stays_in_service_and_cools_down() {
    let mut planner = planner_with_lease();
    let servers = fleet(3);
    plan(&mut planner, seconds(4.0), &servers, &demand(0.0));
    let orders = planner.take_due_orders(seconds(5.0));
    orders
        .iter()
        .for_each(|order| planner.record_outcome(seconds(5.0), &order.id, OrderOutcome::Rejected, SWITCH));
    assert_eq!(draining_count(&planner, &servers), 0);
    // A list that shows the new stage, read before the rejection, does not end a cooldown.
    planner.confirm_changes(&fleet(1));
    let settings = PlannerSettings::default();
    let cooldown = SWITCH + settings.list_lag + settings.change_cooldown;
    plan(&mut planner, seconds(5.0) + cooldown, &servers, &demand(0.0));
    assert_eq!(
        planner.take_due_orders(seconds(20.0)).len(),
        4,
        "the cooldown of the servers is over as well"
    );
}

/// Nothing is planned until the cooldown after a change has ended.
#[rstest]
#[case::within(Duration::from_millis(1), 0)]
#[case::at_its_end(Duration::ZERO, 2)]
fn service_cools_down_for_the_switch_the_lag_and_the_cooldown(
    #[case] before: Duration, #[case] orders: usize,
) {
    let mut planner = planner_with_lease();
    let servers = fleet(2);
    plan(&mut planner, seconds(4.0), &servers, &demand(0.0));
    let first_orders = planner.take_due_orders(seconds(5.0));
    first_orders
        .iter()
        .for_each(|order| planner.record_outcome(seconds(5.0), &order.id, OrderOutcome::Accepted, SWITCH));
    planner.confirm_changes(&fleet(1));
    let settings = PlannerSettings::default();
    let settled_at = seconds(5.0) + SWITCH + settings.list_lag;
    plan(&mut planner, settled_at, &servers, &demand(0.0));
    let end = settled_at + settings.change_cooldown;
    plan(&mut planner, end - before, &servers, &demand(0.0));
    assert_eq!(planner.take_due_orders(end + seconds(1.0)).len(), orders);
}

/// The order may have been accepted. Once the list should show the change but does not, the server is asked
/// for its report; it returns to service only with its report, or if none arrives in time.
#[rstest]
#[case::within_the_switch_and_the_lag(Duration::ZERO, Duration::from_millis(1), 2, 0)]
#[case::at_their_end(Duration::ZERO, Duration::ZERO, 2, 2)]
#[case::while_it_is_asked(Duration::from_secs(3), Duration::from_millis(1), 2, 2)]
#[case::without_an_answer(Duration::from_secs(3), Duration::ZERO, 0, 0)]
fn changing_server_is_draining_until_it_is_confirmed(
    #[case] after: Duration, #[case] before: Duration, #[case] draining: usize, #[case] queried: usize,
) {
    let mut planner = planner_with_lease();
    let servers = fleet(2);
    plan(&mut planner, seconds(4.0), &servers, &demand(0.0));
    let first_orders = planner.take_due_orders(seconds(5.0));
    first_orders
        .iter()
        .for_each(|order| planner.record_outcome(seconds(5.0), &order.id, OrderOutcome::Accepted, SWITCH));
    // The list still shows the old stage.
    planner.confirm_changes(&servers);
    let end = seconds(5.0) + SWITCH + PlannerSettings::default().list_lag;
    assert_eq!(
        planner.servers_to_query(seconds(5.0), &servers).len(),
        servers.len(),
        "once under this lease"
    );
    // Planning another service only advances the time.
    if !after.is_zero() {
        planner.plan(end, "other", &[], &demand(0.0));
    }
    planner.plan(end + after - before, "other", &[], &demand(0.0));
    assert_eq!(draining_count(&planner, &servers), draining);
    assert_eq!(planner.servers_to_query(end + after, &servers).len(), queried);
}

#[test]
fn change_in_one_service_does_not_delay_another() {
    let mut planner = planner_with_lease();
    plan(&mut planner, seconds(4.0), &fleet(2), &demand(0.0));
    let others: Vec<ServerEntry> = (100..104)
        .map(|n| server(n, "a", if n < 103 { Stage::Decode } else { Stage::Prefill }))
        .map(|server| ServerEntry { service: "other".to_owned(), ..server })
        .collect();
    planner.plan(seconds(4.0), "other", &others.iter().collect::<Vec<_>>(), &demand(0.0));
    assert_eq!(planner.take_due_orders(seconds(5.0)).len(), 4);
}

/// With at least one request in flight, one server changes at a time and a single surplus server stays.
#[rstest]
#[case::none(0.99, 4)]
#[case::one(1.0, 2)]
fn one_request_in_flight_is_load(#[case] in_flight: f64, #[case] orders: usize) {
    let mut planner = planner_with_lease();
    plan(&mut planner, seconds(4.0), &fleet(3), &demand(in_flight));
    assert_eq!(planner.take_due_orders(seconds(5.0)).len(), orders);
}

/// 100 requests need 3 of 12 servers to decode: with 5 there are two surplus servers, with 4 there is one.
#[rstest]
#[case(4, 0)]
#[case(5, 1)]
fn surplus_is_relative_to_the_decode_servers_needed(#[case] decode: u16, #[case] orders: usize) {
    let stage = |number| if number < decode { Stage::Decode } else { Stage::Prefill };
    let servers: Vec<ServerEntry> = (0..12).map(|n| server(n, "a", stage(n))).collect();
    let mut planner = planner_with_lease();
    plan(&mut planner, seconds(4.0), &servers, &demand(100.0));
    assert_eq!(planner.take_due_orders(seconds(5.0)).len(), orders);
}

/// 150 requests need 4 of 8 servers. One time constant later a third of the decrease still counts, so that 2
/// servers are needed.
#[rstest]
#[case::soon(seconds(8.0), 0)]
#[case::after_the_time_constant(seconds(24.0), 2)]
fn load_decays_by_its_time_constant(#[case] later: Duration, #[case] orders: usize) {
    let mut planner = planner_with_lease();
    plan(&mut planner, seconds(4.0), &fleet(2), &demand(150.0));
    plan(&mut planner, later, &fleet(2), &demand(20.0));
    assert_eq!(planner.take_due_orders(later + seconds(1.0)).len(), orders);
}

/// Without load, exactly the missing number of servers changes.
#[test]
fn without_load_all_missing_decode_servers_change_at_once() {
    let mut planner = planner_with_lease();
    let demand = Demand { min_decode_share: 0.75, ..demand(0.0) };
    plan(&mut planner, seconds(4.0), &fleet(1), &demand);
    assert_eq!(planner.take_due_orders(seconds(5.0)).len(), 4);
}

/// A list that already shows the new stage does not end a change whose order has no outcome.
#[test]
fn server_is_draining_until_its_order_has_an_outcome() {
    let mut planner = planner_with_lease();
    plan(&mut planner, seconds(4.0), &fleet(2), &demand(0.0));
    assert_eq!(planner.take_due_orders(seconds(5.0)).len(), 2);
    planner.confirm_changes(&fleet(1));
    assert_eq!(draining_count(&planner, &fleet(1)), 2);
}

/// The cooldown of the server also applies after that of its service has ended.
#[rstest]
#[case::within(Duration::from_millis(1), 0)]
#[case::at_its_end(Duration::ZERO, 2)]
fn server_that_rejected_gets_no_order_for_its_cooldown(#[case] before: Duration, #[case] orders: usize) {
    let cooldown = seconds(60.0);
    let mut planner =
        Planner::new(PlannerSettings { failure_cooldown: cooldown, ..PlannerSettings::default() });
    planner.lease_acquired(Duration::ZERO);
    let servers = fleet(2);
    plan(&mut planner, seconds(4.0), &servers, &demand(0.0));
    let first_orders = planner.take_due_orders(seconds(5.0));
    let rejected: Vec<ServerEntry> = servers
        .iter()
        .filter(|server| first_orders.iter().any(|order| order.id == server.id))
        .cloned()
        .collect();
    first_orders
        .iter()
        .for_each(|order| planner.record_outcome(seconds(5.0), &order.id, OrderOutcome::Rejected, SWITCH));
    // The servers that rejected are the only ones with the surplus stage.
    let mut rest_of_fleet = servers;
    for server in &mut rest_of_fleet {
        if !rejected.iter().any(|rejected| rejected.id == server.id) {
            server.stage = Some(Stage::Prefill);
        }
    }
    let no_demand = Demand { min_decode_share: 0.0, ..demand(0.0) };
    let all = [rest_of_fleet, vec![server(5, "a", Stage::Decode), server(15, "b", Stage::Decode)]].concat();
    let end = seconds(5.0) + cooldown;
    plan(&mut planner, end - before, &all, &no_demand);
    let again = planner.take_due_orders(end + seconds(1.0));
    let again = again.iter().filter(|order| rejected.iter().any(|server| server.id == order.id));
    assert_eq!(again.count(), orders);
}

/// Simulates a fleet of three zones whose load, outcomes and lists are drawn from the seed; returns all
/// orders in sequence, each with its time in ms.
fn simulate_orders(seed: u64) -> Vec<(u64, String, Stage)> {
    let mut random = SplitMix64(seed);
    let stage = |draw: u64| if draw == 0 { Stage::Decode } else { Stage::Prefill };
    let zones = ["a", "b", "c"];
    let mut servers: Vec<ServerEntry> =
        (0..18).map(|n| server(n, zones[random.below(3) as usize], stage(random.below(2)))).collect();
    let mut planner = planner_with_lease();
    let mut switching: Vec<(Duration, String, Stage)> = Vec::new();
    let mut all = Vec::new();
    for step in 1..300 {
        let now = Duration::from_millis(step * 200);
        switching.retain(|(at, id, to)| {
            let server = servers.iter_mut().find(|server| server.id == *id && *at <= now);
            server.map(|server| server.stage = Some(*to)).is_none()
        });
        let in_flight = if random.below(8) == 0 { random.below(700) as f64 } else { 0.0 };
        planner.confirm_changes(&servers);
        plan(&mut planner, now, &servers, &demand(in_flight));
        for order in planner.take_due_orders(now) {
            let answer = match random.below(4) {
                0 => OrderOutcome::Rejected,
                1 => OrderOutcome::Unknown,
                _ => OrderOutcome::Accepted,
            };
            planner.record_outcome(now, &order.id, answer, SWITCH);
            if answer == OrderOutcome::Accepted {
                switching.push((now + SWITCH, order.id.clone(), order.stage));
            }
            all.push((step * 200, order.id, order.stage));
        }
    }
    all
}

/// A random number generator whose sequence never changes.
struct SplitMix64(u64);

impl SplitMix64 {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % bound
    }
}

/// All orders for some seeds, as recorded with commit 1a8c4db: `+` orders a server to decode, `-` to
/// prefill.
#[rstest]
#[case(
    1,
    "3600-10 3600-2 3600-6 11000+0 11000+1 11000+7 18400+0 18400+2 25800+0 25800+2 33200+0 33200+3 40600+3 48000+3 55400-1 55400-7"
)]
#[case(
    2,
    "3600+2 3600+3 11000+5 11000+7 18600-0 18600-1 26000+0 26000+5 33400+0 33400+9 40800+7 40800+9 48200-0 48200-1 48200-3 55600+0 55600+3"
)]
#[case(
    3,
    "3600+0 3600+6 3600+9 11000+0 11000+6 18400+0 18400+6 25800+0 33200+1 33200+8 40600+2 48000+2 55400+2"
)]
#[case(
    4,
    "3600+2 3600+4 11000+11 11000+5 18400+11 18400+7 25800+10 25800+12 33200-0 33200-1 40600+0 40600+14 48000+0 48000+14 55400-0 55400-4"
)]
fn orders_match_the_recorded_ones(#[case] seed: u64, #[case] recorded: &str) {
    let orders = simulate_orders(seed).into_iter().map(|(at, id, stage)| {
        let sign = if stage == Stage::Decode { '+' } else { '-' };
        format!("{at}{sign}{}", id.trim_start_matches("i-"))
    });
    assert_eq!(orders.collect::<Vec<_>>().join(" "), recorded);
}
