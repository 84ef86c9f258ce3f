//! Evidence of which nodes are alive.
//!
//! A dead process refuses dials, and so does a node at its limit of connections. A vanished machine lets dials time out
//! and is silent on open connections. A broken connection alone shows neither, and a stalled node still accepts
//! connections. So a sign of trouble only raises a suspicion, and dialling the node decides: a new connection clears the
//! suspicion, while dials that fail soon make the node unreachable, which ends the attempts whose connection broke, and
//! end the sessions that play there only when the time in which an end must be reported is nearly over
//! ([`pepperhook_liveness`]). A connection that is still up counts as evidence only if something was received on it since
//! the suspicion began.
//!
//! Hundreds of fronts watch the same nodes, and each connection costs the node work. So a node is checked
//! only as often as the rule on releases requires, and each connection is used twice: its coming up is one
//! sign of life, and the node closing it after this side has half-closed it is another.
//!
//! A node that has left the list is not dialled, since its address may belong to another one. It is queried
//! on the connections that are still up; if it does not answer, its sessions have ended.

use super::attempts::Stage;
use super::incarnations::Incarnation;
use super::places::DialPurpose;
use super::*;
use pepperhook::Outcome;
use pepperhook_liveness::{CHECK_TIME, END_NOTICE_MARGIN, FIRST_REDIAL_PAUSE, FailedDial, Limits, Verdict};

/// Refused dials after which a node is unreachable while a connection to it is still up: a node at its connection limit
/// refuses dials too.
const UNREACHABLE_REFUSALS_WITH_LINK: u32 = 5;
/// Time in which a node that has left the list must answer a query.
const RETIRED_ANSWER_TIME: Time = 800 * MS;
/// Time of silence after which a timeout makes a node suspect, and time in which a node must close a
/// half-closed connection.
pub const SIGN_OF_LIFE_TIME: Time = 500 * MS;

/// Doubt whether a node is alive, until a dial settles it.
pub struct Suspicion {
    /// Since when its silence is evidence. While it waits for a place it may have no connection to be heard on.
    since: Time,
    /// It was dialled since the suspicion began.
    dialled: bool,
    /// It could not be dialled yet, since there is no place for another connection.
    awaits_place: bool,
    /// It was asked for a sign of life on a connection that is still up.
    asked: bool,
    /// A timer for the next dial is set.
    redial_scheduled: bool,
}

impl Suspicion {
    fn new(since: Time, dialled: bool) -> Self {
        Self { since, dialled, awaits_place: false, asked: false, redial_scheduled: false }
    }

    /// The node is asked for a sign of life. A check that had to wait for a place counts from `since`.
    fn check_began(&mut self, since: Time) {
        if std::mem::take(&mut self.awaits_place) && !self.dialled {
            self.since = since;
        }
    }
}

impl Incarnation {
    /// Whether it is in doubt that it is alive.
    pub fn is_suspected(&self) -> bool {
        self.suspicion.is_some()
    }

    /// Whether a check has begun that further dials must bring to its end.
    pub fn is_being_dialled_for_check(&self) -> bool {
        self.suspicion.as_ref().is_some_and(|s| s.dialled)
    }

    /// Whether a timer for its next dial is set.
    fn has_scheduled_redial(&self) -> bool {
        self.suspicion.as_ref().is_some_and(|s| s.redial_scheduled)
    }

    /// Whether it is watched, and it has no connection, its check waits for a place, or its check is between two
    /// dials.
    pub fn needs_place(&self) -> bool {
        let check_needs_place = |s: &Suspicion| s.awaits_place || (s.dialled && s.redial_scheduled);
        self.is_watched() && (self.links.is_empty() || self.suspicion.as_ref().is_some_and(check_needs_place))
    }

    /// Whether nothing was received from it for [`SIGN_OF_LIFE_TIME`] since its check began to wait for a place.
    pub fn is_silent_under_check(&self, now: Time) -> bool {
        let waiting = self.suspicion.as_ref().filter(|s| s.awaits_place);
        waiting.is_some_and(|s| self.last_heard() <= s.since && s.since + SIGN_OF_LIFE_TIME <= now)
    }
}

impl Core {
    /// Requests whose attempt waits for evidence whether the node is alive.
    fn lost_attempts(&self, incarnation: IncarnationId) -> impl Iterator<Item = SessionId> {
        let is_lost = move |s: &Session| matches!(&s.phase, Phase::Open(Some(a)) if a.incarnation == incarnation && a.stage == Stage::LinkLost);
        self.sessions.iter().filter(move |(_, s)| is_lost(s)).map(|(id, _)| *id)
    }

    pub(super) fn end_lost_attempts(&mut self, incarnation: IncarnationId, outcome: Outcome) {
        let ids: Vec<_> = self.lost_attempts(incarnation).collect();
        ids.into_iter().for_each(|id| self.attempt_ended(id, outcome, Vec::new()));
    }

    /// A connection came up: the node is alive.
    pub(super) fn confirm_alive(
        &mut self,
        now: Time,
        incarnation: IncarnationId,
        link: LinkId,
        out: &mut Vec<Effect>,
    ) {
        let Some(node) = self.incarnations.get_mut(&incarnation) else { return };
        node.detector.heard(now);
        (node.suspicion, node.dead) = (None, false);
        let pending_releases = std::mem::take(&mut node.pending_releases);
        // They are not repeated once more, so that a node which closes each connection is not dialled for ever.
        out.extend(pending_releases.into_iter().map(|message| Effect::SendToNode(link, message)));
        self.end_lost_attempts(incarnation, Outcome::LinkBroken);
    }

    /// A connection broke or was closed.
    pub(super) fn link_lost(
        &mut self,
        now: Time,
        incarnation: IncarnationId,
        had_work: bool,
        out: &mut Vec<Effect>,
    ) {
        let Some(node) = self.incarnations.get(&incarnation) else { return };
        if node.retired {
            if node.links.is_empty() {
                self.end_incarnation(now, incarnation, out);
            } else {
                self.end_lost_attempts(incarnation, Outcome::LinkBroken);
            }
        } else if had_work || node.has_sessions() {
            self.suspect(now, incarnation, out);
        }
    }

    fn suspect(&mut self, now: Time, incarnation: IncarnationId, out: &mut Vec<Effect>) {
        self.suspect_since(now, now, incarnation, out);
    }

    pub(super) fn suspect_since(
        &mut self,
        now: Time,
        since: Time,
        incarnation: IncarnationId,
        out: &mut Vec<Effect>,
    ) {
        let Some(node) = self.incarnations.get_mut(&incarnation).filter(|node| !node.retired && !node.dead)
        else {
            return;
        };
        node.suspicion.get_or_insert(Suspicion::new(since, false));
        if self.dialling_link(now, incarnation, DialPurpose::Watch, out).is_some() {
            if let Some(suspicion) = self.suspicion_mut(incarnation) {
                suspicion.check_began(since);
                suspicion.dialled = true;
            }
        } else {
            self.check_without_place(now, incarnation, out);
            self.schedule_redial(now + FIRST_REDIAL_PAUSE, incarnation);
        }
    }

    /// The check has begun: the node's connection was silent since it was suspected, and the place of that
    /// connection serves the dials.
    pub(super) fn keep_place_for_check(&mut self, incarnation: IncarnationId) {
        if let Some(suspicion) = self.suspicion_mut(incarnation) {
            (suspicion.dialled, suspicion.awaits_place) = (true, false);
        }
    }

    fn suspicion_mut(&mut self, incarnation: IncarnationId) -> Option<&mut Suspicion> {
        self.incarnations.get_mut(&incarnation).and_then(|node| node.suspicion.as_mut())
    }

    /// Continues a check for which no connection can be dialled. An idle connection to the node is half-closed: a
    /// living node closes it, and otherwise its place serves the dial. If there is none, the check waits for a
    /// place, unless nothing depends on it any more.
    fn check_without_place(&mut self, now: Time, incarnation: IncarnationId, out: &mut Vec<Effect>) {
        if let Some(link) = self.idle_link(incarnation) {
            self.suspicion_mut(incarnation).into_iter().for_each(|s| s.check_began(now));
            return self.half_close(now, link, out);
        }
        let is_up = self.up_links(incarnation).next().is_some();
        let is_closing = self.incarnations.get(&incarnation).is_some_and(|n| self.has_half_closed_link(n));
        let has_lost_attempts = self.lost_attempts(incarnation).next().is_some();
        let Some(node) = self.incarnations.get_mut(&incarnation) else { return };
        let is_needed = node.has_sessions() || has_lost_attempts;
        let Some(suspicion) = &mut node.suspicion else { return };
        if is_up && node.detector.last_heard() > suspicion.since {
            node.suspicion = None;
            return self.end_lost_attempts(incarnation, Outcome::LinkBroken);
        }
        if !is_needed {
            node.suspicion = None;
            return;
        }
        suspicion.awaits_place = !is_closing;
    }

    fn schedule_redial(&mut self, at: Time, incarnation: IncarnationId) {
        if let Some(suspicion) = self.suspicion_mut(incarnation).filter(|s| !s.redial_scheduled) {
            suspicion.redial_scheduled = true;
            self.set_timer(at, Wake::Redial(incarnation));
        }
    }

    pub(super) fn suspect_if_quiet(&mut self, now: Time, incarnation: IncarnationId, out: &mut Vec<Effect>) {
        if self.incarnations.get(&incarnation).is_some_and(|node| node.last_heard() + SIGN_OF_LIFE_TIME < now)
        {
            self.suspect(now, incarnation, out);
        }
    }

    pub(super) fn redial(&mut self, now: Time, incarnation: IncarnationId, out: &mut Vec<Effect>) {
        let Some(suspicion) = self.suspicion_mut(incarnation) else { return };
        suspicion.redial_scheduled = false;
        self.suspect(now, incarnation, out);
    }

    /// Judges a suspected node after a failed dial.
    pub(super) fn judge_failed_dial(
        &mut self,
        now: Time,
        incarnation: IncarnationId,
        dial_end: DialEnd,
        out: &mut Vec<Effect>,
    ) {
        let Some(node) = self.incarnations.get_mut(&incarnation) else { return };
        if node.retired {
            if node.links.is_empty() {
                self.end_incarnation(now, incarnation, out);
            }
            return;
        }
        let is_up = node.links.iter().any(|link| self.links.get(link).is_some_and(Link::is_up));
        let limits = self.detector_limits(is_up);
        let has_lost_attempts = self.lost_attempts(incarnation).next().is_some();
        let Some(node) = self.incarnations.get_mut(&incarnation) else { return };
        if node.dead || (!node.has_sessions() && !has_lost_attempts) {
            node.suspicion = None;
            return;
        }
        let end = match dial_end {
            DialEnd::Refused => Some(FailedDial::Refused),
            DialEnd::TimedOut => Some(FailedDial::TimedOut),
            DialEnd::Failed => None,
        };
        let dial_began = end.map_or(now, |end| end.began_at(now, limits.dial_timeout));
        let suspicion = node.suspicion.get_or_insert(Suspicion::new(dial_began, true));
        if node.detector.last_heard() > suspicion.since {
            // It sends on another connection and only accepts no new one.
            node.suspicion = None;
            return self.end_lost_attempts(incarnation, Outcome::LinkBroken);
        }
        let (verdict, next_dial_at) = match end {
            Some(end) => (
                node.detector.dial_failed(now, end, Some(suspicion.since), &limits),
                node.detector.next_dial_at(now, &limits),
            ),
            None => (Verdict::Suspected, now + FIRST_REDIAL_PAUSE),
        };
        let ask = is_up && !std::mem::replace(&mut suspicion.asked, true);
        if verdict == Verdict::Dead {
            let (server, sessions) = (node.server.0, node.playing.len());
            let line =
                format!("s-{server:08x} held to be dead: {dial_end:?}, {sessions} sessions stood there");
            out.push(Effect::Log("node-dead", line));
            return self.end_incarnation(now, incarnation, out);
        }
        if verdict == Verdict::Unreachable {
            self.end_lost_attempts(incarnation, Outcome::Broken);
        }
        if ask {
            self.request_sign_of_life(now, incarnation, out);
        }
        self.schedule_redial(next_dial_at, incarnation);
    }

    /// Limits of the failure detectors; `has_link`: a connection to the node is up.
    fn detector_limits(&self, has_link: bool) -> Limits {
        let limits = Limits::new(END_NOTICE_LIMIT, self.sockets.dial_timeout);
        if !has_link {
            return limits;
        }
        Limits { unreachable_refusals: UNREACHABLE_REFUSALS_WITH_LINK, ..limits }
    }

    /// Queries a retired node and ends its sessions if it does not answer.
    fn query_retired(&mut self, now: Time, incarnation: IncarnationId, out: &mut Vec<Effect>) {
        if !self.probing {
            // Queries are forbidden. A dead process has reset its connections, a vanished machine is silent.
            if self.incarnations.get(&incarnation).is_some_and(|node| self.is_quiet(now, incarnation, node)) {
                self.end_incarnation(now, incarnation, out);
            }
            return;
        }
        let Some(node) = self.incarnations.get_mut(&incarnation) else { return };
        match node.asked_at {
            Some(at) if at + RETIRED_ANSWER_TIME > now => return,
            Some(at) if node.last_heard() < at => return self.end_incarnation(now, incarnation, out),
            _ => node.asked_at = Some(now),
        }
        self.request_sign_of_life(now, incarnation, out);
    }

    /// Queries the node on every connection that is up; any reply is a sign of life. Where queries are
    /// forbidden, an idle connection is half-closed instead: a living node closes it and has room for the
    /// next one.
    fn request_sign_of_life(&mut self, now: Time, incarnation: IncarnationId, out: &mut Vec<Effect>) {
        if !self.probing {
            if let Some(link) = self.idle_link(incarnation) {
                self.half_close(now, link, out);
            }
            return;
        }
        let Some(node) = self.incarnations.get(&incarnation) else { return };
        for link in node.links.clone() {
            self.query_sign_of_life(now, link, out);
        }
    }

    /// Time for which a node with playing sessions may be silent: [`END_NOTICE_LIMIT`] minus the time needed
    /// to detect a vanished machine. Each front and node draws up to an eighth less each time, so that fronts
    /// that received a message of a node at the same moment do not all check it at the same moment.
    fn quiet_limit(&self, incarnation: IncarnationId, last_heard: Time) -> Time {
        let detection =
            SWEEP_INTERVAL + CHECK_TIME + self.sockets.dial_timeout + FIRST_REDIAL_PAUSE + END_NOTICE_MARGIN;
        let limit = END_NOTICE_LIMIT.saturating_sub(detection);
        let draw = (incarnation.0 ^ last_heard).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 56;
        limit - limit / 8 * draw / 256
    }

    fn has_half_closed_link(&self, node: &Incarnation) -> bool {
        node.links.iter().any(|id| self.links.get(id).is_some_and(Link::is_half_closed))
    }

    /// Whether the node was silent for longer than a node with playing sessions may be.
    pub(super) fn is_quiet(&self, now: Time, id: IncarnationId, node: &Incarnation) -> bool {
        node.last_heard().saturating_add(self.quiet_limit(id, node.last_heard())) < now
    }

    /// Asks for a sign of life of a node that was silent for long, by half-closing a spare connection, else
    /// by a new connection.
    fn check_alive(&mut self, now: Time, incarnation: IncarnationId, out: &mut Vec<Effect>) {
        match self.spare_link(incarnation) {
            Some(link) => self.half_close(now, link, out),
            None => self.suspect(now, incarnation, out),
        }
    }

    pub(super) fn sweep_incarnations(&mut self, now: Time, out: &mut Vec<Effect>) {
        let quiet = |id: &IncarnationId, node: &Incarnation| {
            let is_checked = node.is_suspected() || self.has_half_closed_link(node);
            let is_unconnected = node.links.is_empty() && !node.has_scheduled_redial();
            is_unconnected || (!is_checked && self.is_quiet(now, *id, node))
        };
        let all = self.incarnations.iter().filter(|(id, node)| node.is_watched() && quiet(id, node));
        let quiet: Vec<_> = all.map(|(id, _)| *id).collect();
        quiet.into_iter().for_each(|incarnation| self.check_alive(now, incarnation, out));
        self.rotate_links(now, out);
        let retired = |node: &Incarnation| node.retired && !node.playing.is_empty();
        let retired: Vec<_> =
            self.incarnations.iter().filter(|(_, node)| retired(node)).map(|(id, _)| *id).collect();
        retired.into_iter().for_each(|incarnation| self.query_retired(now, incarnation, out));
        self.incarnations
            .retain(|_, node| !(node.retired && node.playing.is_empty() && node.links.is_empty()));
    }
}
