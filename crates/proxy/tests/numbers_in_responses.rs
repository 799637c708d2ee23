//! Numbers at the borders of integer types, in each header field of a response that the proxy reads as a number.

mod support;

use rstest::rstest;
use support::*;

/// Guards against a number of a server that overflows a time or a counter and ends the task of the request.
#[rstest]
#[tokio::test]
async fn number_of_a_server_never_ends_the_connection(
    #[values("Keep-Alive: timeout=#", "Load-Report: #,#,#", "Retry-After: #", "Versions: #")] field: &str,
    #[values("0", "4294967295", "9223372036854775807", "18446744073709551615", "18446744073709551616", "-1")]
    number: &str,
) {
    let headers = format!("{}\r\n", field.replace('#', number));
    with_proxy(Scenario::new("safe").servers(&["a"]), async |proxy| {
        let mut client = proxy.connect().await;
        for id in ["r1", "r2"] {
            client.send(&request(id, "", "body")).await;
            let (mut server, _) = tokio::select! {
                received = proxy.receive("a") => received,
                early = client.read_message() => panic!("the request ended before it was sent: {early:?}"),
            };
            server.send(&with_headers(&ok_response(id, "ok"), &headers)).await;
            assert_eq!(client.read_response().await.body, "ok");
            // The next request is on a new connection.
            drop(server);
        }
    })
    .await;
}
