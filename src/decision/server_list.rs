//! Updates of the server list, and the scheduling of subscriptions.

use super::balancer::{Balancer, SUBSCRIBE_TIMER};
use super::time::{from_ms, to_ms};
use crate::api::{Action, Discovery, LogEvent, ServerListEvent};

/// Maximum delay of a new subscription, as a share of [`Discovery::OnRequest::max_poll_interval`].
const MAX_RESUBSCRIBE_DELAY_SHARE: f64 = 0.5;
/// Maximum delay of a new subscription after an interrupted one, because the sidecar may be missing changes.
const MAX_RESUBSCRIBE_DELAY_MS: f64 = 300.0;

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
            ServerListEvent::Interrupted => self.schedule_subscription(MAX_RESUBSCRIBE_DELAY_MS, out),
        }
        if self.servers.ready().is_empty() {
            out.push(Action::Log(LogEvent::NoServers));
        }
    }

    /// Schedules a subscription after a uniformly random delay, so that sidecars don't subscribe
    /// simultaneously.
    fn schedule_subscription(&mut self, max_delay_ms: f64, out: &mut Vec<Action>) {
        if let Discovery::OnRequest { max_poll_interval } = self.settings.discovery {
            let max_delay_ms = max_delay_ms.min(to_ms(max_poll_interval) * MAX_RESUBSCRIBE_DELAY_SHARE);
            let after = from_ms(max_delay_ms * self.rng.f64());
            out.push(Action::SetTimer { timer: SUBSCRIBE_TIMER, after });
        }
    }
}
