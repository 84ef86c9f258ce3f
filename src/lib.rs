//! Admission and quality decisions for video sessions.
//!
//! Each front has one [`Controller`]. It receives servers, requests and changes of sessions as [`Event`]s and
//! returns [`Action`]s. It forecasts the demand on each rack's uplink as mean rate times averaged session
//! count; when the forecast exceeds a mark, it moves a fraction of its sessions to other racks.
//!
//! ```
//! use pepperhook::*;
//!
//! let class = Class {
//!     set_up_target: 800_000_000, idempotency: Idempotency::Idempotent, value: 1.0, rate_scale: 1.0,
//!     lowest_rung: 0, highest_rung: 1, max_sessions_per_title: 0, live: false,
//! };
//! let settings = Settings {
//!     fronts: 1, zone: ZoneId(0), classes: vec![class], tenants: vec![], over_share_worth: 1.0,
//!     ladder: vec![Rung { kb: 200.0, worth: 0.4 }, Rung { kb: 600.0, worth: 1.0 }],
//!     kind_max_streams: vec![20.0], racks: 1, cells: 1, uplink_kb: 6000.0, kb_per_weight: 6000.0,
//!     all_links_kb: 6000.0, shared_stream_share: 1.0, link_refusal_threshold: 0.0,
//!     notification_delay: 500_000_000, switch_cost_s: 0.5, gauges: vec![Gauge::Link], probes: false,
//!     send_retry_after: true, max_retry_after: 500_000_000, max_attempts: 3, list_on_request: false,
//!     min_event_interval: 10_000_000, connection_idle_timeout: 0, prices: Prices::default(),
//!     rules: Rules { cold_share: 0.4, warm_up: 12_000_000_000, overload_multiple: 2.5,
//!                    overload_window: 2_000_000_000, retry_budget: None },
//! };
//! let mut front = Controller::new(settings, 7)?;
//! let mut actions = Vec::new();
//! let entry = ServerEntry { server: ServerId(9), zone: ZoneId(0), kind: KindId(0), cell: 0,
//!                           state: ServerState::Ready, weight: 1.0, started: None };
//! front.handle(0, Event::ListFull(vec![entry]), &mut actions);
//! let spec = SessionSpec { viewer: ViewerKey(1), class: ClassId(0), tenant: TenantId(0), title: TitleId(5),
//!                          first_cell: 0.0, cell_count: 1.0, highest_rung: 1.0, max_wait: 4_000_000_000,
//!                          expected_length: None, reconnect: false };
//! front.handle(10_000_000, Event::Request(SessionId(1), spec), &mut actions);
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
