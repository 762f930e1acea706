//! Settings by the names that the platform gives them: one reading for the simulator's wire and the node's
//! configuration. Keys that are not known are passed over; absent ones bind nothing.

pub mod notes;

use crate::*;
use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};
use thiserror::Error;

/// Characters of the input that an error repeats at most.
const EXCERPT_CHARS: usize = 60;

/// A value is not of the form that it should have.
#[derive(Debug, PartialEq, Eq, Error)]
#[error("found '{found}', expected {expected}")]
pub struct ParseError {
    /// The beginning of what stood there.
    pub found: String,
    /// What should have stood there.
    pub expected: String,
}

/// What was read, or why not.
pub type Parsed<T> = Result<T, ParseError>;

/// The error for `found` where `expected` should have stood.
pub fn bad<T>(found: &str, expected: &str) -> Parsed<T> {
    Err(ParseError { found: excerpt(found), expected: expected.to_owned() })
}

/// The beginning of a text, for an error to repeat.
pub fn excerpt(text: &str) -> String {
    text.chars().take(EXCERPT_CHARS).collect()
}

/// Reads a finite number.
pub fn number(part: &str, what: &str) -> Parsed<f64> {
    match part.parse::<f64>() {
        Ok(value) if value.is_finite() => Ok(value),
        _ => bad(part, what),
    }
}

/// Milliseconds to the module's time.
pub fn micros(ms: f64) -> Micros {
    Micros((ms * 1000.0).round().max(0.0) as u64)
}

/// Settings by their paths.
struct Pairs<'a> {
    given: &'a HashMap<String, String>,
    asked: RefCell<BTreeSet<String>>,
}

impl Pairs<'_> {
    fn get(&self, path: &str) -> Option<&String> {
        self.asked.borrow_mut().insert(path.to_owned());
        self.given.get(path)
    }
    fn text(&self, path: &str) -> Option<&str> {
        self.get(path).map(String::as_str).filter(|v| !v.is_empty() && *v != "-")
    }
    fn number(&self, path: &str) -> Parsed<Option<f64>> {
        self.text(path).map(|v| number(v, &format!("a number for {path}"))).transpose()
    }
    fn time(&self, path: &str) -> Parsed<Option<Micros>> {
        Ok(self.number(path)?.map(micros))
    }
    fn flag(&self, path: &str) -> Parsed<Option<bool>> {
        match self.text(path) {
            None => Ok(None),
            Some("true" | "1") => Ok(Some(true)),
            Some("false" | "0") => Ok(Some(false)),
            Some(other) => bad(other, &format!("true or false for {path}")),
        }
    }
    fn list(&self, path: &str) -> Option<Vec<String>> {
        let value = self.get(path)?;
        Some(value.split(',').filter(|v| !v.is_empty()).map(str::to_owned).collect())
    }
    fn numbers(&self, path: &str, length: usize) -> Parsed<Option<Vec<f64>>> {
        let Some(list) = self.list(path) else { return Ok(None) };
        if list.len() != length {
            return bad(&format!("{path} of length {}", list.len()), &format!("length {length}"));
        }
        list.iter().map(|v| number(v, &format!("numbers for {path}"))).collect::<Parsed<Vec<f64>>>().map(Some)
    }
    fn flags(&self, path: &str, length: usize) -> Parsed<Option<Vec<bool>>> {
        let Some(list) = self.list(path) else { return Ok(None) };
        if list.len() != length {
            return bad(&format!("{path} of length {}", list.len()), &format!("length {length}"));
        }
        Ok(Some(list.iter().map(|v| v == "true" || v == "1").collect()))
    }
    fn count(&self, path: &str) -> Parsed<usize> {
        let path = format!("{path}.count");
        match self.text(&path) {
            None => Ok(0),
            Some(v) => v.parse().or_else(|_| bad(v, &format!("a count for {path}"))),
        }
    }
    fn one_of<T: Copy>(&self, path: &str, choices: &[(&str, T)], absent: T) -> Parsed<T> {
        let Some(text) = self.text(path) else { return Ok(absent) };
        let found = choices.iter().find(|(word, _)| *word == text).map(|(_, value)| *value);
        found.map_or_else(|| bad(text, &format!("a known word for {path}")), Ok)
    }
}

/// Reads the settings of a start line; keys that are not known are passed over, absent ones bind nothing.
pub fn settings(pairs: &HashMap<String, String>) -> Parsed<Settings> {
    read(pairs).map(|(settings, _)| settings)
}

/// Likewise, with lines that tell how far they fit: what has no use here, and what is assumed.
pub fn read(given: &HashMap<String, String>) -> Parsed<(Settings, Vec<String>)> {
    let p = Pairs { given, asked: RefCell::default() };
    let mut s = Settings::plain(read_classes(&p)?);
    s.kinds = read_kinds(&p)?;
    s.tenants = read_tenants(&p)?;
    read_deployment(&p, &mut s)?;
    read_limits(&p, &mut s)?;
    s.retry_budget = read_retry_budget(&p)?;
    s.slow_start = read_slow_start(&p)?;
    s.drain_grace = p.time("Contract.DrainGrace")?.unwrap_or_default();
    s.key_rest = p.time("Contract.TurnGap")?.unwrap_or_default();
    read_engine_rules(&p, &mut s)?;
    s.check().or_else(|e| bad(&e.to_string(), "settings that make sense"))?;
    let fit = notes::fit(given, &p.asked.borrow());
    Ok((s, fit))
}

fn read_classes(p: &Pairs) -> Parsed<Vec<ClassSettings>> {
    let count = p.count("Classes")?;
    let threads = p.numbers("Domain.ThreadsByClass", count)?;
    let holds_tables = p.flags("Domain.ClassLoad", count)?;
    let waits_for_holder = p.flags("Domain.ClassWaits", count)?;
    let mut classes = Vec::new();
    for place in 0..count {
        let mut class = read_class(p, place)?;
        class.threads = threads.as_ref().map_or(1.0, |threads| threads[place]);
        class.holds_tables = holds_tables.as_ref().is_some_and(|holds| holds[place]);
        class.waits_for_holder = waits_for_holder.as_ref().is_some_and(|waits| waits[place]);
        classes.push(class);
    }
    Ok(classes)
}

fn read_class(p: &Pairs, place: usize) -> Parsed<ClassSettings> {
    let at = |key: &str| format!("Classes.{place}.{key}");
    let Some(deadline) = p.time(&at("HardLimit"))? else { return bad("no value", &at("HardLimit")) };
    let window = p.time(&at("Window"))?.unwrap_or_default();
    let groups = [("all", RepeatGroup::All), ("zone", RepeatGroup::Zone), ("cell", RepeatGroup::Cell)];
    let group = p.one_of(&at("KeyScope"), &groups, RepeatGroup::All)?;
    let name = p.text(&at("Name")).unwrap_or("").to_owned();
    let latency_objective = p.time(&at("OnTime"))?.unwrap_or(deadline);
    let mut class = ClassSettings::plain(&name, latency_objective, deadline);
    class.objective_stretch = p.number(&at("AimStretch"))?.unwrap_or(0.0);
    class.priority_weight = p.number(&at("Value"))?.unwrap_or(1.0);
    class.late_weight = p.number(&at("LateWorth"))?.unwrap_or(0.0);
    let repeats =
        [("pure", Repeat::Safe), ("token", Repeat::Keyed { group, window }), ("side_effect", Repeat::Unsafe)];
    class.repeat = p.one_of(&at("Repeat"), &repeats, Repeat::Unsafe)?;
    class.in_order = p.flag(&at("ByArrival"))?.unwrap_or(false);
    class.kinds = p.list(&at("MachineTypesOpen"));
    class.zones = p.list(&at("AzsAllowed"));
    Ok(class)
}

fn read_kinds(p: &Pairs) -> Parsed<Vec<KindSettings>> {
    let names = p.list("MachineTypes").unwrap_or_default();
    let cores = p.numbers("Domain.CoresByKind", names.len())?;
    let memory_mb = p.numbers("Domain.RamOfKindMb", names.len())?;
    let kind = |(place, name)| KindSettings {
        name,
        cores: cores.as_ref().map(|cores| cores[place]),
        memory_mb: memory_mb.as_ref().map(|memory_mb| memory_mb[place]),
    };
    Ok(names.into_iter().enumerate().map(kind).collect())
}

fn read_tenants(p: &Pairs) -> Parsed<Vec<TenantSettings>> {
    let mut tenants = Vec::new();
    for place in 0..p.count("Parties")? {
        let name = p.text(&format!("Parties.{place}.Name")).unwrap_or("").to_owned();
        let quota_per_s = p.number(&format!("Parties.{place}.QuotaPerS"))?;
        tenants.push(TenantSettings { name, quota_per_s });
    }
    Ok(tenants)
}

/// The gateways, and how load reports and the engine list reach them.
fn read_deployment(p: &Pairs, s: &mut Settings) -> Parsed<()> {
    s.gateways = p.number("Balancers")?.unwrap_or(1.0) as u32;
    s.own_number = p.number("Me")?.unwrap_or(0.0) as u32;
    s.zone = p.text("Zone").map(str::to_owned);
    s.over_quota_weight = p.number("OverShareWorth")?.unwrap_or(1.0);
    let reports = [("inline", Reports::InAnswers), ("on_probe", Reports::InProbes), ("off", Reports::Absent)];
    s.reports = p.one_of("Report.How", &reports, Reports::Absent)?;
    let ask_within = p.time("Contract.AskWithin")?.unwrap_or(Micros(u64::MAX));
    let discovery = [("automatic", Discovery::Pushed), ("subscribe", Discovery::Subscribed { ask_within })];
    s.discovery = p.one_of("MembershipMode", &discovery, Discovery::Pushed)?;
    Ok(())
}

fn read_limits(p: &Pairs, s: &mut Settings) -> Parsed<()> {
    s.max_attempts = p.number("Limits.SendCap")?.map(|cap| cap as u32);
    s.hedging = p.flag("Limits.SecondCopies")?.unwrap_or(false);
    s.cancel = p.flag("Limits.Cancel")?.unwrap_or(false);
    s.peers = p.flag("Limits.PeerMessages")?.unwrap_or(false);
    if p.flag("Limits.RetryAfter")?.unwrap_or(false) {
        s.retry_after = p.time("Limits.MaxRetryAfter")?;
    }
    Ok(())
}

fn read_retry_budget(p: &Pairs) -> Parsed<Option<RetryBudget>> {
    let per_request = p.number("Contract.ExtraRatio")?;
    let free = p.number("Contract.MinExtra")?;
    if per_request.is_none() && free.is_none() {
        return Ok(None);
    }
    let span = p.time("Contract.RatioSpan")?.unwrap_or(Micros(u64::MAX));
    let budget = RetryBudget { free: free.unwrap_or(0.0), per_request: per_request.unwrap_or(0.0), span };
    Ok(Some(budget))
}

fn read_slow_start(p: &Pairs) -> Parsed<Option<SlowStart>> {
    let fall_multiple = p.number("Contract.FallMultiple")?;
    let fall_span = p.time("Contract.Fall")?;
    let (Some(fall_multiple), Some(fall_span)) = (fall_multiple, fall_span) else { return Ok(None) };
    let start_share = p.number("Contract.StartCapacity")?.unwrap_or(0.0);
    let warm_within = p.time("Contract.WarmWithin")?.unwrap_or_default();
    Ok(Some(SlowStart { start_share, warm_within, fall_multiple, fall_span }))
}

/// How engines grant memory and heed priorities, and what they report.
fn read_engine_rules(p: &Pairs, s: &mut Settings) -> Parsed<()> {
    s.grants = p.flag("Domain.Grants")?.unwrap_or(false);
    s.priorities = p.flag("Domain.Priorities")?.unwrap_or(false);
    let when_short =
        [("line_up", WhenShort::Waits), ("cut", WhenShort::GetsLess), ("overcommit", WhenShort::LetIn)];
    s.when_short = p.one_of("Domain.OutOfMemory", &when_short, WhenShort::Waits)?;
    s.largest_grant = p.number("Domain.LargestShare")?.unwrap_or(1.0);
    s.progress_interval = p.time("Domain.TellsEvery")?.filter(|every| every.0 > 0);
    s.reports_cost = p.flag("Domain.TellsCost")?.unwrap_or(false);
    Ok(())
}

/// Puts one figure of a load report into its place. The simulator's wire and the sockets have names of their own.
pub fn report_field(report: &mut LoadReport, name: &str, value: f64) {
    match name {
        "outstanding" | "inflight" => report.in_flight = Some(value),
        "backlog" | "queue" => report.queued = Some(value),
        "utilization" | "util" => report.busy = Some(value),
        "x0" => report.memory_share = Some(value),
        "x1" => report.disk_share = Some(value),
        other => {
            report.other.insert(other.to_owned(), value);
        }
    }
}
