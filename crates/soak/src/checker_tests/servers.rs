//! Servers: draining, and orders.

use super::{RunFixture, ms};
use crate::checker::DrainedServer;
use crate::schedule::Schedule;
use rstest::rstest;

#[rstest]
#[case::in_time("", 8_300, &[])]
#[case::late("", 8_301, &["drain"])]
#[case::with_an_agent_partitioned("agent_silent 8000 100 0 0", 8_301, &[])]
#[case::with_an_agent_killed("agent_kill 8000 100 0 0", 8_301, &[])]
#[case::with_a_failing_server("server_failing 8000 100 0 0", 8_301, &["drain"])]
#[case::with_an_earlier_fault("control_kill 100 1000 0 0", 12_000, &["drain"])]
#[case::just_after_a_fault("control_kill 8000 1000 0 0", 12_299, &[])]
#[case::in_touch_after_a_fault("control_kill 8000 1000 0 0", 12_301, &["drain"])]
#[case::with_the_platform_out_of_reach("platform_dark 4000 6000 0 0", 13_299, &[])]
#[case::with_the_platform_back("platform_dark 4000 6000 0 0", 13_301, &["drain"])]
#[case::with_a_later_fault("control_kill 12000 1000 0 0", 12_000, &["drain"])]
fn a_request_that_reaches_a_draining_server_late_is_reported(
    #[case] schedule: &str, #[case] at: u64, #[case] expected: &[&str],
) {
    let mut fixture = RunFixture::new(schedule);
    fixture.drained_servers.push(DrainedServer { instance: "i-5-1".to_owned(), since: ms(5_000) });
    fixture.record_arrival("i-5-1", ms(at));
    fixture.record_arrival("i-6-1", ms(20_000));
    assert_eq!(fixture.rules(), expected);
}

#[test]
fn two_holders_of_a_token_and_repeated_orders_are_reported() {
    let mut fixture = RunFixture::new("");
    fixture.record_order(r#"{"Fence":4,"Holder":"a"}"#);
    fixture.record_order(r#"{"Fence":5,"Holder":"b"}"#);
    assert_eq!(fixture.findings(), []);
    fixture.record_order(r#"{"Fence":5,"Holder":"b"}"#);
    assert_eq!(fixture.findings(), [("to_and_fro", "3 orders to i-0-1".to_owned())]);
    fixture.schedule = Schedule::parse("reload 1 1 1 1").expect("the schedule is valid");
    assert_eq!(fixture.findings(), []);
    fixture.record_order(r#"{"Fence":4,"Holder":"c"}"#);
    fixture.record_order("{}");
    let expected = [
        ("order", "token 4 was used by two holders, a and c".to_owned()),
        ("order", "malformed order: {}".to_owned()),
    ];
    assert_eq!(fixture.findings(), expected);
}

/// A server refuses an order of holder `a` under token 4 at 1,000 ms, since it has received token 9 from
/// another sender. Holder `a` then sends another order.
#[rstest]
#[case::in_transit(1_500, "i-1-1", 4, "", &[])]
#[case::later(2_001, "i-0-1", 4, "", &["refused_token"])]
#[case::another_server(2_001, "i-1-1", 4, "", &["refused_token"])]
#[case::under_a_new_token(2_001, "i-1-1", 5, "", &[])]
#[case::the_refusal_was_lost(2_001, "i-1-1", 4, "answers_lost 500 600 0 0", &[])]
#[case::the_refusal_was_received(2_001, "i-1-1", 4, "answers_lost 0 0 0 0\nanswers_lost 2001 100 0 0", &["refused_token"])]
fn an_order_under_a_token_that_was_refused_is_reported(
    #[case] at: u64, #[case] instance: &str, #[case] token: u64, #[case] schedule: &str,
    #[case] expected: &[&str],
) {
    // The reload avoids a finding of the rule `to_and_fro`: in a run without faults, three orders to one
    // server are reported.
    let fixture = RunFixture::new(&format!("reload 1 1 1 1\n{schedule}"));
    fixture.record_order_at(900, "i-0-1", r#"{"Fence":9,"Holder":"stranger"}"#);
    fixture.record_order_at(1_000, "i-0-1", r#"{"Fence":4,"Holder":"a"}"#);
    fixture.record_order_at(at, instance, &format!(r#"{{"Fence":{token},"Holder":"a"}}"#));
    assert_eq!(fixture.rules(), expected);
}
