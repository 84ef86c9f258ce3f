//! Runs controllers for the simulator: reads frames of events from standard input, passes each event to the
//! controller of its instance and writes the actions to standard output. It only translates; all decisions
//! are the controllers'.

mod wire;

use pepperhook::{
    Action, ClassId, Controller, Event, KindId, NotificationKind, Outcome, ServerEntry, ServerId,
    ServerState, SessionId, SessionSpec, TenantId, Time, TitleId, ViewerKey, ZoneId,
};
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::process::ExitCode;
use wire::{Fault, Reader, Writer};

/// State of the process.
#[derive(Default)]
struct Host {
    /// Controllers by instance.
    controllers: BTreeMap<u16, Controller>,
    /// Lists of servers by number.
    lists: BTreeMap<u16, Vec<ServerEntry>>,
}

fn outcome(number: u16) -> Option<Outcome> {
    Some(match number {
        wire::outcome::SERVED => Outcome::Served,
        wire::outcome::ERROR => Outcome::Error,
        wire::outcome::FULL => Outcome::Full,
        wire::outcome::TIMED_OUT => Outcome::TimedOut,
        wire::outcome::CONNECT_FAILED => Outcome::ConnectFailed,
        wire::outcome::BROKEN => Outcome::Broken,
        wire::outcome::CANCELLED => Outcome::Cancelled,
        wire::outcome::UNSENT => Outcome::Unsent,
        _ => return None,
    })
}

fn read_list_entry(reader: &mut Reader) -> Result<ServerEntry, Fault> {
    let server = ServerId(reader.u32()?);
    let zone = ZoneId(reader.u16()?);
    let kind = KindId(reader.u16()?);
    let cell = u32::from(reader.u16()?);
    let state = match reader.u8()? {
        wire::server_state::GONE => ServerState::Gone,
        wire::server_state::READY => ServerState::Ready,
        wire::server_state::DRAINING => ServerState::Draining,
        other => {
            return Err(
                reader.fault(format!("unknown server state {other}; 0 (gone) to 2 (draining) are known"))
            );
        }
    };
    let weight = f64::from(reader.f32()?);
    let started = Some(reader.u64()?).filter(|t| *t > 0);
    Ok(ServerEntry { server, zone, kind, cell, state, weight, started })
}

/// The expected length of a session, and whether the viewer reconnects, from the flags of a request.
fn length_and_reconnect(flags: u8, length: Time) -> (Option<Time>, bool) {
    ((flags & wire::FLAG_HAS_LENGTH > 0).then_some(length), flags & wire::FLAGS_RECONNECT > 0)
}

impl Host {
    fn define_list(&mut self, reader: &mut Reader) -> Result<(), Fault> {
        let number = reader.u16()?;
        let count = reader.u32()?;
        let mut entries = Vec::new();
        for _ in 0..count {
            entries.push(read_list_entry(reader)?);
        }
        self.lists.insert(number, entries);
        Ok(())
    }

    fn start_instance(&mut self, reader: &mut Reader) -> Result<(), Fault> {
        let (instance, seed, length) = (reader.u16()?, reader.u64()?, reader.u32()?);
        let raw = reader.take(length as usize)?;
        let settings =
            pepperhook_parameters::parse_decision_settings(raw).map_err(|problem| reader.fault(problem))?;
        let controller = Controller::new(settings, seed).map_err(|e| reader.fault(e.to_string()))?;
        self.controllers.insert(instance, controller);
        Ok(())
    }

    fn read_list_event(&self, reader: &mut Reader) -> Result<Event, Fault> {
        let (_version, number, scope) = (reader.u32()?, reader.u16()?, reader.u8()?);
        if scope == wire::scope::FAILED {
            return Ok(Event::ListFailed);
        }
        let entries = self.lists.get(&number).ok_or_else(|| {
            reader.fault(format!(
                "unknown list number {number}; a record with code {} has to define it first",
                wire::input::LIST_CONTENT
            ))
        })?;
        match scope {
            wire::scope::CHANGES => Ok(Event::ListChanged(entries.clone())),
            wire::scope::COMPLETE | wire::scope::COMPLETE_OTHER => Ok(Event::ListFull(entries.clone())),
            other => Err(reader.fault(format!("unknown scope {other} of a list; 0 to 3 are known"))),
        }
    }

    /// Reads an event for one instance.
    fn read_event(&self, code: u8, reader: &mut Reader) -> Result<Event, Fault> {
        Ok(match code {
            wire::input::LIST => self.read_list_event(reader)?,
            wire::input::REQUEST => {
                let (session, class, tenant) =
                    (SessionId(reader.u64()?), ClassId(reader.u16()?), TenantId(reader.u16()?));
                let (viewer, title) = (ViewerKey(reader.u64()?), TitleId(reader.u64()?));
                let (max_wait, length) = (reader.u64()?, reader.u64()?);
                let (first_cell, cell_count) = (f64::from(reader.f32()?), f64::from(reader.f32()?));
                let highest_rung = f64::from(reader.f32()?);
                let (expected_length, reconnect) = length_and_reconnect(reader.u8()?, length);
                let spec = SessionSpec {
                    viewer,
                    class,
                    tenant,
                    title,
                    first_cell,
                    cell_count,
                    highest_rung,
                    max_wait,
                    expected_length,
                    reconnect,
                };
                Event::Request(session, spec)
            }
            wire::input::STARTED => {
                let (session, _, server, _) =
                    (SessionId(reader.u64()?), reader.u64()?, ServerId(reader.u32()?), reader.u16()?);
                Event::Started(session, server)
            }
            wire::input::ENDED => {
                let (session, _, server) = (SessionId(reader.u64()?), reader.u16()?, ServerId(reader.u32()?));
                let number = reader.u16()?;
                let outcome = outcome(number).ok_or_else(|| {
                    reader.fault(format!("unknown outcome {number}; 100 and 301 to 307 are known"))
                })?;
                let (_, is_final, report) = (reader.u64()?, reader.u8()? > 0, reader.values()?);
                Event::Ended { session, server, outcome, is_final, report }
            }
            wire::input::CLOSED => Event::Closed(SessionId(reader.u64()?)),
            wire::input::TIMER => Event::Timer(reader.u64()?),
            wire::input::PROBED => {
                let (server, number, _, report) =
                    (ServerId(reader.u32()?), reader.u16()?, reader.u64()?, reader.values()?);
                Event::Probed(server, (number == wire::outcome::SERVED).then_some(report))
            }
            wire::input::MESSAGE => {
                let (sender, length) = (reader.u16()?, reader.u16()?);
                Event::Message(sender, reader.take(usize::from(length))?.to_vec())
            }
            wire::input::ADOPTED => {
                let (session, tenant, viewer) =
                    (SessionId(reader.u64()?), TenantId(reader.u16()?), ViewerKey(reader.u64()?));
                let (class, first_cell) = (ClassId(reader.u16()?), f64::from(reader.f32()?));
                let (highest_rung, flags) = (f64::from(reader.f32()?), reader.u8()?);
                let (server, max_wait, length) = (ServerId(reader.u32()?), reader.u64()?, reader.u64()?);
                let (cell_count, title) = (f64::from(reader.f32()?), TitleId(reader.u64()?));
                let (expected_length, reconnect) = length_and_reconnect(flags, length);
                let spec = SessionSpec {
                    viewer,
                    class,
                    tenant,
                    title,
                    first_cell,
                    cell_count,
                    highest_rung,
                    max_wait,
                    expected_length,
                    reconnect,
                };
                Event::Adopted(session, spec, server)
            }
            wire::input::NOTIFICATION => {
                let (session, _, server) = (SessionId(reader.u64()?), reader.u16()?, ServerId(reader.u32()?));
                let kind = match reader.u8()? {
                    wire::notification::DELIVERED => NotificationKind::Delivered,
                    wire::notification::RUNG => NotificationKind::Rung,
                    wire::notification::LINK_USE => NotificationKind::LinkUse,
                    wire::notification::UPLINK_USE => NotificationKind::UplinkUse,
                    other => {
                        return Err(
                            reader.fault(format!("unknown kind of notification {other}; 1 to 4 are known"))
                        );
                    }
                };
                Event::Notification(session, server, kind, f64::from(reader.f32()?))
            }
            other => return Err(reader.fault(format!("unknown code {other} of a record; 1 to 13 are known"))),
        })
    }

    /// Processes the records of one batch and collects the actions.
    fn process_batch(&mut self, now: Time, count: u32, body: &[u8]) -> Result<Writer, Fault> {
        let (mut reader, mut out, mut actions) = (Reader::new(body), Writer::default(), Vec::new());
        for record in 0..count {
            reader.record = record;
            match reader.u8()? {
                wire::input::START => self.start_instance(&mut reader)?,
                wire::input::LIST_CONTENT => self.define_list(&mut reader)?,
                wire::input::STOP => {
                    self.controllers.remove(&reader.u16()?);
                }
                code => {
                    let instance = reader.u16()?;
                    let event = self.read_event(code, &mut reader)?;
                    if let Some(controller) = self.controllers.get_mut(&instance) {
                        controller.handle(now, event, &mut actions);
                    }
                    for action in actions.drain(..) {
                        write_action(&mut out, instance, action);
                    }
                }
            }
        }
        match reader.remaining() {
            0 => Ok(out),
            n => Err(reader.fault(format!("{n} bytes are left after the last record"))),
        }
    }
}

fn write_action(out: &mut Writer, instance: u16, action: Action) {
    use wire::reply;
    match action {
        Action::SetUp(session, server, wait) => {
            let out = out.record(reply::SET_UP, instance).bytes(&session.0.to_be_bytes());
            out.bytes(&server.0.to_be_bytes()).bytes(&wait.to_be_bytes())
        }
        Action::SetRung(session, rung) => {
            out.record(reply::SET_RUNG, instance).bytes(&session.0.to_be_bytes()).bytes(&[rung])
        }
        Action::Refuse(session, retry_after) => {
            let out = out.record(reply::REFUSE, instance).bytes(&session.0.to_be_bytes());
            out.bytes(&retry_after.unwrap_or(0).to_be_bytes())
        }
        Action::Fail(session) => out.record(reply::FAIL, instance).bytes(&session.0.to_be_bytes()),
        Action::Move(session) => out.record(reply::MOVE, instance).bytes(&session.0.to_be_bytes()),
        Action::Probe(server) => out.record(reply::PROBE, instance).bytes(&server.0.to_be_bytes()),
        Action::WatchList => out.record(reply::WATCH_LIST, instance).bytes(&[1]),
        Action::SetTimer(after, token) => {
            let out = out.record(reply::SET_TIMER, instance).bytes(&after.to_be_bytes());
            out.bytes(&token.to_be_bytes())
        }
        Action::Log(line) => {
            let bytes = &line.as_bytes()[..line.len().min(usize::from(u16::MAX))];
            let length = u16::try_from(bytes.len()).unwrap_or(u16::MAX);
            out.record(reply::LOG, instance).bytes(&length.to_be_bytes()).bytes(bytes)
        }
    };
}

/// Reads until the buffer is full or the input ends; returns the number of bytes.
fn read_full(input: &mut impl Read, buffer: &mut [u8]) -> io::Result<usize> {
    let mut filled = 0;
    while filled < buffer.len() {
        match input.read(&mut buffer[filled..]) {
            Ok(0) => break,
            Ok(n) => filled += n,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
    Ok(filled)
}

/// Answers one frame after another until the input ends.
fn run(input: &mut impl Read, output: &mut impl Write) -> Result<(), String> {
    let read_error = |e: io::Error| format!("cannot read from standard input: {e}");
    let write_error = |e: io::Error| format!("cannot write to standard output: {e}");
    let mut host = Host::default();
    loop {
        let mut header = [0; wire::INPUT_HEADER_BYTES];
        match read_full(input, &mut header).map_err(read_error)? {
            0 => return Ok(()),
            wire::INPUT_HEADER_BYTES => {}
            n => return Err(format!("a frame's header ends after {n} of {} bytes", header.len())),
        }
        let number = |i: usize| u32::from_be_bytes([header[i], header[i + 1], header[i + 2], header[i + 3]]);
        let (batch, count, length) = (number(0), number(4), number(8));
        let now = u64::from(number(12)) << 32 | u64::from(number(16));
        let mut body = Vec::new();
        input.by_ref().take(u64::from(length)).read_to_end(&mut body).map_err(read_error)?;
        if body.len() < length as usize {
            return Err(format!("batch {batch}: the body ends after {} of {length} bytes", body.len()));
        }
        let reply =
            host.process_batch(now, count, &body).map_err(|fault| format!("batch {batch}: {fault}"))?;
        output.write_all(&reply.frame(batch)).and_then(|()| output.flush()).map_err(write_error)?;
    }
}

fn main() -> ExitCode {
    match run(&mut io::stdin().lock(), &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("pepperhook-simhost: {problem}");
            ExitCode::FAILURE
        }
    }
}
