//! An agent's table of requests: slots, records for fencing, claims on keys and kept answers.

mod admit;
mod answers;
mod backend;
mod backends;
mod claims;
mod record;
mod requests;

pub use admit::{AdmissionRequest, Admitted, Grant, Outcome};
pub use answers::{AnswerCache, CachedAnswer};
pub use backend::{Announcement, Backend};
pub use backends::{Backends, ServiceLimits};
pub use claims::Claims;
pub use record::Record;
pub use requests::{RequestLimits, RequestTable};
