//! The decision logic of a client-side load balancer that runs as a sidecar next to each client process.
//!
//! Each request is sent to the better of two randomly chosen servers (power of two choices). Servers are
//! scored by their peak-EWMA latency and their requests in flight. Outlier ejection, a retry budget, slow
//! start, subsetting and admission control complete the design. The module does no I/O and reads no clock:
//! the caller reports events and executes actions.
//!
//! The workspace has a second, newer load balancer: `lugwharf-routing`, which decides for the proxies of
//! language model servers. The two share no code and no settings, but they share the design: power of two
//! choices over peak-EWMA latency, outlier ejection, a retry budget, and decisions without I/O. This crate is
//! the older one and remains in service as the sidecar.
//!
//! A caller passes each event to [`Balancer::handle`] and executes the returned actions in order. The caller
//! must report one [`Event::Outcome`](api::Event::Outcome) for each [`Action::Send`](api::Action::Send), and
//! one [`Event::Timer`](api::Event::Timer) for each [`Action::SetTimer`](api::Action::SetTimer). The first
//! answer with [`Outcome::Ok`](api::Outcome::Ok) goes to the client and ends the request.
//!
//! ```
//! use lugwharf_sidecar::{Balancer, api::*};
//! use std::time::Duration;
//!
//! let ms = Duration::from_millis;
//! let class = RequestClass {
//!     latency_target: ms(200),
//!     deadline: ms(1_000),
//!     latency_target_per_work: 0.0,
//!     value: 1.0,
//!     late_value_share: 0.5,
//!     idempotency: Idempotency::Idempotent,
//! };
//! let settings = Settings { classes: vec![class], cancel: Permission::Granted, ..Settings::default() };
//! let mut balancer = Balancer::new(settings, 42);
//! let mut actions = Vec::new();
//!
//! // The server list has two servers. A request arrives and is sent to one of them.
//! let entry = |id| ServerEntry {
//!     server: ServerId(id),
//!     availability: Availability::Ready,
//!     cell: 0,
//!     zone: 0,
//!     machine_type: 0,
//!     weight: 1.0,
//!     started_at: None,
//! };
//! balancer.handle(ms(0), Event::ServerList(ServerListEvent::Full(vec![entry(1), entry(2)])), &mut actions);
//! let arrival = Arrival {
//!     id: RequestId(7),
//!     class: 0,
//!     cost: None,
//!     client_timeout: ms(1_000),
//!     origin: Origin::Fresh,
//! };
//! balancer.handle(ms(1), Event::Request(arrival), &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { id: RequestId(7), .. })));
//!
//! // The caller has sent the request. The server answers after 30 ms, and the request is finished.
//! actions.clear();
//! let answer = Event::Outcome {
//!     id: RequestId(7),
//!     attempt: 0,
//!     outcome: Outcome::Ok,
//!     elapsed: ms(30),
//!     request_status: RequestStatus::Finished,
//! };
//! balancer.handle(ms(31), answer, &mut actions);
//! assert!(actions.is_empty());
//! ```
#![forbid(unsafe_code)]

pub mod api;
mod decision;
pub mod settings_text;

pub use decision::Balancer;
