//! A process of the program under test, which can be restarted with the same settings.

use rustix::process::{Pid, Signal, kill_process};
use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command};

/// A process in one role, with its settings and its log.
pub(crate) struct Node {
    /// Path of the program.
    program: PathBuf,
    /// Subcommand that starts the role.
    role: &'static str,
    /// Path of the settings file.
    settings: PathBuf,
    /// Path of the log, to which every restart appends.
    log: PathBuf,
    /// The current process.
    child: Child,
}

impl Node {
    /// Starts a process in a role; its log is written beside the settings file.
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

    /// Sends the process a signal; does nothing if it has exited.
    pub fn signal(&mut self, signal: Signal) -> io::Result<()> {
        if self.child.try_wait()?.is_some() {
            return Ok(());
        }
        let id = i32::try_from(self.child.id()).map_err(io::Error::other)?;
        let pid = Pid::from_raw(id).ok_or_else(|| io::Error::other("the process has id 0"))?;
        kill_process(pid, signal).map_err(Into::into)
    }

    /// Kills the process and starts it with the same settings.
    pub fn restart(&mut self) -> io::Result<()> {
        self.kill()?;
        self.child = spawn(&self.program, self.role, &self.settings, &self.log)?;
        Ok(())
    }

    /// Kills the process and waits for its exit; succeeds also if it has exited before.
    pub fn kill(&mut self) -> io::Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Whether the process has not exited.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        if let Err(error) = self.kill() {
            eprintln!(
                "the process of {} can't be killed: {error}",
                self.settings.display()
            );
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
