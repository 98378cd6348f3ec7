//! Who holds what: the state that consensus replicates. It knows no time; what runs out is told to it by the log.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::planted::Fault;
use crate::words::{
    Answer, Command, HolderId, Inherited, Name, Op, Request, Seated, Standing, Token, Unable, Will,
};

/// Tasks with a holder at most.
const MOST_LEASES: usize = 4096;
/// Places of one task at most.
const MOST_PLACES: u16 = 4096;
/// Holders whose last answer is kept, so that a request sent again is not done twice.
const MOST_HOLDERS: usize = 8192;
/// The shortest and the longest time of a lease, milliseconds.
pub(crate) const TTL_MS: std::ops::RangeInclusive<u32> = 100..=3_600_000;

/// A grant.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Grant {
    /// Whose.
    pub holder: HolderId,
    /// Its place among those of its task: no two grants at once have the same.
    pub place: u16,
    /// For how long each time, milliseconds.
    pub ttl_ms: u32,
    /// How often it was renewed.
    pub renewals: u64,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct Lease {
    places: u16,
    grants: BTreeMap<Token, Grant>,
}

impl Lease {
    fn new(places: u16) -> Lease {
        Lease { places, grants: BTreeMap::new() }
    }

    /// The lowest place that is free.
    fn free(&self) -> u16 {
        let taken: BTreeSet<u16> = self.grants.values().map(|g| g.place).collect();
        (0..self.places).find(|p| !taken.contains(p)).unwrap_or(self.places)
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct Last {
    seq: u64,
    answer: Answer,
    /// Which command of all this was.
    done: u64,
}

/// What has changed, for whoever watches.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Event {
    /// Granted.
    Granted {
        /// Which task.
        name: Name,
        /// By which token.
        token: Token,
        /// To whom.
        holder: HolderId,
        /// The grant that it had before and has no more.
        before: Option<Token>,
    },
    /// Renewed.
    Renewed(Name, Token),
    /// Given back.
    Released(Name, Token),
    /// Ran out.
    Expired(Name, Token),
    /// Its holder has stopped, and its place is kept for the next one of its seat.
    Left(Name, Token),
}

/// A snapshot that can't be read.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("a table of leases that can't be read: {0}")]
pub struct TableError(String);

/// Where the holder of a grant sits.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct Seat {
    name: Name,
    /// Its place is left to the next one who sits there.
    left: Option<Will>,
}

/// The table.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
pub struct Table {
    leases: BTreeMap<Name, Lease>,
    /// Of each token, its task.
    names: BTreeMap<Token, Name>,
    last: BTreeMap<HolderId, Last>,
    last_token: u64,
    done: u64,
    /// Of grants whose holders have seats. What is below here is not in tables that earlier versions wrote.
    seats: BTreeMap<Token, Seat>,
    /// Of each task that is held, the newest grant that has ended without another in its place.
    ended: BTreeMap<Name, Token>,
    #[serde(skip)]
    fault: Option<Fault>,
}

/// A table as versions wrote it that knew no seats.
#[derive(Deserialize)]
struct Before {
    leases: BTreeMap<Name, Lease>,
    names: BTreeMap<Token, Name>,
    last: BTreeMap<HolderId, Last>,
    last_token: u64,
    done: u64,
}

impl From<Before> for Table {
    fn from(before: Before) -> Table {
        let Before { leases, names, last, last_token, done } = before;
        Table { leases, names, last, last_token, done, ..Table::default() }
    }
}

impl Table {
    /// Plants a fault.
    #[cfg(feature = "planted")]
    pub fn plant(&mut self, fault: Fault) {
        self.fault = Some(fault);
    }

    fn planted(&self, fault: Fault) -> bool {
        cfg!(feature = "planted") && self.fault == Some(fault)
    }

    /// The state as bytes.
    pub fn write(&self) -> Vec<u8> {
        // Only a value that has no length beforehand could fail, and this has none such.
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// Reads what [`Table::write`] wrote, in this version or the one before; nothing at all is an empty table.
    ///
    /// # Errors
    /// It is no table.
    pub fn read(bytes: &[u8]) -> Result<Table, TableError> {
        if bytes.is_empty() {
            return Ok(Table::default());
        }
        let (before, rest) =
            postcard::take_from_bytes::<Before>(bytes).map_err(|e| TableError(e.to_string()))?;
        if rest.is_empty() {
            return Ok(before.into());
        }
        postcard::from_bytes(bytes).map_err(|e| TableError(e.to_string()))
    }

    /// All grants: task, places, token, grant.
    pub fn grants(&self) -> impl Iterator<Item = (&Name, u16, Token, &Grant)> {
        self.leases.iter().flat_map(|(name, l)| l.grants.iter().map(move |(t, g)| (name, l.places, *t, g)))
    }

    /// A grant.
    pub fn grant(&self, token: Token) -> Option<&Grant> {
        self.leases.get(self.names.get(&token)?)?.grants.get(&token)
    }

    /// Does a command; what became of it, for who asked, and what has changed.
    pub fn apply(&mut self, command: &Command) -> (Option<Answer>, Option<Event>) {
        self.done += 1;
        match command {
            Command::Request(request) => {
                let (answer, event) = self.request(request);
                (Some(answer), event)
            }
            Command::Expire { token, renewals } => (None, self.expire(*token, *renewals)),
        }
    }

    fn request(&mut self, request: &Request) -> (Answer, Option<Event>) {
        if let Some(last) = self.last.get(&request.holder) {
            if request.seq == last.seq {
                return (last.answer, None);
            }
            if request.seq < last.seq {
                return (Answer::Unable(Unable::Overtaken), None);
            }
        }
        let (answer, event) = match self.operate(request.holder, &request.op) {
            Ok((answer, event)) => (answer, Some(event)),
            Err(unable) => (Answer::Unable(unable), None),
        };
        self.remember(request, answer);
        (answer, event)
    }

    /// Keeps the last answer of a holder. Past the bound the one that was heard of least lately goes, if it holds nothing.
    fn remember(&mut self, request: &Request, answer: Answer) {
        if self.last.len() >= MOST_HOLDERS && !self.last.contains_key(&request.holder) {
            let holds: BTreeSet<HolderId> =
                self.leases.values().flat_map(|l| l.grants.values().map(|g| g.holder)).collect();
            let idle = self.last.iter().filter(|(id, _)| !holds.contains(id));
            if let Some(oldest) = idle.min_by_key(|(_, l)| l.done).map(|(id, _)| *id) {
                self.last.remove(&oldest);
            }
        }
        self.last.insert(request.holder, Last { seq: request.seq, answer, done: self.done });
    }

    fn operate(&mut self, holder: HolderId, op: &Op) -> Result<(Answer, Event), Unable> {
        match op {
            Op::Acquire { name, places, ttl_ms } => self.acquire(holder, name, *places, *ttl_ms, None),
            Op::AcquireAs { name, places, ttl_ms, seat } => {
                self.acquire(holder, name, *places, *ttl_ms, Some(seat))
            }
            Op::Leave { name, token, will } => self.leave(holder, name, *token, *will),
            Op::Renew { name, token } => {
                let taken = self.planted(Fault::RenewsReleased);
                let left = self.seats.get(token).is_some_and(|s| s.left.is_some());
                let lease = self.leases.get_mut(name).filter(|_| !left);
                let own = lease.and_then(|l| {
                    let grant = l.grants.get_mut(token).filter(|g| g.holder == holder)?;
                    grant.renewals += 1;
                    Some(grant.place)
                });
                let own = own.map(|place| self.standing(name, place));
                let standing = match own {
                    Some(standing) => standing,
                    None if taken => Standing::default(),
                    None => return Err(Unable::NotHeld),
                };
                let answer = match self.seats.contains_key(token) {
                    true => Answer::Seat(*token, standing, self.seated(None)),
                    false => Answer::Renewed(*token, standing),
                };
                Ok((answer, Event::Renewed(name.clone(), *token)))
            }
            Op::Release { name, token } => {
                let own = self.grant(*token).is_some_and(|g| g.holder == holder);
                if !own || self.names.get(token) != Some(name) {
                    return Err(Unable::NotHeld);
                }
                self.end_for_good(*token);
                Ok((Answer::Released, Event::Released(name.clone(), *token)))
            }
        }
    }

    /// Where a grant stands, by its place. Whoever has left acts by nothing, and no newcomer need wait for it.
    fn standing(&self, name: &Name, place: u16) -> Standing {
        let Some(lease) = self.leases.get(name) else { return Standing::default() };
        let reach = lease.grants.values().map(|g| g.place + 1).max().unwrap_or(0);
        let has_left = |token: &Token| self.seats.get(token).is_some_and(|s| s.left.is_some());
        let act = lease.grants.iter().filter(|(token, _)| !has_left(token));
        Standing { place, reach, longest_ms: act.map(|(_, g)| g.ttl_ms).max().unwrap_or(0) }
    }

    fn seated(&self, inherited: Option<Inherited>) -> Seated {
        Seated { newest: Token(self.last_token), inherited }
    }

    /// The grant that was left for this seat, and what goes with it.
    fn left_for(&self, lease: &Lease, seat: Option<&Name>) -> Option<(Token, Will)> {
        let seat = seat?;
        let left = |token: &Token| self.seats.get(token).filter(|s| s.name == *seat)?.left;
        lease.grants.keys().find_map(|token| Some((*token, left(token)?)))
    }

    fn acquire(
        &mut self,
        holder: HolderId,
        name: &Name,
        places: u16,
        ttl_ms: u32,
        seat: Option<&Name>,
    ) -> Result<(Answer, Event), Unable> {
        if !TTL_MS.contains(&ttl_ms) {
            return Err(Unable::Time);
        }
        if places == 0 || places > MOST_PLACES {
            return Err(Unable::Places);
        }
        let many = self.leases.len() >= MOST_LEASES;
        let (mut before, mut left) = (None, None);
        match self.leases.get(name) {
            None if many => return Err(Unable::TooMany),
            None => {}
            Some(lease) => {
                let own = lease.grants.iter().find(|(_, g)| g.holder == holder).map(|(t, _)| *t);
                if lease.places != places {
                    return Err(Unable::Places);
                }
                if own.is_none() {
                    left = self.left_for(lease, seat);
                }
                // It held it and asks anew, as its time ran out or its answer was lost: what it did under the grant before must
                // not pass for what it does under this one. Or another held it, and has left it to this one.
                before = own.or(left.map(|l| l.0));
                if before.is_none() && lease.grants.len() >= usize::from(places) {
                    return Err(Unable::Taken);
                }
            }
        }
        // It keeps its place: nobody else had it meanwhile.
        let kept = before.and_then(|token| self.grant(token)).map(|g| g.place);
        if let Some(token) = before
            && !(self.planted(Fault::LeftTwice) && left.is_some())
        {
            self.end(token);
        }
        if !self.planted(Fault::SameToken) || self.last_token == 0 {
            self.last_token += 1;
        }
        let token = Token(self.last_token);
        let twice = self.planted(Fault::PlaceTwice);
        let lease = self.leases.entry(name.clone()).or_insert_with(|| Lease::new(places));
        let place = if twice { 0 } else { kept.unwrap_or_else(|| lease.free()) };
        lease.grants.insert(token, Grant { holder, place, ttl_ms, renewals: 0 });
        self.names.insert(token, name.clone());
        let standing = self.standing(name, place);
        let answer = match seat {
            Some(seat) => {
                self.seats.insert(token, Seat { name: seat.clone(), left: None });
                Answer::Seat(token, standing, self.seated(left.and_then(|l| self.inherited(name, l.1))))
            }
            None => Answer::Granted(token, standing),
        };
        Ok((answer, Event::Granted { name: name.clone(), token, holder, before }))
    }

    /// What is taken over with a place; nothing if a grant has ended that whoever left the place had not heard of: that one
    /// may have acted by a part of more than all that are there now.
    fn inherited(&self, name: &Name, will: Will) -> Option<Inherited> {
        let unseen = self.ended.get(name).is_some_and(|ended| *ended > will.newest);
        let Will { of, rest_ms, .. } = will;
        (!unseen || self.planted(Fault::GoneUnseen)).then_some(Inherited { of, rest_ms })
    }

    /// A holder leaves its place to the next one of its seat.
    fn leave(
        &mut self,
        holder: HolderId,
        name: &Name,
        token: Token,
        will: Will,
    ) -> Result<(Answer, Event), Unable> {
        if !TTL_MS.contains(&will.keep_ms) {
            return Err(Unable::Time);
        }
        let lease = self.leases.get_mut(name);
        let grant = lease.and_then(|l| l.grants.get_mut(&token)).filter(|g| g.holder == holder);
        let (Some(grant), Some(seat)) = (grant, self.seats.get_mut(&token).filter(|s| s.left.is_none()))
        else {
            return Err(Unable::NotHeld);
        };
        seat.left = Some(will);
        // What was put into the log to end it before this does so no more.
        (grant.ttl_ms, grant.renewals) = (will.keep_ms, grant.renewals + 1);
        Ok((Answer::Left, Event::Left(name.clone(), token)))
    }

    /// A grant ends.
    fn end(&mut self, token: Token) -> Option<Name> {
        let name = self.names.remove(&token)?;
        self.seats.remove(&token);
        if let Some(lease) = self.leases.get_mut(&name) {
            lease.grants.remove(&token);
            if lease.grants.is_empty() {
                self.leases.remove(&name);
            }
        }
        Some(name)
    }

    /// A grant ends, and no other has its place.
    fn end_for_good(&mut self, token: Token) -> Option<Name> {
        let name = self.end(token)?;
        if self.leases.contains_key(&name) {
            let newest = self.ended.entry(name.clone()).or_default();
            *newest = token.max(*newest);
        } else {
            // Nobody is there who could have left anything.
            self.ended.remove(&name);
        }
        Some(name)
    }

    fn expire(&mut self, token: Token, renewals: u64) -> Option<Event> {
        let renewed = self.grant(token).is_none_or(|g| g.renewals != renewals);
        // Renewed between the leader's word and this: it goes on.
        if renewed {
            return None;
        }
        let name = self.end_for_good(token)?;
        Some(Event::Expired(name, token))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn name(text: &str) -> Name {
        Name::try_from(text.to_owned()).expect("a name")
    }

    fn ask(table: &mut Table, holder: u64, seq: u64, op: Op) -> Answer {
        let request = Request { holder: HolderId(holder), seq, op };
        table.apply(&Command::Request(request)).0.expect("an answer")
    }

    /// The token of a grant.
    fn token(answer: Answer) -> Option<u64> {
        match answer {
            Answer::Granted(token, _) => Some(token.0),
            _ => None,
        }
    }

    fn acquire(places: u16) -> Op {
        Op::Acquire { name: name("task"), places, ttl_ms: 3_000 }
    }

    #[test]
    fn a_request_sent_again_is_done_once_and_an_earlier_one_not_at_all() {
        let mut t = Table::default();
        assert_eq!(token(ask(&mut t, 1, 5, acquire(1))), Some(1));
        assert_eq!(token(ask(&mut t, 1, 5, acquire(1))), Some(1));
        let release = Op::Release { name: name("task"), token: Token(1) };
        assert_eq!(ask(&mut t, 1, 6, release.clone()), Answer::Released);
        assert_eq!(token(ask(&mut t, 2, 1, acquire(1))), Some(2));
        // Copies that come late.
        assert_eq!(ask(&mut t, 1, 5, acquire(1)), Answer::Unable(Unable::Overtaken));
        assert_eq!(ask(&mut t, 1, 6, release), Answer::Released);
        assert_eq!(t.grants().map(|g| (g.2, g.3.holder)).collect::<Vec<_>>(), [(Token(2), HolderId(2))]);
    }

    #[test]
    fn places_are_kept_and_tokens_rise() {
        let mut t = Table::default();
        for (holder, given) in [(1, 1), (2, 2)] {
            assert_eq!(token(ask(&mut t, holder, 1, acquire(2))), Some(given));
        }
        assert_eq!(ask(&mut t, 3, 1, acquire(2)), Answer::Unable(Unable::Taken));
        assert_eq!(ask(&mut t, 3, 2, acquire(3)), Answer::Unable(Unable::Places));
        // One that asks anew has a new grant in place of its own.
        assert_eq!(token(ask(&mut t, 1, 2, acquire(2))), Some(3));
        assert_eq!(t.grants().map(|g| g.2).collect::<Vec<_>>(), [Token(2), Token(3)]);
        let renew = |token| Op::Renew { name: name("task"), token: Token(token) };
        assert_eq!(ask(&mut t, 1, 3, renew(1)), Answer::Unable(Unable::NotHeld));
        assert_eq!(ask(&mut t, 1, 4, renew(2)), Answer::Unable(Unable::NotHeld), "another's");
        assert!(matches!(ask(&mut t, 1, 5, renew(3)), Answer::Renewed(Token(3), _)));
    }

    #[test]
    fn each_has_a_place_of_its_own_the_lowest_that_is_free_and_hears_how_far_places_reach() {
        let mut t = Table::default();
        let mut stands = |holder, seq, ttl_ms| {
            let op = Op::Acquire { name: name("task"), places: 9, ttl_ms };
            match ask(&mut t, holder, seq, op) {
                Answer::Granted(token, s) => (token, (s.place, s.reach, s.longest_ms)),
                other => panic!("{other:?}"),
            }
        };
        assert_eq!(stands(1, 1, 3_000).1, (0, 1, 3_000));
        let second = stands(2, 1, 9_000);
        assert_eq!(second.1, (1, 2, 9_000));
        assert_eq!(stands(3, 1, 3_000).1, (2, 3, 9_000));
        // Asked anew it is the same place, by another grant.
        assert_eq!(stands(1, 2, 3_000).1, (0, 3, 9_000));
        let third = stands(3, 2, 3_000).0;
        ask(&mut t, 2, 2, Op::Release { name: name("task"), token: second.0 });
        let renewed = ask(&mut t, 3, 3, Op::Renew { name: name("task"), token: third });
        assert_eq!(renewed, Answer::Renewed(third, Standing { place: 2, reach: 3, longest_ms: 3_000 }));
        let op = |holder: u64| Op::Acquire { name: name("task"), places: 9, ttl_ms: 1_000 + holder as u32 };
        let places: Vec<u16> = (10..16)
            .map(|h| match ask(&mut t, h, 1, op(h)) {
                Answer::Granted(_, s) => s.place,
                other => panic!("{other:?}"),
            })
            .collect();
        assert_eq!(places, [1, 3, 4, 5, 6, 7]);
    }

    #[test]
    fn what_runs_out_is_what_was_not_renewed_since() {
        let mut t = Table::default();
        ask(&mut t, 1, 1, acquire(1));
        ask(&mut t, 1, 2, Op::Renew { name: name("task"), token: Token(1) });
        assert_eq!(t.apply(&Command::Expire { token: Token(1), renewals: 0 }), (None, None));
        assert_eq!(ask(&mut t, 2, 1, acquire(1)), Answer::Unable(Unable::Taken));
        let expired = t.apply(&Command::Expire { token: Token(1), renewals: 1 });
        assert_eq!(expired, (None, Some(Event::Expired(name("task"), Token(1)))));
        assert_eq!(t.apply(&Command::Expire { token: Token(1), renewals: 1 }), (None, None));
        assert_eq!(token(ask(&mut t, 2, 2, acquire(1))), Some(2));
    }

    #[test]
    fn a_table_reads_as_it_was_written_and_rubbish_does_not() {
        let mut t = Table::default();
        ask(&mut t, 1, 1, acquire(2));
        ask(&mut t, 2, 1, acquire(2));
        assert_eq!(Table::read(&t.write()), Ok(t.clone()));
        assert!(Table::read(&[0xff; 9]).is_err());
        assert_eq!(Table::read(&[]), Ok(Table::default()));
        assert!(Name::try_from("a b".to_owned()).is_err() && Name::try_from(String::new()).is_err());
    }

    fn acquire_as(seat: &str) -> Op {
        Op::AcquireAs { name: name("task"), places: 9, ttl_ms: 3_000, seat: name(seat) }
    }

    fn leave(token: u64, newest: u64) -> Op {
        let will = Will { of: 8, rest_ms: 700, newest: Token(newest), keep_ms: 5_000 };
        Op::Leave { name: name("task"), token: Token(token), will }
    }

    /// Place, token and what goes with it.
    fn seat(answer: Answer) -> (u16, u64, Option<Inherited>) {
        match answer {
            Answer::Seat(token, standing, seated) => (standing.place, token.0, seated.inherited),
            other => panic!("{other:?}"),
        }
    }

    #[test]
    fn a_place_that_is_left_is_taken_over_once_by_its_seat_and_by_nobody_else() {
        let mut t = Table::default();
        for (holder, sits) in [(1, "a"), (2, "b")] {
            assert_eq!(seat(ask(&mut t, holder, 1, acquire_as(sits))), (holder as u16 - 1, holder, None));
        }
        assert_eq!(ask(&mut t, 2, 2, leave(1, 2)), Answer::Unable(Unable::NotHeld), "another's");
        assert_eq!(ask(&mut t, 1, 2, leave(1, 2)), Answer::Left);
        assert_eq!(t.grant(Token(1)).map(|g| (g.place, g.ttl_ms)), Some((0, 5_000)));
        // It is left once, and its holder acts by it no more.
        assert_eq!(ask(&mut t, 1, 3, leave(1, 2)), Answer::Unable(Unable::NotHeld));
        let renew = Op::Renew { name: name("task"), token: Token(1) };
        assert_eq!(ask(&mut t, 1, 4, renew), Answer::Unable(Unable::NotHeld));
        // What was put into the log to end it before does so no more.
        assert_eq!(t.apply(&Command::Expire { token: Token(1), renewals: 0 }), (None, None));
        // Another seat, or none, has a place of its own.
        assert_eq!(seat(ask(&mut t, 3, 1, acquire_as("c"))), (2, 3, None));
        assert_eq!(token(ask(&mut t, 4, 1, acquire(9))), Some(4));
        let inherited = Some(Inherited { of: 8, rest_ms: 700 });
        let taken = t.apply(&Command::Request(Request { holder: HolderId(5), seq: 1, op: acquire_as("a") }));
        assert_eq!(taken.0.map(seat), Some((0, 5, inherited)));
        assert!(matches!(taken.1, Some(Event::Granted { before: Some(Token(1)), .. })), "{taken:?}");
        // A second one in the same seat.
        assert_eq!(seat(ask(&mut t, 6, 1, acquire_as("a"))), (4, 6, None));
        let places: BTreeSet<u16> = t.grants().map(|g| g.3.place).collect();
        assert_eq!(places.len(), 5);
        assert_eq!(Table::read(&t.write()), Ok(t));
    }

    #[test]
    fn a_table_of_a_version_that_knew_no_seats_is_read() {
        let mut t = Table::default();
        ask(&mut t, 1, 1, acquire(2));
        ask(&mut t, 2, 1, acquire(2));
        // Two empty maps are what such a version did not write.
        let bytes = t.write();
        assert_eq!(bytes[bytes.len() - 2..], [0, 0]);
        assert_eq!(Table::read(&bytes[..bytes.len() - 2]), Ok(t));
    }

    #[test]
    fn what_is_out_of_bounds_is_refused_and_holders_past_the_bound_are_forgotten() {
        let mut t = Table::default();
        for ttl_ms in [0, 99, 3_600_001] {
            let op = Op::Acquire { name: name("task"), places: 1, ttl_ms };
            assert_eq!(ask(&mut t, 1, 1 + u64::from(ttl_ms), op), Answer::Unable(Unable::Time));
        }
        assert_eq!(ask(&mut t, 2, 1, acquire(0)), Answer::Unable(Unable::Places));
        ask(&mut t, 3, 1, acquire(1));
        for holder in 10..10 + 2 * MOST_HOLDERS as u64 {
            ask(&mut t, holder, 1, acquire(1));
        }
        assert_eq!(t.last.len(), MOST_HOLDERS);
        assert!(t.last.contains_key(&HolderId(3)), "it holds something");
    }
}
