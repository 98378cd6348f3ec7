//! The machine itself: inputs to the module's events, the module's actions to outputs.

mod acts;
mod asked;
mod attempts;
mod boxes;
mod ending;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use beechloft::api::*;
use beechloft::policy::Policy;

use crate::catalog::Catalog;
use crate::io::*;
use crate::narrow::Narrowing;
use crate::release::Releases;
use crate::session::{Session, Stage};
use crate::watch::Watches;

/// One front.
#[derive(Debug)]
pub struct Core {
    set: Settings,
    choice: Policy,
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
            choice: Policy::new(set.clone(), seed),
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
                self.queue.push_back(Event::HealthChecked { server, outcome, report: load });
            }
            Input::Released(ticket, gone) => self.releases.result(self.now, ticket, gone),
            Input::Narrowed(narrowed) => self.narrowing.change(narrowed),
            Input::Numbered(numbered) => self.queue.push_back(Event::SlotAssigned(numbered)),
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

    /// Whether a session is in the table: its client waits, it plays, or an attempt of it is out.
    pub fn has(&self, session: SessionId) -> bool {
        self.sessions.contains_key(&session)
    }

    /// Whether this is an offer that came before, whose answer is still known or being worked on.
    pub fn is_repeat(&self, ask: &Ask) -> bool {
        ask.repeat.is_some_and(|key| self.repeats.get(&key).is_some_and(|id| self.sessions.contains_key(id)))
    }

    /// Whether a session is still to be ended at its box.
    pub fn is_releasing(&self, server: ServerId, resource: &str) -> bool {
        self.releases.has(server, resource)
    }

    /// The highest rate that a session of a title may be given, kB a second.
    pub fn top_rate_kb(&self, class: ClassId, max_rate_kb: Option<f64>) -> f64 {
        let Some(of) = self.set.classes.get(usize::from(class.0)) else { return 0.0 };
        let last = Rung(u8::try_from(self.set.ladder.rates_kb.len().saturating_sub(1)).unwrap_or(u8::MAX));
        self.rate_kb(class, self.top_rung(of, max_rate_kb).min(last))
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
}
