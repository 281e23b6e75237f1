//! Claims on idempotency keys, held by two agents in different failure domains.

use crate::control::Control;
use crate::messages::{AskRequest, ClaimKey, ClaimRefusal, HolderState, KeyedEnded, ReleaseKey};
use actix::{Addr, AsyncContext, Handler, Message, MessageResult, ResponseFuture};
use model::{EntryId, RequestId};
use routing::claim_holders;
use std::net::SocketAddr;
use std::time::Duration;
use wire::{AgentLink, Claim, ClaimAnswer, EntryLink, RequestState};

/// Time for one claim.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(500);

impl Handler<ClaimKey> for Control {
    type Result = ResponseFuture<Result<(), ClaimRefusal>>;

    fn handle(&mut self, ask: ClaimKey, context: &mut Self::Context) -> Self::Result {
        self.remember_keyed(ask.request);
        let claim = Claim {
            service: ask.service,
            key: ask.key,
            request: ask.request,
            entry: self.settings.id.clone(),
        };
        let homes = self.claim_homes(&claim);
        let control = context.address();
        Box::pin(async move {
            if homes.is_empty() {
                return Err(ClaimRefusal::Unavailable);
            }
            let mut granted: Vec<AgentLink> = Vec::new();
            for home in homes {
                match make(&home, &claim).await {
                    Some(ClaimAnswer::Granted) => granted.push(home),
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

async fn make(home: &AgentLink, claim: &Claim) -> Option<ClaimAnswer> {
    let claim = claim.clone();
    let call = home.call(CLAIM_TIMEOUT, |client, context| async move {
        client.claim(context, claim).await
    });
    call.await.ok()
}

async fn release_all(homes: &[AgentLink], claim: &Claim) {
    for home in homes {
        let claim = claim.clone();
        let call = home.call(CLAIM_TIMEOUT, |client, context| async move {
            client.release_claim(context, claim).await
        });
        drop(call.await);
    }
}

/// Asks the entry that acts for the holder of a key where the holder was sent.
async fn find_holder(control: &Addr<Control>, holder: &Claim) -> Option<HolderState> {
    let entry = control.send(AskEntry(holder.entry.clone())).await.ok()?;
    let state = match entry {
        EntryPlace::Here => control.send(AskRequest(holder.request)).await.ok()??,
        EntryPlace::At(address) => ask_entry(address, holder.request).await?,
        EntryPlace::Unknown => return None,
    };
    control.send(Locate(state)).await.ok()?
}

async fn ask_entry(address: SocketAddr, request: RequestId) -> Option<RequestState> {
    let link = EntryLink::new(address);
    let call = link.call(CLAIM_TIMEOUT, |client, context| async move {
        client.request_state(context, request).await
    });
    call.await.ok().flatten()
}

/// Where an entry is.
enum EntryPlace {
    Here,
    At(SocketAddr),
    Unknown,
}

/// Asks where an entry is.
#[derive(Message)]
#[rtype(result = "EntryPlace")]
struct AskEntry(EntryId);

impl Handler<AskEntry> for Control {
    type Result = MessageResult<AskEntry>;

    fn handle(&mut self, AskEntry(entry): AskEntry, _: &mut Self::Context) -> Self::Result {
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

/// Asks where the agent of a request is.
#[derive(Message)]
#[rtype(result = "Option<HolderState>")]
struct Locate(RequestState);

impl Handler<Locate> for Control {
    type Result = MessageResult<Locate>;

    fn handle(&mut self, Locate(state): Locate, _: &mut Self::Context) -> Self::Result {
        let member = state
            .agent
            .as_ref()
            .and_then(|agent| self.members.get(agent));
        MessageResult(member.map(|member| HolderState {
            active: state.active,
            sent_as: state.sent_as,
            agent: member.beat.agent.clone(),
            incarnation: state.incarnation,
            traffic: member.beat.traffic,
            control: member.beat.control,
        }))
    }
}

impl Control {
    fn claim_homes(&self, claim: &Claim) -> Vec<AgentLink> {
        let Some(targets) = self.dispatcher.targets(&claim.service) else {
            return Vec::new();
        };
        let homes = claim_holders(targets, &claim.key);
        homes
            .iter()
            .map(|home| self.links.get_or_new(&home.agent, home.control))
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
        let homes = self.claim_homes(&claim);
        actix_rt::spawn(async move { release_all(&homes, &claim).await });
    }
}

impl Handler<KeyedEnded> for Control {
    type Result = ();

    fn handle(&mut self, KeyedEnded(id): KeyedEnded, _: &mut Self::Context) {
        if let Some(state) = self.keyed.get_mut(&id) {
            state.active = false;
        }
    }
}

impl Handler<AskRequest> for Control {
    type Result = MessageResult<AskRequest>;

    fn handle(&mut self, AskRequest(id): AskRequest, _: &mut Self::Context) -> Self::Result {
        MessageResult(self.keyed.get(&id).cloned())
    }
}
