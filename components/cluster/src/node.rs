//! One node with threads of its own.

use std::future::Future;
use std::thread::JoinHandle;
use tokio::sync::oneshot;

/// One node of a system in one process, with threads of its own.
pub struct Node {
    /// Asks it to stop gracefully.
    stop: Option<oneshot::Sender<()>>,
    /// Stops it at once.
    kill: Option<oneshot::Sender<()>>,
    /// Its first thread.
    thread: Option<JoinHandle<()>>,
}

impl Node {
    /// Starts a node; `run` gets a future that resolves when the node is to stop gracefully.
    ///
    /// # Errors
    /// The thread can't be started.
    pub fn start<F, R>(name: &str, run: F) -> std::io::Result<Self>
    where
        F: FnOnce(oneshot::Receiver<()>) -> R + Send + 'static,
        R: Future<Output = ()> + 'static,
    {
        let (stop, stopped) = oneshot::channel();
        let (kill, killed) = oneshot::channel();
        let body = move || {
            let runner = actix_rt::System::new();
            runner.block_on(async {
                tokio::select! {
                    () = run(stopped) => {}
                    Ok(()) = killed => {}
                }
            });
            // Servers have threads of their own, which stop with the system.
            actix_rt::System::current().stop();
            drop(runner.run());
        };
        let thread = std::thread::Builder::new()
            .name(name.to_owned())
            .spawn(body)?;
        Ok(Self {
            stop: Some(stop),
            kill: Some(kill),
            thread: Some(thread),
        })
    }

    /// Asks the node to stop gracefully.
    pub fn drain(&mut self) {
        self.stop.take().map(|stop| stop.send(()));
    }

    /// Waits until the node has stopped.
    pub fn join(&mut self) {
        self.thread.take().map(JoinHandle::join);
    }

    /// Whether the node has stopped.
    pub fn is_stopped(&self) -> bool {
        self.thread.as_ref().is_none_or(JoinHandle::is_finished)
    }

    /// Stops the node at once, whatever it is doing.
    pub fn kill(&mut self) {
        self.kill.take().map(|kill| kill.send(()));
    }
}
