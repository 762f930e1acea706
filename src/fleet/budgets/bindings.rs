//! Determines which budgets apply to requests of a class and account.
//!
//! This is computed when a policy is activated, so that an admission only looks up the result.

use beamgap_budgets::member::BudgetMember;
use beamgap_budgets::spec::{BudgetSpec, Resource};
use std::collections::HashMap;
use std::rc::Rc;

/// The budgets that apply to a request, as indices into [`BudgetMember::specs`].
#[derive(Clone, Debug, Default)]
pub(super) struct Binding {
    /// Budgets that limit the admission of the request.
    pub(super) admission: Vec<usize>,
    /// Budgets that limit retries of the request.
    pub(super) retries: Vec<usize>,
}

impl Binding {
    fn of(member: &BudgetMember, class: &str, account: Option<&str>) -> Binding {
        let mut admission = member.applicable(Resource::Requests, class, account);
        admission.extend(member.applicable(Resource::OpenRequests, class, account));
        let retries = member.applicable(Resource::Retries, class, account);
        Binding { admission, retries }
    }
}

/// The budgets that apply to requests of one class, by account.
#[derive(Debug)]
pub(super) struct ClassBindings {
    /// Bindings for the accounts that a budget names.
    by_account: HashMap<String, Rc<Binding>>,
    /// Binding for requests without an account or with an account that no budget names.
    other_accounts: Rc<Binding>,
}

impl ClassBindings {
    /// Computes which of the member's current budgets apply to a class.
    pub(super) fn new(member: &BudgetMember, specs: &[BudgetSpec], class: &str) -> ClassBindings {
        let bind = |account: &str| (account.to_owned(), Rc::new(Binding::of(member, class, Some(account))));
        let accounts = specs.iter().filter_map(|spec| spec.account.as_deref());
        ClassBindings {
            by_account: accounts.map(bind).collect(),
            other_accounts: Rc::new(Binding::of(member, class, None)),
        }
    }

    pub(super) fn of_account(&self, account: Option<&str>) -> &Rc<Binding> {
        let named = account.and_then(|account| self.by_account.get(account));
        named.unwrap_or(&self.other_accounts)
    }
}
