//! A disk in memory that can fail at any operation and lose what was not synced.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;

use disk::Files;

const SECTOR_BYTES: usize = 512;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// The process crashes: this operation and all later ones fail.
    Crash,
    /// A write writes half of its data, and the next one fails because the disk is full.
    Full,
    /// The operation fails. After a failed sync, the unsynced bytes never reach the disk.
    Fail,
}

#[derive(Clone, Copy, Debug)]
pub(crate) enum Loss {
    /// Only the process ended.
    Process,
    /// Only synced data is left.
    Power,
    /// Of the unsynced data, some sectors are left.
    Torn(u64),
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Inode {
    pub(crate) cached: Vec<u8>,
    synced: Vec<u8>,
    /// Whether a sync failed; later ones succeed without effect.
    dropped: bool,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct State {
    pub(crate) inodes: Vec<Inode>,
    pub(crate) names: BTreeMap<PathBuf, usize>,
    durable: BTreeMap<PathBuf, usize>,
    pub(crate) steps: usize,
    fault: Option<(usize, Fault)>,
    dead: bool,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct MemFiles(pub(crate) Rc<RefCell<State>>);

impl MemFiles {
    pub(crate) fn fail_at(step: usize, fault: Fault) -> Self {
        let state = State { fault: Some((step, fault)), ..State::default() };
        Self(Rc::new(RefCell::new(state)))
    }

    /// Returns the disk as the next process finds it.
    pub(crate) fn after(&self, loss: Loss) -> Self {
        let mut state = self.0.borrow().clone();
        (state.fault, state.dead) = (None, false);
        if let Loss::Power | Loss::Torn(_) = loss {
            let keeps_names = matches!(loss, Loss::Torn(seed) if mix(seed, 0).is_multiple_of(2));
            if !keeps_names {
                state.names = state.durable.clone();
            }
            for (number, inode) in state.inodes.iter_mut().enumerate() {
                inode.cached = survive(inode, loss, number);
                inode.synced = inode.cached.clone();
            }
            state.durable = state.names.clone();
        }
        Self(Rc::new(RefCell::new(state)))
    }

    /// Changes the bytes of the file whose name starts with `prefix`.
    pub(crate) fn edit(&self, prefix: &str, change: impl FnOnce(&mut Vec<u8>)) {
        let mut state = self.0.borrow_mut();
        let wanted = |path: &Path| path.file_name().unwrap().to_string_lossy().starts_with(prefix);
        let inode = *state.names.iter().find(|(path, _)| wanted(path)).unwrap().1;
        change(&mut state.inodes[inode].cached);
    }

    fn step(&self) -> io::Result<Option<Fault>> {
        let mut state = self.0.borrow_mut();
        state.steps += 1;
        let due = state.fault.filter(|(step, _)| *step == state.steps).map(|(_, fault)| fault);
        state.dead |= due == Some(Fault::Crash);
        if state.dead {
            return Err(io::Error::other("crashed"));
        }
        Ok(due)
    }

    /// Counts an operation that either succeeds or fails without effect.
    fn whole_step(&self) -> io::Result<()> {
        match self.step()? {
            Some(_) => Err(io::Error::other("failed")),
            None => Ok(()),
        }
    }
}

fn mix(seed: u64, salt: usize) -> u64 {
    let mut x = seed.wrapping_add((salt as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15));
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x ^ (x >> 27)
}

fn survive(inode: &Inode, loss: Loss, number: usize) -> Vec<u8> {
    let Loss::Torn(seed) = loss else {
        return inode.synced.clone();
    };
    if inode.dropped || mix(seed, number).is_multiple_of(4) {
        return inode.synced.clone();
    }
    let mut old = inode.synced.clone();
    old.resize(inode.cached.len(), 0);
    let mut left = inode.cached.clone();
    for (sector, at) in (0..left.len()).step_by(SECTOR_BYTES).enumerate() {
        let end = left.len().min(at + SECTOR_BYTES);
        if mix(seed, number * 1_000 + sector).is_multiple_of(2) {
            left[at..end].copy_from_slice(&old[at..end]);
        }
    }
    left
}

impl Files for MemFiles {
    type File = usize;

    fn make_folder(&self, _folder: &Path) -> io::Result<()> {
        self.whole_step()
    }

    fn names(&self, _folder: &Path) -> io::Result<Vec<String>> {
        let state = self.0.borrow();
        let name = |path: &PathBuf| path.file_name().unwrap().to_string_lossy().into_owned();
        Ok(state.names.keys().map(name).collect())
    }

    fn read(&self, path: &Path) -> io::Result<Option<Vec<u8>>> {
        let state = self.0.borrow();
        Ok(state.names.get(path).map(|inode| state.inodes[*inode].cached.clone()))
    }

    fn open(&self, path: &Path) -> io::Result<usize> {
        self.whole_step()?;
        let mut state = self.0.borrow_mut();
        if let Some(inode) = state.names.get(path) {
            return Ok(*inode);
        }
        state.inodes.push(Inode::default());
        let inode = state.inodes.len() - 1;
        state.names.insert(path.to_owned(), inode);
        Ok(inode)
    }

    fn write(&self, file: &usize, at: u64, data: &[u8]) -> io::Result<usize> {
        let fault = self.step()?;
        let mut state = self.0.borrow_mut();
        let taken = match fault {
            Some(Fault::Full) if data.len() > 1 => {
                state.fault = Some((state.steps + 1, Fault::Fail));
                data.len() / 2
            }
            Some(_) => return Err(io::ErrorKind::StorageFull.into()),
            None => data.len(),
        };
        let cached = &mut state.inodes[*file].cached;
        let end = at as usize + taken;
        cached.resize(cached.len().max(end), 0);
        cached[at as usize..end].copy_from_slice(&data[..taken]);
        Ok(taken)
    }

    fn resize(&self, file: &usize, length: u64) -> io::Result<()> {
        self.whole_step()?;
        self.0.borrow_mut().inodes[*file].cached.resize(length as usize, 0);
        Ok(())
    }

    fn sync(&self, file: &usize) -> io::Result<()> {
        let fault = self.step()?;
        let inode = &mut self.0.borrow_mut().inodes[*file];
        if fault.is_some() {
            inode.dropped = true;
            return Err(io::Error::other("sync failed"));
        }
        if !inode.dropped {
            inode.synced = inode.cached.clone();
        }
        Ok(())
    }

    fn sync_folder(&self, _folder: &Path) -> io::Result<()> {
        self.whole_step()?;
        let mut state = self.0.borrow_mut();
        state.durable = state.names.clone();
        Ok(())
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        self.whole_step()?;
        let mut state = self.0.borrow_mut();
        let inode = state.names.remove(from).ok_or(io::ErrorKind::NotFound)?;
        state.names.insert(to.to_owned(), inode);
        Ok(())
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        self.whole_step()?;
        self.0.borrow_mut().names.remove(path);
        Ok(())
    }

    fn lock(&self, _file: &usize) -> io::Result<bool> {
        Ok(true)
    }
}
