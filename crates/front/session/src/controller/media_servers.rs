//! Updates of the endpoint list and events of media servers.

use beechloft::api::{Event, Outcome, ServerId, SessionId};

use super::SessionController;
use crate::catalog::EndpointUpdate;
use crate::io::{EndReason, MediaServerEvent, Output};
use crate::liveness::{Loss, ProcessState};

impl SessionController {
    pub(super) fn update_endpoints(&mut self, update: EndpointUpdate, out: &mut Vec<Output>) {
        let effects = self.catalog.apply(update);
        out.extend(effects.faults.into_iter().map(|fault| Output::Log(format!("endpoint list: {fault}"))));
        self.events.extend(effects.event);
        self.run_policy(out);
        for id in effects.readdressed {
            if let Some(entry) = self.catalog.server(id) {
                self.watched.insert(id);
                out.push(Output::Watch(id, entry.url.clone()));
            }
        }
        let departed = effects.removed.into_iter().filter(|id| self.watched.contains(id));
        self.departing.extend(departed);
    }

    /// Closes the event streams of media servers that left the list and run no more sessions of this front.
    pub(super) fn unwatch_departed(&mut self, out: &mut Vec<Output>) {
        for server in std::mem::take(&mut self.departing) {
            if self.catalog.server(server).is_some() {
                continue; // listed again
            }
            if self.playing.contains_key(&server) || self.releases.concerns(server) {
                self.departing.insert(server);
            } else if self.watched.remove(&server) {
                self.liveness.forget(server);
                out.push(Output::Unwatch(server));
            }
        }
    }

    pub(super) fn media_server_event(
        &mut self,
        server: ServerId,
        event: MediaServerEvent,
        out: &mut Vec<Output>,
    ) {
        match event {
            MediaServerEvent::Connected { boot } => {
                if self.liveness.connected(server, boot) == ProcessState::Exited {
                    self.lose_media_server(server, Loss::ProcessExited, out);
                }
            }
            MediaServerEvent::Disconnected => self.liveness.disconnected(self.now, server),
            MediaServerEvent::ConnectionRefused => {
                if self.liveness.connection_refused(server) == ProcessState::Exited {
                    self.lose_media_server(server, Loss::ProcessExited, out);
                }
            }
            MediaServerEvent::Feedback(feedback) => {
                let playing = self.playing.get(&server).and_then(|playing| playing.values().next());
                let session = playing.copied().unwrap_or_default();
                self.events.push_back(Event::FeedbackReceived { session, server, feedback });
            }
            MediaServerEvent::SessionEnded { resource } => {
                let session = self.playing.get(&server).and_then(|playing| playing.get(&resource)).copied();
                if let Some(session) = session {
                    self.stop_playing(session, EndReason::EndedByServer, Outcome::Ok, out);
                }
            }
        }
    }

    /// Ends all sessions of a lost media server, and releases them if it may still run them.
    pub(super) fn lose_media_server(&mut self, server: ServerId, loss: Loss, out: &mut Vec<Output>) {
        if loss == Loss::ProcessExited {
            self.releases.forget(server);
        }
        let playing_sessions =
            self.playing.get(&server).into_iter().flat_map(|playing| playing.values().copied());
        let sessions: Vec<SessionId> = playing_sessions.collect();
        if !sessions.is_empty() {
            let (id, count) = (server.0, sessions.len());
            out.push(Output::Log(format!("media server {id} lost: {count} sessions ended")));
        }
        for session in sessions {
            let playing = self.stop_playing(session, EndReason::ServerLost, Outcome::Reset, out);
            if let Some(playing) = playing.filter(|_| loss == Loss::Unreachable) {
                self.releases.add(self.now, server, playing.resource);
            }
            self.run_policy(out);
        }
    }
}
