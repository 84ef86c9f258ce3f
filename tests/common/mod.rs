//! A front under test: a controller with a clock that the test sets, and helpers that read its actions.
#![allow(dead_code)]

use pepperhook::*;

/// One second in [`Time`] units, nanoseconds.
pub const SECOND: Time = 1_000_000_000;
/// One millisecond in [`Time`] units, nanoseconds.
pub const MILLISECOND: Time = 1_000_000;

/// A class without limits: all rungs, any number of sessions per title.
pub fn class() -> Class {
    Class {
        set_up_target: 800 * MILLISECOND,
        idempotency: Idempotency::Idempotent,
        value: 1.0,
        rate_scale: 1.0,
        lowest_rung: 0,
        highest_rung: 4,
        max_sessions_per_title: 0,
        live: false,
    }
}

/// One front, one class, two racks of two cells each; links and uplinks carry 10,000 kB/s.
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
        notification_delay: 500 * MILLISECOND,
        switch_cost_s: 0.5,
        gauges: vec![Gauge::Link, Gauge::Uplink],
        probes: false,
        send_retry_after: true,
        max_retry_after: 500 * MILLISECOND,
        max_attempts: 3,
        list_on_request: false,
        min_event_interval: 10 * MILLISECOND,
        connection_idle_timeout: 0,
        prices: Prices { session_move: 0.05, cross_zone: 0.04, probe: 0.0, handshake: 0.0 },
        rules: Rules {
            cold_share: 0.4,
            warm_up: 12 * SECOND,
            overload_multiple: 2.5,
            overload_window: 2 * SECOND,
            retry_budget: None,
        },
    }
}

/// A ready, warm server; its rack is `cell % racks`.
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

/// The session that viewer `n` asks for, of title `n`, which is stored in `cell_count` cells from
/// `first_cell` on.
pub fn spec(n: u64, first_cell: f64, cell_count: f64) -> SessionSpec {
    SessionSpec {
        viewer: ViewerKey(n),
        class: ClassId(0),
        tenant: TenantId(0),
        title: TitleId(n),
        first_cell,
        cell_count,
        highest_rung: 4.0,
        max_wait: 4 * SECOND,
        expected_length: None,
        reconnect: false,
    }
}

/// A front under test.
pub struct Front {
    pub controller: Controller,
    /// Time of the next event.
    pub now: Time,
}

impl Front {
    /// A front that has received the complete list of these servers.
    pub fn new(settings: Settings, servers: &[ServerEntry]) -> Self {
        let controller = Controller::new(settings, 11).expect("the settings should be valid");
        let mut front = Self { controller, now: 100 * SECOND };
        front.handle(Event::ListFull(servers.to_vec()));
        front
    }

    /// Passes an event to the controller at the present time and returns its actions.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.controller.handle(self.now, event, &mut out);
        out
    }

    /// Requests a session; returns the server and rung of the set-up, if one is sent.
    pub fn request(&mut self, n: u64, spec: SessionSpec) -> Option<(ServerId, u8)> {
        placement(&self.handle(Event::Request(SessionId(n), spec)))
    }

    /// Requests a session and starts it; panics if no set-up is sent.
    pub fn start_session(&mut self, n: u64, spec: SessionSpec) -> (ServerId, u8) {
        let (server, rung) =
            self.request(n, spec).unwrap_or_else(|| panic!("session {n}: no set-up was sent"));
        self.handle(Event::Started(SessionId(n), server));
        (server, rung)
    }

    /// Adopts a session that already plays on a server at a rung.
    pub fn adopt(&mut self, n: u64, spec: SessionSpec, server: u32, rung: u8) {
        self.handle(Event::Adopted(SessionId(n), spec, ServerId(server)));
        self.handle(Event::Notification(
            SessionId(n),
            ServerId(server),
            NotificationKind::Rung,
            f64::from(rung),
        ));
    }

    /// Ends an attempt or a session, without a load report.
    pub fn end(&mut self, n: u64, server: ServerId, outcome: Outcome, is_final: bool) -> Vec<Action> {
        self.handle(Event::Ended { session: SessionId(n), server, outcome, is_final, report: vec![] })
    }

    /// Passes a server's notification about a session to the controller.
    pub fn notify(&mut self, n: u64, server: u32, kind: NotificationKind, value: f64) -> Vec<Action> {
        self.handle(Event::Notification(SessionId(n), ServerId(server), kind, value))
    }

    /// Advances the clock in steps of 500 ms with a periodic timer event after each; returns the actions.
    pub fn advance(&mut self, duration: Time) -> Vec<Action> {
        let until = self.now + duration;
        let mut out = Vec::new();
        while self.now < until {
            self.now += 500 * MILLISECOND;
            out.extend(self.handle(Event::Timer(u64::MAX)));
        }
        out
    }
}

/// Server and rung of the set-up among the actions, if there is one.
pub fn placement(actions: &[Action]) -> Option<(ServerId, u8)> {
    let rung = actions.iter().rev().find_map(|a| match a {
        Action::SetRung(_, rung) => Some(*rung),
        _ => None,
    });
    actions.iter().find_map(|a| match a {
        Action::SetUp(_, server, _) => Some((*server, rung.unwrap_or(0))),
        _ => None,
    })
}

/// A request is refused.
pub fn refused(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Refuse(..)))
}

/// A request is answered with a failure.
pub fn failed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail(_)))
}

/// Number of sessions that are moved.
pub fn move_count(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Move(_))).count()
}

/// Servers that are probed.
pub fn probes(actions: &[Action]) -> Vec<ServerId> {
    actions.iter().filter_map(|a| if let Action::Probe(server) = a { Some(*server) } else { None }).collect()
}

/// Sessions whose rung is set, lower or higher, in order of the actions.
pub fn rung_changes(actions: &[Action]) -> Vec<u64> {
    actions.iter().filter_map(|a| if let Action::SetRung(id, _) = a { Some(id.0) } else { None }).collect()
}
