//! Builds the status report of the cluster as this entry sees it.

use crate::control::Control;
use crate::messages::QueryClusterStatus;
use crate::status::{AgentStatus, ClusterStatus, EntryStatus, TeamStatus};
use actix::{Handler, MessageResult};
use model::AgentId;
use wire::PeerState;

impl Control {
    fn agent_statuses(&self) -> Vec<AgentStatus> {
        let now_ms = self.clock.now_ms();
        let workers = &self.batch.workers;
        let quarantined = |agent: &AgentId| {
            workers
                .get(agent)
                .is_some_and(|worker| worker.is_quarantined(now_ms))
        };
        let status = |member: &membership::Member| AgentStatus {
            agent: member.heartbeat.agent.clone(),
            domain: member.heartbeat.domain.clone(),
            config: member.heartbeat.config,
            draining: member.heartbeat.draining,
            quarantined: quarantined(&member.heartbeat.agent),
            capacity: member.heartbeat.capacity,
            free: member.heartbeat.free,
            services: member.heartbeat.services.clone(),
        };
        self.members.iter().map(status).collect()
    }

    /// Usage is known only for teams whose shard this entry owns.
    fn team_statuses(&self) -> Vec<TeamStatus> {
        let shards = self.settings.batch.shards;
        let status = |spec: &model::TeamSpec| {
            let shard = model::JobId::from(format!("{}.", spec.name)).shard(shards);
            let is_own = self.batch.shards.contains_key(&shard);
            let used = is_own.then(|| self.batch.usage.of(&spec.name));
            TeamStatus {
                team: spec.name.clone(),
                quota: spec.quota,
                used,
            }
        };
        self.config.teams.values().map(status).collect()
    }
}

impl Handler<QueryClusterStatus> for Control {
    type Result = MessageResult<QueryClusterStatus>;

    fn handle(&mut self, _: QueryClusterStatus, _: &mut Self::Context) -> Self::Result {
        let now_ms = self.clock.now_ms();
        let own = self.peer_state();
        let peers = self.peers.live(now_ms).map(|peer| peer.state.clone());
        let status = |state: PeerState| EntryStatus {
            entry: state.entry,
            config: state.config,
            draining: state.draining,
        };
        MessageResult(ClusterStatus {
            entry: self.settings.id.clone(),
            config: self.config.number,
            store_up: self.store_up,
            shards: self.batch.shards.keys().copied().collect(),
            waiting: self.queued_tries.len(),
            entries: std::iter::once(own).chain(peers).map(status).collect(),
            agents: self.agent_statuses(),
            teams: self.team_statuses(),
        })
    }
}
