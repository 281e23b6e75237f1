//! HTTP/1.1 servers whose memory is bounded whatever their clients do: the number of connections,
//! the bytes that a connection may have sent ahead, answers that are not read, and bodies.

mod body;
mod budget;
mod connection;
mod counters;
mod refusal;
mod server;
mod stream;

pub use body::{BodyError, BodyLimits, read_body};
pub use budget::{Budget, Reservation};
pub use connection::{Connection, Exchange};
pub use counters::ConnectionCounters;
pub use server::{ServerLimits, bind};
