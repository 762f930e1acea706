//! Soak test of the front end: real processes under traffic. Restarts, reloads, kills and faults of engines and of
//! service discovery are drawn from a seed, and the platform's rules are checked on externally visible behavior.
//!
//! [`play`] runs one seed, [`plan`] derives the faults of a run from its seed, and [`verdict`] checks the rules.

pub mod at_rest;
pub mod book;
pub mod client;
pub mod crowd;
pub mod discovery;
pub mod engine;
pub mod front_end;
pub mod lateness;
pub mod load;
pub mod plan;
pub mod run;
pub mod summary;
pub mod verdict;

pub use run::play;
pub use summary::Summary;

use plan::Plan;

/// Index of the look-up class, whose requests may run twice.
pub const LOOKUP: usize = 0;
/// Index of the report class, whose requests may run twice.
pub const REPORT: usize = 1;
/// Index of the load class, whose requests must not run twice and run in order for each ordering key.
pub const LOAD: usize = 2;

/// Deadline of look-up requests, in milliseconds. The plan sets the deadlines of the other classes.
const LOOKUP_DEADLINE_MS: f64 = 1200.0;
/// Mean work of a request in milliseconds of CPU time. Clients send this value as the estimate of each request.
pub const WORK_MS: f64 = 40.0;
/// Number of cores of each engine.
pub const CORES: f64 = 2.0;
/// Grace period after the notice of an engine's drain in which front ends may still send requests to the engine, in
/// milliseconds.
pub const DRAIN_GRACE_MS: f64 = 250.0;
/// Time for which an ordering key stays blocked after an attempt that may still be running at its engine, in
/// milliseconds.
pub const KEY_REST_MS: f64 = 150.0;
/// Retry budget: number of retries that are always allowed, additional retries per request, and the length of the
/// sliding window in milliseconds.
pub const RETRY_BUDGET: (f64, f64, f64) = (2.0, 0.2, 4000.0);
/// Maximum number of attempts of one request.
pub const MAX_ATTEMPTS: usize = 4;
/// Fraction of its capacity that an engine has right after its start.
pub const START_SHARE: f64 = 0.2;
/// Time in which an engine's capacity rises from its initial to its full value, in milliseconds.
pub const WARM_WITHIN_MS: f64 = 6000.0;
/// A warming engine fails if the work sent to it within [`FALL_SPAN_MS`] exceeds its current capacity times this
/// factor.
pub const FALL_MULTIPLE: f64 = 1.5;
/// Window over which the work sent to a warming engine is compared with [`FALL_MULTIPLE`], in milliseconds.
pub const FALL_SPAN_MS: f64 = 1500.0;

/// Returns the method name and the deadline in milliseconds of a request class.
pub fn class(plan: &Plan, class: usize) -> (&'static str, f64) {
    match class {
        LOOKUP => ("lookup", LOOKUP_DEADLINE_MS),
        REPORT => ("report", plan.report_deadline),
        _ => ("delivery-load", plan.load_deadline),
    }
}

/// Returns the platform settings of front end number `me` as JSON.
fn settings(plan: &Plan, me: usize) -> String {
    let (balancers, reports, loads) = (plan.front_ends, plan.report_deadline, plan.load_deadline);
    let dial_timeout = plan.dial_timeout;
    let (free, each, span) = RETRY_BUDGET;
    format!(
        r#"{{"Azs":["a"],"Balancers":{balancers},"Me":{me},"Zone":"a","MachineTypes":["std"],
 "Classes":[{{"Name":"lookup","OnTime":400,"HardLimit":{LOOKUP_DEADLINE_MS},"Repeat":"pure","Value":1,"LateWorth":0.3}},
  {{"Name":"report","OnTime":1000,"HardLimit":{reports},"Repeat":"pure","Value":5,"LateWorth":0.3}},
  {{"Name":"delivery-load","OnTime":800,"HardLimit":{loads},"Repeat":"side_effect","ByArrival":true,"Value":10,"LateWorth":0.3}}],
 "Parties":[{{"Name":"leinster","QuotaPerS":1000}}],
 "Domain":{{"CoresByKind":[{CORES}],"RamOfKindMb":[16384],"ThreadsByClass":[1,1,1],"Grants":true,"Priorities":true,
  "TellsCost":true,"TellsEvery":300}},
 "Contract":{{"DrainGrace":{DRAIN_GRACE_MS},"TurnGap":{KEY_REST_MS},"ExtraRatio":{each},"MinExtra":{free},"RatioSpan":{span},
  "StartCapacity":{START_SHARE},"WarmWithin":{WARM_WITHIN_MS},"FallMultiple":{FALL_MULTIPLE},"Fall":{FALL_SPAN_MS}}},
 "Limits":{{"Cancel":true,"DialTimeout":{dial_timeout},"ConnIdle":3000,"SendCap":{MAX_ATTEMPTS}}},
 "Report":{{"How":"inline","Fields":["outstanding"]}}}}"#
    )
}
