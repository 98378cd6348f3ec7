//! The list and what boxes tell: which are watched, and which are lost.

use beechloft::api::*;

use super::Core;
use crate::catalog::ListUpdate;
use crate::io::*;
use crate::watch::Fate;

impl Core {
    pub(super) fn list(&mut self, update: ListUpdate, out: &mut Vec<Output>) {
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
    pub(super) fn unwatch(&mut self, out: &mut Vec<Output>) {
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

    pub(super) fn box_news(&mut self, server: ServerId, news: BoxNews, out: &mut Vec<Output>) {
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
                self.queue.push_back(Event::FeedbackReceived {
                    session: session.unwrap_or_default(),
                    server,
                    feedback: note,
                });
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
    pub(super) fn lost(&mut self, server: ServerId, doubtful: bool, out: &mut Vec<Output>) {
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
}
