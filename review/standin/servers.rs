//! The platform's list and the servers of a plain service.

use crate::http;
use crate::Record;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// One entry of the platform's list.
#[derive(Clone)]
pub struct Instance {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
}

/// Starts the platform: `GET /instances` answers all entries on one page.
pub fn start_platform(address: SocketAddr, list: Arc<Mutex<Vec<Instance>>>) -> std::io::Result<()> {
    accept(address, move |stream| {
        let list = list.clone();
        serve(stream, move |request| {
            if !request.method_and_target().1.starts_with("/instances") {
                return http::response("404 Not Found", &[], b"");
            }
            let entries: Vec<String> = list.lock().unwrap().iter().map(entry).collect();
            let body = format!("{{\"Instances\":[{}],\"NextToken\":null}}", entries.join(","));
            http::response("200 OK", &[("Content-Type", "application/json")], body.as_bytes())
        });
    })
}

fn entry(instance: &Instance) -> String {
    let Instance { id, service, address } = instance;
    format!(
        "{{\"Service\":\"{service}\",\"Address\":\"{address}\",\"Zone\":\"zone-a\",\"Version\":\"v1\",\
         \"Slots\":6,\"State\":\"ready\",\"ColdLeftMs\":0,\"Id\":\"{id}\"}}"
    )
}

/// Starts a server of a plain service, which answers each request after 5 ms.
pub fn start_server(record: &'static Record, instance: Instance) -> std::io::Result<()> {
    accept(instance.address, move |stream| {
        let instance = instance.clone();
        serve(stream, move |request| {
            let (_, target) = request.method_and_target();
            let id = request.field("request-id").unwrap_or_default();
            if target == "/health" {
                return http::response("200 OK", &[("Instance-Id", &instance.id)], b"");
            }
            if id.is_empty() {
                return http::response("400 Bad Request", &[("Not-Executed", "1")], b"");
            }
            if request.field("expect-instance").is_some_and(|expected| expected != instance.id) {
                let fields = [("Request-Id", id), ("Not-Executed", "1")];
                return http::response("421 Misdirected Request", &fields, b"");
            }
            record.line(format!("server {} runs {id} {target}", instance.id));
            thread::sleep(Duration::from_millis(5));
            let stamp = format!("stamp.{}.{id}", instance.id);
            let fields = [("Request-Id", id), ("Server-Stamp", stamp.as_str()), ("Load-Report", "1,0,6")];
            http::response("200 OK", &fields, format!("answer to {id}").as_bytes())
        });
    })
}

fn accept(address: SocketAddr, serve: impl Fn(TcpStream) + Clone + Send + 'static) -> std::io::Result<()> {
    let listener = TcpListener::bind(address)?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            thread::spawn(move || serve(stream));
        }
    });
    Ok(())
}

fn serve(mut stream: TcpStream, answer: impl Fn(http::Message) -> Vec<u8>) {
    let _ = stream.set_nodelay(true);
    let mut rest = Vec::new();
    while let Ok(Some(request)) = http::read(&mut stream, &mut rest) {
        if stream.write_all(&answer(request)).is_err() {
            return;
        }
    }
}
