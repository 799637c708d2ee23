//! The limits change while client connections are open. A request is judged by the limits in force when its
//! first bytes arrive, however long its connection has been open.

mod support;

use lugwharf_config::Limits;
use rstest::rstest;
use std::time::Duration;
use support::clock::advance_clock;
use support::*;
use tokio::time::Instant;

/// The pause in the middle of a request whose time is limited.
const PAUSE: Duration = Duration::from_secs(1);

const LOW: Limits =
    Limits { max_header_bytes: 2_000, max_body_bytes: 1_000, header_timeout_ms: 500, idle_timeout_ms: 4_000 };
const HIGH: Limits = Limits {
    max_header_bytes: 4_000,
    max_body_bytes: 3_000,
    header_timeout_ms: 2_000,
    idle_timeout_ms: 4_000,
};

/// A request that [`HIGH`] allows, and that [`LOW`] rejects because of one of the limits.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Excess {
    HeadBytes,
    BodyBytes,
    ChunkedBodyBytes,
    HeadTime,
    BodyTime,
}

impl Excess {
    /// Returns the request in two parts. Between them the client pauses if the time is limited.
    fn request(self) -> (String, String) {
        let long = "x".repeat(2_500);
        let text = match self {
            Excess::HeadBytes => unrouted_request("GET", &format!("X: {long}\r\n"), ""),
            Excess::BodyBytes => unrouted_request("POST", "Content-Length: 2500\r\n", &long),
            Excess::ChunkedBodyBytes => {
                let body = chunk(&long) + LAST_CHUNK;
                unrouted_request("POST", "Transfer-Encoding: chunked\r\n", &body)
            }
            Excess::HeadTime => unrouted_request("GET", "", ""),
            Excess::BodyTime => unrouted_request("POST", "Content-Length: 4\r\n", "body"),
        };
        let (first, rest) = text.split_at(if self == Excess::BodyTime { text.len() - 1 } else { 1 });
        (first.to_owned(), rest.to_owned())
    }

    fn rejection_status(self) -> u16 {
        match self {
            Excess::HeadBytes => 431,
            Excess::BodyBytes | Excess::ChunkedBodyBytes => 413,
            Excess::HeadTime | Excess::BodyTime => 408,
        }
    }

    /// Returns the status under `limits`.
    fn status(self, limits: &Limits) -> u16 {
        if *limits == HIGH { 404 } else { self.rejection_status() }
    }

    /// Sends the second part, after the pause.
    async fn send_rest(self, proxy: &TestProxy, client: &mut Connection) {
        proxy.wait_until_received().await;
        if self.rejection_status() == 408 {
            advance_clock(PAUSE).await;
        }
        client.send(&self.request().1).await;
    }
}

/// What happens on a client connection before the limits change.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Before {
    /// Nothing: the connection has never carried a byte.
    Unused,
    /// A request is served, and the connection rests.
    Served,
    /// A request is sent to a server, which responds after the change.
    InProgress,
}

impl Before {
    /// Opens a connection. Returns it with the server's connection of a request in progress.
    async fn connect(self, proxy: &TestProxy) -> (Connection, Option<Connection>) {
        match self {
            Before::Unused => {
                let client = proxy.connect().await;
                proxy.wait_until_received().await;
                (client, None)
            }
            Before::Served => {
                let mut client = proxy.connect().await;
                client.send(&unrouted_request("GET", "", "")).await;
                assert_eq!(client.read_response().await.status(), 404);
                (client, None)
            }
            Before::InProgress => {
                let (client, server, _) = proxy.dispatch("r1", "").await;
                (client, Some(server))
            }
        }
    }
}

/// Completes the request in progress, if there is one.
async fn complete(client: &mut Connection, server: Option<Connection>) {
    if let Some(mut server) = server {
        server.send(&ok_response("r1", "ok")).await;
        assert_eq!(client.read_response().await.body, "ok");
    }
}

/// Returns the limits before and after the change.
fn change(is_raised: bool) -> (Limits, Limits) {
    if is_raised { (LOW, HIGH) } else { (HIGH, LOW) }
}

/// Guards against a connection that keeps the limits of the version in force when it began to wait: requests
/// that the newer version allows were rejected on it for good.
#[rstest]
#[tokio::test]
async fn request_after_a_change_is_judged_by_the_newer_limits(
    #[values(
        Excess::HeadBytes,
        Excess::BodyBytes,
        Excess::ChunkedBodyBytes,
        Excess::HeadTime,
        Excess::BodyTime
    )]
    excess: Excess,
    #[values(false, true)] is_raised: bool,
    #[values(Before::Unused, Before::Served, Before::InProgress)] before: Before,
) {
    let (older, newer) = change(is_raised);
    with_proxy(Scenario::new("unsafe").limits(older), async |proxy| {
        let (mut client, server) = before.connect(proxy).await;
        proxy.limits = newer.clone();
        proxy.configure(2, &[Route::new("unsafe")]).await;
        client.send(&excess.request().0).await;
        proxy.wait_until_received().await;
        complete(&mut client, server).await;
        excess.send_rest(proxy, &mut client).await;
        assert_eq!(client.read_response().await.status(), excess.status(&newer));
    })
    .await;
}

/// Guards against limits of two versions for one request: its head and its body are judged by the limits in
/// force when its first byte arrived, even if it waits behind another request.
#[rstest]
#[tokio::test]
async fn request_that_began_before_a_change_is_judged_by_the_older_limits(
    #[values(
        Excess::HeadBytes,
        Excess::BodyBytes,
        Excess::ChunkedBodyBytes,
        Excess::HeadTime,
        Excess::BodyTime
    )]
    excess: Excess,
    #[values(false, true)] is_raised: bool,
    #[values(Before::Unused, Before::Served, Before::InProgress)] before: Before,
) {
    let (older, newer) = change(is_raised);
    with_proxy(Scenario::new("unsafe").limits(older.clone()), async |proxy| {
        let (mut client, server) = before.connect(proxy).await;
        client.send(&excess.request().0).await;
        proxy.wait_until_received().await;
        proxy.limits = newer;
        proxy.configure(2, &[Route::new("unsafe")]).await;
        complete(&mut client, server).await;
        excess.send_rest(proxy, &mut client).await;
        assert_eq!(client.read_response().await.status(), excess.status(&older));
    })
    .await;
}

/// Guards against a connection that follows only the first change while it rests.
#[tokio::test]
async fn last_of_several_changes_during_a_rest_is_in_force() {
    with_proxy(Scenario::new("unsafe").limits(LOW), async |proxy| {
        let (mut client, _) = Before::Served.connect(proxy).await;
        for (version, limits) in (2..).zip([HIGH, LOW, HIGH]) {
            proxy.limits = limits;
            proxy.configure(version, &[Route::new("unsafe")]).await;
        }
        let (first, rest) = Excess::BodyBytes.request();
        client.send(&(first + rest.as_str())).await;
        assert_eq!(client.read_response().await.status(), 404);
    })
    .await;
}

/// Guards against an idle timeout that a connection keeps from when it began to rest: the connection was
/// closed early although its client followed the newer timeout, or was kept for as long as the older one.
#[rstest]
#[case::raised(4_000, 60_000, 65_000)]
#[case::lowered(60_000, 4_000, 9_000)]
#[tokio::test]
async fn idle_timeout_of_a_resting_connection_follows_the_configuration(
    #[case] older_ms: u64, #[case] newer_ms: u64, #[case] closed_after_ms: u64,
    #[values(Before::Unused, Before::Served)] before: Before,
) {
    let limits = |idle_timeout_ms| Limits { idle_timeout_ms, ..HIGH };
    with_proxy(Scenario::new("unsafe").limits(limits(older_ms)), async |proxy| {
        let since = Instant::now();
        let (mut client, _) = before.connect(proxy).await;
        proxy.limits = limits(newer_ms);
        proxy.configure(2, &[Route::new("unsafe")]).await;
        tokio::time::pause();
        assert!(client.is_closed().await);
        let idle_for = since.elapsed();
        let expected = Duration::from_millis(closed_after_ms);
        assert!(idle_for >= expected && idle_for < expected + Duration::from_secs(3), "{idle_for:?}");
    })
    .await;
}
