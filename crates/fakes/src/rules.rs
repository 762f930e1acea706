//! The platform's rules, judged from what clients and engines saw: pure, and by no book of the program's own.

use crate::warehouse::{Act, What};
use std::collections::BTreeMap;

/// A request as its client wrote it.
#[derive(Clone, Debug)]
pub struct Asked {
    /// When its last byte was written.
    pub at: f64,
    /// Its id.
    pub id: String,
    /// Its class.
    pub class: usize,
    /// The key of its order.
    pub key: Option<String>,
    /// When its client stops waiting.
    pub until: f64,
    /// When its client gave it up before that.
    pub gone: Option<f64>,
}

/// What a client was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Said {
    /// The result.
    Served,
    /// Refused: trying again is harmless.
    Refused,
    /// Failed.
    Failed,
}

/// The figures of the rules.
#[derive(Clone, Debug)]
pub struct Rules {
    /// By class, whether it may be run twice.
    pub safe: Vec<bool>,
    /// By class, whether it keeps the order of its keys.
    pub ordered: Vec<bool>,
    /// Rest of a key after an end that is not sure, in milliseconds.
    pub rest_ms: f64,
    /// Further attempts: so many free, so many for each request, within so many milliseconds.
    pub ration: Option<(f64, f64, f64)>,
    /// Attempts of one request.
    pub most: Option<usize>,
    /// After a client's time a final answer still counts for this long, in milliseconds.
    pub grace_ms: f64,
}

struct Tried {
    from: f64,
    end: Option<(f64, What)>,
}

/// Every break of a rule, in words; none if all is well.
pub fn judge(asked: &[Asked], said: &[(f64, String, Said)], acts: &[Act], rules: &Rules) -> Vec<String> {
    let mut broken = Vec::new();
    let mut tries: BTreeMap<&str, Vec<Tried>> = BTreeMap::new();
    let mut acts: Vec<&Act> = acts.iter().collect();
    acts.sort_by(|a, b| a.at.total_cmp(&b.at)); // Stable: each engine's own order stays.
    for act in acts {
        let of = tries.entry(&act.id).or_default();
        if act.what == What::Came {
            if of.iter().any(|t| t.end.is_none()) {
                broken.push(format!("{}: two attempts out at {:.0}", act.id, act.at));
            }
            of.push(Tried { from: act.at, end: None });
        } else if let Some(open) = of.iter_mut().find(|t| t.end.is_none()) {
            open.end = Some((act.at, act.what));
        }
    }
    let mut further: Vec<f64> = Vec::new();
    for request in asked {
        let answers: Vec<_> = said.iter().filter(|(_, id, _)| *id == request.id).collect();
        let (id, owed) = (&request.id, usize::from(request.gone.is_none()));
        if answers.len() > 1 || answers.len() < owed {
            broken.push(format!("{id}: {} final answers", answers.len()));
        }
        if let Some((at, ..)) = answers.first().filter(|(at, ..)| *at > request.until + rules.grace_ms) {
            broken.push(format!("{id}: answered {:.0} ms too late", at - request.until));
        }
        let Some(of) = tries.get(id.as_str()) else { continue };
        further.extend(of.iter().skip(1).map(|t| t.from));
        let ran = |t: &Tried| !matches!(t.end, Some((_, What::TurnedAway)));
        if !rules.safe[request.class] {
            if of.iter().rev().skip(1).any(ran) {
                broken.push(format!("{id}: sent again though it may have run"));
            }
            if answers.first().is_some_and(|(.., said)| *said == Said::Refused) && of.iter().any(ran) {
                broken.push(format!("{id}: refused though it may have run"));
            }
        }
        if rules.most.is_some_and(|most| of.len() > most) {
            broken.push(format!("{id}: {} attempts", of.len()));
        }
        if let (true, Some(key)) = (rules.ordered[request.class], &request.key) {
            let first = of[0].from;
            let same =
                |a: &&Asked| a.key.as_ref() == Some(key) && rules.ordered[a.class] && a.at < request.at;
            for earlier in asked.iter().filter(same) {
                let answered = said.iter().find(|(_, id, _)| *id == earlier.id).map(|(at, ..)| *at);
                let over = answered.into_iter().chain(earlier.gone).fold(f64::INFINITY, f64::min);
                if over > first {
                    broken.push(format!("{id}: sent at {first:.0} before {} was over", earlier.id));
                }
                for t in tries.get(earlier.id.as_str()).into_iter().flatten() {
                    let rest = match t.end {
                        Some((at, What::Served | What::Failed | What::TurnedAway)) => at,
                        Some((at, What::Broke | What::CalledOff | What::TimedOut | What::Came)) => {
                            at + rules.rest_ms
                        }
                        None => f64::INFINITY,
                    };
                    if first < rest {
                        broken.push(format!("{id}: sent at {first:.0}, {} rests till {rest:.0}", earlier.id));
                    }
                }
            }
        }
    }
    if let Some((free, each, span)) = rules.ration {
        for now in &further {
            let within = |at: &&f64| **at <= *now && now - **at < span;
            let taken = asked.iter().filter(|a| a.at <= *now && now - a.at < span).count() as f64;
            let sent = further.iter().filter(within).count() as f64;
            if sent > 1.15 * (free + each * taken) + 1.0 {
                broken.push(format!("at {now:.0}: {sent} further attempts for {taken} requests"));
            }
        }
    }
    broken
}
