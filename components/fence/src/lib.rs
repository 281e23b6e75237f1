//! Request state of an agent: slots of backend servers, records for fencing, claims on
//! idempotency keys and cached answers.

mod admission;
mod answer_cache;
mod backend;
mod backends;
mod claims;
mod request_record;
mod request_table;

pub use admission::{AdmissionRequest, Admitted, Grant, Outcome};
pub use answer_cache::{AnswerCache, CachedAnswer};
pub use backend::{Announcement, Backend};
pub use backends::{Backends, ServiceLimits};
pub use claims::Claims;
pub use request_record::RequestRecord;
pub use request_table::{RequestLimits, RequestTable};
