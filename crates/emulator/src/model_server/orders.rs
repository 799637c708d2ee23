//! Orders to a model server (`POST /order`): fencing tokens, revisions and stage changes.

use super::parameters::Stage;
use crate::wire::Response;
use serde::Deserialize;
use serde_json::json;
use std::time::Duration;

/// The body of `POST /order`. The keys are fixed by the protocol.
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

/// A stage change in progress.
#[derive(Clone, Copy, Debug)]
struct StageChange {
    to: Stage,
    /// When the change ends; `None` until the server is idle.
    done_at: Option<Duration>,
}

/// The stage of a server and the state of its orders.
#[derive(Clone, Debug)]
pub(super) struct OrderState {
    pub stage: Stage,
    /// The revision: the number of accepted orders (`Seq`).
    pub revision: u64,
    /// The highest fencing token of any order so far.
    highest_token: u64,
    /// Whether orders with a fencing token lower than `highest_token` are refused.
    checks_fencing_tokens: bool,
    stage_change: Option<StageChange>,
}

impl OrderState {
    pub fn new(stage: Stage, checks_fencing_tokens: bool) -> OrderState {
        OrderState { stage, revision: 0, highest_token: 0, checks_fencing_tokens, stage_change: None }
    }

    /// Whether an order is in progress.
    pub fn is_busy(&self) -> bool {
        self.stage_change.is_some()
    }

    /// Accepts or refuses an order. The status is 202 for an accepted order, 200 if there is nothing to do,
    /// 400 for a malformed order, 409 if `IfRevision` is not the current revision or another order is in
    /// progress, and 412 for a fencing token lower than the highest one seen.
    pub fn apply(&mut self, body: &[u8]) -> Response {
        let Some((order, to)) = parse_order(body) else {
            return Response::json(400, &json!({"Error": "no such order, or no Holder or Fence"}));
        };
        if self.checks_fencing_tokens && order.fencing_token < self.highest_token {
            return Response::json(412, &json!({"Error": "a lower fencing token than was seen"}));
        }
        self.highest_token = self.highest_token.max(order.fencing_token);
        if order.if_revision.is_some_and(|revision| revision != self.revision) {
            return Response::json(409, &json!({"Error": "another revision", "Seq": self.revision}));
        }
        match self.stage_change {
            Some(_) => {
                Response::json(409, &json!({"Error": "another order is under way", "Seq": self.revision}))
            }
            None if self.stage == to => Response::json(200, &json!({"Seq": self.revision})),
            None => {
                self.revision += 1;
                self.stage_change = Some(StageChange { to, done_at: None });
                Response::json(202, &json!({"Seq": self.revision}))
            }
        }
    }

    /// Advances a stage change, which starts once the server is idle and takes `switch_duration`.
    pub fn advance(&mut self, now: Duration, is_idle: bool, switch_duration: Duration) {
        let Some(stage_change) = &mut self.stage_change else {
            return;
        };
        if is_idle && stage_change.done_at.is_none() {
            stage_change.done_at = Some(now + switch_duration);
        }
        if stage_change.done_at.is_some_and(|at| at <= now) {
            self.stage = stage_change.to;
            self.stage_change = None;
        }
    }

    /// When the stage change ends, if that is known.
    pub fn next_wake(&self) -> Option<Duration> {
        self.stage_change.and_then(|change| change.done_at)
    }
}

/// Parses and checks the body of an order; returns the order and the stage to change to.
fn parse_order(body: &[u8]) -> Option<(Order, Stage)> {
    let order: Order = serde_json::from_slice(body).ok()?;
    if order.op != "Stage" || order.lease_holder.is_empty() {
        return None;
    }
    let to = Stage::parse(order.stage.as_deref()?)?;
    Some((order, to))
}
