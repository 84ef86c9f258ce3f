//! Messages of WHIP and WHEP, the HTTP signalling protocols of publishers and viewers: types, parsers and checks. No
//! I/O.
//!
//! - [`Offer`]: an SDP offer that satisfies the constraints of RFC 9725, section 4.4 (BUNDLE, rtcp-mux, a
//!   fingerprint, one direction); [`check_answer`] checks a node's answer, [`answer_to`] generates those of stand-in
//!   nodes.
//! - [`Fragment`]: a trickle ICE fragment (RFC 8840).
//! - [`Problem`]: problem details (RFC 9457) with the project's own extension members.
//! - [`LoadReport`]: an ORCA load report in a response header.
//! - [`EventReader`]: an incremental parser for server-sent events.
//!
//! Where the specifications of WHIP and WHEP are ambiguous, the checks reject only what a node could not serve.

mod answer;
mod events;
mod fragment;
mod load;
mod problem;
mod sdp;

pub use answer::{AnswerError, answer_to, check_answer};
pub use events::{EventReader, ServerEvent, write_event};
pub use fragment::{Fragment, FragmentError};
pub use load::{LoadReport, ORCA_HEADER};
pub use problem::{PROBLEM_JSON, Problem};
pub use sdp::{Direction, Offer, OfferError, sample_offer};

/// Media type of offers and answers (RFC 9725, 4.2).
pub const SDP_TYPE: &str = "application/sdp";
/// Media type of trickle fragments (RFC 8840, 9).
pub const FRAGMENT_TYPE: &str = "application/trickle-ice-sdpfrag";
/// Link relation of the server-sent-events extension of WHEP.
pub const REL_EVENTS: &str = "urn:ietf:params:whep:ext:core:server-sent-events";
/// Link relation of the layer extension of WHEP.
pub const REL_LAYER: &str = "urn:ietf:params:whep:ext:core:layer";
/// Event of this project: the share of their bit rates that a node's sessions receive.
pub const EVENT_DELIVERED: &str = "urn:pepperhook:whep:event:delivered";
/// Event of this project: the load of the node's link, demand divided by capacity.
pub const EVENT_LINK: &str = "urn:pepperhook:whep:event:link";
/// Event of this project: the load of the rack's uplink, demand divided by capacity.
pub const EVENT_UPLINK: &str = "urn:pepperhook:whep:event:uplink";
/// Event of this project, sent to a viewer whose session must move: the session ends, POST again with the same viewer
/// key.
pub const EVENT_MOVE: &str = "urn:pepperhook:whep:event:move";

/// The target of the first link with this relation in a response's `Link` headers (RFC 8288). Malformed links are
/// skipped.
#[must_use]
pub fn link_with_rel<'a>(headers: impl Iterator<Item = &'a str>, rel: &str) -> Option<String> {
    for header in headers {
        for link in header.split(',') {
            let Some((target, rest)) = link.trim().strip_prefix('<').and_then(|l| l.split_once('>')) else {
                continue;
            };
            let has_rel = rest.split(';').map(str::trim).any(|p| {
                p.strip_prefix("rel=")
                    .map(|v| v.trim_matches('"'))
                    .is_some_and(|v| v.split(' ').any(|r| r == rel))
            });
            if has_rel {
                return Some(target.to_owned());
            }
        }
    }
    None
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn links_are_found_by_relation() {
        let h = [
            "<stun:a.example>; rel=\"ice-server\"",
            "</s/1/layer>; rel=\"urn:ietf:params:whep:ext:core:layer\"",
        ];
        assert_eq!(link_with_rel(h.into_iter(), REL_LAYER).as_deref(), Some("/s/1/layer"));
        assert_eq!(link_with_rel(h.into_iter(), REL_EVENTS), None);
        assert_eq!(link_with_rel(["rel=x; <", "<"].into_iter(), "x"), None);
    }
}
