//! A front end made by hand: a controller, a clock and what it answered.
#![allow(dead_code)]

use pepperhook::*;

pub const S: Time = 1_000_000_000;
pub const MS: Time = 1_000_000;

pub fn class() -> Class {
    Class {
        aim: 800 * MS,
        repeat: Repeat::Harmless,
        value: 1.0,
        scale: 1.0,
        floor: 0,
        top: 4,
        seats: 0,
        live: false,
    }
}

pub fn settings() -> Settings {
    let rungs = [(200.0, 0.2), (350.0, 0.42), (600.0, 0.62), (1000.0, 0.8), (1800.0, 1.0)];
    Settings {
        fronts: 1,
        zone: ZoneId(0),
        classes: vec![class()],
        tenants: vec![],
        over_share_worth: 1.0,
        ladder: rungs.iter().map(|(kb, worth)| Rung { kb: *kb, worth: *worth }).collect(),
        kind_streams: vec![40.0],
        racks: 2,
        cells: 4,
        uplink_kb: 10_000.0,
        kb_per_weight: 10_000.0,
        all_links_kb: 40_000.0,
        join: 1.0,
        refuses_from: 0.0,
        seen_after: 500 * MS,
        switch_cost_s: 0.5,
        gauges: vec![Gauge::Link, Gauge::Uplink],
        probes: false,
        advice: true,
        max_advice: 500 * MS,
        max_attempts: 3,
        list_on_request: false,
        step: 10 * MS,
        idle: 0,
        prices: Prices { moved: 0.05, cross_zone: 0.04, probe: 0.0, handshake: 0.0 },
        rules: Rules { cold_share: 0.4, cold: 12 * S, fall_multiple: 2.5, fall_window: 2 * S, budget: None },
    }
}

/// A server that stands in the rack `cell % racks`.
pub fn server(id: u32, cell: u32) -> ServerEntry {
    ServerEntry {
        server: ServerId(id),
        zone: ZoneId(0),
        kind: KindId(0),
        cell,
        state: ServerState::Ready,
        weight: 1.0,
        started: None,
    }
}

pub fn wish(n: u64, home: f64, copies: f64) -> Wish {
    Wish {
        viewer: ViewerKey(n),
        class: ClassId(0),
        tenant: TenantId(0),
        title: TitleId(n),
        home,
        copies,
        top: 4.0,
        patience: 4 * S,
        length: None,
        again: false,
    }
}

pub struct Front {
    pub controller: Controller,
    pub now: Time,
}

impl Front {
    pub fn new(settings: Settings, servers: &[ServerEntry]) -> Self {
        let controller = Controller::new(settings, 11).expect("settings that agree");
        let mut front = Self { controller, now: 100 * S };
        front.tell(Event::ListFull(servers.to_vec()));
        front
    }

    pub fn tell(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.controller.handle(self.now, event, &mut out);
        out
    }

    /// Asks for a session; returns where it was sent and at which rung.
    pub fn ask(&mut self, n: u64, wish: Wish) -> Option<(ServerId, u8)> {
        placed(&self.tell(Event::Request(SessionId(n), wish)))
    }

    /// Asks for a session and lets it play; panics if it is not set up.
    pub fn play(&mut self, n: u64, wish: Wish) -> (ServerId, u8) {
        let at = self.ask(n, wish).expect("set up");
        self.tell(Event::Started(SessionId(n), at.0));
        at
    }

    /// Takes over a session under way at a rung.
    pub fn under_way(&mut self, n: u64, wish: Wish, at: u32, rung: u8) {
        self.tell(Event::UnderWay(SessionId(n), wish, ServerId(at)));
        self.tell(Event::Note(SessionId(n), ServerId(at), NoteKind::Rung, f64::from(rung)));
    }

    pub fn end(&mut self, n: u64, at: ServerId, outcome: Outcome, settled: bool) -> Vec<Action> {
        self.tell(Event::Ended { session: SessionId(n), server: at, outcome, settled, report: vec![] })
    }

    pub fn note(&mut self, n: u64, at: u32, kind: NoteKind, value: f64) -> Vec<Action> {
        self.tell(Event::Note(SessionId(n), ServerId(at), kind, value))
    }

    /// Lets time pass with the periodic timer; returns what was done.
    pub fn pass(&mut self, time: Time) -> Vec<Action> {
        let until = self.now + time;
        let mut out = Vec::new();
        while self.now < until {
            self.now += 500 * MS;
            out.extend(self.tell(Event::Timer(u64::MAX)));
        }
        out
    }
}

pub fn placed(actions: &[Action]) -> Option<(ServerId, u8)> {
    let rung = actions.iter().rev().find_map(|a| match a {
        Action::SetRung(_, rung) => Some(*rung),
        _ => None,
    });
    actions.iter().find_map(|a| match a {
        Action::SetUp(_, server, _) => Some((*server, rung.unwrap_or(0))),
        _ => None,
    })
}

pub fn refused(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Refuse(..)))
}

pub fn failed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail(_)))
}

pub fn moves(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Move(_))).count()
}

pub fn probes(actions: &[Action]) -> Vec<ServerId> {
    actions.iter().filter_map(|a| if let Action::Probe(server) = a { Some(*server) } else { None }).collect()
}

/// Sessions whose rung was set.
pub fn lowered(actions: &[Action]) -> Vec<u64> {
    actions.iter().filter_map(|a| if let Action::SetRung(id, _) = a { Some(id.0) } else { None }).collect()
}
