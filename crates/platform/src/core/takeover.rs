//! Evidence that another process has taken over a node's address, of which the list says nothing.
//!
//! A machine that vanishes leaves its connections open and silent. If a new process comes up at its address, new
//! connections lead to it, and what is heard on them would count as a sign of life of the old process, whose sessions
//! would stand for ever. So if a connection leaves a question unanswered, and one that was opened after the question is
//! heard, the silent one is asked again, where queries are permitted, and half-closed: a process that lives answers, and
//! closes its side at once. If it does neither, although a newer connection is heard meanwhile, the two lead to different
//! processes, and the sessions of the old one have ended.
//!
//! This is no evidence:
//! - silence on all connections: the process may stall, and what it answers later comes on both;
//! - an answer on any connection that was open at the question: the process lives, and only one connection is broken;
//! - silence on a connection that had rested: nodes may forget such connections, or close them unseen.

use super::incarnations::Incarnation;
use super::liveness::SIGN_OF_LIFE_TIME;
use super::playing::CAUSE_BROKEN;
use super::*;
use pepperhook::Outcome;

/// A connection that was not heard for longer than this before the question had rested.
const RESTING_TIME: Time = 2_000 * MS;
/// Time after which a check without a result is given up, and its connection closed. With the time before the check and
/// after its result it stays within [`END_NOTICE_LIMIT`].
const CHECK_LIMIT: Time = 5_000 * MS;

/// A check whether an old and a new connection to a node lead to the same process.
pub struct TakeoverCheck {
    /// The silent connection, half-closed for the check.
    link: LinkId,
    /// When the question was sent that it has not answered. Newer connections were opened after this.
    question_at: Time,
    /// When the first newer connection came up. Sessions that began later play at the new process.
    replaced_at: Time,
    /// When a newer connection was first heard since the check began.
    new_process_heard_at: Option<Time>,
}

/// What the connections of a node say about its process.
enum Contradiction {
    /// A connection leaves the question of this time unanswered, and a newer one was heard.
    Present(LinkId, Time),
    /// The same, but this newer connection was not asked anything yet.
    Possible(LinkId),
}

impl Core {
    /// Begins the checks that are due.
    pub(super) fn check_takeovers(&mut self, now: Time, out: &mut Vec<Effect>) {
        let may_be_checked = |node: &Incarnation| {
            node.takeover_check.is_none() && !node.retired && !node.playing.is_empty() && node.links.len() > 1
        };
        let checked = self.incarnations.iter().filter(|(_, node)| may_be_checked(node));
        let due: Vec<_> =
            checked.filter_map(|(id, node)| Some((*id, self.contradicted_link(now, node)?))).collect();
        for (incarnation, contradiction) in due {
            match contradiction {
                Contradiction::Possible(newer) => self.query_sign_of_life(now, newer, out),
                Contradiction::Present(link, question_at) => {
                    self.begin_takeover_check(now, incarnation, link, question_at, out);
                }
            }
        }
    }

    fn begin_takeover_check(
        &mut self,
        now: Time,
        incarnation: IncarnationId,
        link: LinkId,
        question_at: Time,
        out: &mut Vec<Effect>,
    ) {
        let newer = self.newer_links(incarnation, question_at);
        let Some(replaced_at) = newer.map(|(_, l)| l.opened_at).min() else { return };
        let Some(node) = self.incarnations.get_mut(&incarnation) else { return };
        node.takeover_check =
            Some(TakeoverCheck { link, question_at, replaced_at, new_process_heard_at: None });
        if self.probing {
            self.query_sign_of_life(now, link, out);
        }
        self.half_close(now, link, out);
        self.set_timer(now + CHECK_LIMIT, Wake::TakeoverCheckLimit(link));
        self.query_newer_link(now, incarnation, question_at, out);
    }

    /// Asks for a sign of life on a newer connection, which the check needs: by a query or, where queries are forbidden,
    /// by half-closing one that carries nothing. The answer to what it carries would serve as well.
    fn query_newer_link(
        &mut self,
        now: Time,
        incarnation: IncarnationId,
        question_at: Time,
        out: &mut Vec<Effect>,
    ) {
        let is_usable = |l: &Link| self.probing || l.is_idle();
        let link = self.newer_links(incarnation, question_at).find(|(_, l)| is_usable(l)).map(|(id, _)| id);
        let Some(link) = link else { return };
        if self.probing {
            self.query_sign_of_life(now, link, out);
        } else {
            self.half_close(now, link, out);
        }
    }

    /// Looks for a connection that is silent although one opened after its unanswered question was heard.
    fn contradicted_link(&self, now: Time, node: &Incarnation) -> Option<Contradiction> {
        let links = || node.links.iter().filter_map(|id| Some((*id, self.links.get(id)?)));
        let contradiction = |silent: LinkId, question_at: Time| {
            let is_old_heard =
                |l: &Link| l.opened_at <= question_at && l.heard_at.is_some_and(|at| at > question_at);
            if links().any(|(_, l)| is_old_heard(l)) {
                return None;
            }
            let newer = || links().filter(|(_, l)| l.is_up() && l.opened_at > question_at);
            if newer().any(|(_, l)| l.heard_at.is_some()) {
                return Some(Contradiction::Present(silent, question_at));
            }
            // It may have carried nothing yet.
            let unasked = newer().find(|(_, l)| self.probing && l.unanswered_since.is_none());
            unasked.map(|(id, _)| Contradiction::Possible(id))
        };
        links().filter(|(_, l)| l.is_up() && l.is_idle()).find_map(|(id, l)| {
            let question_at = l.unanswered_since.filter(|_| l.is_silent(now))?;
            let rested = question_at.saturating_sub(l.heard_at.unwrap_or(l.opened_at)) > RESTING_TIME;
            if rested { None } else { contradiction(id, question_at) }
        })
    }

    fn newer_links(
        &self,
        incarnation: IncarnationId,
        question_at: Time,
    ) -> impl Iterator<Item = (LinkId, &Link)> {
        self.up_links(incarnation).filter(move |(_, l)| l.opened_at > question_at)
    }

    /// A sign of life has come on a connection of the node that was opened at this time.
    pub(super) fn note_for_takeover_check(&mut self, now: Time, incarnation: IncarnationId, opened_at: Time) {
        let Some(node) = self.incarnations.get_mut(&incarnation) else { return };
        let Some(check) = &mut node.takeover_check else { return };
        if opened_at <= check.question_at {
            // The old process lives.
            let link = check.link;
            node.takeover_check = None;
            return self.set_timer(now + SIGN_OF_LIFE_TIME, Wake::HalfCloseTimeout(link));
        }
        if check.new_process_heard_at.is_none() {
            check.new_process_heard_at = Some(now);
            self.set_timer(now + SIGN_OF_LIFE_TIME, Wake::TakeoverVerdict(incarnation));
        }
    }

    /// Whether this connection is half-closed for a check.
    pub(super) fn is_under_takeover_check(&self, link: LinkId) -> bool {
        let incarnation = self.links.get(&link).and_then(|l| self.incarnations.get(&l.incarnation));
        incarnation.and_then(|node| node.takeover_check.as_ref()).is_some_and(|check| check.link == link)
    }

    /// The connection of a check has ended: there is no evidence any more.
    pub(super) fn end_takeover_check(&mut self, incarnation: IncarnationId, link: LinkId) {
        if let Some(node) = self.incarnations.get_mut(&incarnation) {
            node.takeover_check.take_if(|check| check.link == link);
        }
    }

    /// Nothing was heard on newer connections: the check gives no result.
    pub(super) fn takeover_check_timed_out(&mut self, link: LinkId, out: &mut Vec<Effect>) {
        if self.is_under_takeover_check(link) {
            self.close_link(link, out);
        }
    }

    /// The old connection stayed silent long enough after the new process was heard.
    pub(super) fn takeover_verdict(&mut self, now: Time, incarnation: IncarnationId, out: &mut Vec<Effect>) {
        let Some(node) = self.incarnations.get_mut(&incarnation) else { return };
        let is_due = |check: &mut TakeoverCheck| {
            check.new_process_heard_at.is_some_and(|at| at + SIGN_OF_LIFE_TIME <= now)
        };
        let Some(check) = node.takeover_check.take_if(is_due) else { return };
        self.node_replaced(now, incarnation, &check, out);
    }

    /// Ends what belongs to the old process: its connections, the attempts lost with them, and its sessions, which are
    /// also released at the address in case that it lives.
    fn node_replaced(
        &mut self,
        now: Time,
        incarnation: IncarnationId,
        check: &TakeoverCheck,
        out: &mut Vec<Effect>,
    ) {
        let Some(node) = self.incarnations.get(&incarnation) else { return };
        let (server, links, playing) = (node.server.0, node.links.clone(), node.playing.clone());
        let is_old = |link: &LinkId| self.links.get(link).is_some_and(|l| l.opened_at <= check.question_at);
        let old_links: Vec<_> = links.into_iter().filter(is_old).collect();
        let is_over =
            |id: &SessionId| self.playing_since(*id).is_some_and(|(since, _)| since < check.replaced_at);
        let over: Vec<_> = playing.into_iter().filter(is_over).collect();
        let line =
            format!("s-{server:08x} taken over by another process, {} sessions stood there", over.len());
        out.push(Effect::Log("node-replaced", line));
        old_links.into_iter().for_each(|link| self.close_dead_link(link, out));
        self.end_lost_attempts(incarnation, Outcome::Broken);
        for id in over {
            let message = ToNode::Release(id, self.title(id), CAUSE_BROKEN);
            self.send_to_node(now, incarnation, message, out);
            self.session_ended(now, id, Outcome::Broken, Vec::new(), out);
        }
    }
}
