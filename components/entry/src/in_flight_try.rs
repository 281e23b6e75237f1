//! Reporting of the end of dispatched tries.

use crate::messages::TryEnded;
use crate::traffic::TrafficState;
use model::{AgentId, RequestId, ServiceName};
use routing::{Dispatch, Route, TargetOutcome};
use wire::BackendLoad;

/// A dispatched try. Its end is reported to the control thread exactly once: if it is dropped
/// before, as when the caller disconnects, it ends with a neutral outcome.
pub(crate) struct InFlightTry<'a> {
    /// State of the traffic thread.
    traffic: &'a TrafficState,
    /// Service of the request.
    service: &'a ServiceName,
    /// Agent to which it was sent.
    agent: AgentId,
    /// Decision that sent the try to its agent.
    pub dispatch: &'a Dispatch,
    /// Id of the try.
    pub id: RequestId,
    /// Whether the end was reported or handed over.
    is_end_reported: bool,
}

impl<'a> InFlightTry<'a> {
    pub fn new(
        traffic: &'a TrafficState,
        service: &'a ServiceName,
        dispatch: &'a Dispatch,
        id: RequestId,
    ) -> Self {
        Self {
            traffic,
            service,
            agent: dispatch.agent.clone(),
            dispatch,
            id,
            is_end_reported: false,
        }
    }

    /// Reports the end. `completed` is the route and run time of a complete answer; `uncertain`
    /// says that the request may have run without one.
    pub fn end(
        &mut self,
        outcome: TargetOutcome,
        load: Option<BackendLoad>,
        completed: Option<(Route, u64)>,
        uncertain: bool,
    ) {
        self.is_end_reported = true;
        let (service, agent) = (self.service.clone(), self.agent.clone());
        let id = self.id;
        self.traffic.control.do_send(TryEnded {
            id,
            service,
            agent,
            outcome,
            load,
            completed,
            uncertain,
        });
    }

    /// Leaves reporting the end to the [`crate::answer_stream::AnswerStream`] that takes over.
    pub fn hand_over_to_stream(&mut self) {
        self.is_end_reported = true;
    }
}

impl Drop for InFlightTry<'_> {
    fn drop(&mut self) {
        if !self.is_end_reported {
            self.end(TargetOutcome::Neutral, None, None, false);
        }
    }
}
