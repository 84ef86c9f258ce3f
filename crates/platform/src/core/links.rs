//! Connections to nodes. A set-up has a connection to itself where there are enough, so that what spoils one connection
//! spoils one set-up; standing sessions need none, but one is kept where some stand, so that their end is heard.

use super::attempts::Stage;
use super::lives::UNHEARD;
use super::*;
use pepperhook::Outcome;

/// Words that wait for a connection to come up, at most; later ones are dropped, rungs among them. One a session suffices, and
/// a dial lasts no longer than the settings' time for it.
const QUEUED: usize = 256;
/// A dial that failed on its way is made again, so many times in all: once tells chance from a fault on this side, whatever
/// the settings are.
const DIALS: u8 = 2;

/// How far a connection has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    Dialled,
    Up,
    /// Its sending side was shut then. Nothing more goes over it; the node's own end of it is a sign of life.
    Shut(Time),
}

/// A connection to a node.
pub struct Link {
    pub life: LifeId,
    pub way: Way,
    /// When it was dialled, then when it came up.
    pub opened: Time,
    /// A set-up has gone over it: it is kept before others, since a node's work for a new connection is done with it.
    pub carried: bool,
    /// It took no bytes, or had ended, when a set-up was about to be written; until something comes on it.
    pub blocked: bool,
    /// When something last went over it, either way.
    pub used: Time,
    /// Set-ups on it, or waiting for it.
    pub open: BTreeSet<SessionId>,
    probes: BTreeSet<ProbeId>,
    queue: Vec<ToNode>,
}

impl Link {
    pub fn up(&self) -> bool {
        self.way == Way::Up
    }

    pub fn is_shut(&self) -> bool {
        matches!(self.way, Way::Shut(_))
    }

    /// Nothing waits for it that a viewer has asked for.
    pub fn owes_nothing(&self) -> bool {
        !self.queue.iter().any(|word| matches!(word, ToNode::Release(..)))
    }

    fn idle(&self) -> bool {
        self.open.is_empty() && self.probes.is_empty() && self.queue.is_empty()
    }
}

/// A question for a node's load.
pub struct Probe {
    server: ServerId,
    life: LifeId,
    link: LinkId,
    /// It was asked on a second connection already.
    again: bool,
}

impl Core {
    /// Dials a node; never one that is listed no more, since its address may be another's.
    pub(super) fn dial(&mut self, now: Time, life: LifeId, out: &mut Vec<Effect>) -> Option<LinkId> {
        if !self.lives.get(&life).is_some_and(Life::may_dial) {
            return None;
        }
        if self.links.len() >= self.bounds.links && !self.evict(out) {
            return None;
        }
        let link = LinkId(self.number());
        let l = self.lives.get_mut(&life)?;
        l.links.insert(link);
        out.push(Effect::Dial(link, l.address.into()));
        let new = Link {
            life,
            way: Way::Dialled,
            opened: now,
            carried: false,
            blocked: false,
            used: now,
            open: BTreeSet::new(),
            probes: BTreeSet::new(),
            queue: Vec::new(),
        };
        self.links.insert(link, new);
        Some(link)
    }

    /// Closes the connection that has been idle longest, of those that are not a node's last.
    fn evict(&mut self, out: &mut Vec<Effect>) -> bool {
        let spare = |l: &Link| {
            let life = self.lives.get(&l.life);
            l.way != Way::Dialled
                && l.idle()
                && life.is_none_or(|n| n.links.len() > 1 || n.standing.is_empty())
        };
        let victim =
            self.links.iter().filter(|(_, l)| spare(l)).min_by_key(|(_, l)| l.used).map(|(id, _)| *id);
        victim.is_some_and(|link| {
            self.close_link(link, out);
            true
        })
    }

    pub(super) fn close_link(&mut self, link: LinkId, out: &mut Vec<Effect>) {
        let Some(l) = self.drop_link(link) else { return };
        out.push(Effect::Close(link));
        for id in l.probes {
            self.probe_ended(id, None);
        }
    }

    pub(super) fn drop_link(&mut self, link: LinkId) -> Option<Link> {
        let l = self.links.remove(&link)?;
        if let Some(life) = self.lives.get_mut(&l.life) {
            life.links.remove(&link);
        }
        Some(l)
    }

    /// Nodes close connections that are idle; one that is near that is not used for what must arrive. The last fifth of
    /// the time is far longer than any word is on its way.
    fn fresh(&self, now: Time, link: &Link) -> bool {
        link.used + self.sockets.idle_timeout / 5 * 4 > now
    }

    fn ups(&self, life: LifeId) -> impl Iterator<Item = (LinkId, &Link)> {
        let ids = self.lives.get(&life).into_iter().flat_map(|l| &l.links);
        ids.filter_map(|id| self.links.get(id).map(|l| (*id, l))).filter(|(_, l)| l.up())
    }

    /// A connection for a set-up: of those that carry none now one that has carried some, then the one used last; else a
    /// new one, else one that carries few.
    pub(super) fn link_for_set_up(
        &mut self,
        now: Time,
        life: LifeId,
        out: &mut Vec<Effect>,
    ) -> Option<LinkId> {
        let free = self.ups(life).filter(|(_, l)| l.open.is_empty() && !l.blocked && self.fresh(now, l));
        if let Some((link, _)) = free.max_by_key(|(_, l)| (l.carried, l.used)) {
            return Some(link);
        }
        if let Some(link) = self.dial(now, life, out) {
            return Some(link);
        }
        let ids = self.lives.get(&life).into_iter().flat_map(|l| &l.links);
        let some = ids.filter_map(|id| self.links.get(id).map(|l| (*id, l)));
        let room = some
            .filter(|(_, l)| !l.is_shut() && !l.blocked && l.open.len() < self.sockets.max_set_ups_per_link);
        room.min_by_key(|(_, l)| (!l.up(), l.open.len())).map(|(link, _)| link)
    }

    pub(super) fn write(&mut self, now: Time, link: LinkId, word: ToNode, out: &mut Vec<Effect>) {
        if let Some(l) = self.links.get_mut(&link).filter(|l| l.up()) {
            l.used = now;
            out.push(Effect::Write(link, word));
        }
    }

    /// What concerns a standing session goes over any connection to its node.
    pub(super) fn tell_node(&mut self, now: Time, life: LifeId, word: ToNode, out: &mut Vec<Effect>) {
        let up = self.ups(life).filter(|(_, l)| self.fresh(now, l)).max_by_key(|(_, l)| (l.carried, l.used));
        if let Some((link, _)) = up {
            return self.write(now, link, word, out);
        }
        let link = self.link_to_come(now, life, out);
        if let Some(l) = link.and_then(|link| self.links.get_mut(&link)).filter(|l| l.queue.len() < QUEUED) {
            l.queue.push(word);
        }
    }

    /// A connection that is being dialled, else a new one.
    pub(super) fn link_to_come(&mut self, now: Time, life: LifeId, out: &mut Vec<Effect>) -> Option<LinkId> {
        let ids = &self.lives.get(&life)?.links;
        let dialled =
            ids.iter().copied().find(|id| self.links.get(id).is_some_and(|l| l.way == Way::Dialled));
        dialled.or_else(|| self.dial(now, life, out))
    }

    // ---- questions for load --------------------------------------------------------------------

    pub(super) fn probe(&mut self, now: Time, server: ServerId, out: &mut Vec<Effect>) {
        let life = self.current.get(&server).copied();
        let Some((life, link)) = life.and_then(|l| self.link_for_probe(now, l, out).map(|link| (l, link)))
        else {
            return self.pending.push_back(Event::Probed(server, None));
        };
        let id = ProbeId(self.number());
        self.probes.insert(id, Probe { server, life, link, again: false });
        self.at(now + self.sockets.dial_timeout, Wake::ProbeTime(id));
        self.ask_load(now, id, link, out);
    }

    fn link_for_probe(&mut self, now: Time, life: LifeId, out: &mut Vec<Effect>) -> Option<LinkId> {
        let up = self.ups(life).filter(|(_, l)| self.fresh(now, l)).min_by_key(|(_, l)| l.open.len());
        if let Some((link, _)) = up {
            return Some(link);
        }
        self.link_to_come(now, life, out)
    }

    fn ask_load(&mut self, now: Time, id: ProbeId, link: LinkId, out: &mut Vec<Effect>) {
        if let Some(l) = self.links.get_mut(&link) {
            l.probes.insert(id);
        }
        self.write(now, link, ToNode::AskLoad(id), out);
    }

    fn probe_ended(&mut self, id: ProbeId, report: Option<Vec<f64>>) -> Option<Probe> {
        let probe = self.probes.remove(&id)?;
        if let Some(link) = self.links.get_mut(&probe.link) {
            link.probes.remove(&id);
        }
        // Of an older life of the same id: no word on the one that is there now.
        let report = if self.is_current(probe.life) { report } else { Some(Vec::new()) };
        self.pending.push_back(Event::Probed(probe.server, report));
        Some(probe)
    }

    pub(super) fn probe_time(&mut self, now: Time, id: ProbeId, out: &mut Vec<Effect>) {
        if let Some(probe) = self.probe_ended(id, None) {
            self.doubt_if_quiet(now, probe.life, out);
        }
    }

    /// A question whose connection broke is asked once more: a broken connection is no answer of the node's.
    fn probe_torn(&mut self, now: Time, id: ProbeId, out: &mut Vec<Effect>) {
        let Some(probe) = self.probes.get(&id) else { return };
        let (life, again) = (probe.life, probe.again);
        let link = if again { None } else { self.link_for_probe(now, life, out) };
        match (link, self.probes.get_mut(&id)) {
            (Some(link), Some(probe)) => {
                (probe.link, probe.again) = (link, true);
                self.ask_load(now, id, link, out);
            }
            _ => {
                self.probe_ended(id, None);
            }
        }
    }

    // ---- what becomes of connections -----------------------------------------------------------

    pub(super) fn link_up(&mut self, now: Time, link: LinkId, out: &mut Vec<Effect>) {
        let Some(l) = self.links.get_mut(&link) else { return out.push(Effect::Close(link)) };
        (l.way, l.used, l.opened) = (Way::Up, now, now);
        let (life, queue) = (l.life, std::mem::take(&mut l.queue));
        let (open, probes) = (l.open.clone(), l.probes.clone());
        self.lives_on(now, life, link, out);
        queue.into_iter().for_each(|word| self.write(now, link, word, out));
        open.into_iter().for_each(|id| self.write_set_up(now, id, out));
        probes.into_iter().for_each(|id| self.write(now, link, ToNode::AskLoad(id), out));
    }

    pub(super) fn link_failed(&mut self, now: Time, link: LinkId, how: DialEnd, out: &mut Vec<Effect>) {
        let Some(l) = self.drop_link(link) else { return };
        for id in l.open {
            let dials = match self.attempt(id).map(|a| a.stage) {
                Some(Stage::Dialling(dials)) => dials,
                _ => continue,
            };
            if how == DialEnd::Failed && dials < DIALS {
                if let Some(next) = self.link_for_set_up(now, l.life, out) {
                    self.move_set_up(now, id, next, dials + 1, out);
                    continue;
                }
            }
            // A dial that broke on its way tells nothing of the node.
            let outcome = if how == DialEnd::Failed { Outcome::Unsent } else { Outcome::ConnectFailed };
            self.attempt_ended(id, outcome, Vec::new());
        }
        for id in l.probes {
            match how {
                DialEnd::Failed => self.probe_torn(now, id, out),
                _ => {
                    self.probe_ended(id, None);
                }
            }
        }
        self.not_told(l.life, l.queue);
        self.dial_ended(now, l.life, how, out);
    }

    pub(super) fn move_set_up(
        &mut self,
        now: Time,
        id: SessionId,
        to: LinkId,
        dials: u8,
        out: &mut Vec<Effect>,
    ) {
        let Some(attempt) = self.attempt_mut(id) else { return };
        (attempt.link, attempt.stage) = (to, Stage::Dialling(dials));
        if let Some(link) = self.links.get_mut(&to) {
            link.open.insert(id);
        }
        self.write_set_up(now, id, out);
    }

    pub(super) fn link_down(&mut self, now: Time, link: LinkId, out: &mut Vec<Effect>) {
        let Some(l) = self.drop_link(link) else { return };
        let mut torn = false;
        for id in l.open {
            match self.attempt(id).map(|a| a.stage) {
                Some(Stage::Sent) => {
                    torn = true;
                    if let Some(attempt) = self.attempt_mut(id) {
                        attempt.stage = Stage::Torn;
                    }
                }
                Some(Stage::Offered(_)) => self.attempt_ended(id, Outcome::Unsent, Vec::new()),
                // The close gives it up at the node.
                Some(Stage::Closing) => self.attempt_ended(id, Outcome::TimedOut, Vec::new()),
                _ => {}
            }
        }
        let probes = !l.probes.is_empty();
        l.probes.into_iter().for_each(|id| self.probe_torn(now, id, out));
        self.broke(now, l.life, torn || probes, out);
    }

    pub(super) fn node(&mut self, now: Time, link: LinkId, said: FromNode, out: &mut Vec<Effect>) {
        let Some(l) = self.links.get_mut(&link) else { return };
        (l.used, l.blocked) = (now, false);
        let life = l.life;
        if let Some(life) = self.lives.get_mut(&life) {
            life.heard = now;
        }
        match said {
            FromNode::Plays(id, body) => self.plays(now, link, id, body, out),
            FromNode::Ended(id, outcome, report) => self.node_ended(link, id, outcome, report),
            FromNode::Over(id, outcome, report) => self.node_over(now, link, id, outcome, report, out),
            FromNode::Heard(id) => {
                if self.attempt(id).is_some_and(|a| a.link == link && a.stage == Stage::Closing) {
                    self.attempt_ended(id, Outcome::TimedOut, Vec::new());
                }
            }
            FromNode::Note(id, kind, value) => self.note(link, id, kind, value),
            FromNode::Load(id, report) => {
                if self.probes.get(&id).is_some_and(|p| p.link == link) {
                    self.probe_ended(id, report);
                }
            }
            FromNode::Other => {}
        }
    }

    /// Shuts the sending side of a connection that carries nothing. A process that runs ends its own side at once, so
    /// that a connection which has served its time tells once more that its node lives.
    pub(super) fn shut(&mut self, now: Time, link: LinkId, out: &mut Vec<Effect>) {
        let Some(l) = self.links.get_mut(&link).filter(|l| l.up()) else { return };
        l.way = Way::Shut(now);
        out.push(Effect::Shut(link));
        self.at(now + UNHEARD, Wake::Shut(link));
    }

    /// The node ended it: a process that is no more would have reset it, or said nothing.
    pub(super) fn link_shut(&mut self, now: Time, link: LinkId, out: &mut Vec<Effect>) {
        if !self.links.get(&link).is_some_and(Link::is_shut) {
            return self.link_down(now, link, out);
        }
        let Some(life) = self.drop_link(link).map(|l| l.life) else { return };
        let Some(l) = self.lives.get_mut(&life) else { return };
        l.heard = now;
        if l.links.is_empty() {
            self.broke(now, life, false, out);
        }
    }

    /// A node that does not end it stalls, or is gone without a sign: it is dialled.
    pub(super) fn shut_unanswered(&mut self, now: Time, link: LinkId, out: &mut Vec<Effect>) {
        let Some(Link { life, way: Way::Shut(since), .. }) = self.links.get(&link) else { return };
        let (life, since) = (*life, *since);
        self.close_link(link, out);
        if self.lives.get(&life).is_some_and(|l| l.heard <= since && !l.standing.is_empty()) {
            self.doubt_since(now, since, life, out);
        }
    }

    /// A connection of a node that carries nothing, if there is another that is up: rather one that never carried a
    /// set-up, then the one used longest ago.
    pub(super) fn spare(&self, life: LifeId) -> Option<LinkId> {
        self.idle(life).filter(|_| self.ups(life).count() > 1)
    }

    /// The same, its only one included.
    pub(super) fn idle(&self, life: LifeId) -> Option<LinkId> {
        let idle = self.ups(life).filter(|(_, l)| l.idle());
        idle.min_by_key(|(_, l)| (l.carried, l.used)).map(|(link, _)| link)
    }

    /// Idle connections are ended before the nodes close them, and at once to nodes that the list names no more; where sessions stand, another takes the place of the
    /// last one, and brings what could not be told meanwhile.
    pub(super) fn sweep_links(&mut self, now: Time, out: &mut Vec<Effect>) {
        let unlisted =
            |l: &Link| self.lives.get(&l.life).is_none_or(|n| !n.may_dial() && n.standing.is_empty());
        let old = |l: &Link| l.up() && l.idle() && (!self.fresh(now, l) || unlisted(l));
        let old: Vec<_> = self.links.iter().filter(|(_, l)| old(l)).map(|(id, l)| (*id, l.life)).collect();
        for (link, life) in old {
            if self.lives.get(&life).is_none_or(|l| l.standing.is_empty()) {
                self.close_link(link, out);
                continue;
            }
            // The last one is ended only once another is up: the node may take no more.
            if self.ups(life).count() > 1 {
                self.shut(now, link, out);
            } else {
                self.link_to_come(now, life, out);
            }
        }
    }
}
