//! The actions that a replica passes to its driver, and the messages that it sends to itself.

use crate::action::{Action, OperatorResponse};
use crate::log_event::LogEvent;
use crate::message::Message;
use crate::request::OperatorRequestId;
use std::collections::VecDeque;
use std::net::SocketAddr;

/// The outputs of a replica that the driver has not received yet.
#[derive(Debug)]
pub struct Outbox {
    local_address: SocketAddr,
    actions: Vec<Action>,
    /// Messages of this process to itself. They are handled as part of the current event, without the driver.
    loopback: VecDeque<Message>,
}

impl Outbox {
    /// Creates an empty outbox for the process at this address.
    pub fn new(local_address: SocketAddr) -> Outbox {
        Outbox { local_address, actions: Vec::new(), loopback: VecDeque::new() }
    }

    pub fn push(&mut self, action: Action) {
        self.actions.push(action);
    }

    /// Sends a message to a peer, or to this process itself.
    pub fn send(&mut self, to: SocketAddr, message: Message) {
        if to == self.local_address {
            self.loopback.push_back(message);
        } else {
            self.actions.push(Action::Send { to, message });
        }
    }

    pub fn respond(&mut self, id: OperatorRequestId, response: OperatorResponse) {
        self.actions.push(Action::Respond { id, response });
    }

    /// Writes an event to the process log.
    pub fn log(&mut self, event: LogEvent) {
        self.actions.push(Action::Log(event));
    }

    /// Takes the next message of this process to itself.
    pub fn take_loopback(&mut self) -> Option<Message> {
        self.loopback.pop_front()
    }

    /// Moves the actions to the end of `actions`.
    pub fn append_to(&mut self, actions: &mut Vec<Action>) {
        actions.append(&mut self.actions);
    }
}
