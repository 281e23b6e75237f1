//! Claims on idempotency keys. Each is held by two agents in different failure domains.

use crate::control::Control;
use crate::messages::{
    ClaimKey, ClaimRefusal, HolderState, KeyedRequestEnded, QueryRequestState, ReleaseKey,
};
use actix::{Addr, AsyncContext, Handler, Message, MessageResult, ResponseFuture};
use model::{EntryId, RequestId};
use routing::claim_holders;
use std::net::SocketAddr;
use std::time::Duration;
use wire::{AgentLink, Claim, ClaimAnswer, EntryLink, RequestState};

/// Timeout of one claim, release or holder lookup.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(500);

impl Handler<ClaimKey> for Control {
    type Result = ResponseFuture<Result<(), ClaimRefusal>>;

    fn handle(&mut self, message: ClaimKey, context: &mut Self::Context) -> Self::Result {
        self.record_keyed(message.request);
        let claim = Claim {
            service: message.service,
            key: message.key,
            request: message.request,
            entry: self.settings.id.clone(),
        };
        let links = self.holder_links(&claim);
        let control = context.address();
        Box::pin(async move {
            if links.is_empty() {
                return Err(ClaimRefusal::Unavailable);
            }
            let mut granted: Vec<AgentLink> = Vec::new();
            for link in links {
                match send_claim(&link, &claim).await {
                    Some(ClaimAnswer::Granted) => granted.push(link),
                    Some(ClaimAnswer::Held(holder)) => {
                        release_all(&granted, &claim).await;
                        let state = find_holder(&control, &holder).await;
                        return Err(ClaimRefusal::Held {
                            holder: holder.request,
                            state,
                        });
                    }
                    Some(ClaimAnswer::Refused) | None => {
                        release_all(&granted, &claim).await;
                        return Err(ClaimRefusal::Unavailable);
                    }
                }
            }
            Ok(())
        })
    }
}

/// Sends a claim to one agent; `None` if it does not answer.
async fn send_claim(link: &AgentLink, claim: &Claim) -> Option<ClaimAnswer> {
    let claim = claim.clone();
    let call = link.call(CLAIM_TIMEOUT, |client, context| async move {
        client.claim(context, claim).await
    });
    call.await.ok()
}

/// Releases a claim at each agent, ignoring failed calls.
async fn release_all(links: &[AgentLink], claim: &Claim) {
    for link in links {
        let claim = claim.clone();
        let call = link.call(CLAIM_TIMEOUT, |client, context| async move {
            client.release_claim(context, claim).await
        });
        drop(call.await);
    }
}

/// Asks the entry that received a key's first request to which agent that request was sent.
async fn find_holder(control: &Addr<Control>, holder: &Claim) -> Option<HolderState> {
    let entry = control
        .send(QueryEntryPlace(holder.entry.clone()))
        .await
        .ok()?;
    let state = match entry {
        EntryPlace::Here => control
            .send(QueryRequestState(holder.request))
            .await
            .ok()??,
        EntryPlace::At(address) => query_entry(address, holder.request).await?,
        EntryPlace::Unknown => return None,
    };
    control.send(LocateHolder(state)).await.ok()?
}

async fn query_entry(address: SocketAddr, request: RequestId) -> Option<RequestState> {
    let link = EntryLink::new(address);
    let call = link.call(CLAIM_TIMEOUT, |client, context| async move {
        client.request_state(context, request).await
    });
    call.await.ok().flatten()
}

/// Where the entry that received a key's first request can be queried.
enum EntryPlace {
    /// It is this entry.
    Here,
    /// It is a live peer with this control address.
    At(SocketAddr),
    /// It is not a live peer.
    Unknown,
}

/// Query for the location of an entry.
#[derive(Message)]
#[rtype(result = "EntryPlace")]
struct QueryEntryPlace(EntryId);

impl Handler<QueryEntryPlace> for Control {
    type Result = MessageResult<QueryEntryPlace>;

    fn handle(
        &mut self,
        QueryEntryPlace(entry): QueryEntryPlace,
        _: &mut Self::Context,
    ) -> Self::Result {
        if entry == self.settings.id {
            return MessageResult(EntryPlace::Here);
        }
        let mut live = self.peers.live(self.clock.now_ms());
        let peer = live.find(|peer| peer.state.entry == entry);
        MessageResult(peer.map_or(EntryPlace::Unknown, |peer| {
            EntryPlace::At(peer.state.control)
        }))
    }
}

/// Query for the addresses of the agent to which a request was sent; `None` if it is not live.
#[derive(Message)]
#[rtype(result = "Option<HolderState>")]
struct LocateHolder(RequestState);

impl Handler<LocateHolder> for Control {
    type Result = MessageResult<LocateHolder>;

    fn handle(&mut self, LocateHolder(state): LocateHolder, _: &mut Self::Context) -> Self::Result {
        let member = state
            .agent
            .as_ref()
            .and_then(|agent| self.members.get(agent));
        MessageResult(member.map(|member| HolderState {
            active: state.active,
            sent_as: state.sent_as,
            agent: member.heartbeat.agent.clone(),
            incarnation: state.incarnation,
            traffic: member.heartbeat.traffic,
            control: member.heartbeat.control,
        }))
    }
}

impl Control {
    /// Links to the agents that hold claims on this key; empty if the service has no targets.
    fn holder_links(&self, claim: &Claim) -> Vec<AgentLink> {
        let Some(targets) = self.dispatcher.targets(&claim.service) else {
            return Vec::new();
        };
        let holders = claim_holders(targets, &claim.key);
        holders
            .iter()
            .map(|holder| self.links.get_or_new(&holder.agent, holder.control))
            .collect()
    }
}

impl Handler<ReleaseKey> for Control {
    type Result = ();

    fn handle(&mut self, release: ReleaseKey, _: &mut Self::Context) {
        self.keyed.remove(&release.request);
        let claim = Claim {
            service: release.service,
            key: release.key,
            request: release.request,
            entry: self.settings.id.clone(),
        };
        let links = self.holder_links(&claim);
        actix_rt::spawn(async move { release_all(&links, &claim).await });
    }
}

impl Handler<KeyedRequestEnded> for Control {
    type Result = ();

    fn handle(&mut self, KeyedRequestEnded(id): KeyedRequestEnded, _: &mut Self::Context) {
        if let Some(state) = self.keyed.get_mut(&id) {
            state.active = false;
        }
    }
}

impl Handler<QueryRequestState> for Control {
    type Result = MessageResult<QueryRequestState>;

    fn handle(
        &mut self,
        QueryRequestState(id): QueryRequestState,
        _: &mut Self::Context,
    ) -> Self::Result {
        MessageResult(self.keyed.get(&id).cloned())
    }
}
