//! TCP connector for [`StrictStream`]s.

use crate::stream::StrictStream;
use actix_service::Service;
use actix_tls::connect::{ConnectError, ConnectInfo, Connection, Connector, ConnectorService};
use awc::http::Uri;
use futures::future::LocalBoxFuture;
use std::task::{Context, Poll};

/// Connects by TCP without Nagle's algorithm, and wraps the connection in a [`StrictStream`].
#[derive(Clone)]
pub(crate) struct StrictConnector(ConnectorService);

impl Default for StrictConnector {
    fn default() -> Self {
        Self(Connector::default().service())
    }
}

impl Service<ConnectInfo<Uri>> for StrictConnector {
    type Response = Connection<Uri, StrictStream>;
    type Error = ConnectError;
    type Future = LocalBoxFuture<'static, Result<Self::Response, Self::Error>>;

    fn poll_ready(&self, context: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        Service::<ConnectInfo<Uri>>::poll_ready(&self.0, context)
    }

    fn call(&self, info: ConnectInfo<Uri>) -> Self::Future {
        let connecting = self.0.call(info);
        Box::pin(async move {
            let (stream, uri) = connecting.await?.into_parts();
            drop(stream.set_nodelay(true));
            Ok(Connection::new(uri, StrictStream(stream)))
        })
    }
}
