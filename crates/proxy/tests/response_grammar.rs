//! Drawn responses of servers, judged by a strict reader that shares no code with the proxy. `EXCHANGES` sets
//! how many are drawn, `SEED` the first seed.

mod support;

use lugwharf_emulator::client::{ReadError, StrictReader};
use rstest::rstest;
use std::str::FromStr;
use support::grammar::*;
use support::*;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

/// The number of exchanges for each kind of route.
const EXCHANGES: u64 = 1_500;

/// Returns a number from the environment.
fn number<T: FromStr>(variable: &str, default: T) -> T {
    std::env::var(variable).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// A client connection, whose responses are read strictly.
struct StrictClient {
    reader: StrictReader<OwnedReadHalf>,
    write: OwnedWriteHalf,
}

/// What a client received.
#[derive(Debug)]
struct Received {
    content: Content,
    is_stamped: bool,
    closes: bool,
}

impl StrictClient {
    async fn connect(proxy: &TestProxy) -> StrictClient {
        let stream = TcpStream::connect(proxy.front_address).await.expect("the proxy accepts");
        let (read, write) = stream.into_split();
        StrictClient { reader: StrictReader::new(read), write }
    }

    async fn receive(&mut self) -> Result<Received, ReadError> {
        let mut head = self.reader.read_head().await?;
        let mut body = Vec::new();
        while let Some(piece) = self.reader.read_piece(&mut head.body).await? {
            body.extend(piece);
        }
        let content = Content { status: head.status, body };
        let is_stamped = head.headers.get("server-stamp").is_some();
        Ok(Received { content, is_stamped, closes: head.headers.has_token("connection", "close") })
    }
}

/// The connection that a server has kept from the last exchange.
#[derive(Default)]
struct KeptConnection(Option<Connection>);

impl KeptConnection {
    /// Receives the next request, on the kept connection or on a new one.
    async fn receive(&mut self, proxy: &TestProxy) -> Connection {
        if let Some(mut kept) = self.0.take() {
            tokio::select! {
                biased;
                request = kept.read_message() => if request.is_some() {
                    return kept;
                },
                (connection, _) = proxy.receive("a") => return connection,
            }
        }
        proxy.receive("a").await.0
    }

    /// Sends a response, and ends or keeps the connection.
    async fn respond(&mut self, mut connection: Connection, response: &DrawnResponse) {
        // A write fails if the proxy has rejected the response before its end.
        let _ = connection.stream.write_all(&response.bytes).await;
        match response.end {
            End::KeepAlive => self.0 = Some(connection),
            End::Close => drop(connection.stream.shutdown().await),
            End::Reset => connection.reset(),
        }
    }
}

/// Returns whether a client may receive this for the drawn response. A response that has been forwarded in
/// part ends early; only a streaming route starts before the body is complete.
fn is_allowed(expected: &Expected, received: &Result<Received, ReadError>, kind: &str) -> bool {
    let is_refusal = match received {
        Ok(received) => !received.is_stamped && matches!(received.content.status, 502..=504),
        Err(ReadError::Ended) => kind == "streaming",
        Err(ReadError::Malformed(_)) => return false,
    };
    let is_forwarded = |content: &Content| {
        received.as_ref().is_ok_and(|received| received.is_stamped && received.content == *content)
    };
    match expected {
        Expected::Forwarded(content) => is_forwarded(content),
        Expected::Refused => is_refusal,
        Expected::Either(content) => is_refusal || is_forwarded(content),
    }
}

/// Guards against responses that reach a client although they are no HTTP, are incomplete or belong to another
/// request, and against valid ones that don't: whatever a server sends, the client gets the response itself, an
/// error, or a visible end.
#[rstest]
#[tokio::test]
async fn drawn_responses_are_forwarded_refused_or_visibly_cut_off(
    #[values("unsafe", "streaming")] kind: &'static str,
) {
    let first_seed = number("SEED", 1);
    let scenario = Scenario::new(kind).servers(&["a"]).max_attempts(1);
    with_proxy(scenario, async |proxy| {
        let mut kept = KeptConnection::default();
        let mut client = StrictClient::connect(proxy).await;
        for seed in first_seed..first_seed + number("EXCHANGES", EXCHANGES) {
            let id = format!("r{seed}");
            let response = draw_response(&mut fastrand::Rng::with_seed(seed), &id);
            let text = request(&id, "", "body");
            client.write.write_all(text.as_bytes()).await.expect("the request is sent");
            let connection = kept.receive(proxy).await;
            let (received, ()) = tokio::join!(client.receive(), kept.respond(connection, &response));
            let text = response.bytes.escape_ascii();
            assert!(
                is_allowed(&response.expected, &received, kind),
                "seed {seed}: {received:?} for {:?}\n{text}\n{:?}",
                response.end,
                response.expected
            );
            if received.is_err() || received.is_ok_and(|received| received.closes) {
                client = StrictClient::connect(proxy).await;
            }
        }
    })
    .await;
}
