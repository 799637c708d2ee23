//! The few operations on files that the log needs, and their real implementation.

use std::fs::{File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

/// A folder on a disk. Renames and removals last only once the folder was synced.
pub trait Disk {
    /// An open file.
    type File: DiskFile;

    /// The content of a file, `None` if there is none.
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>>;

    /// Opens a file that exists.
    fn open(&self, name: &str) -> io::Result<Self::File>;

    /// Makes a file, or empties it. The name lasts once the file was synced.
    fn create(&self, name: &str) -> io::Result<Self::File>;

    /// Renames a file over another.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    fn remove(&self, name: &str) -> io::Result<()>;

    /// Makes renames and removals last.
    fn sync_directory(&self) -> io::Result<()>;
}

/// An open file.
pub trait DiskFile {
    /// Writes all bytes at an offset.
    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> io::Result<()>;

    /// Sets the length.
    fn set_length(&mut self, length: u64) -> io::Result<()>;

    /// Makes the content last.
    fn sync(&mut self) -> io::Result<()>;
}

/// A folder of the file system.
#[derive(Clone, Debug)]
pub struct Directory {
    path: PathBuf,
}

impl Directory {
    /// The folder at a path; it must exist.
    pub fn new(path: &Path) -> Directory {
        Directory { path: path.to_owned() }
    }
}

/// A file of the file system.
#[derive(Debug)]
pub struct DirectoryFile {
    file: File,
}

impl Disk for Directory {
    type File = DirectoryFile;

    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        let mut file = match File::open(self.path.join(name)) {
            Ok(file) => file,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(error) => return Err(error),
        };
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes)?;
        Ok(Some(bytes))
    }

    fn open(&self, name: &str) -> io::Result<DirectoryFile> {
        let file = OpenOptions::new().read(true).write(true).open(self.path.join(name))?;
        Ok(DirectoryFile { file })
    }

    fn create(&self, name: &str) -> io::Result<DirectoryFile> {
        let path = self.path.join(name);
        let file = OpenOptions::new().read(true).write(true).create(true).truncate(true).open(path)?;
        Ok(DirectoryFile { file })
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

impl DiskFile for DirectoryFile {
    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> io::Result<()> {
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
