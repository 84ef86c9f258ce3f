//! Model checking of the lease. Requests may be lost, duplicated or late; still no two fronts hold a stream
//! at the same time, and a front can obtain the lease. A writer that requests its lease again releases the
//! stream only to a front that held it. Variants with a planted fault check that the checker finds it.

use pepperhook_replica::{Completeness, Grant, GrantorSet, Lease, LeaseAnswer, LeaseRequest, Position};
use stateright::{Checker, Model, Property};

/// How long a grantor grants the lease, ticks; the holder counts one tick less.
const LEASE: u64 = 2;
const GRANTORS: [u64; 3] = [11, 12, 13];

/// A request in transit. Its answer arrives at once: a late answer would only delay the time at which the
/// requester may act.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Request {
    /// Index of the requester.
    requester: usize,
    /// Index of the grantor.
    grantor: usize,
    sent: u64,
    epoch: u32,
    /// The requester reported that it had held the lease.
    has_held: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    now: u64,
    grants: Vec<Option<Grant>>,
    /// The leases of the first writer and of a front that requests the stream after it.
    leases: [Lease; 2],
    requests: Vec<Request>,
    /// Number of requests sent so far.
    sent: u8,
    /// The first writer has requested the lease again, under a higher epoch than the other front's.
    requested_again: bool,
    /// Set once the first writer released the stream to the other front: whether that front had held the
    /// lease.
    released_to_holder: Option<bool>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    AdvanceTime,
    /// A front sends a request to a grantor. A request that is never delivered is lost.
    Send {
        requester: usize,
        grantor: usize,
    },
    /// Delivers the request with this index.
    Deliver(usize),
    RequestAgain,
}

struct Stream {
    /// Holders subtract a margin from the lease; without it the checker has to find two holders.
    margin: bool,
    /// The first writer may request the lease again.
    may_request_again: bool,
    /// It then releases the stream even to a front that only requests it, which is a fault.
    trusts_requesters: bool,
    max_requests: u8,
    end: u64,
}

fn grantor_set() -> GrantorSet {
    GrantorSet { version: 0, grantors: GRANTORS.map(|g| (g, 1)).to_vec(), next: None }
}

impl Model for Stream {
    type State = World;
    type Action = Action;

    fn init_states(&self) -> Vec<World> {
        let lease = if self.margin { LEASE } else { LEASE * 2 };
        let leases = [Lease::new(0, grantor_set(), lease), Lease::new(1, grantor_set(), lease)];
        vec![World {
            now: 0,
            grants: vec![None; 3],
            leases,
            requests: vec![],
            sent: 0,
            requested_again: false,
            released_to_holder: None,
        }]
    }

    fn actions(&self, world: &World, actions: &mut Vec<Action>) {
        if world.now < self.end {
            actions.push(Action::AdvanceTime);
        }
        // A request that is not delivered before the end is lost.
        if world.sent < self.max_requests && world.requests.len() < 2 {
            actions.extend((0..2).flat_map(|requester| {
                (0..GRANTORS.len()).map(move |grantor| Action::Send { requester, grantor })
            }));
        }
        actions.extend((0..world.requests.len()).map(Action::Deliver));
        if self.may_request_again && !world.requested_again && !world.leases[0].is_held(world.now) {
            actions.push(Action::RequestAgain);
        }
    }

    fn next_state(&self, world: &World, action: Action) -> Option<World> {
        let mut world = world.clone();
        match action {
            Action::AdvanceTime => world.now += 1,
            Action::Send { requester, grantor } => {
                world.sent += 1;
                let lease = &world.leases[requester];
                let (epoch, has_held) = (lease.epoch, lease.expires_ms().is_some());
                world.requests.push(Request { requester, grantor, sent: world.now, epoch, has_held });
            }
            Action::RequestAgain => {
                let lease = if self.margin { LEASE } else { LEASE * 2 };
                (world.requested_again, world.leases[0]) = (true, Lease::new(2, grantor_set(), lease));
            }
            Action::Deliver(i) => {
                let Request { requester, grantor, sent, epoch, has_held } = world.requests.remove(i);
                let (grantor_set, position) = (grantor_set(), Position::default());
                let request = LeaseRequest {
                    requester: requester as u64,
                    epoch,
                    grantor_set: &grantor_set,
                    position,
                    base: position,
                    has_held,
                };
                match Grant::answer(&mut world.grants[grantor], world.now, LEASE, &request) {
                    LeaseAnswer::Granted { set_version, promised_next, .. }
                        if epoch == world.leases[requester].epoch =>
                    {
                        let grantor = (GRANTORS[grantor], 1);
                        world.leases[requester].record_grant(grantor, sent, set_version, promised_next);
                    }
                    LeaseAnswer::Denied { holder: 1, base, .. }
                        if requester == 0 && world.requested_again =>
                    {
                        let never_held = world.leases[0].expires_ms().is_none();
                        if never_held && (base.is_some() || self.trusts_requesters) {
                            world.released_to_holder = Some(world.leases[1].expires_ms().is_some());
                        }
                    }
                    _ => {}
                }
            }
        }
        world.requests.sort_unstable();
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("one holder at a time", |_, world: &World| {
                !(world.leases[0].is_held(world.now) && world.leases[1].is_held(world.now))
            }),
            Property::always("released only to a front that held it", |_, world: &World| {
                world.released_to_holder != Some(false)
            }),
            Property::sometimes("the first writer holds it", |_, world: &World| {
                world.leases[0].is_held(world.now)
            }),
            Property::sometimes("the other front holds it after the first writer", |_, world: &World| {
                world.leases[1].is_held(world.now) && world.leases[0].expires_ms().is_some()
            }),
        ]
    }
}

#[test]
fn no_two_hold_a_stream_at_one_time() {
    let model =
        Stream { margin: true, may_request_again: false, trusts_requesters: false, max_requests: 4, end: 3 };
    let checker = model.checker().spawn_bfs().join();
    assert!(checker.unique_state_count() > 10_000, "{}", checker.unique_state_count());
    checker.assert_properties();
}

#[test]
fn a_writer_that_requests_again_holds_it_alone_or_releases_it_to_a_front_that_held_it() {
    let model =
        Stream { margin: true, may_request_again: true, trusts_requesters: false, max_requests: 4, end: 3 };
    let checker = model.checker().spawn_bfs().join();
    assert!(checker.unique_state_count() > 20_000, "{}", checker.unique_state_count());
    checker.assert_properties();
    // Both results occur: it holds the lease again, and it releases the stream.
    let occurs = |regains: bool| {
        let stream = Stream {
            margin: true,
            may_request_again: true,
            trusts_requesters: false,
            max_requests: 4,
            end: 3,
        };
        let model = Results { stream, regains };
        model.checker().spawn_bfs().join().discovery("occurs").is_some()
    };
    assert!(occurs(true) && occurs(false));
}

/// Searches for one result of requesting the lease again.
struct Results {
    stream: Stream,
    /// The first writer holds the lease again; otherwise it releases the stream.
    regains: bool,
}

impl Model for Results {
    type State = World;
    type Action = Action;

    fn init_states(&self) -> Vec<World> {
        self.stream.init_states()
    }

    fn actions(&self, world: &World, actions: &mut Vec<Action>) {
        self.stream.actions(world, actions);
    }

    fn next_state(&self, world: &World, action: Action) -> Option<World> {
        self.stream.next_state(world, action)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![Property::sometimes("occurs", |model: &Self, world: &World| {
            if model.regains {
                world.requested_again && world.leases[0].is_held(world.now)
            } else {
                world.released_to_holder.is_some()
            }
        })]
    }
}

#[test]
fn a_writer_that_releases_the_stream_to_a_mere_requester_is_found() {
    let model =
        Stream { margin: true, may_request_again: true, trusts_requesters: true, max_requests: 4, end: 3 };
    let checker = model.checker().spawn_bfs().join();
    assert!(checker.discovery("released only to a front that held it").is_some());
}

#[test]
fn a_holder_that_counts_longer_than_its_grantors_is_found() {
    let model =
        Stream { margin: false, may_request_again: false, trusts_requesters: false, max_requests: 4, end: 3 };
    let checker = model.checker().spawn_bfs().join();
    assert!(checker.discovery("one holder at a time").is_some());
}

/// Guards against two holders after a replacement of grantors: a requester that knows only the old set must
/// be referred to the new one.
#[test]
fn replaced_grantors_refer_a_requester_to_the_new_ones() {
    let position = Position::default();
    let old_set = grantor_set();
    let mut grants: Vec<Option<Grant>> = vec![None; 6];
    let mut holder = Lease::new(0, old_set.clone(), 1_000);
    let request = |grants: &mut Vec<Option<Grant>>,
                   i: usize,
                   requester: u64,
                   epoch: u32,
                   grantor_set: &GrantorSet,
                   now_ms: u64| {
        Grant::answer(
            &mut grants[i],
            now_ms,
            1_000,
            &LeaseRequest {
                requester,
                epoch,
                grantor_set,
                position,
                base: position,
                has_held: requester == 0,
            },
        )
    };
    let id = |i: usize| (11 + i as u64, 1);
    for i in 0..3 {
        assert!(matches!(request(&mut grants, i, 0, 0, &old_set, 0), LeaseAnswer::Granted { .. }));
        holder.record_grant(id(i), 0, 0, false);
    }
    holder.replace_grantors(vec![id(3), id(4), id(5)]);
    let joint_set = holder.grantor_set().clone();
    // One old grantor and all new ones receive the request: this is no majority of the old set.
    for i in [0, 3, 4, 5] {
        let LeaseAnswer::Granted { set_version, promised_next, .. } =
            request(&mut grants, i, 0, 0, &joint_set, 10)
        else {
            panic!()
        };
        holder.record_grant(id(i), 10, set_version, promised_next);
    }
    assert_eq!(holder.grantor_set().version, 0);
    let LeaseAnswer::Granted { set_version, promised_next, .. } =
        request(&mut grants, 1, 0, 0, &joint_set, 10)
    else {
        panic!()
    };
    holder.record_grant(id(1), 10, set_version, promised_next);
    assert_eq!(holder.grantor_set().version, 1, "majorities of both sets have granted");
    assert!(holder.is_held(500));
    // Much later a front requests the lease from the old set: the third grantor grants it, the others refer
    // it to the new set.
    assert!(matches!(request(&mut grants, 2, 9, 1, &old_set, 5_000), LeaseAnswer::Granted { .. }));
    assert!(matches!(request(&mut grants, 0, 9, 1, &old_set, 5_000), LeaseAnswer::Reconfigured(_)));
    let LeaseAnswer::Reconfigured(referred_set) = request(&mut grants, 1, 9, 1, &old_set, 5_000) else {
        panic!()
    };
    let mut requester = Lease::new(1, referred_set.clone(), 1_000);
    for i in 0..6 {
        if let LeaseAnswer::Granted { set_version, promised_next, .. } =
            request(&mut grants, i, 9, 1, &referred_set, 5_000)
        {
            requester.record_grant(id(i), 5_000, set_version, promised_next);
        }
    }
    assert!(requester.is_held(5_500), "majorities of the old and the new set have granted");
    // The first holder returns and learns that another front has the stream under a later epoch.
    let present_set = holder.grantor_set().clone();
    let answers: Vec<LeaseAnswer> =
        (3..6).map(|i| request(&mut grants, i, 0, 0, &present_set, 5_600)).collect();
    assert!(answers.contains(&LeaseAnswer::Denied { epoch: 1, holder: 9, base: None }), "{answers:?}");
}

/// Guards against adopting a copy older than a position that all followers had reached.
#[test]
fn an_old_copy_is_turned_away() {
    let grantor_set = grantor_set();
    let at = |seq| Position { completeness: Completeness::Complete, epoch: 0, seq };
    let mut grant = None;
    let request = |requester, epoch, position| LeaseRequest {
        requester,
        epoch,
        grantor_set: &grantor_set,
        position,
        base: position,
        has_held: false,
    };
    Grant::answer(&mut grant, 0, 1_000, &request(1, 0, at(40)));
    assert_eq!(Grant::answer(&mut grant, 2_000, 1_000, &request(2, 1, at(39))), LeaseAnswer::StaleCopy);
    assert!(matches!(
        Grant::answer(&mut grant, 2_000, 1_000, &request(3, 1, at(40))),
        LeaseAnswer::Granted { .. }
    ));
}
