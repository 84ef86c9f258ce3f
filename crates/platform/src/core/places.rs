//! Places for connections to nodes, whose number is bounded ([`Bounds::links`]), and who may take one.
//!
//! Each node where sessions play needs a connection, on which it reports their ends, and so does one that is owed a
//! release; a check whether a silent node is alive needs a dial. So a place is reserved for each such node that has
//! no connection, or whose check waits for a dial. Set-ups and load queries are dialled for with the remaining places only.
//!
//! If sessions play at more nodes than there are places, connections are rotated: a node that was not heard for as
//! long as the watch allows gets the place of the node that was heard last. A node repeats on its next connection
//! the ends that it could not report, so each is reported in time.

use super::incarnations::Incarnation;
use super::*;

/// Interval in which the lack of places is logged, at most.
const LOG_INTERVAL: Time = 5_000 * MS;

/// What a connection is dialled for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DialPurpose {
    /// A set-up or a load query. It takes no place that is reserved for a node with playing sessions.
    Request,
    /// A node with playing sessions: to receive their ends, to send messages about them, or to check whether it
    /// is alive.
    Watch,
}

/// Order in which nodes get places: first those whose check has begun, then those heard longest ago.
type Urgency = (bool, Time, IncarnationId);

fn urgency(id: IncarnationId, node: &Incarnation) -> Urgency {
    (!node.is_being_dialled_for_check(), node.last_heard(), id)
}

impl Core {
    /// Whether a connection to this node may be dialled now. Closes a spare connection if that is needed.
    pub(super) fn take_place(
        &mut self,
        incarnation: IncarnationId,
        purpose: DialPurpose,
        out: &mut Vec<Effect>,
    ) -> bool {
        let occupied = self.links.len() + self.reserved_places(incarnation, purpose);
        occupied < self.bounds.links || (occupied == self.bounds.links && self.evict_idle_link(out))
    }

    /// Number of places that a dial of this node must leave to other nodes.
    fn reserved_places(&self, incarnation: IncarnationId, purpose: DialPurpose) -> usize {
        // Each node needs one place at most.
        if self.links.len() + self.incarnations.len() < self.bounds.links {
            return 0;
        }
        let waiting = self.waiting_nodes().filter(|(id, _)| *id != incarnation);
        match (purpose, self.incarnations.get(&incarnation)) {
            (DialPurpose::Watch, Some(own)) => {
                let own = urgency(incarnation, own);
                waiting.filter(|(id, node)| urgency(*id, node) < own).count()
            }
            _ => waiting.count(),
        }
    }

    /// Watched nodes that need a place.
    fn waiting_nodes(&self) -> impl Iterator<Item = (IncarnationId, &Incarnation)> {
        self.incarnations.iter().map(|(id, node)| (*id, node)).filter(|(_, node)| node.needs_place())
    }

    /// Closes the connection that was idle longest. The last one that is up to a node where sessions play is kept,
    /// and so is one whose orderly end is awaited as a sign of life of such a node.
    fn evict_idle_link(&mut self, out: &mut Vec<Effect>) -> bool {
        let spare = self.links.iter().filter(|(_, l)| self.is_spare(l));
        let Some(victim) = spare.min_by_key(|(_, l)| l.last_used).map(|(id, _)| *id) else { return false };
        self.close_link(victim, out);
        true
    }

    fn is_spare(&self, link: &Link) -> bool {
        let has_playing_sessions =
            self.incarnations.get(&link.incarnation).is_some_and(|node| !node.playing.is_empty());
        let may_close = if has_playing_sessions {
            link.is_up() && self.up_links(link.incarnation).count() > 1
        } else {
            link.is_up() || link.is_half_closed()
        };
        may_close && link.is_idle()
    }

    /// Half-closes connections to nodes that were heard recently, one for each node whose check is due and has no
    /// place. If there are not enough of them, nodes whose connections stay silent under their set-ups are checked
    /// in the places of these connections.
    pub(super) fn rotate_links(&mut self, now: Time, out: &mut Vec<Effect>) {
        if self.links.len() < self.bounds.links {
            return;
        }
        let due = self.waiting_nodes().filter(|(id, node)| self.is_check_due(now, *id, node)).count();
        if due > 0 {
            self.log_lack_of_places(now, due, out);
        }
        let closing = self.links.values().filter(|l| l.is_half_closed()).count();
        for _ in closing..due {
            match self.most_recently_heard_link(now) {
                Some(link) => self.half_close(now, link, out),
                None => return self.give_up_silent_links(now, out),
            }
        }
    }

    fn log_lack_of_places(&mut self, now: Time, due: usize, out: &mut Vec<Effect>) {
        if self.lack_of_places_logged_at.is_some_and(|at| at + LOG_INTERVAL > now) {
            return;
        }
        self.lack_of_places_logged_at = Some(now);
        let in_use = self.links.len();
        let line = format!("all {in_use} connections to nodes are in use, checks of {due} nodes need one");
        out.push(Effect::Log("connections-full", line));
    }

    /// Closes connections that were silent for a while although set-ups on them await an answer, and dials their
    /// nodes instead. It is unknown then whether these set-ups ran.
    fn give_up_silent_links(&mut self, now: Time, out: &mut Vec<Effect>) {
        let silent = self.waiting_nodes().filter(|(_, node)| node.is_silent_under_check(now));
        let links: Vec<_> = silent.filter_map(|(id, _)| Some((id, self.up_links(id).next()?.0))).collect();
        for (incarnation, link) in links {
            self.keep_place_for_check(incarnation);
            out.push(Effect::CloseLink(link));
            self.link_down(now, link, out);
        }
    }

    /// Whether this node must be dialled now: its silence, or a check that has begun, allows no delay.
    fn is_check_due(&self, now: Time, id: IncarnationId, node: &Incarnation) -> bool {
        !node.links.is_empty() || node.is_being_dialled_for_check() || self.is_quiet(now, id, node)
    }

    /// The idle connection to the node that was heard last, of those whose own check is not due.
    fn most_recently_heard_link(&self, now: Time) -> Option<LinkId> {
        let nodes = self.incarnations.iter();
        let unsuspected = nodes
            .filter(|(id, node)| node.may_dial() && !node.is_suspected() && !self.is_quiet(now, **id, node));
        let idle = unsuspected.filter_map(|(id, node)| Some((node.last_heard(), self.idle_link(*id)?)));
        idle.max_by_key(|(last_heard, _)| *last_heard).map(|(_, link)| link)
    }
}
