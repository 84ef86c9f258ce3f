//! Judges a front whose policy changes, from events and actions alone. It shares no account with the module.

use pepperhook::*;
use std::collections::BTreeMap;

#[derive(Clone, Copy, PartialEq, Debug)]
enum Stand {
    Waiting,
    Out(ServerId),
    Plays(ServerId),
}

struct Request {
    wish: SessionSpec,
    due: Time,
    /// As the class was when the request came.
    taken: Class,
    taken_top: u8,
    /// The lowest top and the highest floor in force since.
    least_top: u8,
    most_floor: u8,
    stand: Stand,
    attempts: u32,
    /// The first attempt, and whether one may have run.
    first: Option<(Time, ServerId)>,
    ran: bool,
    rung: u8,
    /// It played above a top when that fell, and has not been lowered yet.
    over: bool,
}

/// Everything that was seen of one front.
pub struct Checker {
    set: Settings,
    requests: BTreeMap<SessionId, Request>,
    list: BTreeMap<ServerId, ServerEntry>,
    sends: Vec<(Time, ServerId)>,
    taken: Vec<Time>,
    further: Vec<Time>,
    /// Further attempts before this moment are no longer in the account: its window was shorter, or there was none.
    horizon: Time,
}

fn window(set: &Settings) -> Time {
    set.rules.retry_budget.map_or(0, |b| b.window)
}

impl Checker {
    pub fn new(set: Settings) -> Self {
        Self {
            set,
            requests: BTreeMap::new(),
            list: BTreeMap::new(),
            sends: Vec::new(),
            taken: Vec::new(),
            further: Vec::new(),
            horizon: 0,
        }
    }

    /// Bounds in force for a wish.
    fn bounds(&self, wish: &SessionSpec) -> (u8, u8) {
        let c = &self.set.classes[usize::from(wish.class.0)];
        let ladder = self.set.ladder.len() as u8 - 1;
        (c.lowest_rung, (wish.highest_rung as u8).min(c.highest_rung).min(ladder).max(c.lowest_rung))
    }

    pub fn event(&mut self, now: Time, event: &Event) {
        match event {
            Event::ListFull(entries) | Event::ListChanged(entries) => {
                self.list.extend(entries.iter().map(|e| (e.server, *e)));
            }
            Event::Request(id, wish) => {
                self.taken.push(now);
                let (floor, top) = self.bounds(wish);
                let request = Request {
                    wish: *wish,
                    due: now + wish.max_wait,
                    taken: self.set.classes[usize::from(wish.class.0)].clone(),
                    taken_top: top,
                    least_top: top,
                    most_floor: floor,
                    stand: Stand::Waiting,
                    attempts: 0,
                    first: None,
                    ran: false,
                    rung: floor,
                    over: false,
                };
                self.requests.insert(*id, request);
            }
            Event::Started(id, at) => {
                if let Some(r) = self.requests.get_mut(id) {
                    r.stand = Stand::Plays(*at);
                }
            }
            Event::Ended { session, outcome, is_final: settled, .. } => {
                if let Some(r) = self.requests.get_mut(session) {
                    r.stand = Stand::Waiting;
                    r.ran |= !matches!(outcome, Outcome::Full | Outcome::ConnectFailed | Outcome::Unsent);
                }
                if *settled {
                    self.requests.remove(session);
                }
            }
            Event::Closed(id) => {
                self.requests.remove(id);
            }
            _ => {}
        }
    }

    /// Another policy is in force.
    pub fn change(&mut self, now: Time, set: &Settings) {
        self.horizon = self.horizon.max(now.saturating_sub(window(&self.set)));
        self.set = set.clone();
        let bounds: Vec<_> = self.requests.iter().map(|(id, r)| (*id, self.bounds(&r.wish))).collect();
        for (id, (floor, top)) in bounds {
            let r = self.requests.get_mut(&id).expect("known");
            (r.least_top, r.most_floor) = (r.least_top.min(top), r.most_floor.max(floor));
            r.over = matches!(r.stand, Stand::Plays(_)) && r.rung > top;
        }
    }

    pub fn action(&mut self, now: Time, action: &Action) -> Result<(), String> {
        match action {
            Action::SetRung(id, rung) => {
                let r = self.requests.get(id).ok_or("a rung for nobody")?;
                let (floor, top) = self.bounds(&r.wish);
                if *rung < floor || *rung > top {
                    return Err(format!("rule 5: {id:?} is set to {rung}, {floor} to {top} are in force"));
                }
                let r = self.requests.get_mut(id).expect("known");
                (r.rung, r.over) = (*rung, false);
            }
            Action::Refuse(id, _) | Action::Fail(id) => {
                let r = self.requests.get(id).ok_or("rule 1: an answer that nobody waits for")?;
                if r.stand != Stand::Waiting {
                    return Err(format!("rule 1: {id:?} is answered though it is {:?}", r.stand));
                }
                if now > r.due {
                    return Err(format!("rule 1: {id:?} is answered too late"));
                }
                if matches!(action, Action::Refuse(..))
                    && r.ran
                    && r.taken.idempotency == Idempotency::AtMostOnce
                {
                    return Err(format!("rule 2: {id:?} is refused though it may have run"));
                }
                self.requests.remove(id);
            }
            Action::SetUp(id, at, wait) => self.set_up(now, *id, *at, *wait)?,
            _ => {}
        }
        Ok(())
    }

    fn set_up(&mut self, now: Time, id: SessionId, at: ServerId, wait: Time) -> Result<(), String> {
        let r = self.requests.get(&id).ok_or("rule 2: a set-up that nobody waits for")?;
        if r.stand != Stand::Waiting {
            return Err(format!("rule 2: {id:?} has two attempts out"));
        }
        let server = self.list.get(&at).ok_or("rule 3: an unlisted server")?;
        let within = match r.taken.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::AtMostOnce => false,
            Idempotency::Deduplicated(group, span) => r.first.is_some_and(|(t, first)| {
                let first = self.list[&first];
                now <= t + span
                    && match group {
                        DedupScope::All => true,
                        DedupScope::Zone => first.zone == server.zone,
                        DedupScope::Cell => first.cell == server.cell,
                    }
            }),
        };
        if r.ran && !within {
            return Err(format!("rule 2: {id:?} may have run and is sent again"));
        }
        if now + wait > r.due {
            return Err(format!("rule 1: {id:?} is waited for past its viewer's patience"));
        }
        if r.attempts >= self.set.max_attempts {
            return Err(format!("{id:?} has more attempts than are in force"));
        }
        if server.state != ServerState::Ready {
            return Err(format!("rule 3: {id:?} goes to {:?}", server.state));
        }
        if r.rung < r.taken.lowest_rung.min(r.least_top) || r.rung > r.taken_top.max(r.most_floor) {
            return Err(format!("rule 5: {id:?} at {} is off what it was taken with", r.rung));
        }
        let rules = self.set.rules;
        if let Some(started) = server.started.filter(|s| s + rules.warm_up > now) {
            let warmth = rules.cold_share
                + (1.0 - rules.cold_share) * (now.saturating_sub(started)) as f64 / rules.warm_up as f64;
            let pace = self.set.kind_max_streams[0] / (rules.warm_up as f64 / 1e9)
                * warmth
                * rules.overload_multiple;
            let most = (pace * rules.overload_window as f64 / 1e9).max(1.0);
            let sent =
                self.sends.iter().filter(|(t, s)| *s == at && t + rules.overload_window > now).count() + 1;
            if sent as f64 > most {
                return Err(format!("rule 4: {sent} set-ups at {at:?}, {most} at most"));
            }
        }
        let seats = self.set.classes[usize::from(r.wish.class.0)].max_sessions_per_title as usize;
        let like = |o: &&Request| {
            o.stand != Stand::Waiting && (o.wish.class, o.wish.title) == (r.wish.class, r.wish.title)
        };
        let alike = self.requests.values().filter(like).count();
        if seats > 0 && alike >= seats {
            return Err(format!("rule 5: {id:?} is one too many beside {alike}"));
        }
        if r.attempts > 0 {
            if let Some(b) = self.set.rules.retry_budget {
                let after = now.saturating_sub(b.window);
                let from = after.max(self.horizon);
                let further = self.further.iter().filter(|t| **t >= from).count() + 1;
                let taken = self.taken.iter().filter(|t| **t > after).count();
                if further as f64 > b.min_retries + b.retry_ratio * taken as f64 {
                    return Err(format!("rule 6: {further} further attempts for {taken} sessions"));
                }
            }
            self.further.push(now);
        }
        self.sends.push((now, at));
        let r = self.requests.get_mut(&id).expect("known");
        r.attempts += 1;
        r.first = r.first.or(Some((now, at)));
        r.stand = Stand::Out(at);
        Ok(())
    }

    /// After each event, with all its actions.
    pub fn standing(&self) -> Result<(), String> {
        for (id, r) in self.requests.iter().filter(|(_, r)| r.stand != Stand::Waiting) {
            let (floor, top) = self.bounds(&r.wish);
            if r.rung < floor || (r.rung > top && !r.over) {
                return Err(format!("rule 5: {id:?} is at {}, {floor} to {top} are in force", r.rung));
            }
        }
        Ok(())
    }

    /// Requests whose time is up.
    pub fn overdue(&self, now: Time) -> Result<(), String> {
        let late = |r: &Request| r.stand == Stand::Waiting && r.due < now;
        match self.requests.iter().find(|(_, r)| late(r)) {
            Some((id, _)) => Err(format!("rule 1: {id:?} has no answer")),
            None => Ok(()),
        }
    }

    /// Sessions that play above the top in force.
    pub fn over(&self) -> usize {
        self.requests.values().filter(|r| r.over).count()
    }
}
