//! A fleet's policy document with all of its blocks: those that `crates/policy` reads, and the budgets.

use beamgap_budgets::reader;
use beamgap_budgets::spec::{Amount, BudgetSpec, Resource};
use beamgap_config::{Place, Problem};
use beamgap_policy::diff::{self, Difference};
use beamgap_policy::document::{self, ParsedPolicy};
use beamgap_policy::validation::{self, KnownNames};
use std::collections::BTreeMap;

/// A parsed policy document with its budgets.
#[derive(Clone, Debug)]
pub struct FleetPolicy {
    /// The policy, with the places of all keys.
    pub parsed: ParsedPolicy,
    /// The fleet's budgets, by name.
    pub budgets: Vec<BudgetSpec>,
}

/// What a front end validates a policy against.
#[derive(Clone, Debug, Default)]
pub struct ValidationContext {
    /// Names that a policy may use.
    pub names: KnownNames,
    /// The longest deadline of each class, in milliseconds, in the order of the classes' names.
    pub class_deadlines_ms: Vec<f64>,
}

/// Parses a document.
///
/// # Errors
/// All problems, each with its place, key and fix.
pub fn parse(file: &str, text: &str) -> Result<FleetPolicy, Vec<Problem>> {
    let parsed = document::parse_with_blocks(file, text, vec![reader::schema()])?;
    let budgets = reader::read(&parsed.document)?;
    Ok(FleetPolicy { parsed, budgets })
}

/// Parses a document and validates that a front end can use it.
///
/// # Errors
/// All problems in the order of their places.
pub fn parse_and_validate(
    file: &str,
    text: &str,
    context: &ValidationContext,
) -> Result<FleetPolicy, Vec<Problem>> {
    let policy = parse(file, text)?;
    let mut problems = validation::validate(&policy.parsed, &context.names);
    for budget in &policy.budgets {
        problems.extend(budget_problems(file, &policy.parsed, budget, context));
    }
    if problems.is_empty() {
        return Ok(policy);
    }
    problems.sort_by_key(|problem| problem.place);
    Err(problems)
}

fn budget_problems(
    file: &str,
    parsed: &ParsedPolicy,
    budget: &BudgetSpec,
    context: &ValidationContext,
) -> Vec<Problem> {
    let place = parsed.place_of_block("budgets", "name", &budget.name);
    let unknown = |kind: &str, name: &Option<String>, known: &[String]| {
        name.as_ref().and_then(|name| validation::unknown_name(file, place, kind, name, known))
    };
    let mut problems = Vec::new();
    problems.extend(unknown("class", &budget.class, &context.names.classes));
    problems.extend(unknown("account", &budget.account, &context.names.accounts));
    problems.extend(too_short_a_holding_time(file, place, budget, context));
    problems
}

/// A budget of requests in flight must name a holding time of at least the longest deadline: for so long what a dead
/// front end holds counts.
fn too_short_a_holding_time(
    file: &str,
    place: Place,
    budget: &BudgetSpec,
    context: &ValidationContext,
) -> Option<Problem> {
    let Amount::Concurrency { max_duration_ms: longest, .. } = budget.amount else { return None };
    if budget.resource != Resource::OpenRequests {
        return None;
    }
    let applies_to = |class: &String| budget.class.as_ref().is_none_or(|only| only == class);
    let classes = context.names.classes.iter().zip(&context.class_deadlines_ms);
    let deadlines = classes.filter(|(class, _)| applies_to(class)).map(|(_, deadline_ms)| *deadline_ms);
    let needed = deadlines.fold(0.0, f64::max);
    if longest >= needed {
        return None;
    }
    Some(Problem {
        file: file.to_owned(),
        place,
        key: format!("budget \"{}\" longest", budget.name),
        problem: format!("is {longest} ms, and a request here may be out for {needed} ms"),
        fix: format!("write at least \"{needed} ms\""),
    })
}

/// Two policies compared by what they mean.
pub fn diff(before: &FleetPolicy, after: &FleetPolicy) -> Vec<Difference> {
    let mut differences = diff::diff(&before.parsed.policy, &after.parsed.policy);
    differences.extend(budget_differences(before, after));
    differences.sort();
    differences
}

fn budget_differences(before: &FleetPolicy, after: &FleetPolicy) -> Vec<Difference> {
    let (before, after) = (budgets_as_text(before), budgets_as_text(after));
    let none = "none".to_owned();
    let mut differences = Vec::new();
    for name in before.keys().chain(after.keys().filter(|name| !before.contains_key(*name))) {
        let old = before.get(name).unwrap_or(&none);
        let new = after.get(name).unwrap_or(&none);
        if old != new {
            differences.push(Difference {
                about: format!("budget \"{name}\""),
                key: String::new(),
                before: old.clone(),
                after: new.clone(),
            });
        }
    }
    differences
}

fn budgets_as_text(policy: &FleetPolicy) -> BTreeMap<String, String> {
    policy.budgets.iter().map(|budget| (budget.name.clone(), budget.description())).collect()
}
