//! The operations on files that the log needs, and their implementation on the file system.

use std::fs::{File, OpenOptions};
use std::io::{self, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

/// The operations of one flat directory that the log needs: [`FileSystemDirectory`] in production, a simulated disk in
/// tests. Names are those of files in that directory.
///
/// Renames and removals are durable only once the directory was synced.
pub trait Disk {
    /// An open file.
    type File: DiskFile;

    /// The content of a file; `None` if it does not exist.
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>>;

    /// Opens a file that exists.
    fn open(&self, name: &str) -> io::Result<Self::File>;

    /// Creates a file, or truncates an existing one to nothing.
    ///
    /// Nothing is durable before a sync. The name of a new file counts as durable once the file was synced, as in practice
    /// on Linux file systems with a journal (ext4, XFS), but POSIX does not promise it. The log does not rely on this: it
    /// renames a new file and syncs the directory before it appends to it.
    fn create(&self, name: &str) -> io::Result<Self::File>;

    /// Renames a file, and replaces the one that has the new name.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    fn remove(&self, name: &str) -> io::Result<()>;

    /// Makes renames and removals durable.
    fn sync_directory(&self) -> io::Result<()>;
}

/// An open file.
pub trait DiskFile {
    /// Writes all bytes at an offset. The file grows as needed; a gap between its end and the offset reads as zeros.
    ///
    /// After an error any part of the bytes may have been written, also none or all of them, and the file may have grown.
    fn write_all_at(&mut self, offset: u64, bytes: &[u8]) -> io::Result<()>;

    /// Truncates or extends the file to a length in bytes.
    fn set_length(&mut self, length: u64) -> io::Result<()>;

    /// Makes the content and the length durable (`fdatasync`). After an error it is unknown which part is durable, and a
    /// later sync that succeeds does not prove that the writes before the error are: write them again.
    fn sync(&mut self) -> io::Result<()>;
}

/// A directory of the file system; the [`Disk`] of production.
#[derive(Clone, Debug)]
pub struct FileSystemDirectory {
    path: PathBuf,
}

impl FileSystemDirectory {
    /// The directory at a path; it must exist before the first operation.
    pub fn new(path: &Path) -> FileSystemDirectory {
        FileSystemDirectory { path: path.to_owned() }
    }
}

/// A file of the file system.
#[derive(Debug)]
pub struct FileSystemFile {
    file: File,
}

impl Disk for FileSystemDirectory {
    type File = FileSystemFile;

    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        match std::fs::read(self.path.join(name)) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(error) => Err(error),
        }
    }

    fn open(&self, name: &str) -> io::Result<FileSystemFile> {
        let file = OpenOptions::new().read(true).write(true).open(self.path.join(name))?;
        Ok(FileSystemFile { file })
    }

    fn create(&self, name: &str) -> io::Result<FileSystemFile> {
        let path = self.path.join(name);
        let file = OpenOptions::new().read(true).write(true).create(true).truncate(true).open(path)?;
        Ok(FileSystemFile { file })
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        std::fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        std::fs::remove_file(self.path.join(name))
    }

    fn sync_directory(&self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}

impl DiskFile for FileSystemFile {
    fn write_all_at(&mut self, offset: u64, bytes: &[u8]) -> io::Result<()> {
        self.file.seek(SeekFrom::Start(offset))?;
        self.file.write_all(bytes)
    }

    fn set_length(&mut self, length: u64) -> io::Result<()> {
        self.file.set_len(length)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.file.sync_data()
    }
}
