//! A discovery service that the test controls.

use super::{Monitor, ReceivedMessage, Reply, WAIT_TIMEOUT};
use serde_json::{Value, json};
use std::collections::VecDeque;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

#[derive(Default)]
pub(super) struct Registry {
    calls: usize,
    /// The replies to the next calls, with their revisions.
    queued_replies: VecDeque<(u64, Reply)>,
    /// The list that answers a call for the complete list if no reply is queued.
    pub(super) complete_list: Value,
    last_answer_at: Option<Instant>,
    /// The watches since the last update: the revision in the call, and the time between the last answer and
    /// the call.
    pub(super) watches: Vec<(u64, Duration)>,
}

pub struct Discovery {
    pub addr: SocketAddr,
    pub(super) registry: Arc<Monitor<Registry>>,
}

impl Discovery {
    pub fn start(list: &Value) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port can be bound");
        let addr = listener.local_addr().expect("the listener has a local address");
        let registry = Monitor::new(Registry { complete_list: list.clone(), ..Registry::default() });
        let shared_registry = registry.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (stream, registry) = (stream.expect("a connection is accepted"), shared_registry.clone());
                thread::spawn(move || Discovery::serve(stream, &registry));
            }
        });
        Discovery { addr, registry }
    }

    fn serve(mut stream: TcpStream, registry: &Monitor<Registry>) {
        let mut reader = BufReader::new(stream.try_clone().expect("the stream can be cloned"));
        while let Some(received) = ReceivedMessage::read(&mut reader) {
            let index = received.start_line.split_once("index=").map(|(_, rest)| {
                let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
                digits.parse::<u64>().expect("the index is a number")
            });
            registry.update(|r| {
                r.calls += 1;
                let since_last_answer = r.last_answer_at.map_or(Duration::ZERO, |at| at.elapsed());
                r.watches.extend(index.map(|index| (index, since_last_answer)));
            });
            let reply = if index.is_some() || !registry.get().queued_replies.is_empty() {
                let reply_or_timeout = registry
                    .1
                    .wait_timeout_while(registry.get(), WAIT_TIMEOUT, |r| r.queued_replies.is_empty());
                reply_or_timeout
                    .expect("no thread has panicked while it held the lock")
                    .0
                    .queued_replies
                    .pop_front()
                    .map(|(_, reply)| reply)
            } else {
                Some(Reply::text(200, "", &registry.get().complete_list.to_string()))
            };
            registry.update(|r| r.last_answer_at = Some(Instant::now()));
            match reply {
                Some(Reply::Complete(text)) => drop(stream.write_all(text.as_bytes())),
                _ => drop(stream.shutdown(Shutdown::Both)),
            }
        }
    }

    /// Returns the number of calls so far.
    pub fn calls(&self) -> usize {
        self.registry.get().calls
    }

    /// Waits until the number of calls has reached `calls`, and returns the number of calls.
    pub fn wait_for_calls(&self, calls: usize) -> usize {
        self.registry.wait("calls", |r| r.calls >= calls).calls
    }

    /// Queues a reply with these members, and applies them to the complete list.
    pub fn publish(&self, revision: u64, complete: bool, members: &[Value]) {
        let list = json!({"revision": revision, "complete": complete, "members": members});
        self.registry.update(|r| {
            r.watches.clear();
            let mut current_members = if complete {
                Vec::new()
            } else {
                r.complete_list["members"].as_array().expect("the members are a list").clone()
            };
            current_members.retain(|known| members.iter().all(|member| member["id"] != known["id"]));
            current_members.extend(members.iter().filter(|member| member["phase"] != "Gone").cloned());
            r.complete_list = json!({"revision": revision, "complete": true, "members": current_members});
            r.queued_replies.push_back((revision, Reply::text(200, "", &list.to_string())));
        });
    }

    /// Queues this failure as the reply to the next call, and waits until the call after it.
    pub fn fail_next_call(&self, reply: Reply) {
        let calls = self.registry.update(|r| {
            r.queued_replies.push_back((0, reply));
            r.calls
        });
        drop(
            self.registry
                .wait("a call after the failure", |r| r.queued_replies.is_empty() && r.calls > calls),
        );
    }

    /// Waits for a watch of this revision, and returns the time between the last answer and the watch.
    pub fn wait_for_watch(&self, revision: u64) -> Duration {
        let watch_delay = |r: &Registry| r.watches.iter().find(|(index, _)| *index == revision).map(|w| w.1);
        let registry =
            self.registry.wait("a watch", |r| r.queued_replies.is_empty() && watch_delay(r).is_some());
        watch_delay(&registry).expect("the revision has a watch")
    }
}
