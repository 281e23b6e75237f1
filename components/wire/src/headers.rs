//! Names of HTTP headers.

/// Verdict of a failure, towards callers.
pub const VERDICT: &str = "x-parsleythread-verdict";
/// Identifier of a request, towards callers and agents.
pub const REQUEST_ID: &str = "x-parsleythread-request-id";
/// Service, towards agents.
pub const SERVICE: &str = "x-parsleythread-service";
/// Team of a caller.
pub const TEAM: &str = "x-parsleythread-team";
/// Key by which a caller marks repetitions of one request.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Headers between entries and agents.
#[derive(Debug, Clone, Copy)]
pub struct Headers;

impl Headers {
    /// Time left until the request's deadline, in milliseconds.
    pub const DEADLINE_MS: &str = "x-parsleythread-deadline-ms";
    /// Incarnation of the agent that the entry means.
    pub const INCARNATION: &str = "x-parsleythread-incarnation";
    /// Run-time class that the entry expects.
    pub const CLASS: &str = "x-parsleythread-class";
    /// Whether the agent may keep the answer for a replay.
    pub const KEEP: &str = "x-parsleythread-keep";
    /// Free slots of the service at the agent.
    pub const FREE: &str = "x-parsleythread-free";
    /// Free slots for long requests.
    pub const FREE_LONG: &str = "x-parsleythread-free-long";
    /// Marks an answer of the agent itself, with its failure code.
    pub const AGENT_CODE: &str = "x-parsleythread-agent-code";
    /// Prefix of every header that belongs to parsleythread.
    pub const PREFIX: &str = "x-parsleythread-";
}
