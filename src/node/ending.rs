//! A planned end, as a machine of its own: told, and no longer ready; the listeners closed when nothing more comes; open
//! connections served until each is quiet; closed with nothing owed; ended. Pure: times and counts in, what to do out.
//!
//! The platform's windows: after the signal new connections come for 0.2 to 0.4 s, and requests on open ones for 0.2 s
//! more. The kill comes no earlier than the longest deadline (3 s where it is longer) and 0.7 s after the signal.

const ACCEPT_MS: f64 = 600.0; // after the signal, in which new connections come, with slack
const QUIET_MS: f64 = 100.0; // without a new connection, after that, until the listeners are closed
const REQUESTS_MS: f64 = 800.0; // after the signal, in which requests come on what is open, with slack
const LONGEST_MS: f64 = 3000.0; // of the longest deadline that counts for the kill
const KILL_MS: f64 = 700.0; // after that, until the kill
const LAST_WORD_MS: f64 = 200.0; // before the kill: what is owed then is answered, so that the client reads it
const LOOK_MS: f64 = 50.0; // between looks
const END_MS: f64 = 100.0; // before the kill: it ends by then, whoever has not read what was written

/// Where a planned end stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// New connections still come, and are taken.
    Accepting,
    /// No more new ones; requests still come on what is open.
    Serving,
    /// What is quiet is closed; what is owed is finished.
    Closing,
    /// Nothing is owed, and every client's connection is closed.
    Ended,
}

/// What is to be done after a look.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Todo {
    /// Close the listeners now.
    pub close_listeners: bool,
    /// Refuse new requests, and close the connections on which nothing is owed.
    pub close_quiet: bool,
    /// When to look again; none once it has ended.
    pub again: Option<f64>,
}

/// A planned end that has begun.
#[derive(Clone, Debug)]
pub struct Ending {
    told: f64,
    kill: f64,
    newest: f64,
    phase: Phase,
}

impl Ending {
    /// The signal has come. `longest_ms` is the longest time that any client may wait, in milliseconds.
    pub fn new(now: f64, longest_ms: f64) -> Ending {
        let kill = now + longest_ms.min(LONGEST_MS) + KILL_MS;
        Ending { told: now, kill, newest: now, phase: Phase::Accepting }
    }

    /// Where it stands.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// When all that is still owed is answered: what runs on then would be killed with its client waiting.
    pub fn last_word(&self) -> f64 {
        (self.kill - LAST_WORD_MS).max(self.told + REQUESTS_MS)
    }

    /// A new connection was taken.
    pub fn accepted(&mut self, now: f64) {
        self.newest = now;
    }

    /// Looks where it stands: requests that are open, and client connections that are not closed yet.
    pub fn look(&mut self, now: f64, open: usize, connections: usize) -> Todo {
        let since = now - self.told;
        let last = self.kill - END_MS;
        let again = if now < last { (now + LOOK_MS).min(last) } else { now + LOOK_MS };
        let mut todo = Todo { close_listeners: false, close_quiet: false, again: Some(again) };
        let quiet = now - self.newest >= QUIET_MS;
        if self.phase == Phase::Accepting && since >= ACCEPT_MS && (quiet || since >= REQUESTS_MS) {
            (self.phase, todo.close_listeners) = (Phase::Serving, true);
        }
        if self.phase == Phase::Serving && since >= REQUESTS_MS {
            self.phase = Phase::Closing;
        }
        todo.close_quiet = self.phase == Phase::Closing;
        let is_done = open == 0 && connections == 0;
        if self.phase == Phase::Closing && (is_done || now >= last) {
            (self.phase, todo.again) = (Phase::Ended, None);
        }
        todo
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Plays an end with new connections at these moments and so much open until then; the phases with their times.
    fn play(connects: &[f64], open_until: f64) -> (Vec<(f64, Phase)>, usize) {
        let (mut ending, mut now, mut seen, mut closes) = (Ending::new(0.0, 25_000.0), 0.0, Vec::new(), 0);
        while ending.phase() != Phase::Ended {
            now += LOOK_MS;
            assert!(now < 5000.0, "it never ends: {seen:?}");
            connects
                .iter()
                .filter(|at| (now - LOOK_MS..now).contains(*at))
                .for_each(|at| ending.accepted(*at));
            let todo = ending.look(now, usize::from(now < open_until), 0);
            closes += usize::from(todo.close_listeners);
            assert_eq!(todo.again.is_none(), ending.phase() == Phase::Ended);
            if seen.last().is_none_or(|(_, phase)| *phase != ending.phase()) {
                seen.push((now, ending.phase()));
            }
        }
        (seen, closes)
    }

    #[test]
    fn it_accepts_through_the_window_serves_what_is_open_and_ends_when_nothing_is_owed() {
        use Phase::*;
        let (seen, closes) = play(&[100.0, 380.0], 0.0);
        assert_eq!(seen, [(50.0, Accepting), (600.0, Serving), (800.0, Ended)]);
        assert_eq!(closes, 1);
        let (seen, _) = play(&[], 2000.0);
        assert_eq!(seen, [(50.0, Accepting), (600.0, Serving), (800.0, Closing), (2000.0, Ended)]);
    }

    #[test]
    fn connections_without_end_do_not_hold_the_listeners_open() {
        let all: Vec<f64> = (0..100).map(|i| f64::from(i) * 10.0).collect();
        let (seen, closes) = play(&all, 0.0);
        assert_eq!((seen.last(), closes), (Some(&(800.0, Phase::Ended)), 1));
    }

    #[test]
    fn the_last_word_comes_before_the_kill_whatever_the_deadlines() {
        for (longest, last) in [(100_000.0, 3500.0), (3000.0, 3500.0), (1000.0, 1500.0), (10.0, 800.0)] {
            assert_eq!(Ending::new(0.0, longest).last_word(), last);
        }
    }
}
