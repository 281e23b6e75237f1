//! Clients and servers for control calls; a client reconnects after a failure.

use crate::{
    AgentControl, AgentControlClient, EntryControl, EntryControlClient, SchedulerControl,
    SchedulerControlClient, WorkerControl, WorkerControlClient,
};
use futures::StreamExt;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tarpc::client::{self, RpcError};
use tarpc::context;
use tarpc::serde_transport::tcp;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tokio::time::timeout;

/// Largest control message accepted, in bytes.
const MAX_FRAME_BYTES: usize = 16 << 20;
/// Longest time for connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Most control connections that a server keeps open at once.
const MAX_CONNECTIONS: usize = 4_096;

/// Why a control call got no answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum LinkError {
    /// The connection failed or timed out; the call had no effect.
    #[error("can't connect to {0}")]
    Connect(SocketAddr),
    /// Nothing listens at the address; the call had no effect.
    #[error("{0} refuses connections")]
    Refused(SocketAddr),
    /// The call was not answered in time, or its connection broke; it may have taken effect.
    #[error("no answer from {0}")]
    NoAnswer(SocketAddr),
}

macro_rules! link_type {
    ($(#[$doc:meta])* $name:ident, $client:ident) => {
        $(#[$doc])*
        #[derive(Clone)]
        pub struct $name {
            /// Address of the other process.
            address: SocketAddr,
            /// Open connection; `None` before the first call, after a failure and after idle time.
            open: Rc<RefCell<Option<$client>>>,
            /// Start of the last call.
            last_used: Rc<Cell<Instant>>,
        }

        impl $name {
            /// Creates a link to the process at `address`; connects at the first call.
            pub fn new(address: SocketAddr) -> Self {
                let last_used = Rc::new(Cell::new(Instant::now()));
                Self { address, open: Rc::default(), last_used }
            }

            /// Closes the connection if no call started within `idle`; the next call reconnects.
            pub fn close_if_idle(&self, idle: Duration) {
                if self.last_used.get().elapsed() >= idle {
                    self.open.borrow_mut().take();
                }
            }

            /// Address of the other process.
            pub fn address(&self) -> SocketAddr {
                self.address
            }

            /// Returns the open client, or connects.
            async fn client(&self) -> Result<$client, LinkError> {
                if let Some(client) = self.open.borrow().clone() {
                    return Ok(client);
                }
                let mut connect = tcp::connect(self.address, Bincode::default);
                connect.config_mut().max_frame_length(MAX_FRAME_BYTES);
                let transport = match timeout(CONNECT_TIMEOUT, connect).await {
                    Ok(Ok(transport)) => transport,
                    Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
                        return Err(LinkError::Refused(self.address));
                    }
                    Ok(Err(_)) | Err(_) => return Err(LinkError::Connect(self.address)),
                };
                let client = $client::new(client::Config::default(), transport).spawn();
                *self.open.borrow_mut() = Some(client.clone());
                Ok(client)
            }

            /// Makes one call and waits at most `limit` for its answer; a failure closes the
            /// connection.
            ///
            /// # Errors
            /// The connection failed, or no answer arrived in time.
            pub async fn call<T, F>(
                &self,
                limit: Duration,
                call: impl FnOnce($client, context::Context) -> F,
            ) -> Result<T, LinkError>
            where
                F: Future<Output = Result<T, RpcError>>,
            {
                self.last_used.set(Instant::now());
                let client = self.client().await?;
                let mut context = context::current();
                context.deadline = Instant::now() + limit;
                match timeout(limit, call(client, context)).await {
                    Ok(Ok(answer)) => Ok(answer),
                    Ok(Err(_)) | Err(_) => {
                        *self.open.borrow_mut() = None;
                        Err(LinkError::NoAnswer(self.address))
                    }
                }
            }
        }
    };
}

link_type! {
    /// Client of an agent's control interface; clones share one connection.
    AgentLink, AgentControlClient
}
link_type! {
    /// Client of an entry's control interface; clones share one connection.
    EntryLink, EntryControlClient
}
link_type! {
    /// Client of the agent of a flow worker, for the scheduler; clones share one connection.
    WorkerLink, WorkerControlClient
}
link_type! {
    /// Client of an entry that may be the scheduler of flows; clones share one connection.
    SchedulerLink, SchedulerControlClient
}

macro_rules! serve_function {
    ($(#[$doc:meta])* $name:ident, $service:ident) => {
        $(#[$doc])*
        pub async fn $name<S>(address: SocketAddr, server: S) -> std::io::Result<SocketAddr>
        where
            S: $service + Clone + Send + 'static,
        {
            let mut incoming = tcp::listen(address, Bincode::default).await?;
            incoming.config_mut().max_frame_length(MAX_FRAME_BYTES);
            let bound = incoming.local_addr();
            actix_rt::spawn(async move {
                let channels = incoming
                    .filter_map(|accepted| futures::future::ready(accepted.ok()))
                    .map(BaseChannel::with_defaults);
                channels
                    .for_each_concurrent(MAX_CONNECTIONS, |channel| async {
                        let calls = channel.execute(server.clone().serve());
                        calls.for_each(|call| async { drop(actix_rt::spawn(call)) }).await;
                    })
                    .await;
            });
            Ok(bound)
        }
    };
}

serve_function! {
    /// Starts the server of an agent's control interface; returns the bound address.
    ///
    /// # Errors
    /// The address can't be bound.
    serve_agent, AgentControl
}
serve_function! {
    /// Starts the server of an entry's control interface; returns the bound address.
    ///
    /// # Errors
    /// The address can't be bound.
    serve_entry, EntryControl
}
serve_function! {
    /// Starts the server for the scheduler's calls about a worker; returns the bound address.
    ///
    /// # Errors
    /// The address can't be bound.
    serve_worker, WorkerControl
}
serve_function! {
    /// Starts the server for calls between entries about flows; returns the bound address.
    ///
    /// # Errors
    /// The address can't be bound.
    serve_scheduler, SchedulerControl
}
