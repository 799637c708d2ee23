//! Orders to a model server (`POST /order`): fencing, revisions and the change of stage.

use super::parameters::Stage;
use crate::wire::Response;
use serde::Deserialize;
use serde_json::json;
use std::time::Duration;

/// The body of `POST /order`. Its keys are fixed by the protocol.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Order {
    op: String,
    #[serde(rename = "Holder")]
    lease_holder: String,
    #[serde(rename = "Fence")]
    fencing_token: u64,
    #[serde(default)]
    stage: Option<String>,
    #[serde(default)]
    if_revision: Option<u64>,
}

/// A change of stage in progress.
#[derive(Clone, Copy, Debug)]
struct Switch {
    to: Stage,
    /// When it ends; known once the server is idle.
    done_at: Option<Duration>,
}

/// The stage of a server and the orders that it has accepted.
#[derive(Clone, Debug)]
pub(super) struct OrderState {
    pub stage: Stage,
    /// The revision: orders that were accepted.
    pub seq: u64,
    highest_token: u64,
    is_fenced: bool,
    switch: Option<Switch>,
}

impl OrderState {
    pub fn new(stage: Stage, is_fenced: bool) -> OrderState {
        OrderState { stage, seq: 0, highest_token: 0, is_fenced, switch: None }
    }

    /// Whether an order is in progress.
    pub fn is_busy(&self) -> bool {
        self.switch.is_some()
    }

    /// Accepts or refuses an order: 202 accepted, 200 nothing to do, 400 malformed, 409 another revision or order, 412 a lower
    /// fencing token than one that was seen.
    pub fn apply(&mut self, body: &[u8]) -> Response {
        let Some((order, to)) = read(body) else {
            return Response::json(400, &json!({"Error": "no such order, or no Holder or Fence"}));
        };
        if self.is_fenced && order.fencing_token < self.highest_token {
            return Response::json(412, &json!({"Error": "a lower fencing token than was seen"}));
        }
        self.highest_token = self.highest_token.max(order.fencing_token);
        if order.if_revision.is_some_and(|seq| seq != self.seq) {
            return Response::json(409, &json!({"Error": "another revision", "Seq": self.seq}));
        }
        match self.switch {
            Some(_) => Response::json(409, &json!({"Error": "another order is under way", "Seq": self.seq})),
            None if self.stage == to => Response::json(200, &json!({"Seq": self.seq})),
            None => {
                self.seq += 1;
                self.switch = Some(Switch { to, done_at: None });
                Response::json(202, &json!({"Seq": self.seq}))
            }
        }
    }

    /// Advances a change of stage, which starts once the server is idle and takes `switch_duration`.
    pub fn advance(&mut self, now: Duration, is_idle: bool, switch_duration: Duration) {
        let Some(switch) = &mut self.switch else {
            return;
        };
        if is_idle && switch.done_at.is_none() {
            switch.done_at = Some(now + switch_duration);
        }
        if switch.done_at.is_some_and(|at| at <= now) {
            self.stage = switch.to;
            self.switch = None;
        }
    }

    /// When the change of stage ends, if that is known.
    pub fn next_wake(&self) -> Option<Duration> {
        self.switch.and_then(|switch| switch.done_at)
    }
}

fn read(body: &[u8]) -> Option<(Order, Stage)> {
    let order: Order = serde_json::from_slice(body).ok()?;
    if order.op != "Stage" || order.lease_holder.is_empty() {
        return None;
    }
    let to = Stage::parse(order.stage.as_deref()?)?;
    Some((order, to))
}
