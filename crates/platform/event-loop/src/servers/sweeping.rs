//! Looks at what has had its time.

use beechloft::api::Micros;
use beechloft_front_node::{AttemptFailure, ServerIncarnation};

use super::{Servers, Turn};

impl Servers {
    /// Looks at what has had its time.
    pub fn sweep(&mut self, t: &mut Turn<'_>) {
        self.late(t);
        self.idle_too_long(t);
        self.look(t);
        for lane in
            self.lanes.iter().filter(|(_, l)| l.forgotten.is_some()).map(|(id, _)| *id).collect::<Vec<_>>()
        {
            self.let_go(lane, t);
        }
        let (homes, conns) = (&mut self.homes, &self.conns);
        homes.retain(|_, token| conns.contains_key(token));
    }

    /// Connections that did not come up.
    fn late(&mut self, t: &mut Turn<'_>) {
        let late = self.conns.iter().filter(|(_, c)| c.up_by.is_some_and(|at| t.now >= at)).map(|(t, _)| *t);
        for token in late.collect::<Vec<_>>() {
            let Some(lane) = self.conns.get(&token).map(|c| c.lane) else { continue };
            self.close(token, AttemptFailure::NoConnection, t);
            self.failed(lane, false, t);
        }
    }

    fn idle_too_long(&mut self, t: &mut Turn<'_>) {
        let idle = self.bounds.server_idle - Micros(self.bounds.server_idle.0 / 20);
        let old = self.conns.iter().filter(|(_, c)| c.free() && t.now - c.used > idle).map(|(t, _)| *t);
        for token in old.collect::<Vec<_>>() {
            self.hear_and_close(token, t);
        }
    }

    /// Opens connections to media servers that have said nothing for long while sessions stand there, and for lines that
    /// found none.
    fn look(&mut self, t: &mut Turn<'_>) {
        let (conns, silence) = (&self.conns, self.bounds.silence);
        let wanted = |id: ServerIncarnation, l: &mut super::LaneState| {
            let mut own = conns.values().filter(|c| c.lane == id);
            let none = own.clone().next().is_none();
            let unheard = t.now - l.heard > silence && !own.any(|c| c.up_by.is_some());
            t.now >= l.look_at && ((l.hold && (none || unheard)) || (none && l.waits(t.now)))
        };
        let look: Vec<ServerIncarnation> =
            self.lanes.iter_mut().filter_map(|(id, l)| wanted(*id, l).then_some(*id)).collect();
        for lane in look {
            if let Some(l) = self.lanes.get_mut(&lane) {
                l.look_at = t.now + self.bounds.look_again;
            }
            let _ = self.open(lane, t);
        }
    }
}
