//! A SIP caller over datagrams: invites, acknowledges, hangs up, cancels; repeats what is not answered, and can be told
//! to lose a part of what it sends and hears.

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::time::{Duration, Instant};

use beechloft_checker::trace::{Ending, Speaks};
use beechloft_checker::{Recorder, What};
use beechloft_sip::dialog::{Dialog, LocalEndpoint};
use beechloft_sip::message::{BRANCH_COOKIE, Message, Method, Request, Response};

use crate::dice::Dice;
use crate::offer;

/// A caller with a port of its own.
#[derive(Debug)]
pub struct Caller {
    socket: UdpSocket,
    front: SocketAddr,
    number: u32,
    dice: Dice,
    /// Part of all datagrams that is lost, both ways.
    pub loses: f64,
    /// Part of all datagrams that is overtaken by what comes after it, both ways.
    pub swaps: f64,
    /// Datagrams that are held back on their way to the front, and until when.
    held: Vec<(Instant, Vec<u8>)>,
    /// The same on their way to the caller, and when each was on the wire.
    late: Vec<(Instant, Instant, Message)>,
    /// How long it waits for its answer.
    pub patience: Duration,
    /// It cancels after so long, if it has no answer by then.
    pub cancels: Option<Duration>,
}

/// A call that stands.
#[derive(Debug)]
pub struct Standing {
    /// What names the offer on the whole way.
    pub offer: String,
    dialog: Dialog,
    answer: Response,
}

/// How calling went.
#[derive(Debug)]
pub struct Called {
    /// Final statuses to the INVITE, in order, repeated ones included.
    pub finals: Vec<u16>,
    /// The final response.
    pub response: Option<Response>,
    /// The call, if it stands.
    pub standing: Option<Standing>,
}

/// An INVITE of a caller at an address to a title, on whatever transport.
pub fn invite(
    at: &LocalEndpoint,
    to: SocketAddr,
    title: &str,
    id: &str,
    branch: &str,
    body: &str,
) -> Option<Request> {
    let LocalEndpoint { transport, sent_by: own } = at;
    let text = format!(
        "INVITE sip:{title}@{to} SIP/2.0\r\nVia: SIP/2.0/{transport} {own};branch={branch}\r\nMax-Forwards: 70\r\n\
         From: <sip:caller@{own}>;tag={id}\r\nTo: <sip:{title}@{to}>\r\nCall-ID: {id}@{own}\r\nCSeq: 1 INVITE\r\n\
         Contact: <sip:caller@{own}>\r\nContent-Type: application/sdp\r\nContent-Length: {length}\r\n\r\n{body}",
        length = body.len(),
    );
    match Message::parse(text.as_bytes()) {
        Ok(Message::Request(request)) => Some(request),
        _ => None,
    }
}

impl Caller {
    /// A caller of this front.
    pub fn new(front: SocketAddr, number: u32, seed: u64) -> io::Result<Caller> {
        let socket = UdpSocket::bind("127.0.0.1:0")?;
        socket.set_read_timeout(Some(Duration::from_millis(5)))?;
        let (dice, patience) = (Dice::new(seed), Duration::from_secs(4));
        let (held, late) = (Vec::new(), Vec::new());
        Ok(Caller {
            socket,
            front,
            number,
            dice,
            loses: 0.0,
            swaps: 0.0,
            held,
            late,
            patience,
            cancels: None,
        })
    }

    fn local(&self) -> LocalEndpoint {
        let sent_by = self.socket.local_addr().map_or_else(|_| String::new(), |a| a.to_string());
        LocalEndpoint { transport: "UDP", sent_by }
    }

    fn branch(&mut self) -> String {
        format!("{BRANCH_COOKIE}{:016x}", self.dice.number())
    }

    /// Sends a request; whether it gets through.
    fn send(&mut self, request: &Request) -> bool {
        if self.dice.chance(self.loses) {
            return false;
        }
        if self.dice.chance(self.swaps) {
            let until = self.held_until();
            self.held.push((until, request.encode()));
            return true;
        }
        self.socket.send_to(&request.encode(), self.front).is_ok()
    }

    /// What is held back is overtaken by anything that follows within some tens of milliseconds.
    fn held_until(&mut self) -> Instant {
        Instant::now() + Duration::from_micros(self.dice.number() % 80_000)
    }

    /// Lets go what was held back for long enough.
    fn let_go(&mut self) {
        let now = Instant::now();
        for (_, bytes) in self.held.extract_if(.., |h| h.0 <= now) {
            let _ = self.socket.send_to(&bytes, self.front);
        }
    }

    /// The next message, unless it is lost: then it was on the wire, but the caller never had it.
    fn receive(&mut self) -> Option<Message> {
        let (_, message) = self.wire()?;
        if self.dice.chance(self.loses) { None } else { Some(message) }
    }

    /// The next message, or one that was overtaken, and when it was on the wire.
    fn wire(&mut self) -> Option<(Instant, Message)> {
        self.let_go();
        if let Some(n) = self.late.iter().position(|l| l.0 <= Instant::now()) {
            let (_, at, message) = self.late.swap_remove(n);
            return Some((at, message));
        }
        let mut buf = [0; 4096];
        let (n, _) = self.socket.recv_from(&mut buf).ok()?;
        let message = Message::parse(&buf[..n]).ok()?;
        if self.dice.chance(self.swaps) {
            let until = self.held_until();
            self.late.push((until, Instant::now(), message));
            return None;
        }
        Some((Instant::now(), message))
    }

    fn invite(&mut self, title: &str, id: &str, max_rate_kb: Option<f64>) -> Option<Request> {
        let branch = self.branch();
        invite(&self.local(), self.front, title, id, &branch, &offer::plain(id, max_rate_kb))
    }

    /// Calls a title. What is seen is noted; the first final answer counts, and others are noted as further ones.
    pub fn call(&mut self, title: &str, max_rate_kb: Option<f64>, recorder: &Recorder) -> Called {
        let id = format!("{:016x}", self.dice.number());
        let Some(invite) = self.invite(title, &id, max_rate_kb) else {
            return Called { finals: Vec::new(), response: None, standing: None };
        };
        let offer = offer::origin(&invite.raw.body).unwrap_or_default();
        let patience_us = self.patience.as_micros() as u64;
        let (front, title) = (self.number, title.to_owned());
        let asked = What::Asked { offer: offer.clone(), front, title, patience_us, speaks: Speaks::Sip };
        let (finals, response, first) = self.exchange(&invite, asked, recorder);
        let kinds = finals.iter().collect::<std::collections::BTreeSet<_>>().len() as u32;
        // What counts is what came over the wire, and when: a network that loses an answer is not the front's doing.
        let ending = match first.map(|f| f.1) {
            Some(200) => Ending::Status(201),
            Some(487) => Ending::HungUp,
            Some(status) => Ending::Status(status),
            None => Ending::TimedOut,
        };
        let ended = What::Ended { offer: offer.clone(), ending, extra: kinds.saturating_sub(1) };
        recorder.note_at(first.map_or_else(|| recorder.now(), |f| f.0), ended);
        let answer = response.clone().filter(|r| r.status == 200);
        let standing = answer.and_then(|answer| {
            Some(Standing { offer, dialog: Dialog::as_client(&invite, &answer).ok()?, answer })
        });
        Called { finals, response, standing }
    }

    /// Sends an INVITE until something comes, and reads on until a final answer, cancelling when told.
    /// What the caller had of final answers, and the first one on the wire. It has asked, and its patience begins, with
    /// the first copy that gets through: of earlier ones no front can know.
    fn exchange(
        &mut self,
        invite: &Request,
        asked: What,
        recorder: &Recorder,
    ) -> (Vec<u16>, Option<Response>, Option<(u64, u16)>) {
        let (mut asked, mut began) = (Some(asked), Instant::now());
        let (mut next, mut pause, mut heard) = (began, Duration::from_millis(500), false);
        let (mut finals, mut last, mut cancelled, mut first) = (Vec::new(), None, None::<Instant>, None);
        while began.elapsed() < self.patience {
            if !heard && Instant::now() >= next {
                if self.send(invite)
                    && let Some(asked) = asked.take()
                {
                    recorder.note(asked);
                    began = Instant::now();
                }
                next += pause;
                pause *= 2;
            }
            let cancels = self.cancels.is_some_and(|after| heard && began.elapsed() >= after);
            if cancels && cancelled.is_none_or(|at| at.elapsed() >= Duration::from_millis(500)) {
                let cancel = invite.cancel();
                self.send(&cancel);
                cancelled = Some(Instant::now());
            }
            let Some((at, Message::Response(response))) = self.wire() else { continue };
            if response.method != Method::Invite || response.ids.call_id != invite.ids.call_id {
                continue;
            }
            if response.status >= 200 {
                let ago = at.elapsed().as_micros() as u64;
                first.get_or_insert((recorder.now().saturating_sub(ago), response.status));
            }
            if self.dice.chance(self.loses) {
                continue;
            }
            heard = true;
            if response.status < 200 {
                continue;
            }
            finals.push(response.status);
            if response.status >= 300 {
                let ack = invite.ack_for(&response);
                self.send(&ack);
            }
            last = Some(response);
            break;
        }
        (finals, last, first)
    }

    /// Acknowledges a call until the front has stopped repeating its answer for a while.
    pub fn acknowledge(&mut self, call: &Standing) {
        let (at, branch) = (self.local(), self.branch());
        let Some(ack) = call.dialog.ack(1, &at, &branch) else { return };
        self.send(&ack);
        let end = Instant::now() + Duration::from_millis(if self.loses > 0.0 { 1200 } else { 50 });
        while Instant::now() < end {
            if let Some(Message::Response(r)) = self.receive()
                && r.ids.call_id == call.answer.ids.call_id
                && r.status == 200
                && r.method == Method::Invite
            {
                self.send(&ack);
            }
        }
    }

    /// Hangs up; whether the front said so.
    pub fn hang_up(&mut self, call: &mut Standing, recorder: &Recorder) -> bool {
        recorder.note(What::Left { offer: call.offer.clone() });
        let (at, branch) = (self.local(), self.branch());
        let Some(bye) = call.dialog.request(Method::Bye, &at, &branch, None) else { return false };
        let began = Instant::now();
        let (mut next, mut pause) = (began, Duration::from_millis(500));
        while began.elapsed() < Duration::from_secs(8) {
            if Instant::now() >= next {
                self.send(&bye);
                next += pause;
                pause = (pause * 2).min(Duration::from_secs(4));
            }
            if let Some(Message::Response(r)) = self.receive()
                && r.method == Method::Bye
                && r.ids.call_id == bye.ids.call_id
            {
                return r.status == 200;
            }
        }
        false
    }

    /// Waits for the front to hang up on a call, and answers it.
    pub fn is_hung_up(&mut self, call: &Standing, within: Duration) -> bool {
        let end = Instant::now() + within;
        while Instant::now() < end {
            if let Some(Message::Request(r)) = self.receive()
                && r.method() == Method::Bye
                && r.ids.call_id == call.answer.ids.call_id
            {
                let _ = self.socket.send_to(&r.response(200, "").encode(), self.front);
                return true;
            }
        }
        false
    }
}
