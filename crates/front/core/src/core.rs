//! The machine itself: inputs to the module's events, the module's actions to outputs.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use beechloft::choice::Choice;
use beechloft::interface::{self as api, *};

use crate::catalog::{Catalog, ListUpdate};
use crate::io::*;
use crate::narrow::Narrowing;
use crate::release::Releases;
use crate::session::{Attempt, GRACE, OVERDUE, Owed, Playing, REPLAY_FOR, Session, Stage, attempt_id};
use crate::watch::{Fate, Watches};

/// Sessions in the table at most; past that a request is turned away unseen.
const MAX_SESSIONS: usize = 1 << 20;

/// One front.
#[derive(Debug)]
pub struct Core {
    set: Settings,
    choice: Choice,
    now: Micros,
    catalog: Catalog,
    sessions: BTreeMap<SessionId, Session>,
    repeats: BTreeMap<RepeatKey, SessionId>,
    /// Sessions that play, by box and path there.
    playing: BTreeMap<ServerId, BTreeMap<String, SessionId>>,
    timers: BTreeSet<(Micros, TimerToken)>,
    /// When an unanswered request is answered whatever its attempt does.
    overdue: BTreeSet<(Micros, SessionId)>,
    /// When the answer kept for a repeated offer is dropped.
    replays: VecDeque<(Micros, SessionId)>,
    releases: Releases,
    narrowing: Narrowing,
    watches: Watches,
    watched: BTreeSet<ServerId>,
    /// Watched boxes that are off the list.
    leaving: BTreeSet<ServerId>,
    stopping: bool,
    /// Events for the module that wait their turn.
    queue: VecDeque<Event>,
    /// What passed between core and module, where it is to be told.
    heard: Option<Vec<Exchanged>>,
}

/// One event that the module was fed, and what it answered.
pub type Exchanged = (Micros, Event, Vec<Action>);

impl Core {
    /// A front that knows its settings and nothing else. The list comes as the first input.
    pub fn new(set: Settings, seed: u64) -> Self {
        Core {
            choice: Choice::new(set.clone(), seed),
            set,
            now: Micros(0),
            catalog: Catalog::default(),
            sessions: BTreeMap::new(),
            repeats: BTreeMap::new(),
            playing: BTreeMap::new(),
            timers: BTreeSet::new(),
            overdue: BTreeSet::new(),
            replays: VecDeque::new(),
            releases: Releases::default(),
            narrowing: Narrowing::default(),
            watches: Watches::default(),
            watched: BTreeSet::new(),
            leaving: BTreeSet::new(),
            stopping: false,
            queue: VecDeque::new(),
            heard: None,
        }
    }

    /// Notes from now on what passes between core and module, for [`Core::take_heard`].
    pub fn listen(&mut self) {
        self.heard.get_or_insert_default();
    }

    /// What passed between core and module since it was last asked.
    pub fn take_heard(&mut self) -> Vec<Exchanged> {
        self.heard.as_mut().map(std::mem::take).unwrap_or_default()
    }

    /// Takes one input and appends what is to be done, in order. A `now` that goes back counts as the one before.
    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        self.due(out);
        match input {
            Input::List(update) => self.list(update, out),
            Input::Ask(ask) => self.ask(ask, out),
            Input::Verdict { attempt, server, verdict, sent, load } => {
                self.verdict(attempt, server, verdict, self.now - sent, load, out);
            }
            Input::HungUp(id) => self.hung_up(id, out),
            Input::AnswerLost(id) => self.take_back(id, Why::AnswerLost, out),
            Input::Delete { request, session, secret } => self.delete(request, session, secret, out),
            Input::Find { request, session, secret } => {
                out.push(Output::Reply(request, self.find(session, secret)));
            }
            Input::Box(server, news) => self.box_news(server, news, out),
            Input::Probed { server, outcome, load } => {
                self.queue.push_back(Event::Probed { server, outcome, report: load });
            }
            Input::Released(ticket, gone) => self.releases.result(self.now, ticket, gone),
            Input::Narrowed(narrowed) => self.narrowing.change(narrowed),
            Input::Numbered(numbered) => self.queue.push_back(Event::Numbered(numbered)),
            Input::Tick => {}
            Input::Stop => self.stopping = true,
        }
        self.run(out);
        self.release(out);
        self.unwatch(out);
    }

    /// When [`Input::Tick`] is next needed, if nothing else happens before.
    pub fn next_due(&self) -> Option<Micros> {
        let firsts = [
            self.timers.first().map(|t| t.0),
            self.overdue.first().map(|t| t.0),
            self.replays.front().map(|t| t.0),
            self.releases.next_due(),
            self.watches.next_due(),
        ];
        firsts.into_iter().flatten().min()
    }

    /// Whether no client waits and no attempt is out.
    pub fn is_idle(&self) -> bool {
        self.sessions.values().all(|s| matches!(s.stage, Stage::Playing(_))) && self.releases.is_empty()
    }

    /// The list as known now.
    pub fn catalog(&self) -> &Catalog {
        &self.catalog
    }

    /// How many sessions play.
    pub fn playing(&self) -> usize {
        self.playing.values().map(BTreeMap::len).sum()
    }

    /// Releases that are not done.
    pub fn releasing(&self) -> usize {
        self.releases.len()
    }

    /// What is due by now: the module's timers, overdue answers, lost boxes, answers kept long enough.
    fn due(&mut self, out: &mut Vec<Output>) {
        while let Some(&(at, token)) = self.timers.first().filter(|t| t.0 <= self.now) {
            self.timers.remove(&(at, token));
            self.queue.push_back(Event::Timer(token));
            self.run(out);
        }
        while let Some(&(at, id)) = self.overdue.first().filter(|t| t.0 <= self.now) {
            self.overdue.remove(&(at, id));
            // The shell owes the end of an attempt by its time and grace. If it fails to say so, the client is
            // answered all the same, and the attempt counts as out until its end is told.
            if let Some(owed) = self.close(id) {
                out.push(owed.settle(Answer::Failed));
                self.queue.push_back(Event::Withdrawn(id));
                self.run(out);
            }
        }
        while self.replays.front().is_some_and(|r| r.0 <= self.now) {
            let Some((_, id)) = self.replays.pop_front() else { break };
            let Some(session) = self.sessions.get_mut(&id) else { continue };
            if let Stage::Playing(playing) = &mut session.stage {
                playing.reply = None;
            }
            if let Some(key) = session.repeat.take() {
                self.repeats.remove(&key);
            }
        }
        for server in self.watches.take_lost(self.now) {
            self.lost(server, true, out);
        }
    }

    fn list(&mut self, update: ListUpdate, out: &mut Vec<Output>) {
        let applied = self.catalog.apply(update);
        out.extend(applied.faults.into_iter().map(|f| Output::Log(format!("list: {f}"))));
        self.queue.extend(applied.event);
        self.run(out);
        for id in applied.moved {
            if let Some(line) = self.catalog.server(id) {
                self.watched.insert(id);
                out.push(Output::Watch(id, line.url.clone()));
            }
        }
        self.leaving.extend(applied.gone.into_iter().filter(|id| self.watched.contains(id)));
    }

    /// Drops the streams of boxes that are off the list once nothing of ours is left there.
    fn unwatch(&mut self, out: &mut Vec<Output>) {
        for server in std::mem::take(&mut self.leaving) {
            if self.catalog.server(server).is_some() {
                continue; // listed again
            }
            if self.playing.contains_key(&server) || self.releases.concerns(server) {
                self.leaving.insert(server);
            } else if self.watched.remove(&server) {
                self.watches.forget(server);
                out.push(Output::Unwatch(server));
            }
        }
    }

    fn ask(&mut self, ask: Ask, out: &mut Vec<Output>) {
        let known = ask.repeat.and_then(|key| self.sessions.get(self.repeats.get(&key)?));
        if let Some(session) = known {
            let again = match &session.stage {
                Stage::Playing(Playing { server, reply: Some(reply), .. }) => Answer::Playing {
                    session: ask.repeat.and_then(|k| self.repeats.get(&k).copied()).unwrap_or(ask.session),
                    secret: session.secret,
                    server: *server,
                    reply: reply.clone(),
                },
                _ => Answer::Busy,
            };
            return out.push(Output::Reply(ask.request, again));
        }
        let advice = self.set.limits.retry_after;
        let full =
            self.stopping || self.sessions.len() >= MAX_SESSIONS || self.sessions.contains_key(&ask.session);
        if full || !self.catalog.heard() {
            return out.push(Output::Reply(ask.request, Answer::Refused(advice)));
        }
        let Some(title) = self.catalog.title(&ask.title) else {
            return out.push(Output::Reply(ask.request, Answer::NoTitle));
        };
        let Some(class) = self.set.classes.get(usize::from(title.class.0)) else {
            return out.push(Output::Reply(ask.request, Answer::Failed));
        };
        let gives_up = self.now + class.deadline;
        let holders = self.catalog.holders(title, ask.protocol);
        let ready = |id| self.catalog.server(id).is_some_and(|b| b.state == ServerState::Ready);
        let (offered, warning) = self.narrowing.offered((&ask.title, title.id), ask.session, holders, ready);
        out.extend(warning.map(Output::Log));
        let request = Request {
            session: ask.session,
            class: title.class,
            title: title.id,
            on: Some(offered),
            top: self.top_rung(class, ask.max_rate_kb),
            gives_up,
            hint: title.length,
            tenant: title.tenant,
            ..Request::default()
        };
        let session = Session {
            secret: ask.secret,
            protocol: ask.protocol,
            stage: Stage::Owed(Owed::new(ask.request), None),
            class: title.class,
            rung: Rung::default(),
            made: 0,
            repeat: ask.repeat,
            title: self.catalog.name(&ask.title),
        };
        self.sessions.insert(ask.session, session);
        self.repeats.extend(ask.repeat.map(|key| (key, ask.session)));
        self.queue.push_back(Event::Request(request));
    }

    /// The highest rung whose rate a client can use; the lowest, if it can't use any.
    fn top_rung(&self, class: &Class, max_rate_kb: Option<f64>) -> Rung {
        let Some(max) = max_rate_kb else { return Rung(u8::MAX) };
        let fit = self.set.ladder.rates_kb.iter().take_while(|rate| class.scale * **rate <= max).count();
        Rung(u8::try_from(fit.saturating_sub(1)).unwrap_or(u8::MAX))
    }

    fn verdict(
        &mut self,
        id: AttemptId,
        server: ServerId,
        verdict: Verdict,
        took: Micros,
        load: LoadReport,
        out: &mut Vec<Output>,
    ) {
        let Some(session) = self.sessions.get_mut(&id.session).filter(|s| s.is_out(id)) else {
            return self.stray(id, server, verdict);
        };
        let (resource, reply) = match verdict {
            Verdict::Accepted { resource, reply } => (resource, reply),
            Verdict::Undone { resource, outcome } => {
                self.releases.add(self.now, server, resource);
                return self.attempt_over(id, server, outcome, took, load);
            }
            Verdict::Declined(status) => {
                if let Some(owed) = self.close(id.session) {
                    out.push(owed.settle(Answer::Declined(status)));
                    self.queue.push_back(Event::Withdrawn(id.session));
                }
                return self.attempt_over(id, server, Outcome::Cancelled, took, load);
            }
            Verdict::Ended(outcome) => return self.attempt_over(id, server, outcome, took, load),
        };
        if !matches!(session.stage, Stage::Owed(..)) {
            // Its client has left or has another answer: what was set up is undone.
            self.releases.add(self.now, server, resource);
            return self.attempt_over(id, server, Outcome::Cancelled, took, load);
        }
        let playing = Playing {
            server,
            resource: resource.clone(),
            layers: reply.layers.as_deref().map(Into::into),
            number: id.number,
            since: self.now,
            reply: session.repeat.is_some().then(|| reply.clone()),
        };
        let secret = session.secret;
        session.title = None;
        let before = std::mem::replace(&mut session.stage, Stage::Playing(playing));
        self.forget_overdue(id.session, &before);
        if let Stage::Owed(owed, _) = before {
            let session = id.session;
            out.push(owed.settle(Answer::Playing { session, secret, server, reply }));
        }
        self.replays.push_back((self.now + REPLAY_FOR, id.session));
        self.playing.entry(server).or_default().insert(resource, id.session);
        let (session, attempt) = (id.session, api::Attempt(id.number));
        self.queue.push_back(Event::Started { session, attempt, server, took });
        self.queue.push_back(Event::Probed { server, outcome: Outcome::Ok, report: load });
    }

    /// Told twice, or of a session long forgotten. What was set up and is nobody's must not stay at the box.
    fn stray(&mut self, id: AttemptId, server: ServerId, verdict: Verdict) {
        let (Verdict::Accepted { resource, .. } | Verdict::Undone { resource, .. }) = verdict else { return };
        let ours = self.playing.get(&server).and_then(|p| p.get(&resource));
        if ours != Some(&id.session) {
            self.releases.add(self.now, server, resource);
        }
    }

    /// An attempt ended without a session.
    fn attempt_over(
        &mut self,
        id: AttemptId,
        server: ServerId,
        outcome: Outcome,
        took: Micros,
        report: LoadReport,
    ) {
        let Some(session) = self.sessions.get_mut(&id.session) else { return };
        let closed = if let Stage::Owed(_, attempt) = &mut session.stage {
            if let Some(attempt) = attempt.take() {
                self.overdue.remove(&(overdue(attempt.until), id.session));
            }
            false
        } else {
            self.forget(id.session);
            true
        };
        let (session, attempt) = (id.session, api::Attempt(id.number));
        self.queue.push_back(Event::Ended { session, attempt, server, outcome, closed, took, report });
    }

    /// Takes the duty to answer out of a session, which is over or waits for the end of its attempt.
    fn close(&mut self, id: SessionId) -> Option<Owed> {
        let mut session = self.sessions.remove(&id)?;
        self.forget_overdue(id, &session.stage);
        match session.stage {
            Stage::Owed(owed, Some(attempt)) => {
                session.stage = Stage::Ending(attempt);
                self.sessions.insert(id, session);
                Some(owed)
            }
            Stage::Owed(owed, None) => {
                self.forget_repeat(id, session.repeat);
                Some(owed)
            }
            stage => {
                session.stage = stage;
                self.sessions.insert(id, session);
                None
            }
        }
    }

    fn forget_overdue(&mut self, id: SessionId, stage: &Stage) {
        if let Stage::Owed(_, Some(attempt)) = stage {
            self.overdue.remove(&(overdue(attempt.until), id));
        }
    }

    fn forget_repeat(&mut self, id: SessionId, key: Option<RepeatKey>) {
        if let Some(key) = key.filter(|k| self.repeats.get(k) == Some(&id)) {
            self.repeats.remove(&key);
        }
    }

    fn forget(&mut self, id: SessionId) {
        if let Some(session) = self.sessions.remove(&id) {
            self.forget_overdue(id, &session.stage);
            self.forget_repeat(id, session.repeat);
        }
    }

    fn hung_up(&mut self, id: SessionId, out: &mut Vec<Output>) {
        match self.sessions.get(&id).map(|s| &s.stage) {
            Some(Stage::Owed(..)) => {
                // Nobody is left to answer; the duty ends here.
                if let Some(owed) = self.close(id) {
                    owed.void();
                }
                self.queue.push_back(Event::Withdrawn(id));
            }
            // The answer and the hang-up crossed.
            Some(Stage::Playing(_)) => self.take_back(id, Why::AnswerLost, out),
            Some(Stage::Ending(_)) | None => {}
        }
    }

    /// Ends a session that plays, at its box too.
    fn take_back(&mut self, id: SessionId, why: Why, out: &mut Vec<Output>) {
        if let Some(playing) = self.stop_playing(id, why, Outcome::Cancelled, out) {
            self.releases.add(self.now, playing.server, playing.resource);
        }
    }

    /// Takes a session that plays out of the table and tells the module.
    fn stop_playing(
        &mut self,
        id: SessionId,
        why: Why,
        outcome: Outcome,
        out: &mut Vec<Output>,
    ) -> Option<Playing> {
        let session = self.sessions.remove(&id)?;
        let Stage::Playing(playing) = session.stage else {
            self.sessions.insert(id, session);
            return None;
        };
        self.forget_repeat(id, session.repeat);
        if let Some(there) = self.playing.get_mut(&playing.server) {
            there.remove(&playing.resource);
            if there.is_empty() {
                self.playing.remove(&playing.server);
            }
        }
        self.queue.push_back(Event::Ended {
            session: id,
            attempt: api::Attempt(playing.number),
            server: playing.server,
            outcome,
            closed: true,
            took: self.now - playing.since,
            report: LoadReport::default(),
        });
        out.push(Output::Over(id, why));
        Some(playing)
    }

    fn delete(&mut self, request: RequestId, id: SessionId, secret: Secret, out: &mut Vec<Output>) {
        match self.sessions.get(&id).filter(|s| s.secret == secret).map(|s| &s.stage) {
            Some(Stage::Playing(_)) => {
                self.take_back(id, Why::Deleted, out);
                out.push(Output::Reply(request, Answer::Deleted));
            }
            Some(Stage::Owed(..)) => out.push(Output::Reply(request, Answer::Busy)),
            Some(Stage::Ending(_)) | None => out.push(Output::Reply(request, Answer::NoSession)),
        }
    }

    /// Where a session is, for whoever knows its secret.
    pub fn find(&self, id: SessionId, secret: Secret) -> Answer {
        match self.sessions.get(&id).filter(|s| s.secret == secret).map(|s| &s.stage) {
            Some(Stage::Playing(p)) => Answer::At { server: p.server, resource: p.resource.clone() },
            Some(Stage::Owed(..)) => Answer::Busy,
            Some(Stage::Ending(_)) | None => Answer::NoSession,
        }
    }

    fn box_news(&mut self, server: ServerId, news: BoxNews, out: &mut Vec<Output>) {
        match news {
            BoxNews::Hello { boot } => {
                if self.watches.hello(server, boot) == Fate::Gone {
                    self.lost(server, false, out);
                }
            }
            BoxNews::Broken => self.watches.broken(self.now, server),
            BoxNews::Refused => {
                if self.watches.refused(server) == Fate::Gone {
                    self.lost(server, false, out);
                }
            }
            BoxNews::Note(note) => {
                let session = self.playing.get(&server).and_then(|p| p.values().next()).copied();
                self.queue.push_back(Event::Noted { session: session.unwrap_or_default(), server, note });
            }
            BoxNews::Over { resource } => {
                let id = self.playing.get(&server).and_then(|p| p.get(&resource)).copied();
                if let Some(id) = id {
                    self.stop_playing(id, Why::Box, Outcome::Ok, out);
                }
            }
        }
    }

    /// Ends all sessions of a box at once; where it may still run them, they are released too.
    fn lost(&mut self, server: ServerId, doubtful: bool, out: &mut Vec<Output>) {
        if !doubtful {
            self.releases.forget(server);
        }
        let ids: Vec<SessionId> =
            self.playing.get(&server).into_iter().flat_map(|p| p.values().copied()).collect();
        if !ids.is_empty() {
            out.push(Output::Log(format!("box {}: lost, {} sessions ended", server.0, ids.len())));
        }
        for id in ids {
            let playing = self.stop_playing(id, Why::Lost, Outcome::Reset, out);
            if let Some(playing) = playing.filter(|_| doubtful) {
                self.releases.add(self.now, server, playing.resource);
            }
            self.run(out);
        }
    }

    /// Hands the queued events to the module and carries out what it answers, until both are empty.
    fn run(&mut self, out: &mut Vec<Output>) {
        let mut actions = Vec::new();
        while let Some(event) = self.queue.pop_front() {
            let noted = self.heard.is_some().then(|| event.clone());
            self.choice.handle(self.now, event, &mut actions);
            if let (Some(heard), Some(event)) = (&mut self.heard, noted) {
                heard.push((self.now, event, actions.clone()));
            }
            for action in actions.drain(..) {
                self.act(action, out);
            }
        }
    }

    fn act(&mut self, action: Action, out: &mut Vec<Output>) {
        match action {
            Action::SetUp(id, server, until) => self.set_up(id, server, until, out),
            Action::SetRung(id, rung) => {
                let Some(class) = self.sessions.get(&id).map(|s| s.class) else { return };
                let rate_kb = self.rate_kb(class, rung);
                let Some(session) = self.sessions.get_mut(&id) else { return };
                session.rung = rung;
                if let Stage::Playing(Playing { server, layers: Some(layers), .. }) = &session.stage {
                    let (server, layers) = (*server, layers.to_string());
                    out.push(Output::SetRung { server, session: id, layers, rung, rate_kb });
                }
            }
            Action::Refuse(id, advice) => {
                out.extend(self.close(id).map(|owed| owed.settle(Answer::Refused(advice))));
            }
            Action::Fail(id) => out.extend(self.close(id).map(|owed| owed.settle(Answer::Failed))),
            Action::Cancel(id, number) => {
                let id = attempt_id(id, number.0);
                if self.sessions.get(&id.session).is_some_and(|s| s.is_out(id)) {
                    out.push(Output::Cancel(id));
                }
            }
            Action::Move(id) => self.take_back(id, Why::Moved, out),
            Action::Probe(server) => out.push(Output::Probe(server)),
            Action::Subscribe => out.push(Output::Subscribe),
            Action::SetTimer(delay, token) => {
                self.timers.insert((self.now + delay, token));
            }
            Action::Log(line) => out.push(Output::Log(line)),
        }
    }

    /// The rate of a rung of a class, kB a second.
    fn rate_kb(&self, class: ClassId, rung: Rung) -> f64 {
        let scale = self.set.classes.get(usize::from(class.0)).map_or(1.0, |c| c.scale);
        scale * self.set.ladder.rates_kb.get(usize::from(rung.0)).copied().unwrap_or(0.0)
    }

    fn set_up(&mut self, id: SessionId, server: ServerId, until: Micros, out: &mut Vec<Output>) {
        let line = self.catalog.server(server);
        let Some((class, rung)) = self.sessions.get(&id).map(|s| (s.class, s.rung)) else { return };
        let rate_kb = self.rate_kb(class, rung);
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let number = session.made;
        session.made += 1;
        let attempt = attempt_id(id, number);
        let address = line.and_then(|l| l.address(session.protocol)).cloned();
        // Guards against an attempt that was chosen before the title was narrowed.
        let allowed = session.title.as_ref().is_none_or(|t| self.narrowing.allows(t, server));
        let address = address.filter(|_| allowed);
        match (&mut session.stage, address) {
            (Stage::Owed(owed, out_now @ None), Some(url)) => {
                *out_now = Some(Attempt { id: attempt, server, until });
                let request = owed.request();
                self.overdue.insert((overdue(until), id));
                out.push(Output::SetUp { attempt, request, server, url, rung, rate_kb, until });
            }
            // The box's address is not known, or the title may not be played there any more: the attempt never ran.
            (stage, _) => {
                let closed = !matches!(stage, Stage::Owed(..));
                self.queue.push_back(Event::Ended {
                    session: id,
                    attempt: api::Attempt(number),
                    server,
                    outcome: Outcome::Moot,
                    closed,
                    took: Micros(0),
                    report: LoadReport::default(),
                });
            }
        }
    }

    /// Makes the tries of releases that are due.
    fn release(&mut self, out: &mut Vec<Output>) {
        let (tries, given_up) = self.releases.take_due(self.now);
        if given_up > 0 {
            out.push(Output::Log(format!("{given_up} sessions left to their boxes' own time-out")));
        }
        for t in tries {
            out.push(Output::Release { ticket: t.ticket, server: t.server, resource: t.resource });
        }
    }
}

/// When a client is answered whatever its attempt does.
fn overdue(until: Micros) -> Micros {
    until + GRACE + OVERDUE
}
