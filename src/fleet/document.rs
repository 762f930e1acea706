//! Parsing, validation and comparison of a fleet's policy documents.
//!
//! The `beamgap-budgets` crate reads the `budget` blocks of a document; the `beamgap-policy` crate reads all others.

use beamgap_budgets::reader;
use beamgap_budgets::spec::{Amount, BudgetSpec, Resource};
use beamgap_config::{Place, Problem};
use beamgap_policy::diff::{self, Difference};
use beamgap_policy::document::{self, ParsedPolicy};
use beamgap_policy::validation::{self, KnownNames};
use std::collections::BTreeMap;

/// A parsed policy document, including its budgets.
#[derive(Clone, Debug)]
pub struct FleetPolicy {
    /// The policy, with the position in the document of each key.
    pub parsed: ParsedPolicy,
    /// The budgets that the document defines.
    pub budgets: Vec<BudgetSpec>,
}

/// The settings of a front end that a policy is validated against.
#[derive(Clone, Debug, Default)]
pub struct ValidationContext {
    /// The classes, accounts and zones that a policy may name.
    pub names: KnownNames,
    /// Longest request deadline of each class, in milliseconds, in the order of `names.classes`.
    pub class_deadlines_ms: Vec<f64>,
}

/// Parses a policy document. `file` is the file name to use in problem reports.
///
/// # Errors
/// The problems of the document, each with its position, the key and a suggested fix.
pub fn parse(file: &str, text: &str) -> Result<FleetPolicy, Vec<Problem>> {
    let parsed = document::parse_with_blocks(file, text, vec![reader::schema()])?;
    let budgets = reader::read(&parsed.document)?;
    Ok(FleetPolicy { parsed, budgets })
}

/// Parses a policy document and checks that a front end with the settings in `context` can use it.
///
/// # Errors
/// The problems found by [`parse`] or, if the document parses, all validation problems sorted by position.
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
    problems.extend(max_duration_problem(file, place, budget, context));
    problems
}

/// Reports a budget of requests in flight whose key `longest` is below the longest deadline of a request it limits.
///
/// After the death of a front end, the leader counts that front end's units as in use for the duration `longest`. If
/// this were shorter than the requests' deadlines, units would be granted again while the requests may still run.
fn max_duration_problem(
    file: &str,
    place: Place,
    budget: &BudgetSpec,
    context: &ValidationContext,
) -> Option<Problem> {
    let Amount::Concurrency { max_duration_ms, .. } = budget.amount else { return None };
    if budget.resource != Resource::OpenRequests {
        return None;
    }
    let applies_to = |class: &String| budget.class.as_ref().is_none_or(|only| only == class);
    let classes = context.names.classes.iter().zip(&context.class_deadlines_ms);
    let deadlines = classes.filter(|(class, _)| applies_to(class)).map(|(_, deadline_ms)| *deadline_ms);
    let longest_deadline_ms = deadlines.fold(0.0, f64::max);
    if max_duration_ms >= longest_deadline_ms {
        return None;
    }
    Some(Problem {
        file: file.to_owned(),
        place,
        key: format!("budget \"{}\" longest", budget.name),
        problem: format!(
            "is {max_duration_ms} ms, but a request here may stay in flight for {longest_deadline_ms} ms"
        ),
        fix: format!("write at least \"{longest_deadline_ms} ms\""),
    })
}

/// Compares two policies, including their budgets, and returns the differences in sorted order.
///
/// The parsed settings are compared, so formatting, comments and the order of blocks make no difference.
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
