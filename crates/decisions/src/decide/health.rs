//! Which engines are trusted: one sum of evidence for each.

use super::*;

const EJECT_SHARE: f64 = 0.5; // share of the fleet that may be out for anything but lost connections
const DOUBT_FULL: f64 = 2.0; // log odds; ejects: one bad sign where few come; trust is saved up no further
const RESETS: u32 = 3; // broken connections in a row, none served between, before they are a bad sign
const ZONE_LOST: usize = 2; // engines of a zone lost, and nothing heard from it since: then it is lost
const SICK_MS: f64 = 10_000.0; // ms; half-life of the fleet's share of bad signs
const SICK_LEAST: f64 = 0.02; // share of bad signs that any fleet has: bad plans, wrong estimates

impl Gateway {
    pub(super) fn judge(
        &mut self,
        e: usize,
        outcome: Outcome,
        doubted: bool,
        work_ms: f64,
        out: &mut Vec<Action>,
    ) {
        self.zones.of(&self.engines[e]).end(e, outcome);
        let (now, engine) = (self.now, &mut self.engines[e]);
        match outcome {
            Outcome::Served => {
                if engine.lost_in_row >= 2 {
                    engine.started = Some(now); // Connections failed, now it answers: started anew, cold.
                }
                (engine.lost_in_row, engine.resets_in_row) = (0, 0);
                (!doubted).then(|| self.weigh(e, false, "", out));
            }
            Outcome::Full => self.met_line(e, work_ms),
            Outcome::ConnectFailed => {
                engine.lost_in_row += 1;
                engine.started = Some(now); // What takes no connection starts anew, and cold.
                self.weigh(e, true, "connections fail", out);
                (self.engines[e].lost_in_row >= 2).then(|| self.eject(e, "connections fail", true, out));
            }
            Outcome::Reset => {
                // A few break anywhere; an engine that breaks all and serves none is sick.
                engine.resets_in_row += 1;
                (engine.resets_in_row >= RESETS).then(|| self.weigh(e, true, "connections break", out));
            }
            _ => {}
        }
    }

    /// A zone goes with all its engines. Who sees little of each would learn it from one after the other, a
    /// request each: two lost with no word from the zone speak for all, while another zone is not lost.
    pub(super) fn zone_lost(&self, e: usize) -> bool {
        let lost = |e: &Engine| self.zones.lost(&e.member.zone) >= ZONE_LOST;
        lost(&self.engines[e]) && self.engines.iter().any(|o| o.listed && !lost(o))
    }

    /// An error may be the request's fault as well as the engine's: it counts against an engine once another
    /// has served the same request. Covers clients that ask for what none can run; an engine whose errors
    /// meet only what is never repeated stays in use: they say nothing more than a client's own.
    pub(super) fn blame_errors(&mut self, seq: u64, outcome: Outcome, out: &mut Vec<Action>) {
        if outcome == Outcome::Served {
            let at_fault: Vec<usize> = self.jobs[&seq].errors().collect();
            at_fault.into_iter().for_each(|e| self.weigh(e, true, "answers with errors", out));
        }
    }

    /// Weighs a sign against an engine (error, reset, no connection, no answer within patience) or for it, by
    /// how much likelier a sick engine shows it than the rest of the fleet now. What all share ejects nobody;
    /// where few signs come, one bad sign that no other engine shows is enough for a short rest.
    pub(super) fn weigh(&mut self, e: usize, bad: bool, why: &str, out: &mut Vec<Action>) {
        let (now, engine) = (self.now, &mut self.engines[e]);
        let (own, least) = (engine.signs.at(now, SICK_MS).0, SICK_LEAST);
        let share =
            self.signs.share_without(&engine.signs, now, SICK_MS, least, PRIOR_ATTEMPTS).clamp(least, 0.95);
        let step = if bad { ((1.0 + share) / (2.0 * share)).ln() } else { -std::f64::consts::LN_2 };
        engine.doubt = (engine.doubt * fade(now.since(engine.weighed), RECENT_MS) + step).max(-DOUBT_FULL);
        engine.weighed = now;
        engine.signs.count(now, bad, SICK_MS);
        self.signs.count(now, bad, SICK_MS);
        let half = engine.health == Health::HalfOpen;
        if bad && (half || engine.doubt > DOUBT_FULL + (1.0 + own * share).ln()) {
            self.eject(e, why, false, out);
        } else if half && !bad {
            (engine.health, engine.doubt) = (Health::Well, 0.0);
            engine.strikes = engine.strikes.saturating_sub(1);
        }
    }

    fn eject(&mut self, e: usize, why: &str, surely: bool, out: &mut Vec<Action>) {
        let listed = self.engines.iter().filter(|x| x.listed).count() as f64;
        let gone = self.engines.iter().filter(|x| x.listed && x.health != Health::Well).count() as f64;
        let engine = &mut self.engines[e];
        let bounded = !surely && engine.health == Health::Well && gone + 1.0 > EJECT_SHARE * listed;
        if bounded || matches!(engine.health, Health::Ejected(_)) {
            return;
        }
        let rest = Micros(EJECT_FIRST.0 << engine.strikes.min(3)).min(EJECT_LONGEST);
        engine.strikes += 1;
        engine.health = Health::Ejected(self.now.plus(rest));
        if self.now >= self.log_after {
            self.log_after = self.now.plus(EJECT_FIRST);
            let (name, ms) = (&engine.member.engine.0, rest.0 / 1000);
            out.push(Action::Log(format!("eject {name} for {ms} ms: {why}")));
        }
    }
}
