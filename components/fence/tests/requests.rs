//! The table of requests under random interleavings.

use fence::{AdmissionRequest, Admitted, Announcement, Outcome, RequestLimits, RequestTable};
use model::RequestId;
use proptest::prelude::*;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use wire::{FenceAnswer, FenceRequest};

const SLOTS: u32 = 3;
const INCARNATION: u64 = 7;

#[derive(Debug, Clone)]
enum Step {
    Admit {
        id: u128,
        long: bool,
        patience_ms: u64,
    },
    Fence {
        id: u128,
        bar: bool,
        incarnation: u64,
    },
    Finish {
        nth: usize,
        outcome: u8,
    },
    Abandon {
        id: u128,
    },
    Advance {
        ms: u64,
    },
    Announce {
        server: u16,
        leaving: bool,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let id = 0..12_u128;
    prop_oneof![
        4 => (id.clone(), any::<bool>(), 1..400_u64)
            .prop_map(|(id, long, patience_ms)| Step::Admit { id, long, patience_ms }),
        2 => (id.clone(), any::<bool>(), prop_oneof![9 => Just(INCARNATION), 1 => Just(8)])
            .prop_map(|(id, bar, incarnation)| Step::Fence { id, bar, incarnation }),
        3 => (0..8_usize, 0..3_u8).prop_map(|(nth, outcome)| Step::Finish { nth, outcome }),
        1 => id.prop_map(|id| Step::Abandon { id }),
        2 => (1..300_u64).prop_map(|ms| Step::Advance { ms }),
        2 => (0..2_u16, prop::bool::weighted(0.2))
            .prop_map(|(server, leaving)| Step::Announce { server, leaving }),
    ]
}

fn server(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + number))
}

/// What has been told of requests, kept apart from the table itself.
#[derive(Default)]
struct Told {
    granted: HashMap<RequestId, SocketAddr>,
    running: Vec<RequestId>,
    barred: HashSet<RequestId>,
    handed_over: HashSet<RequestId>,
}

impl Told {
    fn grant(&mut self, id: RequestId, backend: SocketAddr) {
        assert!(!self.barred.contains(&id), "{id} was proved not to run");
        assert!(self.handed_over.insert(id), "{id} was handed over before");
        self.granted.insert(id, backend);
        self.running.push(id);
        let on_it = self
            .running
            .iter()
            .filter(|id| self.granted[id] == backend)
            .count();
        assert!(
            on_it as u32 <= SLOTS,
            "{backend} has more requests than slots"
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    #[test]
    fn what_was_barred_never_runs_and_nothing_runs_twice(steps in prop::collection::vec(step(), 1..120)) {
        let limits = RequestLimits {
            queue_per_backend: 2,
            record_ttl_ms: 1_000_000,
            max_records: 1_000,
            answer_cache_bytes: 1_000,
        };
        let mut requests = RequestTable::new(INCARNATION, limits);
        let mut told = Told::default();
        let mut now_ms = 0;
        for step in steps {
            match step {
                Step::Admit { id, long, patience_ms } => {
                    let id = RequestId::from_u128(id);
                    let deadline_ms = now_ms + patience_ms;
                    let admit = AdmissionRequest { id, service: "s".into(), deadline_ms, long };
                    if let Admitted::Granted(grant) = requests.admit(now_ms, admit) {
                        told.grant(grant.id, grant.backend);
                    }
                }
                Step::Fence { id, bar, incarnation } => {
                    let id = RequestId::from_u128(id);
                    let answer = requests.fence(now_ms, &FenceRequest { id, incarnation, bar });
                    let ran = told.handed_over.contains(&id);
                    prop_assert!(answer != FenceAnswer::NeverSeen || !ran, "{} did run", id);
                    if answer == FenceAnswer::NeverSeen && bar {
                        told.barred.insert(id);
                    }
                }
                Step::Finish { nth, outcome } => {
                    if told.running.is_empty() { continue }
                    let id = told.running.remove(nth % told.running.len());
                    let outcome = [Outcome::Whole, Outcome::Broken, Outcome::NotRun][outcome as usize];
                    requests.finish(now_ms, id, outcome, None);
                    if outcome == Outcome::NotRun {
                        told.handed_over.remove(&id);
                    }
                }
                Step::Abandon { id } => requests.abandon(RequestId::from_u128(id)),
                Step::Advance { ms } => now_ms += ms,
                Step::Announce { server: number, leaving } => {
                    let announcement = Announcement {
                        service: "s".into(), address: server(number), slots: SLOTS, leaving,
                    };
                    requests.backends.announce(&announcement, now_ms + 500);
                }
            }
            for (id, settled) in requests.advance(now_ms) {
                if let Ok(grant) = settled {
                    prop_assert_eq!(id, grant.id);
                    told.grant(grant.id, grant.backend);
                }
            }
        }
    }
}

#[test]
fn long_requests_leave_slots_to_short_ones() {
    let limits = RequestLimits {
        queue_per_backend: 0,
        record_ttl_ms: 1_000,
        max_records: 1_000,
        answer_cache_bytes: 0,
    };
    let mut requests = RequestTable::new(INCARNATION, limits);
    let announcement = Announcement {
        service: "s".into(),
        address: server(0),
        slots: 8,
        leaving: false,
    };
    requests.backends.announce(&announcement, 10_000);
    let mut admit = |id: u128, now_ms: u64, long: bool| {
        let id = RequestId::from_u128(id);
        let admit = AdmissionRequest {
            id,
            service: "s".into(),
            deadline_ms: now_ms + 100,
            long,
        };
        matches!(requests.admit(now_ms, admit), Admitted::Granted(_))
    };
    let long = (0..8).filter(|id| admit(*id, 0, true)).count();
    assert_eq!(long, 4, "half of the slots");
    assert!(admit(10, 0, false));
    assert!(
        !admit(11, 600, true),
        "a short one that outran the threshold counts as long"
    );
    assert!(admit(12, 600, false));
}
