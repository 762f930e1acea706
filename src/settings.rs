//! Reads the settings of the decision module from the platform's setting names, both for the simulator's protocol and
//! for the node's configuration. Unknown paths are ignored, and a limit that is not set does not apply.

pub mod notes;

use crate::{
    ClassSettings, Discovery, KindSettings, LoadReport, Micros, Repeat, RepeatGroup, Reports, RetryBudget,
    Settings, SlowStart, TenantSettings, WhenMemoryFull,
};
use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};
use thiserror::Error;

/// Maximum length of the input excerpt in an error message, in characters.
const EXCERPT_CHARS: usize = 60;

/// A value does not have the expected format.
#[derive(Debug, PartialEq, Eq, Error)]
#[error("found '{found}', expected {expected}")]
pub struct ParseError {
    /// Beginning of the text that was found.
    pub found: String,
    /// Description of the text that was expected.
    pub expected: String,
}

/// Result of parsing a value.
pub type Parsed<T> = Result<T, ParseError>;

/// Returns the error for finding the text `found` instead of `expected`.
pub fn unexpected<T>(found: &str, expected: &str) -> Parsed<T> {
    Err(ParseError { found: excerpt(found), expected: expected.to_owned() })
}

/// Returns the beginning of a text, for use in an error message.
pub fn excerpt(text: &str) -> String {
    text.chars().take(EXCERPT_CHARS).collect()
}

/// Parses a finite number; infinities and NaN are errors.
pub fn number(text: &str, expected: &str) -> Parsed<f64> {
    match text.parse::<f64>() {
        Ok(value) if value.is_finite() => Ok(value),
        _ => unexpected(text, expected),
    }
}

/// Converts milliseconds to the time type of the decision module. Negative values become zero.
pub fn micros(ms: f64) -> Micros {
    Micros((ms * 1000.0).round().max(0.0) as u64)
}

/// Setting values by path, with a record of the lookups.
struct Pairs<'a> {
    given: &'a HashMap<String, String>,
    /// Paths that were looked up, whether or not they have a value.
    looked_up: RefCell<BTreeSet<String>>,
}

impl Pairs<'_> {
    fn get(&self, path: &str) -> Option<&String> {
        self.looked_up.borrow_mut().insert(path.to_owned());
        self.given.get(path)
    }

    fn text(&self, path: &str) -> Option<&str> {
        self.get(path).map(String::as_str).filter(|value| !value.is_empty() && *value != "-")
    }

    fn number(&self, path: &str) -> Parsed<Option<f64>> {
        self.text(path).map(|value| number(value, &format!("a number for {path}"))).transpose()
    }

    fn time(&self, path: &str) -> Parsed<Option<Micros>> {
        Ok(self.number(path)?.map(micros))
    }

    fn flag(&self, path: &str) -> Parsed<Option<bool>> {
        match self.text(path) {
            None => Ok(None),
            Some("true" | "1") => Ok(Some(true)),
            Some("false" | "0") => Ok(Some(false)),
            Some(other) => unexpected(other, &format!("true or false for {path}")),
        }
    }

    fn list(&self, path: &str) -> Option<Vec<String>> {
        let value = self.get(path)?;
        Some(value.split(',').filter(|value| !value.is_empty()).map(str::to_owned).collect())
    }

    fn list_of_length(&self, path: &str, length: usize) -> Parsed<Option<Vec<String>>> {
        let Some(list) = self.list(path) else { return Ok(None) };
        if list.len() != length {
            return unexpected(&format!("{path} of length {}", list.len()), &format!("length {length}"));
        }
        Ok(Some(list))
    }

    fn numbers(&self, path: &str, length: usize) -> Parsed<Option<Vec<f64>>> {
        let Some(list) = self.list_of_length(path, length)? else { return Ok(None) };
        let expected = format!("numbers for {path}");
        let numbers: Parsed<Vec<f64>> = list.iter().map(|value| number(value, &expected)).collect();
        numbers.map(Some)
    }

    fn flags(&self, path: &str, length: usize) -> Parsed<Option<Vec<bool>>> {
        let Some(list) = self.list_of_length(path, length)? else { return Ok(None) };
        Ok(Some(list.iter().map(|value| value == "true" || value == "1").collect()))
    }

    fn count(&self, path: &str) -> Parsed<usize> {
        let path = format!("{path}.count");
        match self.text(&path) {
            None => Ok(0),
            Some(value) => value.parse().or_else(|_| unexpected(value, &format!("a count for {path}"))),
        }
    }

    fn one_of<T: Copy>(&self, path: &str, choices: &[(&str, T)], default: T) -> Parsed<T> {
        let Some(text) = self.text(path) else { return Ok(default) };
        let found = choices.iter().find(|(word, _)| *word == text).map(|(_, value)| *value);
        found.map_or_else(|| unexpected(text, &format!("a known value for {path}")), Ok)
    }
}

/// Reads the decision module's settings from values by path. Unknown paths are ignored, and a limit that is not set
/// does not apply.
///
/// # Errors
///
/// If a value does not have the expected format, or the settings contradict each other.
pub fn read_settings(given: &HashMap<String, String>) -> Parsed<Settings> {
    let (settings, _) = read_settings_with_notes(given)?;
    Ok(settings)
}

/// Like [`read_settings`], but also returns notes for the log: which paths were ignored, and which defaults apply.
///
/// # Errors
///
/// Same as for [`read_settings`].
pub fn read_settings_with_notes(given: &HashMap<String, String>) -> Parsed<(Settings, Vec<String>)> {
    let pairs = Pairs { given, looked_up: RefCell::default() };
    let mut settings = Settings::plain(read_classes(&pairs)?);
    settings.kinds = read_kinds(&pairs)?;
    settings.tenants = read_tenants(&pairs)?;
    read_deployment(&pairs, &mut settings)?;
    read_limits(&pairs, &mut settings)?;
    settings.retry_budget = read_retry_budget(&pairs)?;
    settings.slow_start = read_slow_start(&pairs)?;
    settings.drain_grace = pairs.time("Contract.DrainGrace")?.unwrap_or_default();
    settings.key_pause = pairs.time("Contract.TurnGap")?.unwrap_or_default();
    read_engine_rules(&pairs, &mut settings)?;
    settings.check().or_else(|error| unexpected(&error.to_string(), "consistent settings"))?;
    let notes = notes::notes(given, &pairs.looked_up.borrow());
    Ok((settings, notes))
}

fn read_classes(pairs: &Pairs) -> Parsed<Vec<ClassSettings>> {
    let count = pairs.count("Classes")?;
    let threads = pairs.numbers("Domain.ThreadsByClass", count)?;
    let locks_tables = pairs.flags("Domain.ClassLoad", count)?;
    let waits_for_table_lock = pairs.flags("Domain.ClassWaits", count)?;
    let mut classes = Vec::new();
    for index in 0..count {
        let mut class = read_class(pairs, index)?;
        class.threads = threads.as_ref().map_or(1.0, |threads| threads[index]);
        class.locks_tables = locks_tables.as_ref().is_some_and(|holds| holds[index]);
        class.waits_for_table_lock = waits_for_table_lock.as_ref().is_some_and(|waits| waits[index]);
        classes.push(class);
    }
    Ok(classes)
}

fn read_class(pairs: &Pairs, index: usize) -> Parsed<ClassSettings> {
    let path = |key: &str| format!("Classes.{index}.{key}");
    let Some(deadline) = pairs.time(&path("HardLimit"))? else {
        return unexpected("no value", &path("HardLimit"));
    };
    let window = pairs.time(&path("Window"))?.unwrap_or_default();
    let groups = [("all", RepeatGroup::All), ("zone", RepeatGroup::Zone), ("cell", RepeatGroup::Cell)];
    let group = pairs.one_of(&path("KeyScope"), &groups, RepeatGroup::All)?;
    let name = pairs.text(&path("Name")).unwrap_or("").to_owned();
    let latency_objective = pairs.time(&path("OnTime"))?.unwrap_or(deadline);
    let mut class = ClassSettings::plain(&name, latency_objective, deadline);
    class.objective_stretch = pairs.number(&path("AimStretch"))?.unwrap_or(0.0);
    class.priority_weight = pairs.number(&path("Value"))?.unwrap_or(1.0);
    class.late_weight = pairs.number(&path("LateWorth"))?.unwrap_or(0.0);
    let repeats =
        [("pure", Repeat::Safe), ("token", Repeat::Keyed { group, window }), ("side_effect", Repeat::Unsafe)];
    class.repeat = pairs.one_of(&path("Repeat"), &repeats, Repeat::Unsafe)?;
    class.in_order = pairs.flag(&path("ByArrival"))?.unwrap_or(false);
    class.kinds = pairs.list(&path("MachineTypesOpen"));
    class.zones = pairs.list(&path("AzsAllowed"));
    Ok(class)
}

fn read_kinds(pairs: &Pairs) -> Parsed<Vec<KindSettings>> {
    let names = pairs.list("MachineTypes").unwrap_or_default();
    let cores = pairs.numbers("Domain.CoresByKind", names.len())?;
    let memory_mb = pairs.numbers("Domain.RamOfKindMb", names.len())?;
    let mut kinds = Vec::new();
    for (index, name) in names.into_iter().enumerate() {
        let cores = cores.as_ref().map(|cores| cores[index]);
        let memory_mb = memory_mb.as_ref().map(|memory_mb| memory_mb[index]);
        kinds.push(KindSettings { name, cores, memory_mb });
    }
    Ok(kinds)
}

fn read_tenants(pairs: &Pairs) -> Parsed<Vec<TenantSettings>> {
    let mut tenants = Vec::new();
    for index in 0..pairs.count("Parties")? {
        let name = pairs.text(&format!("Parties.{index}.Name")).unwrap_or("").to_owned();
        let quota_per_s = pairs.number(&format!("Parties.{index}.QuotaPerS"))?;
        tenants.push(TenantSettings { name, quota_per_s });
    }
    Ok(tenants)
}

/// Reads the number of gateways, this gateway's index and zone, and how load reports and the engine list reach the
/// gateways.
fn read_deployment(pairs: &Pairs, settings: &mut Settings) -> Parsed<()> {
    settings.gateways = pairs.number("Balancers")?.unwrap_or(1.0) as u32;
    settings.own_number = pairs.number("Me")?.unwrap_or(0.0) as u32;
    settings.zone = pairs.text("Zone").map(str::to_owned);
    settings.over_quota_weight = pairs.number("OverShareWorth")?.unwrap_or(1.0);
    let reports = [("inline", Reports::InAnswers), ("on_probe", Reports::InProbes), ("off", Reports::Absent)];
    settings.reports = pairs.one_of("Report.How", &reports, Reports::Absent)?;
    let ask_within = pairs.time("Contract.AskWithin")?.unwrap_or(Micros(u64::MAX));
    let discovery = [("automatic", Discovery::Pushed), ("subscribe", Discovery::Subscribed { ask_within })];
    settings.discovery = pairs.one_of("MembershipMode", &discovery, Discovery::Pushed)?;
    Ok(())
}

fn read_limits(pairs: &Pairs, settings: &mut Settings) -> Parsed<()> {
    settings.max_attempts = pairs.number("Limits.SendCap")?.map(|cap| cap as u32);
    settings.hedging = pairs.flag("Limits.SecondCopies")?.unwrap_or(false);
    settings.cancel = pairs.flag("Limits.Cancel")?.unwrap_or(false);
    settings.peers = pairs.flag("Limits.PeerMessages")?.unwrap_or(false);
    if pairs.flag("Limits.RetryAfter")?.unwrap_or(false) {
        settings.retry_after = pairs.time("Limits.MaxRetryAfter")?;
    }
    Ok(())
}

fn read_retry_budget(pairs: &Pairs) -> Parsed<Option<RetryBudget>> {
    let per_request = pairs.number("Contract.ExtraRatio")?;
    let free = pairs.number("Contract.MinExtra")?;
    if per_request.is_none() && free.is_none() {
        return Ok(None);
    }
    let span = pairs.time("Contract.RatioSpan")?.unwrap_or(Micros(u64::MAX));
    let budget = RetryBudget { free: free.unwrap_or(0.0), per_request: per_request.unwrap_or(0.0), span };
    Ok(Some(budget))
}

fn read_slow_start(pairs: &Pairs) -> Parsed<Option<SlowStart>> {
    let fall_multiple = pairs.number("Contract.FallMultiple")?;
    let fall_span = pairs.time("Contract.Fall")?;
    let (Some(fall_multiple), Some(fall_span)) = (fall_multiple, fall_span) else { return Ok(None) };
    let start_share = pairs.number("Contract.StartCapacity")?.unwrap_or(0.0);
    let warm_within = pairs.time("Contract.WarmWithin")?.unwrap_or_default();
    Ok(Some(SlowStart { start_share, warm_within, fall_multiple, fall_span }))
}

/// Reads how engines grant memory and apply priorities, and what they report about running queries.
fn read_engine_rules(pairs: &Pairs, settings: &mut Settings) -> Parsed<()> {
    settings.grants = pairs.flag("Domain.Grants")?.unwrap_or(false);
    settings.priorities = pairs.flag("Domain.Priorities")?.unwrap_or(false);
    let when_memory_full = [
        ("line_up", WhenMemoryFull::Queues),
        ("cut", WhenMemoryFull::Spills),
        ("overcommit", WhenMemoryFull::Overcommits),
    ];
    settings.when_memory_full =
        pairs.one_of("Domain.OutOfMemory", &when_memory_full, WhenMemoryFull::Queues)?;
    settings.largest_grant = pairs.number("Domain.LargestShare")?.unwrap_or(1.0);
    settings.progress_interval = pairs.time("Domain.TellsEvery")?.filter(|every| every.0 > 0);
    settings.reports_cost = pairs.flag("Domain.TellsCost")?.unwrap_or(false);
    Ok(())
}

/// Sets the field of a load report that has this name in the simulator's protocol or in the engines' line protocol. A
/// value with an unknown name is stored in [`LoadReport::other`].
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
