//! Hosts one controller for each instance and speaks the simulator's wire on standard input and
//! output. It translates and decides nothing.

mod wire;

use pepperhook::{
    Action, ClassId, Controller, Event, KindId, NotificationKind, Outcome, ServerEntry, ServerId,
    ServerState, SessionId, SessionSpec, TenantId, Time, TitleId, ViewerKey, ZoneId,
};
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::process::ExitCode;
use wire::{Fault, Reader, Writer};

/// Everything that the process holds: controllers by instance, lists of servers by number.
#[derive(Default)]
struct Host {
    controllers: BTreeMap<u16, Controller>,
    pages: BTreeMap<u16, Vec<ServerEntry>>,
}

fn outcome(code: u16) -> Option<Outcome> {
    Some(match code {
        100 => Outcome::Served,
        301 => Outcome::Error,
        302 => Outcome::Full,
        303 => Outcome::TimedOut,
        304 => Outcome::ConnectFailed,
        305 => Outcome::Broken,
        306 => Outcome::Cancelled,
        307 => Outcome::Unsent,
        _ => return None,
    })
}

fn entry(r: &mut Reader) -> Result<ServerEntry, Fault> {
    let (server, zone, kind, cell) =
        (ServerId(r.u32()?), ZoneId(r.u16()?), KindId(r.u16()?), u32::from(r.u16()?));
    let state = match r.u8()? {
        0 => ServerState::Gone,
        1 => ServerState::Ready,
        2 => ServerState::Draining,
        other => return Err(r.fault(format!("unknown readiness {other}"))),
    };
    let weight = f64::from(r.f32()?);
    let started = Some(r.u64()?).filter(|t| *t > 0);
    Ok(ServerEntry { server, zone, kind, cell, state, weight, started })
}

impl Host {
    fn page(&mut self, r: &mut Reader) -> Result<(), Fault> {
        let number = r.u16()?;
        let count = r.u32()?;
        let mut entries = Vec::new();
        for _ in 0..count {
            entries.push(entry(r)?);
        }
        self.pages.insert(number, entries);
        Ok(())
    }

    fn start(&mut self, r: &mut Reader) -> Result<(), Fault> {
        let (instance, seed, length) = (r.u16()?, r.u64()?, r.u32()?);
        let raw = r.take(length as usize)?;
        let settings = pepperhook_parameters::parse_decision_settings(raw).map_err(|what| r.fault(what))?;
        let controller = Controller::new(settings, seed).map_err(|e| r.fault(e.to_string()))?;
        self.controllers.insert(instance, controller);
        Ok(())
    }

    /// The event of a record that concerns one running instance.
    fn event(&self, code: u8, r: &mut Reader) -> Result<Event, Fault> {
        Ok(match code {
            2 => {
                let (_version, number, scope) = (r.u32()?, r.u16()?, r.u8()?);
                if scope == 1 {
                    return Ok(Event::ListFailed);
                }
                let page = self.pages.get(&number);
                let entries = page.ok_or_else(|| r.fault(format!("unknown list number {number}")))?.clone();
                match scope {
                    0 => Event::ListChanged(entries),
                    2 | 3 => Event::ListFull(entries),
                    other => return Err(r.fault(format!("unknown scope {other}"))),
                }
            }
            3 => {
                let (session, class, tenant) = (SessionId(r.u64()?), ClassId(r.u16()?), TenantId(r.u16()?));
                let (viewer, title) = (ViewerKey(r.u64()?), TitleId(r.u64()?));
                let (patience, length) = (r.u64()?, r.u64()?);
                let (home, copies, top) = (f64::from(r.f32()?), f64::from(r.f32()?), f64::from(r.f32()?));
                let flags = r.u8()?;
                let (length, again) = ((flags & 1 > 0).then_some(length), flags & 24 > 0);
                Event::Request(
                    session,
                    SessionSpec {
                        viewer,
                        class,
                        tenant,
                        title,
                        first_cell: home,
                        cell_count: copies,
                        highest_rung: top,
                        max_wait: patience,
                        expected_length: length,
                        reconnect: again,
                    },
                )
            }
            4 => {
                let (session, _, server, _) = (SessionId(r.u64()?), r.u64()?, ServerId(r.u32()?), r.u16()?);
                Event::Started(session, server)
            }
            5 => {
                let (session, _, server) = (SessionId(r.u64()?), r.u16()?, ServerId(r.u32()?));
                let number = r.u16()?;
                let outcome = outcome(number).ok_or_else(|| r.fault(format!("unknown outcome {number}")))?;
                let (_, settled, report) = (r.u64()?, r.u8()? > 0, r.values()?);
                Event::Ended { session, server, outcome, is_final: settled, report }
            }
            6 => Event::Closed(SessionId(r.u64()?)),
            7 => Event::Timer(r.u64()?),
            8 => {
                let (server, number, _, report) = (ServerId(r.u32()?), r.u16()?, r.u64()?, r.values()?);
                Event::Probed(server, (number == 100).then_some(report))
            }
            9 => {
                let (sender, length) = (r.u16()?, r.u16()?);
                Event::Message(sender, r.take(usize::from(length))?.to_vec())
            }
            11 => {
                let (session, tenant, viewer) =
                    (SessionId(r.u64()?), TenantId(r.u16()?), ViewerKey(r.u64()?));
                let (class, home, top, flags) =
                    (ClassId(r.u16()?), f64::from(r.f32()?), f64::from(r.f32()?), r.u8()?);
                let (server, patience, length) = (ServerId(r.u32()?), r.u64()?, r.u64()?);
                let (copies, title) = (f64::from(r.f32()?), TitleId(r.u64()?));
                let (length, again) = ((flags & 1 > 0).then_some(length), flags & 24 > 0);
                let wish = SessionSpec {
                    viewer,
                    class,
                    tenant,
                    title,
                    first_cell: home,
                    cell_count: copies,
                    highest_rung: top,
                    max_wait: patience,
                    expected_length: length,
                    reconnect: again,
                };
                Event::Adopted(session, wish, server)
            }
            12 => {
                let (session, _, server) = (SessionId(r.u64()?), r.u16()?, ServerId(r.u32()?));
                let kind = match r.u8()? {
                    1 => NotificationKind::Delivered,
                    2 => NotificationKind::Rung,
                    3 => NotificationKind::LinkUse,
                    4 => NotificationKind::UplinkUse,
                    other => return Err(r.fault(format!("unknown note {other}"))),
                };
                Event::Notification(session, server, kind, f64::from(r.f32()?))
            }
            other => return Err(r.fault(format!("unknown code {other}"))),
        })
    }

    fn batch(&mut self, now: Time, count: u32, body: &[u8]) -> Result<Writer, Fault> {
        let (mut r, mut out, mut actions) = (Reader::new(body), Writer::default(), Vec::new());
        for record in 0..count {
            r.record = record;
            match r.u8()? {
                1 => self.start(&mut r)?,
                13 => self.page(&mut r)?,
                10 => {
                    self.controllers.remove(&r.u16()?);
                }
                code => {
                    let instance = r.u16()?;
                    let event = self.event(code, &mut r)?;
                    if let Some(controller) = self.controllers.get_mut(&instance) {
                        controller.handle(now, event, &mut actions);
                    }
                    for action in actions.drain(..) {
                        write(&mut out, instance, action);
                    }
                }
            }
        }
        if r.is_done() { Ok(out) } else { Err(r.fault("bytes are left after the last record")) }
    }
}

fn write(out: &mut Writer, instance: u16, action: Action) {
    match action {
        Action::SetUp(s, server, wait) => {
            let out = out.record(65, instance).bytes(&s.0.to_be_bytes());
            out.bytes(&server.0.to_be_bytes()).bytes(&wait.to_be_bytes())
        }
        Action::SetRung(s, rung) => out.record(77, instance).bytes(&s.0.to_be_bytes()).bytes(&[rung]),
        Action::Refuse(s, advice) => {
            out.record(66, instance).bytes(&s.0.to_be_bytes()).bytes(&advice.unwrap_or(0).to_be_bytes())
        }
        Action::Fail(s) => out.record(67, instance).bytes(&s.0.to_be_bytes()),
        Action::Move(s) => out.record(78, instance).bytes(&s.0.to_be_bytes()),
        Action::Probe(server) => out.record(70, instance).bytes(&server.0.to_be_bytes()),
        Action::WatchList => out.record(75, instance).bytes(&[1]),
        Action::SetTimer(after, token) => {
            out.record(69, instance).bytes(&after.to_be_bytes()).bytes(&token.to_be_bytes())
        }
        Action::Log(line) => {
            let bytes = &line.as_bytes()[..line.len().min(usize::from(u16::MAX))];
            let length = u16::try_from(bytes.len()).unwrap_or(u16::MAX);
            out.record(73, instance).bytes(&length.to_be_bytes()).bytes(bytes)
        }
    };
}

/// Reads up to `buffer.len()` bytes; fewer only where input ends.
fn fill(input: &mut impl Read, buffer: &mut [u8]) -> io::Result<usize> {
    let mut have = 0;
    while have < buffer.len() {
        match input.read(&mut buffer[have..]) {
            Ok(0) => break,
            Ok(n) => have += n,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
    Ok(have)
}

fn run(input: &mut impl Read, output: &mut impl Write) -> Result<(), String> {
    let mut host = Host::default();
    loop {
        let mut header = [0; 20];
        match fill(input, &mut header).map_err(|e| e.to_string())? {
            0 => return Ok(()),
            20 => {}
            n => return Err(format!("a frame's header ends after {n} of 20 bytes")),
        }
        let word = |i: usize| u32::from_be_bytes([header[i], header[i + 1], header[i + 2], header[i + 3]]);
        let (batch, count, length) = (word(0), word(4), word(8));
        let now = u64::from(word(12)) << 32 | u64::from(word(16));
        let mut body = Vec::new();
        input.by_ref().take(u64::from(length)).read_to_end(&mut body).map_err(|e| e.to_string())?;
        if body.len() < length as usize {
            return Err(format!("batch {batch}: ends after {} of {length} bytes", body.len()));
        }
        let reply = host.batch(now, count, &body).map_err(|fault| format!("batch {batch}: {fault}"))?;
        output.write_all(&reply.frame(batch)).and_then(|()| output.flush()).map_err(|e| e.to_string())?;
    }
}

fn main() -> ExitCode {
    match run(&mut io::stdin().lock(), &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            eprintln!("pepperhook-simhost: {what}");
            ExitCode::FAILURE
        }
    }
}
