//! The file operations that the log needs, and their implementation on the file system.

use std::fs::{File, OpenOptions};
use std::io::{self, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

/// The operations that the log needs on one flat directory. Production code uses [`FileSystemDirectory`],
/// tests use a simulated disk. File names are relative to the directory.
///
/// Renames and removals are durable only after the directory has been synced.
pub trait Disk {
    /// An open file.
    type File: DiskFile;

    /// Returns the content of a file, or `None` if the file does not exist.
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>>;

    /// Opens an existing file.
    fn open(&self, name: &str) -> io::Result<Self::File>;

    /// Creates a file, or truncates an existing one to zero length.
    ///
    /// Nothing is durable before a sync. The name of a new file is considered durable once the file has been
    /// synced. This holds in practice on journaling Linux file systems (ext4, XFS), but POSIX does not
    /// guarantee it. The log does not rely on it: it renames a new file and syncs the directory before it
    /// appends to the file.
    fn create(&self, name: &str) -> io::Result<Self::File>;

    /// Renames a file, replacing any existing file with the new name.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    fn remove(&self, name: &str) -> io::Result<()>;

    /// Makes renames and removals durable.
    fn sync_directory(&self) -> io::Result<()>;
}

/// An open file.
pub trait DiskFile {
    /// Writes all of `bytes` at `offset`. The file grows as needed; a gap between the end of the file and
    /// `offset` reads as zeros.
    ///
    /// After an error, any part of `bytes` may have been written, including none or all of them, and the file
    /// may have grown.
    fn write_all_at(&mut self, offset: u64, bytes: &[u8]) -> io::Result<()>;

    /// Truncates or extends the file to a length in bytes.
    fn set_length(&mut self, length: u64) -> io::Result<()>;

    /// Makes the content and the length durable (`fdatasync`). After an error it is unknown which part is
    /// durable. A later successful sync does not imply that writes made before the error are durable, so the
    /// caller must write them again.
    fn sync(&mut self) -> io::Result<()>;
}

/// A directory of the file system: the [`Disk`] implementation used in production.
#[derive(Clone, Debug)]
pub struct FileSystemDirectory {
    path: PathBuf,
}

impl FileSystemDirectory {
    /// Returns the directory at `path`, which must exist before the first operation.
    pub fn new(path: &Path) -> FileSystemDirectory {
        FileSystemDirectory { path: path.to_owned() }
    }
}

/// An open file of the file system.
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
