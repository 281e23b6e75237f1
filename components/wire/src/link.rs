//! Connections for control calls, made anew after a failure.

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

/// Largest control message, in bytes.
const MAX_FRAME_BYTES: usize = 16 << 20;
/// Time for connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Control connections that a server holds at once.
const MAX_CHANNELS: usize = 4_096;

/// Why a control call gave no answer; it may have taken effect.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum LinkError {
    /// The connection could not be made; the call had no effect.
    #[error("can't connect to {0}")]
    Connect(SocketAddr),
    /// Nothing listens at the address; the call had no effect.
    #[error("{0} refuses connections")]
    Refused(SocketAddr),
    /// The call was not answered in time, or its connection broke.
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
            /// Connection of the last successful call.
            open: Rc<RefCell<Option<$client>>>,
            /// When the last call began.
            used: Rc<Cell<Instant>>,
        }

        impl $name {
            /// A link to the process at `address`; connects at the first call.
            pub fn new(address: SocketAddr) -> Self {
                let used = Rc::new(Cell::new(Instant::now()));
                Self { address, open: Rc::default(), used }
            }

            /// Closes the connection if no call began within `idle`; the next one connects anew.
            pub fn close_if_idle(&self, idle: Duration) {
                if self.used.get().elapsed() >= idle {
                    self.open.borrow_mut().take();
                }
            }

            /// Address of the other process.
            pub fn address(&self) -> SocketAddr {
                self.address
            }

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

            /// Makes one call within `limit`; a failure closes the connection.
            ///
            /// # Errors
            /// No connection, or no answer in time.
            pub async fn call<T, F>(
                &self,
                limit: Duration,
                call: impl FnOnce($client, context::Context) -> F,
            ) -> Result<T, LinkError>
            where
                F: Future<Output = Result<T, RpcError>>,
            {
                self.used.set(Instant::now());
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
    /// Link to an agent.
    AgentLink, AgentControlClient
}
link_type! {
    /// Link to an entry.
    EntryLink, EntryControlClient
}
link_type! {
    /// Link to the agent of a worker.
    WorkerLink, WorkerControlClient
}
link_type! {
    /// Link to an entry that may be the scheduler of flows.
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
                    .for_each_concurrent(MAX_CHANNELS, |channel| async {
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
    /// Answers control calls to an agent; returns the bound address.
    ///
    /// # Errors
    /// The address can't be bound.
    serve_agent, AgentControl
}
serve_function! {
    /// Answers control calls to an entry; returns the bound address.
    ///
    /// # Errors
    /// The address can't be bound.
    serve_entry, EntryControl
}
serve_function! {
    /// Answers calls about a worker; returns the bound address.
    ///
    /// # Errors
    /// The address can't be bound.
    serve_worker, WorkerControl
}
serve_function! {
    /// Answers calls between entries about flows; returns the bound address.
    ///
    /// # Errors
    /// The address can't be bound.
    serve_scheduler, SchedulerControl
}
