//! An in-memory disk for tests that simulates power loss, a full disk and failing operations. The effects of
//! a power loss are drawn from the caller's seeded generator.
//!
//! | change | survives a power loss |
//! | --- | --- |
//! | content covered by a sync of its file | always |
//! | a later write or change of length | kept, lost or torn (writes only), each independently |
//! | the name of a new file | always, once the file was synced |
//! | a rename, a removal, the name of an unsynced file | kept or lost, each independently; always, once the directory was synced |

use crate::disk::{Disk, DiskFile};
use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The granularity of torn writes, in bytes.
const SECTOR_BYTES: usize = 64;
/// One in this many power losses loses all unsynced changes.
const TOTAL_LOSS_ONE_IN: u8 = 4;

/// A handle to a simulated disk. Clones refer to the same disk.
#[derive(Clone, Debug, Default)]
pub struct SimulatedDisk {
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    /// All files ever created. Indices are stable.
    inodes: Vec<Inode>,
    /// The directory as processes see it: maps each file name to its index in `inodes`.
    names: BTreeMap<String, usize>,
    /// The directory as it would be after the loss of all unsynced changes.
    durable_names: BTreeMap<String, usize>,
    unsynced_names: Vec<NameChange>,
    /// Whether every operation that calls [`State::consume_fault_step`] fails.
    is_failing: bool,
    /// The number of these operations that succeed before one fails; `None` if none is to fail.
    fails_after: Option<usize>,
}

#[derive(Debug, Default)]
struct Inode {
    /// The content as processes see it.
    content: Vec<u8>,
    /// The content at the last sync.
    durable_content: Vec<u8>,
    unsynced: Vec<ContentChange>,
}

#[derive(Clone, Debug)]
enum ContentChange {
    Write { offset: usize, bytes: Vec<u8> },
    SetLength(usize),
}

#[derive(Clone, Debug)]
enum NameChange {
    Created { name: String, inode: usize },
    Renamed { from: String, to: String, inode: usize },
    Removed { name: String },
}

/// An open file of a simulated disk.
#[derive(Debug)]
pub struct SimulatedFile {
    state: Arc<Mutex<State>>,
    inode: usize,
}

impl SimulatedDisk {
    /// Returns an empty disk.
    pub fn new() -> SimulatedDisk {
        SimulatedDisk::default()
    }

    /// Sets whether, as on a full disk, every operation that changes or syncs the disk fails from now on:
    /// creating, renaming and removing files, syncing the directory, and writing, resizing and syncing an
    /// open file. A failed write still writes the first half of its bytes. Reading and opening files is not
    /// affected.
    pub fn set_failing(&self, is_failing: bool) {
        lock(&self.state).is_failing = is_failing;
    }

    /// Makes one operation fail after `operations` successful ones; all later operations succeed. The
    /// affected operations are those listed at [`SimulatedDisk::set_failing`]; operations that fail because
    /// of that setting are not counted. A failed write still writes the first half of its bytes.
    pub fn fail_after(&self, operations: usize) {
        lock(&self.state).fails_after = Some(operations);
    }

    /// Simulates a power loss: each unsynced change is kept, lost or torn. Open file handles remain usable
    /// and refer to the remaining content, but the names of their files may be gone.
    pub fn lose_power(&self, rng: &mut fastrand::Rng) {
        lock(&self.state).lose_power(rng);
    }

    /// Replaces the disk by an empty one without faults. Drop all open files first: an open file then refers
    /// to an inode that no longer exists, so using it panics or accesses a file created after the wipe.
    pub fn wipe(&self) {
        *lock(&self.state) = State::default();
    }

    /// Flips bits in one byte of a file, as a media error would.
    pub fn corrupt(&self, name: &str, offset: usize) {
        let mut state = lock(&self.state);
        let Some(inode) = state.names.get(name).copied() else { return };
        let inode = &mut state.inodes[inode];
        inode.content[offset] ^= 0x55;
        inode.durable_content = inode.content.clone();
    }

    /// Truncates a file to `length` bytes, as a torn write would.
    pub fn truncate(&self, name: &str, length: usize) {
        let mut state = lock(&self.state);
        let Some(inode) = state.names.get(name).copied() else { return };
        let inode = &mut state.inodes[inode];
        inode.content.truncate(length);
        inode.durable_content = inode.content.clone();
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

fn injected_fault() -> io::Error {
    io::Error::new(io::ErrorKind::StorageFull, "fault injected by the simulated disk")
}

fn not_found(name: &str) -> io::Error {
    io::Error::new(io::ErrorKind::NotFound, format!("no file {name:?} on the simulated disk"))
}

impl State {
    /// Returns an error if the current operation is to fail, and counts the operation. Each operation that
    /// may fail by fault injection calls this exactly once; reading and opening files do not call it and
    /// therefore never fail this way.
    fn consume_fault_step(&mut self) -> io::Result<()> {
        if self.is_failing {
            return Err(injected_fault());
        }
        match self.fails_after {
            Some(0) => {
                self.fails_after = None;
                Err(injected_fault())
            }
            Some(remaining) => {
                self.fails_after = Some(remaining - 1);
                Ok(())
            }
            None => Ok(()),
        }
    }

    fn lose_power(&mut self, rng: &mut fastrand::Rng) {
        let loses_all = rng.u8(..TOTAL_LOSS_ONE_IN) == 0;
        for inode in &mut self.inodes {
            inode.lose_power(rng, loses_all);
        }
        let changes = std::mem::take(&mut self.unsynced_names);
        for change in changes {
            if !loses_all && rng.bool() {
                apply_name(&mut self.durable_names, &change);
            }
        }
        self.names = self.durable_names.clone();
    }
}

impl Inode {
    fn apply(&mut self, change: ContentChange) {
        apply_content(&mut self.content, &change);
        self.unsynced.push(change);
    }

    fn lose_power(&mut self, rng: &mut fastrand::Rng, loses_all: bool) {
        for change in std::mem::take(&mut self.unsynced) {
            if loses_all {
                continue;
            }
            match rng.u8(..3) {
                0 => {}
                1 => apply_content(&mut self.durable_content, &change),
                _ => apply_torn(&mut self.durable_content, &change, rng),
            }
        }
        self.content = self.durable_content.clone();
    }
}

fn apply_content(content: &mut Vec<u8>, change: &ContentChange) {
    match change {
        ContentChange::Write { offset, bytes } => {
            let end = offset + bytes.len();
            if content.len() < end {
                content.resize(end, 0);
            }
            content[*offset..end].copy_from_slice(bytes);
        }
        ContentChange::SetLength(length) => content.resize(*length, 0),
    }
}

/// Applies part of a write: either a prefix or a random subset of its sectors. A change of length is not
/// applied.
fn apply_torn(content: &mut Vec<u8>, change: &ContentChange, rng: &mut fastrand::Rng) {
    let ContentChange::Write { offset, bytes } = change else { return };
    if rng.bool() {
        let kept = rng.usize(..=bytes.len());
        let prefix = ContentChange::Write { offset: *offset, bytes: bytes[..kept].to_vec() };
        return apply_content(content, &prefix);
    }
    for (index, sector) in bytes.chunks(SECTOR_BYTES).enumerate() {
        if rng.bool() {
            let sector_write =
                ContentChange::Write { offset: offset + index * SECTOR_BYTES, bytes: sector.to_vec() };
            apply_content(content, &sector_write);
        }
    }
}

fn apply_name(names: &mut BTreeMap<String, usize>, change: &NameChange) {
    match change {
        NameChange::Created { name, inode } => {
            names.insert(name.clone(), *inode);
        }
        NameChange::Renamed { from, to, inode } => {
            if names.get(from) == Some(inode) {
                names.remove(from);
            }
            names.insert(to.clone(), *inode);
        }
        NameChange::Removed { name } => {
            names.remove(name);
        }
    }
}

impl Disk for SimulatedDisk {
    type File = SimulatedFile;

    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        let state = lock(&self.state);
        let inode = state.names.get(name).and_then(|inode| state.inodes.get(*inode));
        Ok(inode.map(|inode| inode.content.clone()))
    }

    fn open(&self, name: &str) -> io::Result<SimulatedFile> {
        let inode = lock(&self.state).names.get(name).copied().ok_or_else(|| not_found(name))?;
        Ok(SimulatedFile { state: self.state.clone(), inode })
    }

    fn create(&self, name: &str) -> io::Result<SimulatedFile> {
        let mut state = lock(&self.state);
        state.consume_fault_step()?;
        if let Some(inode) = state.names.get(name).copied() {
            state.inodes[inode].apply(ContentChange::SetLength(0));
            return Ok(SimulatedFile { state: self.state.clone(), inode });
        }
        let inode = state.inodes.len();
        state.inodes.push(Inode::default());
        state.names.insert(name.to_owned(), inode);
        state.unsynced_names.push(NameChange::Created { name: name.to_owned(), inode });
        Ok(SimulatedFile { state: self.state.clone(), inode })
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        let mut state = lock(&self.state);
        state.consume_fault_step()?;
        let inode = state.names.get(from).copied().ok_or_else(|| not_found(from))?;
        let change = NameChange::Renamed { from: from.to_owned(), to: to.to_owned(), inode };
        apply_name(&mut state.names, &change);
        state.unsynced_names.push(change);
        Ok(())
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        let mut state = lock(&self.state);
        state.consume_fault_step()?;
        if !state.names.contains_key(name) {
            return Err(not_found(name));
        }
        let change = NameChange::Removed { name: name.to_owned() };
        apply_name(&mut state.names, &change);
        state.unsynced_names.push(change);
        Ok(())
    }

    fn sync_directory(&self) -> io::Result<()> {
        let mut state = lock(&self.state);
        state.consume_fault_step()?;
        state.durable_names = state.names.clone();
        state.unsynced_names.clear();
        Ok(())
    }
}

impl DiskFile for SimulatedFile {
    fn write_all_at(&mut self, offset: u64, bytes: &[u8]) -> io::Result<()> {
        let mut state = lock(&self.state);
        let checked = state.consume_fault_step();
        let written = if checked.is_ok() { bytes } else { &bytes[..bytes.len() / 2] };
        let change = ContentChange::Write { offset: offset as usize, bytes: written.to_vec() };
        state.inodes[self.inode].apply(change);
        checked
    }

    fn set_length(&mut self, length: u64) -> io::Result<()> {
        let mut state = lock(&self.state);
        state.consume_fault_step()?;
        state.inodes[self.inode].apply(ContentChange::SetLength(length as usize));
        Ok(())
    }

    fn sync(&mut self) -> io::Result<()> {
        let mut state = lock(&self.state);
        state.consume_fault_step()?;
        let inode = &mut state.inodes[self.inode];
        inode.durable_content = inode.content.clone();
        inode.unsynced.clear();
        let is_creation =
            |change: &NameChange| matches!(change, NameChange::Created { inode, .. } if *inode == self.inode);
        let (creations, rest) = std::mem::take(&mut state.unsynced_names).into_iter().partition(is_creation);
        state.unsynced_names = rest;
        let creations: Vec<NameChange> = creations;
        for change in &creations {
            apply_name(&mut state.durable_names, change);
        }
        Ok(())
    }
}
