//! HTTP clients whose errors can be relied on: a body that ends with its connection is an error,
//! and "never sent" is only said of a request whose connection was never made.

mod build;
mod connector;
mod never_sent;
mod stream;

pub use build::{ClientLimits, build};
pub use never_sent::is_never_sent;
