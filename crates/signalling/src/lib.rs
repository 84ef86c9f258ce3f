//! WHIP and WHEP as values and checks, without I/O.
//!
//! - [`Offer`]: an SDP offer that keeps the constraints of RFC 9725, section 4.4 (BUNDLE, rtcp-mux, a
//!   fingerprint, one direction); [`answer_to`] writes the matching answer, as stand-in nodes need it.
//! - [`Fragment`]: a trickle fragment (RFC 8840), checked against the ICE session it names.
//! - [`Problem`]: problem details (RFC 9457) with the project's own extension members.
//! - [`LoadReport`]: ORCA load reports as a response header.
//! - [`EventReader`]: server-sent events out of a stream of bytes.
//!
//! Be liberal in what is taken and strict in what is sent: where the two documents leave a doubt, the
//! checks here refuse only what a node could not serve.

mod answer;
mod events;
mod fragment;
mod load;
mod problem;
mod sdp;

pub use answer::{AnswerFault, answer_to, check_answer};
pub use events::{EventReader, ServerEvent, write_event};
pub use fragment::{Fragment, FragmentFault};
pub use load::{LoadReport, ORCA_HEADER};
pub use problem::{PROBLEM_JSON, Problem};
pub use sdp::{Direction, Offer, OfferFault, sample_offer};

/// Media type of offers and answers (RFC 9725, 4.2).
pub const SDP_TYPE: &str = "application/sdp";
/// Media type of trickle fragments (RFC 8840, 9).
pub const FRAGMENT_TYPE: &str = "application/trickle-ice-sdpfrag";
/// Link relation of the server-sent-events extension of WHEP.
pub const REL_EVENTS: &str = "urn:ietf:params:whep:ext:core:server-sent-events";
/// Link relation of the layer extension of WHEP.
pub const REL_LAYER: &str = "urn:ietf:params:whep:ext:core:layer";
/// The project's own event: share of their rates that the sessions of a node get.
pub const EVENT_DELIVERED: &str = "urn:pepperhook:whep:event:delivered";
/// The project's own event: what is asked of the node's link over what it gives.
pub const EVENT_LINK: &str = "urn:pepperhook:whep:event:link";
/// The project's own event: what is asked of the rack's uplink over what it gives.
pub const EVENT_UPLINK: &str = "urn:pepperhook:whep:event:uplink";
/// The project's own event to a viewer: this session ends here, POST again with the same viewer key.
pub const EVENT_MOVE: &str = "urn:pepperhook:whep:event:move";

/// Finds the target of a `Link` header (RFC 8288) with this relation; values without one are passed over.
#[must_use]
pub fn link_with_rel<'a>(headers: impl Iterator<Item = &'a str>, rel: &str) -> Option<String> {
    for header in headers {
        for link in header.split(',') {
            let Some((target, rest)) = link.trim().strip_prefix('<').and_then(|l| l.split_once('>')) else {
                continue;
            };
            let wanted = rest.split(';').map(str::trim).any(|p| {
                p.strip_prefix("rel=")
                    .map(|v| v.trim_matches('"'))
                    .is_some_and(|v| v.split(' ').any(|r| r == rel))
            });
            if wanted {
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
