//! Names of HTTP headers between callers, entries and agents.

/// Verdict of a failure, in answers to callers.
pub const VERDICT: &str = "x-parsleythread-verdict";
/// Identifier of a request, in answers to callers and in requests to agents.
pub const REQUEST_ID: &str = "x-parsleythread-request-id";
/// Service of a request, in requests to agents.
pub const SERVICE: &str = "x-parsleythread-service";
/// Team of the caller, in requests to entries.
pub const TEAM: &str = "x-parsleythread-team";
/// Key that a caller repeats with each retry of one request, so that it runs once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Names of the headers between entries and agents.
#[derive(Debug, Clone, Copy)]
pub struct Headers;

impl Headers {
    /// Time left until the request's deadline, in milliseconds.
    pub const DEADLINE_MS: &str = "x-parsleythread-deadline-ms";
    /// Incarnation of the agent that the request is meant for.
    pub const INCARNATION: &str = "x-parsleythread-incarnation";
    /// Run-time class, short or long, that the entry expects of the request.
    pub const CLASS: &str = "x-parsleythread-class";
    /// Whether the agent may retain the answer for a replay.
    pub const KEEP: &str = "x-parsleythread-keep";
    /// Free slots of the service on the agent, in its answers.
    pub const FREE: &str = "x-parsleythread-free";
    /// Free slots for long requests on the agent, in its answers.
    pub const FREE_LONG: &str = "x-parsleythread-free-long";
    /// Failure code; marks an answer that comes from the agent and not from a backend server.
    pub const AGENT_CODE: &str = "x-parsleythread-agent-code";
    /// Prefix of all headers that parsleythread defines.
    pub const PREFIX: &str = "x-parsleythread-";
}
