//! The replica of the configuration: its events, its actions, and the log that it shares with the elector.

use super::Controller;
use crate::logs::{self, ConfigHash};
use crate::message::{PeerMessage, PersistOutcome};
use crate::record_owner::RecordOwner;
use crate::storage::LogBatch;
use lugwharf_chain as chain;
use lugwharf_election as election;
use lugwharf_invariants::{Invariant, check};
use lugwharf_protocol::ConfigRecord;
use spdlog::prelude::*;
use std::sync::Arc;

impl Controller {
    /// Reports the outcome of a batch from the storage thread to the state machine that the batch belongs to.
    pub(super) fn handle_persist_outcome(&mut self, outcome: PersistOutcome) {
        let PersistOutcome { owner, batch, is_synced } = outcome;
        match owner {
            RecordOwner::Chain => {
                let batch = chain::BatchId(batch);
                self.handle_replica_event(match is_synced {
                    true => chain::Event::Persisted { batch },
                    false => chain::Event::PersistFailed { batch },
                });
            }
            RecordOwner::Election => {
                let batch = election::BatchId(batch);
                self.handle_elector_event(match is_synced {
                    true => election::Event::Persisted { batch },
                    false => election::Event::PersistFailed { batch },
                });
            }
        }
    }

    /// Passes an event to the replica and executes its actions.
    pub(super) fn handle_replica_event(&mut self, event: chain::Event) {
        let mut actions = Vec::new();
        self.replica.handle(self.now(), event, &mut actions);
        self.apply_replica_actions(actions);
        self.report_view_to_elector();
    }

    /// Executes the actions of the replica in order.
    pub(super) fn apply_replica_actions(&mut self, actions: Vec<chain::Action>) {
        for action in actions {
            match action {
                chain::Action::Send { to, message } => {
                    logs::log_forwarded_change(to, &message);
                    self.peer_transport.send(to, PeerMessage::Chain(message));
                }
                chain::Action::Persist { batch, records } => {
                    self.persist(RecordOwner::Chain, batch.0, records, false);
                }
                chain::Action::RewriteLog { batch, records } => {
                    self.persist(RecordOwner::Chain, batch.0, records, true);
                }
                chain::Action::Respond { id, response } => self.pending_requests.respond(id, response),
                chain::Action::Committed { config } => self.handle_committed_config(&config),
                // The view is read from the replica's status after each event.
                chain::Action::ViewChanged(_) => {}
                chain::Action::Log(event) => logs::log_chain_event(&spdlog::default_logger(), &event),
            }
        }
    }

    /// Sends a batch to the storage thread. A rewrite of the chain's records includes the records of the
    /// elector, because both share the log.
    pub(super) fn persist(
        &mut self, owner: RecordOwner, number: u64, records: Vec<Vec<u8>>, is_rewrite: bool,
    ) {
        let mut tagged: Vec<Vec<u8>> = records.into_iter().map(|record| owner.tag_record(record)).collect();
        if is_rewrite {
            let election = self.elector.snapshot_records();
            tagged.extend(election.into_iter().map(|record| RecordOwner::Election.tag_record(record)));
        }
        // The send can't fail: the storage thread ends only with the process.
        let _ = self.log_writer.send(LogBatch { owner, number, records: tagged, is_rewrite });
    }

    /// Makes a committed configuration that the replica has learned of available to the agents.
    fn handle_committed_config(&mut self, config: &chain::CommittedConfig) {
        let record = ConfigRecord { version: config.version, bytes: config.bytes.to_vec() };
        let before = self.tables.version_vector().config;
        check(Invariant::CommittedVersionClimbs, record.version > before, || {
            format!("configuration version {} committed after version {before}", record.version)
        });
        if self.tables.advance_config(Arc::new(record)) {
            self.commit_history.record(self.now(), config.version);
            self.metrics.commits.inc();
            info!("config", kv: {
                outcome = "committed", version = config.version, base = config.base, hash: = ConfigHash(&config.bytes)
            });
            self.stage_planning.set_configuration(&config.bytes);
            self.serve_pulls();
        }
    }
}
