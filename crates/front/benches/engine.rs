//! Benchmarks of one request through the engine (POST, set-up, rung, DELETE) by the size of the fleet, without
//! sockets: `cargo bench -p pepperhook-front`.

use bytes::Bytes;
use criterion::{BenchmarkId, Criterion, criterion_main};
use pepperhook::{ServerId, TitleId, ViewerKey};
use pepperhook_front::engine::Engine;
use pepperhook_front::engine::types::*;
use pepperhook_peaks::{Announcement, Peak};
use pepperhook_settings::Config;
use pepperhook_signalling::LoadReport;
use std::hint::black_box;
use std::rc::Rc;

/// Nanoseconds in a millisecond.
const MS: u64 = 1_000_000;
/// Sessions that play on each node during the benchmark.
const SESSIONS_PER_NODE: u64 = 5;

fn settings(nodes: u32) -> String {
    format!(
        "name bench\nlisten 127.0.0.1:0\nzones a b c\nzone a\nracks {}\ncells {nodes}\nuplink-kb 200000\nkb-per-weight 40000\n\
         gauges streams link uplink\ninventory x\nmax-sessions 100000\n\
         section ladder\nrung 200 0.2\nrung 350 0.42\nrung 600 0.62\nrung 1000 0.8\nrung 1800 1\n\
         section class replay\naim 800ms\npatience 4s\nsection kind k\nstreams 600\n\
         section rules\ncold-share 0.4\ncold 12s\nfall-multiple 2.5\nfall-window 2s\n",
        (nodes / 4).max(1)
    )
}

/// An engine under load, with its simulated clock.
struct LoadedEngine {
    engine: Engine,
    nodes: u32,
    now: u64,
    /// Number of the latest ticket.
    last_ticket: u64,
    effects: Vec<Effect>,
}

impl LoadedEngine {
    fn new(nodes: u32, sessions: u64) -> Self {
        let config = Rc::new(Config::parse("bench", &settings(nodes)).expect("settings"));
        let mut list = "name,address,zone,cell,kind,weight,state\n".to_owned();
        for i in 0..nodes {
            let zone = ["a", "b", "c"][i as usize % 3];
            list += &format!("n{i},127.0.0.1:{},{zone},{i},k,1,ready\n", 2_000 + i);
        }
        let list = pepperhook_inventory::parse(list.as_bytes(), &config.names).expect("a list");
        let engine = Engine::new(config, 1).expect("an engine");
        let mut loaded = Self { engine, nodes, now: 1_000_000 * MS, last_ticket: 0, effects: Vec::new() };
        loaded.engine.handle(loaded.now, Input::Nodes(list), &mut loaded.effects);
        (0..sessions).for_each(|_| {
            loaded.set_up();
        });
        loaded
    }

    /// Sets one session up on the first node that the module chooses; returns its resource.
    fn set_up(&mut self) -> Option<String> {
        self.last_ticket += 1;
        self.now += MS;
        let (n, home) = (self.last_ticket, (self.last_ticket * 7 % u64::from(self.nodes)) as u32);
        let request = SessionRequest {
            offer: Bytes::from_static(b"v=0"),
            offer_hash: n,
            title_name: format!("title-{home}"),
            title: TitleId(u64::from(home)),
            first_cell: home,
            cell_count: 4,
            class: 0,
            tenant: 0,
            viewer: ViewerKey(n),
            highest_rung: 4,
            publish: false,
        };
        self.effects.clear();
        self.engine.handle(self.now, Input::Post(Ticket(n), request), &mut self.effects);
        let set_up = self.effects.iter().find_map(|e| match e {
            Effect::SetUp { attempt, node, .. } => Some((*attempt, *node)),
            _ => None,
        });
        let (attempt, node): (AttemptId, ServerId) = set_up?;
        let path = format!("/s/{n}");
        let load = LoadReport([("link".to_owned(), 0.3), ("uplink".to_owned(), 0.3)].into());
        let created = Created {
            events: Some(format!("{path}/events")),
            layer: Some(format!("{path}/layer")),
            answer: Bytes::from_static(b"v=0"),
            etag: None,
            ice: Vec::new(),
            path,
            load,
        };
        self.effects.clear();
        self.engine.handle(
            self.now,
            Input::AttemptEnded(attempt, node, AttemptEnd::Created(created)),
            &mut self.effects,
        );
        self.effects.iter().find_map(|e| match e {
            Effect::Answer(_, Answer::Created { resource, .. }, _) => Some(resource.clone()),
            _ => None,
        })
    }

    /// One request: set-up, DELETE and the timers that are due.
    fn request(&mut self) {
        let resource = self.set_up();
        if let Some(resource) = resource {
            self.effects.clear();
            self.last_ticket += 1;
            self.engine.handle(
                self.now,
                Input::Delete(Ticket(self.last_ticket), resource),
                &mut self.effects,
            );
        }
        self.effects.clear();
        self.engine.wake(self.now, &mut self.effects);
        black_box(&self.effects);
    }
}

/// By the number of nodes.
fn by_fleet_size(c: &mut Criterion) {
    let mut group = c.benchmark_group("request");
    for nodes in [12, 60, 200] {
        let mut loaded = LoadedEngine::new(nodes, u64::from(nodes) * SESSIONS_PER_NODE);
        group
            .bench_with_input(BenchmarkId::from_parameter(nodes), &nodes, |b, _| b.iter(|| loaded.request()));
    }
    group.finish();
}

/// By the number of sessions that play at the front, on 60 nodes.
fn by_session_count(c: &mut Criterion) {
    let mut group = c.benchmark_group("request-with-held");
    for sessions in [100u64, 1_000, 5_000] {
        let mut loaded = LoadedEngine::new(60, sessions);
        group.bench_with_input(BenchmarkId::from_parameter(sessions), &sessions, |b, _| {
            b.iter(|| loaded.request())
        });
    }
    group.finish();
}

/// By the number of announced peaks, on 60 nodes. Includes the cost of planning reservations twice a second.
fn by_peaks(c: &mut Criterion) {
    let mut group = c.benchmark_group("request-with-peaks");
    for peaks in [0u32, 1, 10, 50] {
        let mut loaded = LoadedEngine::new(60, 60 * SESSIONS_PER_NODE);
        let now_ms = loaded.now / MS;
        for p in 0..peaks {
            let announcement = Announcement {
                name: format!("peak-{p}"),
                titles: vec![format!("event-{p}")],
                class: "replay".into(),
                viewers: vec![(0, 20)],
                start_ms: now_ms + 3_000_000,
                end_ms: now_ms + 3_600_000,
                lead_ms: 3_600_000,
                rung: 1,
                cancelled: false,
            };
            let titles = vec![(TitleId(1_000 + u64::from(p)), p * 7 % 60, 4)];
            let peak = Peak { number: u64::from(p), announcement, titles, per_viewer_kb: 350.0 };
            loaded.engine.handle(loaded.now, Input::Peak(peak), &mut loaded.effects);
        }
        group
            .bench_with_input(BenchmarkId::from_parameter(peaks), &peaks, |b, _| b.iter(|| loaded.request()));
    }
    group.finish();
}

// The macro makes a public function without docs.
#[allow(missing_docs)]
mod group {
    use super::{by_fleet_size, by_peaks, by_session_count};
    use criterion::criterion_group;
    criterion_group!(benches, by_fleet_size, by_session_count, by_peaks);
}

criterion_main!(group::benches);
