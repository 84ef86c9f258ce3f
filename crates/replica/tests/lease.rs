//! The lease under a model checker: whatever is lost, doubled or late, no two fronts hold a stream at one time, and with
//! a majority of guards up somebody can; and a writer that claims its stream back gives way only to one that came to hold it.

use pepperhook_replica::{Answer, Config, Grade, Guard, Position, Question, Tenure};
use stateright::{Checker, Model, Property};

/// A guard's grant, in ticks; who holds it counts one less.
const LEASE: u64 = 2;
const GUARDS: [u64; 3] = [11, 12, 13];

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    now: u64,
    guards: Vec<Option<Guard>>,
    /// The first writer and one who claims after it.
    tenures: [Tenure; 2],
    /// Questions on their way: asker, guard, when it was asked, under which epoch, and whether the asker said that it had
    /// held the stream. Answers come at once: a late one tells a holder only later what it may do.
    words: Vec<(usize, usize, u64, u32, bool)>,
    asked: u8,
    /// The first writer claims the stream back, above the other.
    raised: bool,
    /// It was told that the other holds it, and let go; whether the other had held it then.
    gave_way: Option<bool>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Act {
    Pass,
    /// A front asks a guard. What never arrives is lost.
    Ask(usize, usize),
    Arrive(usize),
    Raise,
}

/// `margin` is whether holders keep anything back; without it the checker has to find two of them.
struct Stream {
    margin: bool,
    /// Whether the first writer may claim the stream back; and whether it then believes a mere claimant, too.
    raises: bool,
    believes: bool,
    asks: u8,
    ends: u64,
}

fn config() -> Config {
    Config { number: 0, guards: GUARDS.map(|g| (g, 1)).to_vec(), next: None }
}

impl Model for Stream {
    type State = World;
    type Action = Act;

    fn init_states(&self) -> Vec<World> {
        let lease = if self.margin { LEASE } else { LEASE * 2 };
        let tenures = [Tenure::new(0, config(), lease), Tenure::new(1, config(), lease)];
        vec![World {
            now: 0,
            guards: vec![None; 3],
            tenures,
            words: vec![],
            asked: 0,
            raised: false,
            gave_way: None,
        }]
    }

    fn actions(&self, w: &World, actions: &mut Vec<Act>) {
        if w.now < self.ends {
            actions.push(Act::Pass);
        }
        // What arrives only after the end is lost.
        if w.asked < self.asks && w.words.len() < 2 {
            actions.extend((0..2).flat_map(|who| (0..GUARDS.len()).map(move |g| Act::Ask(who, g))));
        }
        actions.extend((0..w.words.len()).map(Act::Arrive));
        if self.raises && !w.raised && !w.tenures[0].holds(w.now) {
            actions.push(Act::Raise);
        }
    }

    fn next_state(&self, w: &World, act: Act) -> Option<World> {
        let mut w = w.clone();
        match act {
            Act::Pass => w.now += 1,
            Act::Ask(who, guard) => {
                w.asked += 1;
                let held = w.tenures[who].until_ms().is_some();
                w.words.push((who, guard, w.now, w.tenures[who].epoch, held));
            }
            Act::Raise => {
                let lease = if self.margin { LEASE } else { LEASE * 2 };
                (w.raised, w.tenures[0]) = (true, Tenure::new(2, config(), lease));
            }
            Act::Arrive(i) => {
                let (who, g, asked, epoch, writes) = w.words.remove(i);
                let (config, at) = (config(), Position::default());
                let question = Question { asker: who as u64, epoch, config: &config, at, from: at, writes };
                match Guard::asked(&mut w.guards[g], w.now, LEASE, &question) {
                    Answer::Granted { number, next, .. } if epoch == w.tenures[who].epoch => {
                        w.tenures[who].granted((GUARDS[g], 1), asked, number, next);
                    }
                    Answer::Taken { holder: 1, from, .. } if who == 0 && w.raised => {
                        let claims = w.tenures[0].until_ms().is_none();
                        if claims && (from.is_some() || self.believes) {
                            w.gave_way = Some(w.tenures[1].until_ms().is_some());
                        }
                    }
                    _ => {}
                }
            }
        }
        w.words.sort_unstable();
        Some(w)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("one holder at a time", |_, w: &World| {
                !(w.tenures[0].holds(w.now) && w.tenures[1].holds(w.now))
            }),
            Property::always("it gives way to one that came to hold it", |_, w: &World| {
                w.gave_way != Some(false)
            }),
            Property::sometimes("the first holds", |_, w: &World| w.tenures[0].holds(w.now)),
            Property::sometimes("the claimant holds after it", |_, w: &World| {
                w.tenures[1].holds(w.now) && w.tenures[0].until_ms().is_some()
            }),
        ]
    }
}

#[test]
fn no_two_hold_a_stream_at_one_time() {
    let model = Stream { margin: true, raises: false, believes: false, asks: 4, ends: 3 };
    let checker = model.checker().spawn_bfs().join();
    assert!(checker.unique_state_count() > 10_000, "{}", checker.unique_state_count());
    checker.assert_properties();
}

#[test]
fn a_writer_that_claims_back_holds_it_alone_or_gives_way_to_who_came_to_hold_it() {
    let model = Stream { margin: true, raises: true, believes: false, asks: 4, ends: 3 };
    let checker = model.checker().spawn_bfs().join();
    assert!(checker.unique_state_count() > 20_000, "{}", checker.unique_state_count());
    checker.assert_properties();
    // Both ends come about: it has the stream again, and it gave way.
    let ends = |held: bool| {
        let model = Ends(Stream { margin: true, raises: true, believes: false, asks: 4, ends: 3 }, held);
        model.checker().spawn_bfs().join().discovery("comes about").is_some()
    };
    assert!(ends(true) && ends(false));
}

/// Whether the first writer ever has the stream again after it claimed it back; or ever gives way.
struct Ends(Stream, bool);

impl Model for Ends {
    type State = World;
    type Action = Act;

    fn init_states(&self) -> Vec<World> {
        self.0.init_states()
    }

    fn actions(&self, w: &World, actions: &mut Vec<Act>) {
        self.0.actions(w, actions);
    }

    fn next_state(&self, w: &World, act: Act) -> Option<World> {
        self.0.next_state(w, act)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![Property::sometimes("comes about", |model: &Self, w: &World| {
            if model.1 { w.raised && w.tenures[0].holds(w.now) } else { w.gave_way.is_some() }
        })]
    }
}

#[test]
fn a_writer_that_gives_way_to_a_mere_claimant_is_found() {
    let model = Stream { margin: true, raises: true, believes: true, asks: 4, ends: 3 };
    let checker = model.checker().spawn_bfs().join();
    assert!(checker.discovery("it gives way to one that came to hold it").is_some());
}

#[test]
fn a_holder_that_counts_longer_than_its_guards_is_found() {
    let checker = Stream { margin: false, raises: false, believes: false, asks: 4, ends: 3 }
        .checker()
        .spawn_bfs()
        .join();
    assert!(checker.discovery("one holder at a time").is_some());
}

/// Guards are replaced while a claimant still goes by the old ones.
#[test]
fn replaced_guards_send_a_claimant_on_to_the_new_ones() {
    let at = Position::default();
    let old = config();
    let mut guards: Vec<Option<Guard>> = vec![None; 6];
    let mut holder = Tenure::new(0, old.clone(), 1_000);
    let ask =
        |guards: &mut Vec<Option<Guard>>, i: usize, asker: u64, epoch: u32, config: &Config, now: u64| {
            Guard::asked(
                &mut guards[i],
                now,
                1_000,
                &Question { asker, epoch, config, at, from: at, writes: asker == 0 },
            )
        };
    let number = |i: usize| (11 + i as u64, 1);
    for i in 0..3 {
        assert!(matches!(ask(&mut guards, i, 0, 0, &old, 0), Answer::Granted { .. }));
        holder.granted(number(i), 0, 0, false);
    }
    holder.replace(vec![number(3), number(4), number(5)]);
    let joint = holder.config().clone();
    // One old guard and all new ones hear of it: the old ones are not done with.
    for i in [0, 3, 4, 5] {
        let Answer::Granted { number: n, next, .. } = ask(&mut guards, i, 0, 0, &joint, 10) else { panic!() };
        holder.granted(number(i), 10, n, next);
    }
    assert_eq!(holder.config().number, 0);
    let Answer::Granted { number: n, next, .. } = ask(&mut guards, 1, 0, 0, &joint, 10) else { panic!() };
    holder.granted(number(1), 10, n, next);
    assert_eq!(holder.config().number, 1, "most of both have it");
    assert!(holder.holds(500));
    // Long after, a claimant that knows the old set only: the third of them grants, the others send it on.
    assert!(matches!(ask(&mut guards, 2, 9, 1, &old, 5_000), Answer::Granted { .. }));
    assert!(matches!(ask(&mut guards, 0, 9, 1, &old, 5_000), Answer::Replaced(_)));
    let Answer::Replaced(sent_on) = ask(&mut guards, 1, 9, 1, &old, 5_000) else { panic!() };
    let mut claimant = Tenure::new(1, sent_on.clone(), 1_000);
    for i in 0..6 {
        if let Answer::Granted { number: n, next, .. } = ask(&mut guards, i, 9, 1, &sent_on, 5_000) {
            claimant.granted(number(i), 5_000, n, next);
        }
    }
    assert!(claimant.holds(5_500), "most of the old and of the new");
    // The first holder comes back: it is told that another holds the stream under a later epoch.
    let now = holder.config().clone();
    let answers: Vec<Answer> = (3..6).map(|i| ask(&mut guards, i, 0, 0, &now, 5_600)).collect();
    assert!(answers.contains(&Answer::Taken { epoch: 1, holder: 9, from: None }), "{answers:?}");
}

/// A copy older than what every holder had is not gone on with.
#[test]
fn an_old_copy_is_turned_away() {
    let config = config();
    let stands = |seq| Position { grade: Grade::Whole, epoch: 0, seq };
    let mut guard = None;
    let q = |asker, epoch, at| Question { asker, epoch, config: &config, at, from: at, writes: false };
    Guard::asked(&mut guard, 0, 1_000, &q(1, 0, stands(40)));
    assert_eq!(Guard::asked(&mut guard, 2_000, 1_000, &q(2, 1, stands(39))), Answer::Behind);
    assert!(matches!(Guard::asked(&mut guard, 2_000, 1_000, &q(3, 1, stands(40))), Answer::Granted { .. }));
}
