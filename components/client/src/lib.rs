//! HTTP clients with reliable errors: a body cut off by the end of its connection is an error, and
//! a request counts as never sent only if its connection was never made.

mod build;
mod connector;
mod never_sent;
mod single;
mod stream;

pub use build::{ClientLimits, build};
pub use never_sent::is_never_sent;
pub use single::connect;
