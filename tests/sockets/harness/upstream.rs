//! An upstream server that the test controls.

use super::{Monitor, ReceivedMessage, Reply};
use serde_json::{Value, json};
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;

#[derive(Default)]
pub struct UpstreamState {
    pub requests: Vec<ReceivedMessage>,
    pub accepted: usize,
    pub closed_by_peer: usize,
    open_connections: Vec<TcpStream>,
}

pub struct Upstream {
    pub addr: SocketAddr,
    state: Arc<Monitor<UpstreamState>>,
    stopped: Arc<AtomicBool>,
    accept_thread: Mutex<Option<thread::JoinHandle<()>>>,
}

impl Upstream {
    pub fn start(reply: impl Fn(&ReceivedMessage) -> Reply + Send + Sync + 'static) -> Upstream {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port can be bound");
        let addr = listener.local_addr().expect("the listener has a local address");
        let (state, stopped, reply) =
            (Monitor::new(UpstreamState::default()), Arc::new(AtomicBool::new(false)), Arc::new(reply));
        let (shared_state, shared_stopped) = (state.clone(), stopped.clone());
        let accept_thread = thread::spawn(move || {
            for stream in listener.incoming() {
                if shared_stopped.load(Ordering::SeqCst) {
                    return;
                }
                let (stream, state, reply) =
                    (stream.expect("a connection is accepted"), shared_state.clone(), reply.clone());
                thread::spawn(move || Upstream::serve(stream, &state, &*reply));
            }
        });
        Upstream { addr, state, stopped, accept_thread: Mutex::new(Some(accept_thread)) }
    }

    fn serve(
        mut stream: TcpStream, state: &Monitor<UpstreamState>, reply: &dyn Fn(&ReceivedMessage) -> Reply,
    ) {
        let clone = || stream.try_clone().expect("the stream can be cloned");
        let mut reader = BufReader::new(clone());
        state.update(|state| {
            state.accepted += 1;
            state.open_connections.push(clone());
        });
        while let Some(received) = ReceivedMessage::read(&mut reader) {
            state.update(|state| state.requests.push(received.clone()));
            match reply(&received) {
                Reply::Complete(text) => drop(stream.write_all(text.as_bytes())),
                Reply::Raw(text) => {
                    drop(stream.write_all(text.as_bytes()));
                    drop(stream.shutdown(Shutdown::Write));
                }
                Reply::Close => drop(stream.shutdown(Shutdown::Both)),
                Reply::NoAnswer => {}
            }
        }
        state.update(|state| state.closed_by_peer += 1);
    }

    pub fn list_entry(&self, phase: &str) -> Value {
        let (id, addr) = (format!("s-{:08x}", self.addr.port()), self.addr.to_string());
        json!({"id": id, "host_port": addr, "locality": "a", "flavor": "m", "cell": 0, "phase": phase,
            "size": 1.0, "up_since_ms": 0})
    }

    pub fn state(&self) -> MutexGuard<'_, UpstreamState> {
        self.state.get()
    }

    /// Returns the requests received so far.
    pub fn requests(&self) -> Vec<ReceivedMessage> {
        self.state().requests.clone()
    }

    pub fn wait_for(&self, what: &str, condition: impl Fn(&UpstreamState) -> bool) {
        drop(self.state.wait(what, condition));
    }

    /// Closes the sending side of all connections, as a server does after its idle timeout.
    pub fn close_idle(&self) {
        self.state().open_connections.drain(..).for_each(|stream| drop(stream.shutdown(Shutdown::Write)));
    }

    /// Stops listening, so that new connections are refused.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        drop(TcpStream::connect(self.addr));
        let accept_thread =
            self.accept_thread.lock().expect("no thread has panicked while it held the lock").take();
        accept_thread.expect("the upstream is stopped only once").join().expect("the accept thread exits");
    }
}
