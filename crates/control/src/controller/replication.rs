//! The replica of the configuration: events for it, its actions, and the log that it shares with the elector.

use super::Controller;
use crate::logs::{self, Hash};
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
    /// The storage thread has finished a batch: reports the outcome to the state machine that it belongs to.
    pub(super) fn batch_persisted(&mut self, outcome: PersistOutcome) {
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

    /// Hands an event to the replica and carries out its actions.
    pub(super) fn handle_replica_event(&mut self, event: chain::Event) {
        let mut actions = Vec::new();
        self.replica.handle(self.now(), event, &mut actions);
        self.apply_replica_actions(actions);
        self.follow_view();
    }

    /// Carries out the actions of the replica in their order.
    pub(super) fn apply_replica_actions(&mut self, actions: Vec<chain::Action>) {
        for action in actions {
            match action {
                chain::Action::Send { to, message } => {
                    logs::forwarded_change(to, &message);
                    self.peer_transport.send(to, PeerMessage::Chain(message));
                }
                chain::Action::Persist { batch, records } => {
                    self.persist(RecordOwner::Chain, batch.0, records, false);
                }
                chain::Action::RewriteLog { batch, records } => {
                    self.persist(RecordOwner::Chain, batch.0, records, true);
                }
                chain::Action::Respond { id, response } => self.pending_requests.respond(id, response),
                chain::Action::Committed { config } => self.config_committed(&config),
                // The view is read from the replica's status after each event.
                chain::Action::ViewChanged(_) => {}
                chain::Action::Log(line) => logs::chain_event(&spdlog::default_logger(), &line),
            }
        }
    }

    /// Hands a batch to the storage thread. A rewrite of the chain's records carries the election's along, since both share
    /// the log.
    pub(super) fn persist(
        &mut self, owner: RecordOwner, number: u64, records: Vec<Vec<u8>>, is_rewrite: bool,
    ) {
        let mut tagged: Vec<Vec<u8>> = records.into_iter().map(|record| owner.tag_record(record)).collect();
        if is_rewrite {
            let election = self.elector.snapshot_records();
            tagged.extend(election.into_iter().map(|record| RecordOwner::Election.tag_record(record)));
        }
        // The storage thread ends only with the process.
        let _ = self.log_writer.send(LogBatch { owner, number, records: tagged, is_rewrite });
    }

    /// The replica has learned of a committed configuration: brings it to the agents.
    fn config_committed(&mut self, config: &chain::CommittedConfig) {
        let record = ConfigRecord { version: config.version, bytes: config.bytes.to_vec() };
        let before = self.tables.version_vector().config;
        check(Invariant::CommittedVersionClimbs, record.version > before, || {
            format!("version {} after {before}", record.version)
        });
        if self.tables.advance_config(Arc::new(record)) {
            self.commit_history.record(self.now(), config.version);
            self.metrics.commits.inc();
            info!("config", kv: {
                outcome = "committed", version = config.version, base = config.base, hash: = Hash(&config.bytes)
            });
            self.stage_planning.set_configuration(&config.bytes);
            self.serve_pulls();
        }
    }
}
