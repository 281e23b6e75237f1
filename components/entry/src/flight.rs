//! A dispatched request.

use crate::messages::Ended;
use crate::traffic::Traffic;
use model::{AgentId, RequestId, ServiceName};
use routing::{Dispatch, Route, TargetOutcome};
use wire::BackendLoad;

/// A dispatched request; its end is told to the control thread exactly once.
pub(crate) struct Flight<'a> {
    /// What the traffic thread has.
    traffic: &'a Traffic,
    /// The service.
    service: &'a ServiceName,
    /// The agent.
    agent: AgentId,
    /// Where the try was sent.
    pub dispatch: &'a Dispatch,
    /// Number of the request.
    pub id: RequestId,
    /// Whether the end was told.
    ended: bool,
}

impl<'a> Flight<'a> {
    pub fn new(
        traffic: &'a Traffic,
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
            ended: false,
        }
    }

    pub fn end(
        &mut self,
        outcome: TargetOutcome,
        load: Option<BackendLoad>,
        ran: Option<(Route, u64)>,
        uncertain: bool,
    ) {
        self.ended = true;
        let (service, agent) = (self.service.clone(), self.agent.clone());
        let id = self.id;
        self.traffic.control.do_send(Ended {
            id,
            service,
            agent,
            outcome,
            load,
            ran,
            uncertain,
        });
    }

    /// Leaves the end to somebody else.
    pub fn hand_over(&mut self) {
        self.ended = true;
    }
}

impl Drop for Flight<'_> {
    fn drop(&mut self) {
        if !self.ended {
            self.end(TargetOutcome::Neutral, None, None, false);
        }
    }
}
