//! Change tickets on the platform's table: acceptance, loading and catching up.

mod accept;
mod load;
mod refusal;
mod rows;

pub use accept::accept;
pub use load::{catch_up, load, read_ticket};
pub use refusal::{Conflict, Refusal};
