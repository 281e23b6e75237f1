//! Nodes of a system in one process: each runs on threads of its own.

use std::future::Future;
use std::thread::JoinHandle;
use tokio::sync::oneshot;

/// An entry, agent or stand-in that runs on its own threads.
pub struct Node {
    /// Requests a graceful stop; `None` once that was done.
    stop: Option<oneshot::Sender<()>>,
    /// Requests an immediate stop; `None` once that was done.
    kill: Option<oneshot::Sender<()>>,
    /// Main thread of the node; `None` once it was joined.
    thread: Option<JoinHandle<()>>,
}

impl Node {
    /// Starts a node, whose main thread is called `name`. `run` receives a future that resolves when
    /// the node has to stop gracefully.
    ///
    /// # Errors
    /// Returns an error if the thread can't be started.
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
            // Servers run on further threads, which end only when the system is stopped.
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

    /// Requests a graceful stop and returns at once.
    pub fn drain(&mut self) {
        self.stop.take().map(|stop| stop.send(()));
    }

    /// Blocks until the node has stopped.
    pub fn join(&mut self) {
        self.thread.take().map(JoinHandle::join);
    }

    /// Whether the node has stopped, or was joined already.
    pub fn is_stopped(&self) -> bool {
        self.thread.as_ref().is_none_or(JoinHandle::is_finished)
    }

    /// Requests that the node stops without a drain, abandoning its work in flight.
    pub fn kill(&mut self) {
        self.kill.take().map(|kill| kill.send(()));
    }
}
