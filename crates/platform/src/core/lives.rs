//! What shows that a node lives, and what shows that it does not.
//!
//! A process that died refuses dials; a machine that vanished lets them run out, and says nothing on open connections. A
//! broken connection alone shows neither, and a node that stalls still takes connections. So a sign of trouble only
//! raises a doubt; the node is dialled, and the dial decides: a new connection ends the doubt; two refusals, or silence
//! for [`SILENT`] with dials that run out, end the sessions that stand there. A connection that is still up speaks for
//! the node only if something came on it since the doubt began.
//!
//! Hundreds of front ends watch the same nodes, and each connection is work for a node. So the watch goes by the time
//! that the rule on releases leaves, not by a shorter one, and uses each connection twice: its coming up is one sign of
//! life, and the node's end of it, once this side has shut its own, another.
//!
//! A node that the list names no more is not dialled, since its address may be another's: it is asked on the connections
//! that are still up, and if nothing comes, its sessions are over.

use super::attempts::{Attempt, Stage};
use super::links::Way;
use super::standing::CUT;
use super::*;
use pepperhook::{Outcome, ServerEntry, ServerState, ZoneId};
use pepperhook_changelog::{Entry, State};
use std::collections::VecDeque;
use std::net::SocketAddrV4;

/// Refused dials in a row that show a dead process.
const REFUSALS: u32 = 2;
/// So many while a connection to it is still up: a node that holds as many connections as it takes refuses too.
const REFUSALS_UP: u32 = 5;
/// A node that is listed no more has so long to answer.
const LAST_WORD: Time = 800 * MS;
/// Between two dials of a node in doubt.
const AGAIN: Time = 100 * MS;
/// Dials that run out show a vanished machine after so long.
const SILENT: Time = 2_000 * MS;
/// Left over of the time within which an end must be told: the way to the viewer, and a late turn of this process.
const MARGIN: Time = 250 * MS;
/// After a time-out a node is in doubt if it has said nothing for so long; one that was asked for a sign has so long.
pub const UNHEARD: Time = 500 * MS;
/// Sessions that were released without their node's word and may stand there still, at most. It bounds memory; a node runs as
/// many streams as the settings say, a front holds its part of them.
const CUTS: usize = 512;

/// One life of a node.
pub struct Life {
    pub server: ServerId,
    pub address: SocketAddrV4,
    started_ms: u64,
    state: State,
    /// Another life has taken the id or the list names it no more: it is not dialled again, since its address may be
    /// another's.
    past: bool,
    /// When it was asked last, listed no more.
    asked: Option<Time>,
    /// Shown to be dead; a connection that comes up shows otherwise.
    dead: bool,
    pub links: BTreeSet<LinkId>,
    pub standing: BTreeSet<SessionId>,
    pub heard: Time,
    doubt: Option<Doubt>,
    /// Words that are due at the node if it comes back.
    cuts: VecDeque<ToNode>,
}

struct Doubt {
    since: Time,
    refused: u32,
    /// It was asked on a connection that is still up.
    asked: bool,
    /// The next dial has its time already.
    timed: bool,
}

impl Life {
    pub fn may_dial(&self) -> bool {
        !self.past
    }
}

fn entry(e: &Entry) -> ServerEntry {
    ServerEntry {
        server: ServerId(e.id),
        zone: ZoneId(e.zone),
        kind: pepperhook::KindId(e.kind),
        cell: e.cell,
        state: match e.state {
            State::Ready => ServerState::Ready,
            State::Draining => ServerState::Draining,
            State::Gone => ServerState::Gone,
        },
        weight: e.weight,
        started: Some(e.started_ms.saturating_mul(MS)).filter(|t| *t > 0),
    }
}

impl Core {
    pub(super) fn is_ready(&self, life: LifeId) -> bool {
        self.lives.get(&life).is_some_and(|l| l.state == State::Ready && !l.past)
    }

    /// Takes in the list as it is now.
    pub(super) fn nodes(&mut self, now: Time, entries: &[Entry], out: &mut Vec<Effect>) {
        let listed: BTreeSet<u32> = entries.iter().map(|e| e.id).collect();
        let gone: Vec<_> =
            self.current.iter().filter(|(id, _)| !listed.contains(&id.0)).map(|(_, l)| *l).collect();
        gone.into_iter().for_each(|life| self.pass(now, life, out));
        for e in entries {
            let known = self.current.get(&ServerId(e.id)).copied();
            let same = known.filter(|l| self.lives.get(l).is_some_and(|l| l.address == e.address));
            match (same, known) {
                (Some(life), _) => self.relist(now, life, e, out),
                (None, old) => {
                    self.begin(now, e);
                    old.into_iter().for_each(|old| self.pass(now, old, out));
                }
            }
        }
        self.make_way(now, entries, out);
        self.pending.push_back(Event::ListFull(entries.iter().map(entry).collect()));
    }

    fn begin(&mut self, now: Time, e: &Entry) {
        let life = LifeId(self.number());
        self.current.insert(ServerId(e.id), life);
        let new = Life {
            server: ServerId(e.id),
            address: e.address,
            started_ms: e.started_ms,
            state: e.state,
            past: false,
            asked: None,
            dead: false,
            links: BTreeSet::new(),
            standing: BTreeSet::new(),
            heard: now,
            doubt: None,
            cuts: VecDeque::new(),
        };
        self.lives.insert(life, new);
    }

    /// A node is listed where it was. Where it has started anew since, what is older than that start is over.
    fn relist(&mut self, now: Time, life: LifeId, e: &Entry, out: &mut Vec<Effect>) {
        let Some(l) = self.lives.get_mut(&life) else { return };
        l.state = e.state;
        if l.started_ms >= e.started_ms {
            return;
        }
        l.started_ms = e.started_ms;
        let started = e.started_ms.saturating_mul(MS);
        let (links, standing) = (l.links.clone(), l.standing.clone());
        let older = |link: &LinkId| self.links.get(link).is_some_and(|l| l.opened < started);
        let links: Vec<_> = links.into_iter().filter(older).collect();
        for link in links {
            self.end_link(link, out);
        }
        for id in standing {
            // When one that was handed over began is not known: the list that told its node was older than this start,
            // so that most likely it is too. Left standing it might never be told; ended, it is so at its node as well.
            let Some((since, handed)) = self.since(id) else { continue };
            if since >= started && !handed {
                continue;
            }
            let word = ToNode::Release(id, self.title(id), CUT);
            self.over(now, id, Outcome::Broken, Vec::new(), out);
            if since >= started {
                self.tell_node(now, life, word, out);
            }
        }
    }

    /// Since when a session stands, and whether it was handed over then.
    fn since(&self, id: SessionId) -> Option<(Time, bool)> {
        let s = self.sessions.get(&id)?;
        let Phase::Standing(_, since) = s.phase else { return None };
        Some((since, s.ask.at.is_some()))
    }

    /// A life is past: its id stands for another address, or the list names it no more. Its connections tell when it
    /// ends.
    fn pass(&mut self, now: Time, life: LifeId, out: &mut Vec<Effect>) {
        let Some(l) = self.lives.get_mut(&life) else { return };
        (l.past, l.state, l.doubt) = (true, State::Gone, None);
        let (server, links) = (l.server, l.links.clone());
        if self.current.get(&server) == Some(&life) {
            self.current.remove(&server);
        }
        // What comes up now may lead to another process at its address, whose word would count for this one.
        for link in links {
            if self.links.get(&link).is_some_and(|l| l.way == Way::Dialled) {
                self.undial(link, out);
            }
        }
        if self.lives.get(&life).is_some_and(|l| l.links.is_empty()) {
            self.bury(now, life, out);
        }
    }

    /// Takes a dial back; nothing was sent over it.
    fn undial(&mut self, link: LinkId, out: &mut Vec<Effect>) {
        let open = self.links.get(&link).map(|l| l.open.clone()).unwrap_or_default();
        open.into_iter().for_each(|id| self.attempt_ended(id, Outcome::Unsent, Vec::new()));
        self.close_link(link, out);
    }

    /// Where a node of another id has the address of one that is gone, connections that came up since it started lead
    /// to it, however they were meant: the list may tell late, and a node that died was dialled until then. What came
    /// on them spoke for the wrong node, and what was set up over them is cut where it really plays.
    fn make_way(&mut self, now: Time, entries: &[Entry], out: &mut Vec<Effect>) {
        let listed: BTreeMap<_, _> = entries.iter().map(|e| (e.address, e.started_ms)).collect();
        let past = self.lives.iter().filter(|(_, l)| l.past);
        let met: Vec<_> =
            past.filter_map(|(id, l)| Some((*id, *listed.get(&l.address)?, l.links.clone()))).collect();
        for (life, started_ms, links) in met {
            let started = started_ms.saturating_mul(MS);
            let astray = |link: &LinkId| self.links.get(link).is_some_and(|l| l.opened >= started);
            let links: Vec<_> = links.into_iter().filter(astray).collect();
            let Some(way) = links.iter().copied().find(|l| self.links.get(l).is_some_and(Link::up)) else {
                continue;
            };
            let standing = self.lives.get(&life).map(|l| l.standing.clone()).unwrap_or_default();
            for id in standing {
                if self.since(id).is_some_and(|(since, handed)| since >= started && !handed) {
                    self.write(now, way, ToNode::Release(id, self.title(id), CUT), out);
                    self.over(now, id, Outcome::Broken, Vec::new(), out);
                }
            }
            links.into_iter().for_each(|link| self.end_link(link, out));
            if self.lives.get(&life).is_some_and(|l| l.links.is_empty()) {
                self.bury(now, life, out);
            }
        }
    }

    /// Whether this is the life of its id that the list names, or the last one that it named.
    pub(super) fn is_current(&self, life: LifeId) -> bool {
        let server = self.lives.get(&life).map(|l| l.server);
        server.and_then(|s| self.current.get(&s)).is_none_or(|current| *current == life)
    }

    /// How an attempt or a session ended, as the module is to hear of it: what befell an older life of an id is no
    /// ground to suspect the node that has the id now.
    pub(super) fn fair(&self, life: LifeId, outcome: Outcome) -> Outcome {
        match outcome {
            Outcome::Served | Outcome::Cancelled => outcome,
            _ if self.is_current(life) => outcome,
            _ if outcome.never_ran() => Outcome::Unsent,
            _ => Outcome::LinkBroken,
        }
    }

    /// A session was handed over with this node: whether it is dead is found out anew.
    pub(super) fn revive(&mut self, life: LifeId) {
        if let Some(l) = self.lives.get_mut(&life) {
            l.dead = false;
        }
    }

    /// Closes a connection to a process that is no more.
    fn end_link(&mut self, link: LinkId, out: &mut Vec<Effect>) {
        let open = self.links.get(&link).map(|l| l.open.clone()).unwrap_or_default();
        for id in open {
            let unsent = |a: &Attempt| matches!(a.stage, Stage::Dialling(_) | Stage::Offered(_));
            let sent = self.attempt(id).is_some_and(|a| !unsent(a));
            self.attempt_ended(id, if sent { Outcome::Broken } else { Outcome::ConnectFailed }, Vec::new());
        }
        self.close_link(link, out);
    }

    /// Everything at a life is over.
    fn bury(&mut self, now: Time, life: LifeId, out: &mut Vec<Effect>) {
        let Some(l) = self.lives.get_mut(&life) else { return };
        (l.dead, l.doubt) = (true, None);
        let (links, standing) = (l.links.clone(), l.standing.clone());
        let past = l.past;
        self.end_torn(life, Outcome::Broken);
        links.into_iter().for_each(|link| self.end_link(link, out));
        for id in standing {
            if !past {
                self.due_at(life, ToNode::Release(id, self.title(id), CUT));
            }
            self.over(now, id, Outcome::Broken, Vec::new(), out);
        }
    }

    fn due_at(&mut self, life: LifeId, word: ToNode) {
        if let Some(l) = self.lives.get_mut(&life).filter(|l| l.cuts.len() < CUTS) {
            l.cuts.push_back(word);
        }
    }

    /// Words that no connection took: releases are due later, rungs are not.
    pub(super) fn not_told(&mut self, life: LifeId, words: Vec<ToNode>) {
        words.into_iter().filter(|w| matches!(w, ToNode::Release(..))).for_each(|w| self.due_at(life, w));
    }

    /// Requests whose attempt there waits to learn whether the node lives.
    fn torn(&self, life: LifeId) -> impl Iterator<Item = SessionId> {
        let torn = move |s: &Session| matches!(&s.phase, Phase::Open(Some(a)) if a.life == life && a.stage == Stage::Torn);
        self.sessions.iter().filter(move |(_, s)| torn(s)).map(|(id, _)| *id)
    }

    fn end_torn(&mut self, life: LifeId, outcome: Outcome) {
        let ids: Vec<_> = self.torn(life).collect();
        ids.into_iter().for_each(|id| self.attempt_ended(id, outcome, Vec::new()));
    }

    /// A connection came up: the node lives.
    pub(super) fn lives_on(&mut self, now: Time, life: LifeId, link: LinkId, out: &mut Vec<Effect>) {
        let Some(l) = self.lives.get_mut(&life) else { return };
        (l.heard, l.doubt, l.dead) = (now, None, false);
        let cuts = std::mem::take(&mut l.cuts);
        cuts.into_iter().for_each(|word| self.write(now, link, word, out));
        self.end_torn(life, Outcome::LinkBroken);
    }

    /// A connection broke or ended.
    pub(super) fn broke(&mut self, now: Time, life: LifeId, work: bool, out: &mut Vec<Effect>) {
        let Some(l) = self.lives.get(&life) else { return };
        if l.past {
            if l.links.is_empty() {
                self.bury(now, life, out);
            } else {
                self.end_torn(life, Outcome::LinkBroken);
            }
        } else if work || !l.standing.is_empty() {
            self.doubt(now, life, out);
        }
    }

    fn doubt(&mut self, now: Time, life: LifeId, out: &mut Vec<Effect>) {
        self.doubt_since(now, now, life, out);
    }

    pub(super) fn doubt_since(&mut self, now: Time, since: Time, life: LifeId, out: &mut Vec<Effect>) {
        let Some(l) = self.lives.get_mut(&life).filter(|l| !l.past && !l.dead) else { return };
        l.doubt.get_or_insert(Doubt { since, refused: 0, asked: false, timed: false });
        if self.link_to_come(now, life, out).is_none() {
            self.doubt_later(now, life);
        }
    }

    fn doubt_later(&mut self, now: Time, life: LifeId) {
        if let Some(doubt) = self.lives.get_mut(&life).and_then(|l| l.doubt.as_mut()).filter(|d| !d.timed) {
            doubt.timed = true;
            self.at(now + AGAIN, Wake::Doubt(life));
        }
    }

    pub(super) fn doubt_if_quiet(&mut self, now: Time, life: LifeId, out: &mut Vec<Effect>) {
        if self.lives.get(&life).is_some_and(|l| l.heard + UNHEARD < now) {
            self.doubt(now, life, out);
        }
    }

    pub(super) fn doubt_again(&mut self, now: Time, life: LifeId, out: &mut Vec<Effect>) {
        let Some(doubt) = self.lives.get_mut(&life).and_then(|l| l.doubt.as_mut()) else { return };
        doubt.timed = false;
        self.doubt(now, life, out);
    }

    /// A dial brought no connection.
    pub(super) fn dial_ended(&mut self, now: Time, life: LifeId, how: DialEnd, out: &mut Vec<Effect>) {
        let dial = self.sockets.dial_timeout;
        let Some(l) = self.lives.get_mut(&life) else { return };
        if l.past {
            if l.links.is_empty() {
                self.bury(now, life, out);
            }
            return;
        }
        let up = l.links.iter().any(|link| self.links.get(link).is_some_and(Link::up));
        let torn = self.torn(life).next().is_some();
        let Some(l) = self.lives.get_mut(&life) else { return };
        if l.dead || (l.standing.is_empty() && !torn) {
            l.doubt = None;
            return;
        }
        let since = if how == DialEnd::TimedOut { now.saturating_sub(dial) } else { now };
        let doubt = l.doubt.get_or_insert(Doubt { since, refused: 0, asked: false, timed: false });
        if l.heard > doubt.since {
            // It talks on another connection, and only takes no new one.
            l.doubt = None;
            return self.end_torn(life, Outcome::LinkBroken);
        }
        doubt.refused += u32::from(how == DialEnd::Refused);
        let ask = up && !std::mem::replace(&mut doubt.asked, true);
        let refused = doubt.refused >= if up { REFUSALS_UP } else { REFUSALS };
        let dead = refused || (how == DialEnd::TimedOut && now - doubt.since >= SILENT);
        if dead {
            let (server, sessions) = (l.server.0, l.standing.len());
            let line = format!("s-{server:08x} held to be dead: {how:?}, {sessions} sessions stood there");
            out.push(Effect::Log("node-dead", line));
            self.bury(now, life, out);
        } else {
            if ask {
                self.ask_sign(now, life, out);
            }
            self.doubt_later(now, life);
        }
    }

    /// Asks a node that is listed no more whether it is still there, and ends what stands there if it says nothing.
    fn ask_past(&mut self, now: Time, life: LifeId, out: &mut Vec<Effect>) {
        if !self.probing {
            // Nothing may be asked; a process that died has reset its connections, a machine that vanished is silent.
            let quiet = |l: &Life| l.heard.saturating_add(self.patience(life, l.heard)) < now;
            if self.lives.get(&life).is_some_and(quiet) {
                self.bury(now, life, out);
            }
            return;
        }
        let Some(l) = self.lives.get_mut(&life) else { return };
        match l.asked {
            Some(at) if at + LAST_WORD > now => return,
            Some(at) if l.heard < at => return self.bury(now, life, out),
            _ => l.asked = Some(now),
        }
        self.ask_sign(now, life, out);
    }

    /// Asks on each connection that is up; whatever comes back is a sign of life. Where nodes may not be asked, one that
    /// carries nothing is shut: a node that lives ends it, and has a place for the next one.
    fn ask_sign(&mut self, now: Time, life: LifeId, out: &mut Vec<Effect>) {
        if !self.probing {
            if let Some(link) = self.idle(life) {
                self.shut(now, link, out);
            }
            return;
        }
        let Some(l) = self.lives.get(&life) else { return };
        for link in l.links.clone() {
            let question = ProbeId(self.number());
            self.write(now, link, ToNode::AskLoad(question), out);
        }
    }

    /// A node with standing sessions may say nothing for so long: what is left of the time for telling an end when a
    /// vanished machine has been found out. Less up to an eighth that each front and node draw anew each time, so that
    /// fronts which heard a node at one moment do not all ask it at one moment.
    fn patience(&self, life: LifeId, heard: Time) -> Time {
        let found = SWEEP + SILENT + self.sockets.dial_timeout + AGAIN + MARGIN;
        let all = TOLD_WITHIN.saturating_sub(found);
        let draw = (life.0 ^ heard).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 56;
        all - all / 8 * draw / 256
    }

    /// Looks for a sign of life of a node that has said nothing for long: the end of a connection that can be spared,
    /// else a new one.
    fn look(&mut self, now: Time, life: LifeId, out: &mut Vec<Effect>) {
        match self.spare(life) {
            Some(link) => self.shut(now, link, out),
            None => self.doubt(now, life, out),
        }
    }

    pub(super) fn sweep_lives(&mut self, now: Time, out: &mut Vec<Effect>) {
        let shut = |l: &Life| l.links.iter().any(|id| self.links.get(id).is_some_and(Link::is_shut));
        let quiet = |id: &LifeId, l: &Life| {
            let asked = l.doubt.is_some() || shut(l);
            l.links.is_empty() || (!asked && l.heard + self.patience(*id, l.heard) < now)
        };
        let watched = |l: &Life| !l.past && !l.dead && !l.standing.is_empty();
        let all = self.lives.iter().filter(|(id, l)| watched(l) && quiet(id, l));
        let look: Vec<_> = all.map(|(id, _)| *id).collect();
        look.into_iter().for_each(|life| self.look(now, life, out));
        let past = |l: &Life| l.past && !l.standing.is_empty();
        let past: Vec<_> = self.lives.iter().filter(|(_, l)| past(l)).map(|(id, _)| *id).collect();
        past.into_iter().for_each(|life| self.ask_past(now, life, out));
        self.lives.retain(|_, l| !(l.past && l.standing.is_empty() && l.links.is_empty()));
    }
}
