//! Decisions of an admission and quality controller for media sessions.
//!
//! A [`Controller`] is one front end's: it learns of servers, requests and sessions by [`Event`]s and
//! answers with [`Action`]s. It forecasts the demand on each rack's uplink as mean rung rate times
//! averaged session count and, past a mark, moves a fraction of its sessions to another rack.
//!
//! ```
//! use pepperhook::*;
//!
//! let class = Class {
//!     aim: 800_000_000, repeat: Repeat::Harmless, value: 1.0, scale: 1.0, floor: 0, top: 1, seats: 0, live: false,
//! };
//! let settings = Settings {
//!     fronts: 1, zone: ZoneId(0), classes: vec![class], tenants: vec![], over_share_worth: 1.0,
//!     ladder: vec![Rung { kb: 200.0, worth: 0.4 }, Rung { kb: 600.0, worth: 1.0 }],
//!     kind_streams: vec![20.0], racks: 1, cells: 1, uplink_kb: 6000.0, kb_per_weight: 6000.0,
//!     all_links_kb: 6000.0, join: 1.0, refuses_from: 0.0, seen_after: 500_000_000, switch_cost_s: 0.5,
//!     gauges: vec![Gauge::Link], probes: false, advice: true, max_advice: 500_000_000, max_attempts: 3,
//!     list_on_request: false, step: 10_000_000, idle: 0, prices: Prices::default(),
//!     rules: Rules { cold_share: 0.4, cold: 12_000_000_000, fall_multiple: 2.5,
//!                    fall_window: 2_000_000_000, budget: None },
//! };
//! let mut front = Controller::new(settings, 7)?;
//! let mut actions = Vec::new();
//! let entry = ServerEntry { server: ServerId(9), zone: ZoneId(0), kind: KindId(0), cell: 0,
//!                           state: ServerState::Ready, weight: 1.0, started: None };
//! front.handle(0, Event::ListFull(vec![entry]), &mut actions);
//! let wish = Wish { viewer: ViewerKey(1), class: ClassId(0), tenant: TenantId(0), title: TitleId(5),
//!                   home: 0.0, copies: 1.0, top: 1.0, patience: 4_000_000_000, length: None, again: false };
//! front.handle(10_000_000, Event::Request(SessionId(1), wish), &mut actions);
//! assert!(actions.contains(&Action::SetRung(SessionId(1), 1)));
//! assert!(actions.iter().any(|a| matches!(a, Action::SetUp(SessionId(1), ServerId(9), _))));
//! # Ok::<(), SettingsError>(())
//! ```

mod decide;
mod interface;
mod state;
mod window;

pub use decide::Controller;
pub use interface::*;
