//! A process of the program under test.

use rustix::process::{Pid, Signal, kill_process};
use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command};

/// A process with its settings and its log.
pub(crate) struct Node {
    /// The program.
    program: PathBuf,
    /// Command of the role.
    role: &'static str,
    /// Its settings file.
    settings: PathBuf,
    /// Its log, over all its starts.
    log: PathBuf,
    /// The process.
    child: Child,
}

impl Node {
    /// Starts a process in a role with a settings file.
    pub fn start(program: &Path, role: &'static str, settings: PathBuf) -> io::Result<Self> {
        let log = settings.with_extension("log");
        let child = spawn(program, role, &settings, &log)?;
        Ok(Self {
            program: program.to_owned(),
            role,
            settings,
            log,
            child,
        })
    }

    /// Sends it a signal, unless it has ended.
    pub fn signal(&mut self, signal: Signal) -> io::Result<()> {
        if self.child.try_wait()?.is_some() {
            return Ok(());
        }
        let id = i32::try_from(self.child.id()).map_err(io::Error::other)?;
        let pid = Pid::from_raw(id).ok_or_else(|| io::Error::other("no process id"))?;
        kill_process(pid, signal).map_err(Into::into)
    }

    /// Ends it at once and starts it again.
    pub fn restart(&mut self) -> io::Result<()> {
        self.end()?;
        self.child = spawn(&self.program, self.role, &self.settings, &self.log)?;
        Ok(())
    }

    /// Ends it at once.
    pub fn end(&mut self) -> io::Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Whether the process is there.
    pub fn is_up(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        if let Err(error) = self.end() {
            eprintln!("{}: can't be ended: {error}", self.settings.display());
        }
    }
}

fn spawn(program: &Path, role: &str, settings: &Path, log: &Path) -> io::Result<Child> {
    let log = File::options().create(true).append(true).open(log)?;
    Command::new(program)
        .arg(role)
        .arg("--settings")
        .arg(settings)
        .args(["--log-format", "json"])
        .stderr(log.try_clone()?)
        .stdout(log)
        .spawn()
}
