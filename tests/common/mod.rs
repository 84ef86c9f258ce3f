//! A front end made by hand: a controller, a clock and what it answered.
#![allow(dead_code)]

use pepperhook::*;

pub const S: Time = 1_000_000_000;
pub const MS: Time = 1_000_000;

pub fn class() -> Class {
    Class {
        set_up_target: 800 * MS,
        idempotency: Idempotency::Idempotent,
        value: 1.0,
        rate_scale: 1.0,
        lowest_rung: 0,
        highest_rung: 4,
        max_sessions_per_title: 0,
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
        kind_max_streams: vec![40.0],
        racks: 2,
        cells: 4,
        uplink_kb: 10_000.0,
        kb_per_weight: 10_000.0,
        all_links_kb: 40_000.0,
        shared_stream_share: 1.0,
        link_refusal_threshold: 0.0,
        notification_delay: 500 * MS,
        switch_cost_s: 0.5,
        gauges: vec![Gauge::Link, Gauge::Uplink],
        probes: false,
        send_retry_after: true,
        max_retry_after: 500 * MS,
        max_attempts: 3,
        list_on_request: false,
        min_event_interval: 10 * MS,
        connection_idle_timeout: 0,
        prices: Prices { session_move: 0.05, cross_zone: 0.04, probe: 0.0, handshake: 0.0 },
        rules: Rules {
            cold_share: 0.4,
            warm_up: 12 * S,
            overload_multiple: 2.5,
            overload_window: 2 * S,
            retry_budget: None,
        },
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

pub fn wish(n: u64, home: f64, copies: f64) -> SessionSpec {
    SessionSpec {
        viewer: ViewerKey(n),
        class: ClassId(0),
        tenant: TenantId(0),
        title: TitleId(n),
        first_cell: home,
        cell_count: copies,
        highest_rung: 4.0,
        max_wait: 4 * S,
        expected_length: None,
        reconnect: false,
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
    pub fn ask(&mut self, n: u64, wish: SessionSpec) -> Option<(ServerId, u8)> {
        placed(&self.tell(Event::Request(SessionId(n), wish)))
    }

    /// Asks for a session and lets it play; panics if it is not set up.
    pub fn play(&mut self, n: u64, wish: SessionSpec) -> (ServerId, u8) {
        let at = self.ask(n, wish).expect("set up");
        self.tell(Event::Started(SessionId(n), at.0));
        at
    }

    /// Takes over a session under way at a rung.
    pub fn under_way(&mut self, n: u64, wish: SessionSpec, at: u32, rung: u8) {
        self.tell(Event::Adopted(SessionId(n), wish, ServerId(at)));
        self.tell(Event::Notification(SessionId(n), ServerId(at), NotificationKind::Rung, f64::from(rung)));
    }

    pub fn end(&mut self, n: u64, at: ServerId, outcome: Outcome, settled: bool) -> Vec<Action> {
        self.tell(Event::Ended {
            session: SessionId(n),
            server: at,
            outcome,
            is_final: settled,
            report: vec![],
        })
    }

    pub fn note(&mut self, n: u64, at: u32, kind: NotificationKind, value: f64) -> Vec<Action> {
        self.tell(Event::Notification(SessionId(n), ServerId(at), kind, value))
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
