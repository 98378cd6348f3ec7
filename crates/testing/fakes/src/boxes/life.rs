//! A box's process: it comes up, dies, topples, and keeps itself.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use beechloft_checker::What;
use beechloft_http::Limits;
use beechloft_http::server::{Server, Sizes};
use beechloft_session::api::{Feedback, LoadReport};
use beechloft_session::io::MediaServerEvent;

use super::Inner;
use super::serve::Door;
use crate::fault::Fault;
use crate::media;
use crate::sessions::Warmth;

/// Between two refreshes of the load that it reports.
const REFRESH: Duration = Duration::from_millis(400);
/// Between two notes of short delivery.
const SHORT_EVERY: Duration = Duration::from_secs(1);
/// Between two notes of fullness.
const FULL_EVERY: Duration = Duration::from_secs(4);

impl Inner {
    pub(super) fn come_up(self: &Arc<Self>, listener: TcpListener, warm: bool) -> io::Result<()> {
        {
            let mut state = self.lock();
            state.boot += 1;
            state.down = false;
            state.faults.clear();
            state.reported = LoadReport::default();
            state.warmth = Warmth::new(if warm { None } else { self.spec.warming });
        }
        self.recorder.note(What::Started { server: self.spec.id, warm });
        self.open_door(listener)
    }

    pub(super) fn open_door(self: &Arc<Self>, listener: TcpListener) -> io::Result<()> {
        let limits = Limits { idle_time: Duration::from_secs(60), ..Limits::default() };
        let sizes = Sizes { limits, ..Sizes::default() };
        let server = Server::start(listener, sizes, Arc::new(Door(self.clone())))?;
        *self.server() = Some(server);
        Ok(())
    }

    pub(super) fn close_door(&self) {
        let server = self.server().take();
        if let Some(server) = server {
            server.kill();
        }
    }

    /// The process ends, and all sessions with it.
    pub(super) fn die(&self, quietly: bool) {
        let was_up = {
            let mut state = self.lock();
            state.sessions.clear();
            state.streams.clear();
            !std::mem::replace(&mut state.down, true)
        };
        if was_up && !quietly {
            self.recorder.note(What::Died { server: self.spec.id });
        }
        self.core_free.notify_all();
        self.close_door();
    }

    pub(super) fn topple(&self) {
        {
            let mut state = self.lock();
            state.sessions.clear();
            state.streams.clear();
            state.down = true;
        }
        self.recorder.note(What::Toppled { server: self.spec.id });
        self.close_door();
    }

    pub(super) fn free(&self, path: &str, expired: bool) -> bool {
        {
            // Noted before anybody can see that it is gone.
            let mut state = self.lock();
            let Some(session) = state.sessions.remove(path) else { return false };
            self.recorder.note(What::Freed { server: self.spec.id, offer: session.offer, expired });
        }
        self.tell(&MediaServerEvent::SessionEnded { resource: path.to_owned() });
        true
    }

    pub(super) fn tell(&self, news: &MediaServerEvent) {
        self.lock().streams.retain(|s| s.try_send(news.clone()).is_ok());
    }

    /// Media, consent, notes and expiry, until the box is dropped.
    pub(super) fn keep(&self) {
        let mut buf = [0; 256];
        let (mut refreshed, mut short_told, mut full_told, mut was_short) =
            (Instant::now(), Instant::now(), Instant::now(), false);
        while !self.end.load(Ordering::SeqCst) {
            if let Ok((n, peer)) = self.media.recv_from(&mut buf) {
                self.consent(&buf[..n], peer);
            }
            let now = Instant::now();
            if now - refreshed >= REFRESH {
                refreshed = now;
                self.refresh(now);
            }
            let share = self.share(&self.lock());
            let short = share.delivered < 0.98;
            if now - short_told >= SHORT_EVERY && (short || was_short) {
                (short_told, was_short) = (now, short);
                self.tell(&MediaServerEvent::Feedback(Feedback::DeliveredFraction(share.delivered)));
            }
            if now - full_told >= FULL_EVERY {
                full_told = now;
                self.tell(&MediaServerEvent::Feedback(Feedback::LinkUtilization(share.link)));
                self.tell(&MediaServerEvent::Feedback(Feedback::UplinkUtilization(share.uplink)));
            }
        }
    }

    pub(super) fn consent(&self, datagram: &[u8], peer: SocketAddr) {
        let Some(name) = media::consented(datagram) else { return };
        let frame = {
            let mut state = self.lock();
            if state.down || state.faults.iter().any(|f| matches!(f.0, Fault::StandStill)) {
                return;
            }
            let Some(rate) = state.sessions.consent(name, Instant::now()) else { return };
            let silent = state.faults.iter().any(|f| matches!(f.0, Fault::DeliverNothing));
            let delivered = if silent { 0.0 } else { self.share(&state).delivered };
            media::frame(name, delivered, rate)
        };
        let _ = self.media.send_to(&frame, peer);
    }

    pub(super) fn refresh(&self, now: Instant) {
        let (expired, dies) = {
            let mut state = self.lock();
            let share = self.share(&state);
            let streams = Some(state.sessions.len() as f64);
            state.reported = LoadReport {
                streams,
                link_utilization: Some(share.link),
                uplink_utilization: Some(share.uplink),
            };
            let dies = state.faults.iter().any(
                |f| matches!(f.0, Fault::GrowSlow { dies_after_s, .. } if f.1.elapsed().as_secs_f64() >= dies_after_s),
            );
            let still = state.faults.iter().any(|f| f.0 == Fault::StandStill);
            (if still { Vec::new() } else { state.sessions.expired(now) }, dies)
        };
        for path in expired {
            self.free(&path, true);
        }
        if dies {
            self.die(false);
        }
    }
}
