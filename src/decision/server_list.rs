//! Updates of the server list, and when to subscribe to it.

use super::balancer::{Balancer, SUBSCRIBE_TIMER};
use super::time::{from_ms, to_ms};
use crate::api::{Action, Discovery, LogEvent, ServerListEvent};

/// A new subscription comes within this share of [`Discovery::OnRequest::max_poll_interval`].
const RESUBSCRIBE_SHARE: f64 = 0.5;
/// After a running subscription was interrupted, a new one comes within this time: the sidecar may be missing changes.
const RESUME_WITHIN_MS: f64 = 300.0;

impl Balancer {
    pub(crate) fn on_server_list(&mut self, update: ServerListEvent, out: &mut Vec<Action>) {
        let has_failed = matches!(update, ServerListEvent::Failed | ServerListEvent::Interrupted);
        out.extend(has_failed.then_some(Action::Log(LogEvent::ListFailed)));
        match update {
            ServerListEvent::Full(entries) => self.servers.apply(true, entries, self.now_ms),
            ServerListEvent::Delta(entries) => self.servers.apply(false, entries, self.now_ms),
            ServerListEvent::Cached(entries) => {
                self.servers.apply(true, entries, self.now_ms);
                self.open_windows();
                self.schedule_subscription(f64::INFINITY, out);
            }
            ServerListEvent::Failed => self.schedule_subscription(f64::INFINITY, out),
            ServerListEvent::Interrupted => self.schedule_subscription(RESUME_WITHIN_MS, out),
        }
        if self.servers.ready().is_empty() {
            out.push(Action::Log(LogEvent::NoServers));
        }
    }

    /// Schedules a subscription at a uniformly random time, so that many sidecars don't call discovery in step.
    fn schedule_subscription(&mut self, within_ms: f64, out: &mut Vec<Action>) {
        if let Discovery::OnRequest { max_poll_interval } = self.settings.discovery {
            let within_ms = within_ms.min(to_ms(max_poll_interval) * RESUBSCRIBE_SHARE);
            let after = from_ms(within_ms * self.rng.f64());
            out.push(Action::SetTimer { timer: SUBSCRIBE_TIMER, after });
        }
    }
}
